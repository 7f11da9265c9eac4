package partition

import (
	"errors"
	"fmt"
	"io"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/fleet/recordstore"
	"basaltloft/internal/dispatcher/fleet/state"
)

// RecordsName is the name of the partition of the job records. Its settings are a
// records.SetRules.
const RecordsName = "records"

// Commands and queries of the job records.
const (
	RecordsShip        state.Kind = "records/ship" // a records.Ship, answered with a RecordsShipped
	RecordsPrune       state.Kind = "records/cut"  // a records.Prune, answered with a records.Pruned
	RecordsSetHold     state.Kind = "records/hold" // a records.SetHold
	RecordsReleaseHold state.Kind = "records/lift" // a records.ReleaseHold

	RecordsPlanPrune state.Kind = "records/plan"  // a query with a time, answered with a RecordsPrunePlan
	RecordsByID      state.Kind = "records/find"  // a query with a job id, answered with []records.Record
	RecordsPage      state.Kind = "records/page"  // a records.Query, answered with a records.Page
	RecordsStatus    state.Kind = "records/stand" // a query, answered with a RecordsStatusBody
)

// RecordsShipped answers a Ship. If Gap is set, records before these are missing; Through is
// valid nevertheless.
type RecordsShipped struct {
	records.Shipped
	Gap bool
}

// RecordsPrunePlan is the next prune command, if one is needed.
type RecordsPrunePlan struct {
	Needed bool
	Prune  records.Prune `cbor:"Cut"`
}

// RecordsStatusBody describes the stored records.
type RecordsStatusBody struct {
	Counts records.Counts
	Holds  []records.Hold
	Usage  map[string]records.Usage // by tenant, over its retention classes
	Bytes  int64                    // size on this node's disk
}

// Bounds of one query or command.
const (
	maxRecordsByID     = 64    // records in the answer to a query by id
	maxScannedPerPrune = 1_000 // records that one prune examines
)

// Records is the partition of the job records. The records are in a store on disk that is
// filled from the log; the rest of the state is small and held in memory.
type Records struct {
	state   *records.State
	store   *recordstore.Store
	failure error // error of the store during a command: this replica's state is invalid since
}

// NewRecords returns an empty partition over an empty store. The caller closes the store.
// The known fence is how far this process knows that records were pruned before.
func NewRecords(s *recordstore.Store, known records.Fence) *Records {
	r := &Records{state: records.New(), store: s}
	r.state.LearnFence(known)
	return r
}

// Name implements state.Partition.
func (*Records) Name() string { return RecordsName }

// Check implements state.Partition.
func (*Records) Check(settings []byte) error {
	var c records.SetRules
	if err := codec.Decode(settings, &c); err != nil {
		return err
	}
	return records.New().SetRules(0, c)
}

// Set implements state.Partition.
func (p *Records) Set(at time.Duration, settings []byte) error {
	var c records.SetRules
	if err := codec.Decode(settings, &c); err != nil {
		return err
	}
	return p.state.SetRules(at, c)
}

// Apply implements state.Partition.
func (p *Records) Apply(c state.Command, index uint64) (body []byte, err error) {
	err = p.store.Update(index, func(st records.Store) error {
		var reply any
		if reply, err = p.execute(c, st); errors.Is(err, records.ErrStore) {
			return err // the store discards the command's changes
		}
		if err == nil {
			body, err = codec.Encode(reply)
		}
		return nil
	})
	if errors.Is(err, records.ErrStore) {
		p.failure = err
	}
	return body, err
}

func (p *Records) execute(c state.Command, st records.Store) (any, error) {
	switch c.Kind {
	case RecordsShip:
		b, err := decodeBody[records.Ship](c)
		if err != nil {
			return nil, err
		}
		b.Process, b.Incarnation = c.Process, c.Incarnation
		done, err := p.state.Ship(c.At, st, b)
		if errors.Is(err, records.ErrGap) {
			return RecordsShipped{done, true}, nil
		}
		return RecordsShipped{Shipped: done}, err
	case RecordsPrune:
		b, err := decodeBody[records.Prune](c)
		if err != nil {
			return nil, err
		}
		return p.state.Prune(c.At, st, b)
	case RecordsSetHold:
		b, err := decodeBody[records.SetHold](c)
		if err != nil {
			return nil, err
		}
		return nil, p.state.SetHold(c.At, st, b)
	case RecordsReleaseHold:
		b, err := decodeBody[records.ReleaseHold](c)
		if err != nil {
			return nil, err
		}
		return nil, p.state.ReleaseHold(c.At, b)
	}
	return nil, fmt.Errorf("%w: no record command %q", state.ErrBad, c.Kind)
}

