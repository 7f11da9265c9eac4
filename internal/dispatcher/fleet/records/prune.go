package records

import (
	"errors"
	"fmt"
	"time"
)

// Prune removes the records below its watermarks that are not held, and continues to sweep
// the records that ended holds kept. It returns ErrStale if the rules have changed since it
// was planned.
func (s *State) Prune(at time.Duration, st Store, c Prune) (done Pruned, err error) {
	if c.RulesEdition != s.rulesEdition {
		return done, fmt.Errorf("a cut: %w", ErrStale)
	}
	for _, m := range c.Watermarks {
		if m.Class >= RetentionClasses || s.tenants[m.Tenant] == nil {
			return done, fmt.Errorf("a mark of tenant %.40q: %w", m.Tenant, ErrInvalid)
		}
	}
	s.beginEdition(c.At)
	s.prunedAt, s.nextTenant = max(s.prunedAt, at), c.NextTenant
	s.expireHolds()
	for _, m := range c.Watermarks {
		t := s.tenants[m.Tenant]
		l := &t.Classes[m.Class]
		if m.Position.Compare(l.Watermark) <= 0 {
			continue // a watermark never moves back
		}
		var removed []Record
		err := st.Ascend(t.Name, l.Watermark, func(r *Record, text []byte) bool {
			switch {
			case r.Position().Compare(m.Position) >= 0:
				return false
			case r.RetentionClass() != m.Class:
			case s.isHeld(r):
				l.BelowWatermark.add(text)
				done.Held++
			default:
				l.All.remove(text)
				removed = append(removed, *r)
			}
			return true
		})
		if err == nil {
			err = deleteAll(st, removed)
		}
		if err != nil {
			return done, errors.Join(ErrStore, err)
		}
		done.Removed += len(removed)
		l.Watermark = m.Position
	}
	s.counts.Cut += int64(done.Removed)
	remaining := max(c.MaxSwept, 0)
	for _, name := range s.tenantNames {
		t := s.tenants[name]
		if !t.Sweeping || remaining == 0 {
			continue
		}
		scanned, err := s.sweep(st, t, remaining)
		if err != nil {
			return done, err
		}
		remaining -= scanned
	}
	return done, nil
}

func deleteAll(st Store, removed []Record) error {
	for i := range removed {
		if err := st.Delete(&removed[i]); err != nil {
			return err
		}
	}
	return nil
}

// sweepStep is the greatest number of records that SetHold has sweep read at a time.
const sweepStep = 4096

// sweep reads the tenant's next records below its watermarks, at most limit, and removes
// those that no hold covers any more.
func (s *State) sweep(st Store, t *tenantState, limit int) (scanned int, err error) {
	var removed []Record
	top, done := t.sweepEnd(), true
	err = st.Ascend(t.Name, t.SweptThrough, func(r *Record, text []byte) bool {
		if r.Position().Compare(top) >= 0 {
			return false
		}
		if scanned == limit {
			done = false
			return false
		}
		scanned++
		t.SweptThrough = r.Position().next()
		if t.isPruned(r) && !s.isHeld(r) {
			l := &t.Classes[r.RetentionClass()]
			l.All.remove(text)
			l.BelowWatermark.remove(text)
			removed = append(removed, *r)
		}
		return true
	})
	if err == nil {
		err = deleteAll(st, removed)
	}
	if err != nil {
		return scanned, errors.Join(ErrStore, err)
	}
	s.counts.Swept += int64(len(removed))
	if done {
		t.Sweeping, t.SweptThrough = false, Position{}
	}
	return scanned, nil
}
