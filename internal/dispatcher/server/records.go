package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/coordinator"
	"basaltloft/internal/dispatcher/fleet/partition"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/fleet/recordstore"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/spool"
	"basaltloft/internal/dispatcher/fleet/state"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/segment"
	"basaltloft/internal/dispatcher/settings"

	"github.com/valyala/fastjson"
)

// recorder writes a record of each final answer into this process's spool, and
// answers the door's questions about those that the fleet has.
type recorder struct {
	pipeline.Ledger
	s            *Service
	fleet        *fleet
	maxBodyBytes int
	spool        *spool.Spool // nil: no records are kept by this process
}

const (
	retentionInterval = time.Second
	fenceInterval     = 2 * time.Second
	recordsTimeout    = 3 * time.Second // how long a cut, or a batch of records, is asked for
	spoolCloseTimeout = time.Second     // what a planned end waits for the last records to be shipped
	maxPageRecords    = 1000
)

// newRecorder opens the spool where records are kept.
func (s *Service) newRecorder(f *settings.Fleet, fl *fleet) (*recorder, error) {
	r := &recorder{Ledger: s.metrics, s: s, fleet: fl}
	if f.Records == nil {
		return r, nil
	}
	r.maxBodyBytes = f.Records.Body
	folder, err := segment.OpenDirectory(filepath.Join(f.DataDir, "spool"))
	if err != nil {
		return nil, fmt.Errorf("the spool of records: %w", err)
	}
	r.spool, err = spool.Open(folder, spool.Settings{
		Process: f.Name, QueueLength: 8192, BatchSize: 256, MaxBodyBytes: r.maxBodyBytes, SegmentBytes: 4 << 20, MaxBytes: 1 << 30,
		WriteDelay: 10 * time.Millisecond, SyncInterval: time.Second, RetryInterval: 250 * time.Millisecond,
	}, time.Now(), s.log.WithField("part", "spool"), r.ship)
	if err != nil {
		folder.Close()
		return nil, err
	}
	fl.components = append(fl.components, &component{
		name: "records",
		serve: func(ctx context.Context, _ net.Listener) error {
			<-ctx.Done()
			return r.spool.Close(ctx)
		},
		stop: func(ctx context.Context) error {
			ctx, cancel := context.WithDeadline(ctx, time.Now().Add(spoolCloseTimeout))
			defer cancel()
			if err := r.spool.Close(ctx); err != nil {
				s.log.WithError(err).Error("closing the spool of records")
			}
			return nil
		},
	})
	return r, nil
}

// ship brings records to the fleet.
func (r *recorder) ship(ctx context.Context, batch records.Ship) (through uint64, err error) {
	s := r.fleet.agent.Session()
	if s == nil {
		return 0, coordinator.ErrNoSession
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(recordsTimeout))
	defer cancel()
	var done partition.RecordsShipped
	if err := s.Execute(ctx, partition.RecordsShip, batch, &done); err != nil {
		return 0, err
	}
	if done.Gap {
		return done.Through, records.ErrGap
	}
	return done.Through, nil
}

// JobEnded implements stage.Books. It never waits: without room in the spool the record is
// dropped and counted, and the job has its answer all the same.
func (r *recorder) JobEnded(t *engine.Transaction, a engine.Answer, now time.Time) {
	r.Ledger.JobEnded(t, a, now)
	if r.spool == nil {
		return
	}
	rec := records.Record{
		ID: t.ID, Key: t.Key, Tenant: t.Tenant, Class: t.Class, Plan: t.Plan, Stage: t.Stage, Outcome: a.Verdict.Outcome().String(), Reason: a.Reason.String(),
		Arrived: t.Arrived.UnixNano(), Ended: now.UnixNano(), Attempts: a.Attempts, Members: a.MembersTried,
	}
	if len(a.Body) <= r.maxBodyBytes {
		rec.Body = a.Body
	}
	r.spool.Add(rec)
}