func decodeBody[T any](c state.Command) (v T, err error) {
	if err := codec.Decode(c.Body, &v); err != nil {
		return v, fmt.Errorf("%w: %w", state.ErrBad, err)
	}
	return v, nil
}

// Renew implements state.Partition: a renewal has no message for this partition.
func (*Records) Renew(state.Command, []byte) ([]byte, error) {
	return nil, errors.New("records are not renewed")
}

// IncarnationEnded implements state.Partition. Records that remain in a process's spool are
// shipped when it is back.
func (*Records) IncarnationEnded(time.Duration, string, uint64, state.EndCause) {}

// Advance implements state.Partition: records are removed by prunes only.
func (*Records) Advance(time.Duration) {}

// Query implements state.Queryable.
func (p *Records) Query(kind state.Kind, body []byte) (text []byte, err error) {
	if p.failure != nil {
		return nil, p.failure
	}
	var reply any
	err = p.store.View(func(st records.Reader) (err error) {
		switch kind {
		case RecordsPlanPrune:
			var now int64
			if err := codec.Decode(body, &now); err != nil {
				return err
			}
			c, needed, err := p.state.PlanPrune(st, now, maxScannedPerPrune)
			reply = RecordsPrunePlan{needed, c}
			return err
		case RecordsByID:
			var id string
			if err := codec.Decode(body, &id); err != nil {
				return err
			}
			reply, err = p.state.View().ByID(st, id, maxRecordsByID)
			return err
		case RecordsPage:
			var q records.Query
			if err := codec.Decode(body, &q); err != nil {
				return err
			}
			reply, err = p.state.View().Page(st, q)
			return err
		case RecordsStatus:
			reply, err = p.status()
			return err
		}
		return fmt.Errorf("no record query %q", kind)
	})
	if err != nil {
		return nil, err
	}
	return codec.Encode(reply)
}

func (p *Records) status() (s RecordsStatusBody, err error) {
	s = RecordsStatusBody{Counts: p.state.Counts(), Holds: p.state.Holds(), Usage: map[string]records.Usage{}}
	for _, name := range p.state.Tenants() {
		all, _ := p.state.Usage(name)
		u := all[records.Ordinary]
		u.Count += all[records.Failures].Count
		u.Bytes += all[records.Failures].Bytes
		s.Usage[name] = u
	}
	s.Bytes, err = p.store.Size()
	return s, err
}

// Fence returns how far this replica knows that records were pruned.
func (p *Records) Fence() records.Fence { return p.state.Fence() }

// Snapshot implements state.Partition.
func (p *Records) Snapshot() (state.Snapshot, error) {
	if p.failure != nil {
		return state.Snapshot{}, p.failure
	}
	encoded, err := p.state.Encode()
	if err != nil {
		return state.Snapshot{}, err
	}
	snap, err := p.store.Snapshot(encoded)
	if err != nil {
		return state.Snapshot{}, err
	}
	return state.Snapshot{Release: snap.Release, Write: func(w io.Writer) error {
		_, err := snap.WriteTo(w)
		return err
	}}, nil
}

// Restore implements state.Partition.
func (p *Records) Restore(r io.Reader) error {
	encoded, _, err := p.store.Restore(r)
	if err != nil {
		return err
	}
	return p.state.Decode(encoded)
}

// Digest implements state.Partition. It fails if the store has failed, so that this replica
// never counts as equal to a majority.
func (p *Records) Digest() (uint64, error) {
	if p.failure != nil {
		return 0, p.failure
	}
	return p.state.Digest()
}
