package server

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/coordinator"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/valyala/fastjson"
)

// query reads from the leader's state and decodes the answer.
func (r *recorder) query(ctx context.Context, s *rpc.Session, kind state.Kind, body, into any) error {
	if s == nil {
		return coordinator.ErrNoSession
	}
	text, err := codec.Encode(body)
	if err != nil {
		return err
	}
	a, err := s.Read(ctx, rpc.Query{Kind: kind, Body: text})
	if err != nil {
		return err
	}
	return codec.Decode(a.Body, into)
}

// Record implements adminapi.Fleet.
func (r *recorder) Record(ctx context.Context, id string) ([]byte, error) {
	var found []records.Record
	if err := r.query(ctx, r.fleet.agent.Session(), partition.RecordsByID, id, &found); err != nil {
		return nil, adminError(err)
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("%w: no record of %q is kept", adminapi.ErrNotFound, id)
	}
	var a fastjson.Arena
	return recordsJSON(&a, found).MarshalTo(nil), nil
}

// Records implements adminapi.Fleet.
func (r *recorder) Records(ctx context.Context, q adminapi.RecordsQuery) ([]byte, error) {
	var p records.Page
	query := records.Query{Tenant: q.Tenant, From: q.From, To: q.To, Descending: q.NewestFirst, Cursor: q.After, Limit: min(q.Limit, maxPageRecords)}
	if err := r.query(ctx, r.fleet.agent.Session(), partition.RecordsPage, query, &p); err != nil {
		return nil, adminError(err)
	}
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("records", recordsJSON(&a, p.Records))
	if p.Next != "" {
		o.Set("next", a.NewString(p.Next))
	}
	if p.Missing > 0 {
		o.Set("missing", a.NewNumberString(fmt.Sprint(p.Missing)))
	}
	return o.MarshalTo(nil), nil
}

// SetHold implements adminapi.Fleet.
func (r *recorder) SetHold(ctx context.Context, h adminapi.HoldRequest) error {
	s := r.fleet.agent.Session()
	if s == nil {
		return adminError(coordinator.ErrNoSession)
	}
	at := time.Now().UnixNano()
	if h.Lift {
		return adminError(s.Execute(ctx, partition.RecordsReleaseHold, records.ReleaseHold{At: at, Name: h.Name}, nil))
	}
	return adminError(s.Execute(ctx, partition.RecordsSetHold, records.SetHold{At: at, Hold: records.Hold{
		Name: h.Name, Tenant: h.Tenant, ID: h.ID, Key: h.Key, Class: h.Class, From: h.From, To: h.To, Owner: h.Owner, Reason: h.Reason, Until: h.Until,
	}}, nil))
}

// adminError translates errors of the fleet for the admin API.
func adminError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, state.ErrRefused) && strings.Contains(err.Error(), records.ErrNoHold.Error()):
		return fmt.Errorf("%w: %w", adminapi.ErrNotFound, err)
	case errors.Is(err, state.ErrRefused):
		return fmt.Errorf("%w: %w", adminapi.ErrConflict, err)
	case errors.Is(err, rpc.ErrUnavailable), errors.Is(err, coordinator.ErrNoSession), errors.Is(err, state.ErrFenced):
		return fmt.Errorf("%w: %w", adminapi.ErrFleetUnavailable, err)
	}
	return err
}

// recordsJSON returns records as JSON. In a body, bytes that are not UTF-8 are replaced.
func recordsJSON(a *fastjson.Arena, all []records.Record) *fastjson.Value {
	list := a.NewArray()
	for i, r := range all {
		o, members := a.NewObject(), a.NewArray()
		for name, text := range map[string]string{
			"id": r.ID, "key": r.Key, "tenant": r.Tenant, "class": r.Class, "plan": r.Plan, "stage": r.Stage, "outcome": r.Outcome, "reason": r.Reason, "process": r.Process,
		} {
			if text != "" {
				o.Set(name, a.NewString(text))
			}
		}
		o.Set("arrived", a.NewString(time.Unix(0, r.Arrived).UTC().Format(time.RFC3339Nano)))
		o.Set("ended", a.NewString(time.Unix(0, r.Ended).UTC().Format(time.RFC3339Nano)))
		o.Set("attempts", a.NewNumberInt(r.Attempts))
		for n, m := range r.Members {
			members.SetArrayItem(n, a.NewString(m))
		}
		o.Set("members", members)
		if r.Body != nil {
			o.Set("body", a.NewString(strings.ToValidUTF8(string(r.Body), "\uFFFD")))
		}
		list.SetArrayItem(i, o)
	}
	return list
}
