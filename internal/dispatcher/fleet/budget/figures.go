package budget

import (
	"fmt"
	"slices"
	"time"
)

// RejectionReason is why a tap turned something away, for the account and the logs.
type RejectionReason uint8

// The reasons.
const (
	ReasonNone         RejectionReason = iota // it would let one through now
	ReasonNoShare                             // there is none: no grant told of one yet, or its amount is 0
	ReasonExhausted                           // the share, or the floor, is used up
	ReasonLeaseExpired                        // the lease is over, and the floor too
	ReasonTooLong                             // the job may last longer than the budget's Linger
	ReasonWrongKind                           // asked as another kind of budget than it is
)

var reasonNames = [...]string{"admits", "no share", "share spent", "cut off from the fleet", "longer than the budget lingers", "a budget of another kind"}

// String is a reason in words.
func (r RejectionReason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

// RejectionReason is why one more would be turned away at now, of a kind, lasting so long
// (UnderWay). It is asked after a refusal and changes nothing; by then one more may
// be admitted.
func (t *TokenBucket) RejectionReason(now time.Duration, kind Kind, lasts time.Duration) RejectionReason {
	s := t.terms.Load()
	switch {
	case s == &unlimited:
		return ReasonNone
	case s == &blocked:
		return ReasonNoShare
	case s.kind != kind:
		return ReasonWrongKind
	case now >= s.floorEnd:
		return ReasonLeaseExpired
	case s.amountAt(now) <= 0:
		return ReasonNoShare
	case kind == InFlight && lasts > s.linger:
		return ReasonTooLong
	case kind == InFlight && float64(t.inFlight.Load()+1) > s.amountAt(now):
		return ReasonExhausted
	case kind == Rate && t.taken.Load() >= t.ceiling.Load():
		return ReasonExhausted
	}
	return ReasonNone
}

// Mode is what a process spends at the moment.
type Mode uint8

// The modes.
const (
	Unbounded Mode = iota // the budget does not exist, as far as is known
	OnShare
	OnFloor
	OnNothing
)

var modeNames = [...]string{"unbounded", "share", "floor", "nothing"}

// String is a mode in a word.
func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return fmt.Sprintf("mode %d", uint8(m))
}

// BucketStatus is how one budget stands at this process.
type BucketStatus struct {
	Name     string
	Kind     Kind
	Mode     Mode
	Amount   float64       // that may be used now; 0 where unbounded
	ValidFor time.Duration // until that ends, without another grant; 0: it has, or never will
	Admitted int64         // since the start
	Rejected int64         // turned away since the start
	InFlight int64
	Demand   float64 // as last told
}

// Status tells how the budgets stand here at now, by name.
func (p *Allowance) Status(now time.Duration) []BucketStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]BucketStatus, 0, len(p.names))
	for _, n := range slices.Sorted(slices.Values(p.names)) {
		t := p.buckets[n]
		s := t.terms.Load()
		f := BucketStatus{
			Name: n, Kind: s.kind, Admitted: t.taken.Load() + t.begun.Load(), Rejected: t.rejected.Load(),
			InFlight: t.inFlight.Load(), Demand: t.reportedDemand, Amount: s.amountAt(now),
		}
		switch {
		case s == &unlimited:
			f.Amount = 0
		case now < s.leaseEnd:
			f.Mode, f.ValidFor = OnShare, s.leaseEnd-now
		case now < s.floorEnd:
			f.Mode, f.ValidFor = OnFloor, s.floorEnd-now
		default:
			f.Mode = OnNothing
		}
		out = append(out, f)
	}
	return out
}

// HolderStatus is what one incarnation of a process holds of a budget.
type HolderStatus struct {
	Process      string
	Incarnation  uint64
	Ends         time.Duration // of its lease, in fleet time
	Fenced       bool          // a newer incarnation is there: it gets nothing more
	Acknowledged bool          // it has applied the last grant
	Held         float64       // the most that it may be using
	Offered, Due float64       // what the last grant says, and what the division says
	Floor        bool
	Demand       float64
}

// HolderStatuses tells who holds what of a budget, by process and incarnation; none for a name
// that there is not.
func (b *AllocationTable) HolderStatuses(name string) []HolderStatus {
	i := b.budgetIndex(name)
	if i < 0 {
		return nil
	}
	out := make([]HolderStatus, len(b.Holders))
	for k, h := range b.Holders {
		l := &h.Allocations[i]
		out[k] = HolderStatus{
			Process: h.Process, Incarnation: h.Incarnation, Ends: h.LeaseEnd, Fenced: h.Superseded, Acknowledged: h.AcknowledgedGrant == h.OfferedGrant,
			Held: fromMicros(l.upperBound().Amount), Offered: fromMicros(l.Offered.Amount), Due: fromMicros(l.Due + l.Offered.Floor),
			Floor: l.hasFloor(), Demand: l.Demand,
		}
	}
	return out
}

// NextDue is the fleet time from which Advance has something to do, at the earliest. A leader
// need not put an Advance into the log before; it may well have nothing to do then.
func (b *AllocationTable) NextDue() time.Duration {
	due := b.nextDue
	for _, s := range b.Budgets {
		if s.NeedsDivision {
			due = min(due, s.DividedAt+DivisionInterval)
		}
	}
	return due
}
