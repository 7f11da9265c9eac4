package records

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func (s *State) isHeld(r *Record) bool { return coveredByHold(s.holds, r) }

func coveredByHold(holds []Hold, r *Record) bool {
	for i := range holds {
		if holds[i].covers(r) {
			return true
		}
	}
	return false
}

// expireHolds ends the holds that have expired.
func (s *State) expireHolds() {
	s.holds = slices.DeleteFunc(s.holds, func(h Hold) bool {
		expired := h.Until != 0 && h.Until <= s.wallClock
		if expired {
			s.scheduleSweep(&h)
		}
		return expired
	})
}

// scheduleSweep schedules a sweep of the tenant of a hold that has ended.
func (s *State) scheduleSweep(h *Hold) {
	if t := s.tenants[h.Tenant]; t != nil {
		t.Sweeping, t.SweptThrough = true, Position{}
	}
}

// SetHold sets a hold. It keeps the records that are stored now and those that arrive. What
// was pruned before, or kept only by a hold that has ended, is not restored. The same hold
// may be set again.
func (s *State) SetHold(_ time.Duration, st Store, c SetHold) error {
	h := c.Hold
	if err := checkHold(&h); err != nil {
		return err
	}
	if h.Until != 0 && h.Until <= max(s.wallClock, c.At) {
		return fmt.Errorf("hold %q is over: %w", h.Name, ErrInvalid)
	}
	i, taken := s.findHold(h.Name)
	switch {
	case taken && s.holds[i] == h:
		s.beginEdition(c.At)
		s.expireHolds()
		return nil
	case taken && (s.holds[i].Until == 0 || s.holds[i].Until > c.At):
		return fmt.Errorf("hold %q: %w", h.Name, ErrHoldTaken)
	case len(s.holds) >= maxHolds:
		return fmt.Errorf("%d holds already: %w", len(s.holds), ErrInvalid)
	}
	s.beginEdition(c.At)
	s.expireHolds()
	for t := s.tenants[h.Tenant]; t != nil && t.Sweeping; {
		if _, err := s.sweep(st, t, sweepStep); err != nil {
			return err
		}
	}
	i, _ = s.findHold(h.Name)
	s.holds = slices.Insert(s.holds, i, h)
	return nil
}

func (s *State) findHold(name string) (int, bool) {
	return slices.BinarySearchFunc(s.holds, name, func(h Hold, name string) int { return strings.Compare(h.Name, name) })
}

// ReleaseHold ends a hold. From then on the records that only this hold kept are not served;
// the next prunes remove them.
func (s *State) ReleaseHold(_ time.Duration, c ReleaseHold) error {
	i, ok := s.findHold(c.Name)
	if !ok {
		return fmt.Errorf("hold %q: %w", c.Name, ErrNoHold)
	}
	s.beginEdition(c.At)
	h := s.holds[i]
	s.holds = slices.Delete(s.holds, i, i+1)
	s.scheduleSweep(&h)
	s.expireHolds()
	return nil
}
