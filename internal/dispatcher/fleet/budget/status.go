package budget

import (
	"fmt"
	"slices"
	"time"
)

// Mode is what limits a process's use of a budget at present.
type Mode uint8

// Values of BucketStatus.Mode: what the process may use of the budget now.
const (
	Unbounded Mode = iota // the process knows of no such budget
	OnShare               // its share; the lease is in force
	OnFloor               // its floor; the lease has expired
	OnNothing             // nothing is admitted; lease and floor have expired
)

var modeNames = [...]string{"unbounded", "share", "floor", "nothing"}

// String returns the mode's name.
func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return fmt.Sprintf("mode %d", uint8(m))
}

// BucketStatus describes one budget at this process.
type BucketStatus struct {
	Name     string
	Kind     Kind
	Mode     Mode
	Amount   float64       // usable now; 0 if unbounded
	ValidFor time.Duration // until Amount expires without another grant; 0: it has expired, or never does
	Admitted int64         // since the start
	Rejected int64         // since the start
	InFlight int64
	Demand   float64 // as last reported
}

// Status describes the budgets at this process, sorted by name.
func (a *Allowance) Status(now time.Duration) []BucketStatus {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]BucketStatus, 0, len(a.names))
	for _, n := range slices.Sorted(slices.Values(a.names)) {
		t := a.buckets[n]
		s := t.terms.Load()
		status := BucketStatus{
			Name: n, Kind: s.kind, Admitted: t.taken.Load() + t.begun.Load(), Rejected: t.rejected.Load(),
			InFlight: t.inFlight.Load(), Demand: t.reportedDemand, Amount: s.amountAt(now),
		}
		switch {
		case s == &unlimited:
			status.Amount = 0
		case now < s.leaseEnd:
			status.Mode, status.ValidFor = OnShare, s.leaseEnd-now
		case now < s.floorEnd:
			status.Mode, status.ValidFor = OnFloor, s.floorEnd-now
		default:
			status.Mode = OnNothing
		}
		out = append(out, status)
	}
	return out
}

// HolderStatus is what one incarnation of a process holds of a budget.
type HolderStatus struct {
	Process      string
	Incarnation  uint64
	Ends         time.Duration // expiry of its lease, in fleet time
	Fenced       bool          // a newer incarnation exists: this one is granted nothing more
	Acknowledged bool          // it has applied the last grant
	Held         float64       // upper bound of what it may be using
	Offered, Due float64       // Offered: by the last grant; Due: by the last division
	Floor        bool
	Demand       float64
}

// HolderStatuses returns what each holder has of a budget, sorted by process and
// incarnation; nil for an unknown budget.
func (t *AllocationTable) HolderStatuses(name string) []HolderStatus {
	i := t.budgetIndex(name)
	if i < 0 {
		return nil
	}
	out := make([]HolderStatus, len(t.Holders))
	for k, h := range t.Holders {
		l := &h.Allocations[i]
		out[k] = HolderStatus{
			Process: h.Process, Incarnation: h.Incarnation, Ends: h.LeaseEnd, Fenced: h.Superseded, Acknowledged: h.AcknowledgedGrant == h.OfferedGrant,
			Held: fromMicros(l.upperBound().Amount), Offered: fromMicros(l.Offered.Amount), Due: fromMicros(l.Due + l.Offered.Floor),
			Floor: l.hasFloor(), Demand: l.Demand,
		}
	}
	return out
}

// Occupancy describes a budget, for metrics and checks.
type Occupancy struct {
	Name        string
	Total       float64 `cbor:"Whole"` // see Budget.Total
	Held        float64 // upper bound of what all holders may be using
	Quarantined float64 `cbor:"Resting"`  // freed, or held at a lease's expiry, and not available yet
	Reserved    float64 `cbor:"SetAside"` // for floor slots that no holder has
	Burst       float64 // see Budget.Burst
	HeldBurst   float64 // including what is quarantined and reserved
	Binding     bool    `cbor:"Bound"` // the total is in force: no more than that is held
}

// Status describes the budgets, sorted by name.
func (t *AllocationTable) Status() []Occupancy {
	out := make([]Occupancy, len(t.Budgets))
	for i, s := range t.Budgets {
		reserved, reservedBurst := s.reservedFloors()
		free, burst := s.available()
		out[i] = Occupancy{
			Name: s.Name, Total: s.Total, Held: fromMicros(s.held.amount), Quarantined: fromMicros(s.quarantined.amount), Reserved: fromMicros(reserved),
			Burst: s.Burst, HeldBurst: fromMicros(s.held.burst + s.quarantined.burst + reservedBurst), Binding: free >= 0 && burst >= 0,
		}
	}
	return out
}
