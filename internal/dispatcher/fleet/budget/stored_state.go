package budget

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// stateVersion is the version of the encoded state.
const stateVersion = 1

// Encode encodes the state. Equal states have equal bytes.
func (t *AllocationTable) Encode() ([]byte, error) {
	text, err := codec.Encode(&t.storedState)
	if err != nil {
		return nil, fmt.Errorf("state of the budgets: %w", err)
	}
	return text, nil
}

// Decode replaces the state by an encoded one. If that is truncated, of another version, or
// inconsistent, nothing changes.
func (t *AllocationTable) Decode(text []byte) error {
	var im storedState
	if err := codec.Decode(text, &im); err != nil {
		return fmt.Errorf("state of the budgets: %w", err)
	}
	if im.Version != stateVersion {
		return fmt.Errorf("state of the budgets: version %d, not %d", im.Version, stateVersion)
	}
	if err := im.check(); err != nil {
		return fmt.Errorf("state of the budgets: %w", err)
	}
	t.storedState = im
	t.rebuildTotals()
	return nil
}

func (im *storedState) check() error {
	for i, s := range im.Budgets {
		if s == nil || i > 0 && im.Budgets[i-1].Name >= s.Name {
			return fmt.Errorf("budget %d: out of order", i)
		}
		if err := s.check(); err != nil {
			return fmt.Errorf("budget %q: %w", s.Name, err)
		}
	}
	for i, h := range im.Holders {
		if h == nil || len(h.Allocations) != len(im.Budgets) {
			return fmt.Errorf("holder %d: not a line a budget", i)
		}
		if h.AcknowledgedGrant > h.OfferedGrant || h.OfferedGrant > im.LastGrant {
			return fmt.Errorf("holder %q: numbers %d, %d, %d", h.Process, h.AcknowledgedGrant, h.OfferedGrant, im.LastGrant)
		}
	}
	if im.Now < 0 || im.Lease < 0 {
		return fmt.Errorf("fleet time %v, lease %v: below 0", im.Now, im.Lease)
	}
	for i, s := range im.Budgets {
		if err := im.checkAmounts(i, s); err != nil {
			return fmt.Errorf("budget %q: %w", s.Name, err)
		}
	}
	for i := 1; i < len(im.Holders); i++ {
		x, y := im.Holders[i-1], im.Holders[i]
		if cmp.Or(strings.Compare(x.Process, y.Process), cmp.Compare(x.Incarnation, y.Incarnation)) >= 0 {
			return fmt.Errorf("holder %q: out of order", y.Process)
		}
	}
	return nil
}

// checkAmounts validates the amounts of a budget, which must be summable.
func (im *storedState) checkAmounts(i int, s *budgetState) error {
	sum := 0.0
	add := func(xs ...int64) bool {
		for _, x := range xs {
			if x < 0 {
				return false
			}
			sum += float64(x)
		}
		return sum < 4e18
	}
	for _, r := range s.Quarantines {
		if !add(r.Amount, r.Burst) {
			return fmt.Errorf("a rest of %d, %d, sum %v", r.Amount, r.Burst, sum)
		}
	}
	for _, h := range im.Holders {
		l := &h.Allocations[i]
		if p, q := l.Acknowledged, l.Offered; !add(p.Amount, p.Burst, p.Floor, q.Amount, q.Burst, q.Floor, l.InFlight, l.Due, l.DueBurst) ||
			p.FloorDuration < 0 || p.SettleTime < 0 || q.FloorDuration < 0 || q.SettleTime < 0 || !(l.Demand >= 0 && l.Demand <= maxTotal) {
			return fmt.Errorf("holder %q: figures below 0 or too great: %+v", h.Process, *l)
		}
	}
	return nil
}

// Digest returns the digest of the encoded state, which is compared between replicas.
func (t *AllocationTable) Digest() (uint64, error) {
	text, err := t.Encode()
	if err != nil {
		return 0, err
	}
	return codec.Digest(text), nil
}

// rebuildTotals rebuilds what is derived from the stored state.
func (t *AllocationTable) rebuildTotals() {
	t.activeHolders = make(map[string]*holder, len(t.Holders))
	for _, s := range t.Budgets {
		s.held, s.quarantined = totals{}, totals{}
		for _, r := range s.Quarantines {
			s.quarantined.addQuarantine(r, 1)
		}
	}
	for _, h := range t.Holders {
		if !h.Superseded {
			t.activeHolders[h.Process] = h
		}
		for i, s := range t.Budgets {
			s.held.add(&h.Allocations[i], 1)
		}
	}
	t.nextDue = t.Now // what is due is looked for with the next call
}

// storedState is what is encoded, by the field names in its tags. The totals that
// AllocationTable keeps besides are derived from it.
type storedState struct {
	Version   uint64
	Now       time.Duration `cbor:"At"`
	Lease     time.Duration
	LastGrant uint64 `cbor:"Number"` // number of the last grant
	Budgets   []*budgetState
	Holders   []*holder // sorted by process, then incarnation
}
