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
	var v storedState
	if err := codec.Decode(text, &v); err != nil {
		return fmt.Errorf("state of the budgets: %w", err)
	}
	if v.Version != stateVersion {
		return fmt.Errorf("state of the budgets: version %d, not %d", v.Version, stateVersion)
	}
	if err := v.check(); err != nil {
		return fmt.Errorf("state of the budgets: %w", err)
	}
	t.storedState = v
	t.rebuildTotals()
	return nil
}

func (v *storedState) check() error {
	for i, s := range v.Budgets {
		if s == nil || i > 0 && v.Budgets[i-1].Name >= s.Name {
			return fmt.Errorf("budget %d: out of order", i)
		}
		if err := s.check(); err != nil {
			return fmt.Errorf("budget %q: %w", s.Name, err)
		}
	}
	for i, h := range v.Holders {
		if h == nil || len(h.Allocations) != len(v.Budgets) {
			return fmt.Errorf("holder %d: not one allocation for each budget", i)
		}
		if h.AcknowledgedGrant > h.OfferedGrant || h.OfferedGrant > v.LastGrant {
			return fmt.Errorf("holder %q: grant numbers %d acknowledged, %d offered, %d last: not ascending", h.Process, h.AcknowledgedGrant, h.OfferedGrant, v.LastGrant)
		}
	}
	if v.Now < 0 || v.Lease < 0 {
		return fmt.Errorf("fleet time %v, lease %v: below 0", v.Now, v.Lease)
	}
	for i, s := range v.Budgets {
		if err := v.checkAmounts(i, s); err != nil {
			return fmt.Errorf("budget %q: %w", s.Name, err)
		}
	}
	for i := 1; i < len(v.Holders); i++ {
		x, y := v.Holders[i-1], v.Holders[i]
		if cmp.Or(strings.Compare(x.Process, y.Process), cmp.Compare(x.Incarnation, y.Incarnation)) >= 0 {
			return fmt.Errorf("holder %q: out of order", y.Process)
		}
	}
	return nil
}

// checkAmounts validates the amounts of a budget, whose sum must not overflow.
func (v *storedState) checkAmounts(i int, s *budgetState) error {
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
			return fmt.Errorf("quarantine of %d, burst %d: below 0, or the sum %v is too great", r.Amount, r.Burst, sum)
		}
	}
	for _, h := range v.Holders {
		l := &h.Allocations[i]
		if p, q := l.Acknowledged, l.Offered; !add(p.Amount, p.Burst, p.Floor, q.Amount, q.Burst, q.Floor, l.InFlight, l.Due, l.DueBurst) ||
			p.FloorDuration < 0 || p.SettleTime < 0 || q.FloorDuration < 0 || q.SettleTime < 0 || !(l.Demand >= 0 && l.Demand <= maxTotal) {
			return fmt.Errorf("holder %q: amounts below 0 or too great: %+v", h.Process, *l)
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
	t.nextDue = t.Now // the next call of expireDue computes it
}

// storedState is the encoded state, stored by the field names in its tags. The totals in
// AllocationTable are derived from it.
type storedState struct {
	Version   uint64
	Now       time.Duration `cbor:"At"`
	Lease     time.Duration
	LastGrant uint64 `cbor:"Number"` // number of the last grant
	Budgets   []*budgetState
	Holders   []*holder // sorted by process, then incarnation
}