// enforceRetention has what the rules no longer keep removed, while this process's keeper leads.
func (r *recorder) enforceRetention(ctx context.Context) {
	tick := time.NewTicker(retentionInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		k, s := r.fleet.raftNode.Load(), r.fleet.agent.Session()
		if k == nil || s == nil || !k.IsLeader() {
			continue
		}
		for more := true; more; {
			var err error
			if more, err = r.enforceRetentionOnce(ctx, s); err != nil && ctx.Err() == nil {
				r.s.log.WithError(err).Debug("records could not be cut")
			}
		}
	}
}

func (r *recorder) enforceRetentionOnce(ctx context.Context, s *rpc.Session) (more bool, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(recordsTimeout))
	defer cancel()
	var p partition.RecordsPrunePlan
	if err := r.query(ctx, s, partition.RecordsPlanPrune, time.Now().UnixNano(), &p); err != nil || !p.Needed {
		return false, err
	}
	var done records.Pruned
	err = s.Execute(ctx, partition.RecordsPrune, p.Prune, &done)
	return err == nil && done.Removed > 0, err
}

// query asks the leader.
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

// Record implements door.Fleet.
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

// Records implements door.Fleet.
func (r *recorder) Records(ctx context.Context, q adminapi.RecordsQuery) ([]byte, error) {
	var p records.Page
	ask := records.Query{Tenant: q.Tenant, From: q.From, To: q.To, Descending: q.NewestFirst, Cursor: q.After, Limit: min(q.Limit, maxPageRecords)}
	if err := r.query(ctx, r.fleet.agent.Session(), partition.RecordsPage, ask, &p); err != nil {
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

// SetHold implements door.Fleet.
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

// adminError tells errors of the fleet apart for the door.
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

// recordsJSON are records as JSON. A body that is no text goes in with what is not
// replaced.
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

// openStore opens the keeper's store of records anew, and what it knows of cuts.
func (f *fleet) openStore(folder string) (*partition.Records, error) {
	if f.store != nil {
		if err := f.store.Close(); err != nil {
			return nil, fmt.Errorf("the store of records: %w", err)
		}
	}
	var err error
	if f.store, err = recordstore.Open(filepath.Join(folder, "records")); err != nil {
		return nil, err
	}
	known, err := recordstore.LoadFence(folder, fenceOwner)
	if err != nil {
		f.log.WithError(err).Error("what is known of cut records can't be read and is left out")
	}
	return partition.NewRecords(f.store, known), nil
}

// fenceOwner is what a fence is marked with: a folder belongs to one fleet.
const fenceOwner = "fleet"

// persistFence writes down how far this keeper knows that records were cut.
func (f *fleet) persistFence(ctx context.Context, folder string) {
	tick := time.NewTicker(fenceInterval)
	defer tick.Stop()
	var last uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		k := f.raftNode.Load()
		if k == nil {
			continue
		}
		var fence records.Fence
		k.Inspect(func(m *state.Machine) {
			if p, ok := m.Partition(partition.RecordsName).(*partition.Records); ok {
				fence = p.Fence()
			}
		})
		if fence.Edition <= last {
			continue
		}
		if err := recordstore.SaveFence(folder, fenceOwner, fence); err != nil {
			f.log.WithError(err).Error("what is known of cut records can't be kept")
			continue
		}
		last = fence.Edition
	}
}

// retentionRules are the fleet's rules of what the operator's file says.
func retentionRules(f *settings.FleetRecords) records.SetRules {
	const day = float64(24 * time.Hour)
	var set records.SetRules
	for name, r := range f.Tenants {
		keep := records.Limits{MaxAge: int64(r.Days * day), MaxCount: int64(r.Count), MaxBytes: int64(r.Megabytes) << 20}
		failed := keep
		if longer := int64(r.FailureDays * day); keep.MaxAge > 0 && longer > keep.MaxAge {
			failed.MaxAge = longer
		}
		set.Rules = append(set.Rules, records.Rule{Tenant: name, Keep: keep, Failed: failed})
	}
	return set
}
