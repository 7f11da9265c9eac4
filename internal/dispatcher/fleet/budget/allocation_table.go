package budget

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// DivisionInterval is how often a budget is divided at most, in fleet time.
const DivisionInterval = 100 * time.Millisecond

// demandTolerance is the greatest change of a demand, as a fraction of the greater value,
// that changes no share.
const demandTolerance = 0.1

// AllocationTable is the replicated state of the budgets. It is not safe for concurrent
// use. Its methods take the fleet time; a time before the latest one counts as the latest.
type AllocationTable struct {
	storedState
	activeHolders map[string]*holder // the newest incarnation, by process
	nextDue       time.Duration      // no lease, quarantine or seat turn ends before this fleet time
	policy        DivisionPolicy
	grantTwice    bool // the injected fault

	claims     []Claim // scratch space of a division, with shares and candidates
	shares     []float64
	candidates []int
}

// budgetState is a budget with what has been granted of it.
type budgetState struct {
	Budget
	Quarantines   []quarantine  `cbor:"Rests"`
	DividedAt     time.Duration `cbor:"Divided"` // fleet time of the last division
	SeatTurnAt    time.Duration `cbor:"Turn"`    // when seats are assigned anew; 0: no holder waits for one
	NeedsDivision bool          `cbor:"Dirty"`   // something has changed since the last division

	held, quarantined totals
}

// NewAllocationTable returns a table without budgets, at fleet time 0. Until it is
// configured, renewals are granted with a lease of 0.
func NewAllocationTable() *AllocationTable { return NewAllocationTableWith(MaxMin) }

// NewAllocationTableWith returns a table with another division policy, for studies. All
// replicas must have the same policy.
func NewAllocationTableWith(divisionPolicy DivisionPolicy) *AllocationTable {
	return &AllocationTable{
		storedState: storedState{Version: stateVersion}, activeHolders: map[string]*holder{}, nextDue: math.MaxInt64,
		policy: divisionPolicy, grantTwice: faultGrantTwice,
	}
}

// Configure sets the lease duration and the budgets. A budget that exists keeps its shares:
// a lowered total takes effect once the holders have acknowledged smaller shares, or are
// gone, and no share grows before. Each holder counts as holding the total of a new
// InFlight or Divided budget until it has acknowledged a grant, since it may have any
// number of jobs in flight. If the configuration is invalid, nothing changes.
func (t *AllocationTable) Configure(at time.Duration, c Config) error {
	if err := c.Check(); err != nil {
		return fmt.Errorf("configuring the fleet's budgets: %w", err)
	}
	t.expireDue(at)
	next := make([]*budgetState, 0, len(c.Budgets))
	for _, budget := range c.Budgets {
		s := &budgetState{Budget: budget, NeedsDivision: true, DividedAt: -DivisionInterval}
		if i := t.budgetIndex(budget.Name); i >= 0 && t.Budgets[i].Kind == budget.Kind {
			s.Quarantines = t.Budgets[i].Quarantines
		}
		next = append(next, s)
	}
	slices.SortFunc(next, func(x, y *budgetState) int { return strings.Compare(x.Name, y.Name) })
	if len(t.Holders) > 0 {
		t.LastGrant++
	}
	for _, h := range t.Holders {
		allocations := make([]allocation, len(next))
		for i, s := range next {
			l := &allocations[i]
			if k := t.budgetIndex(s.Name); k >= 0 && t.Budgets[k].Kind == s.Kind {
				// It may be using what it acknowledged or what was offered: both still count.
				*l = h.Allocations[k]
				l.Acknowledged = l.Acknowledged.componentMax(l.Offered)
				l.Offered = l.Acknowledged
			} else if s.Kind != Rate {
				l.Acknowledged = allotment{Amount: toMicros(s.Total), SettleTime: s.SettleTime}
			}
		}
		h.Allocations, h.OfferedGrant = allocations, t.LastGrant
	}
	t.Lease, t.Budgets = c.Lease, next
	t.rebuildTotals()
	return nil
}

// budgetIndex returns a budget's index, or -1.
func (t *AllocationTable) budgetIndex(name string) int {
	i, ok := slices.BinarySearchFunc(t.Budgets, name, func(s *budgetState, name string) int { return strings.Compare(s.Name, name) })
	if !ok {
		return -1
	}
	return i
}

// holderIndex returns the index of a holder, or the index to insert it at, and whether it
// exists.
func (t *AllocationTable) holderIndex(process string, incarnation uint64) (int, bool) {
	return slices.BinarySearchFunc(t.Holders, process, func(h *holder, _ string) int {
		return cmp.Or(strings.Compare(h.Process, process), cmp.Compare(h.Incarnation, incarnation))
	})
}

// Renew extends a process's lease, applies its acknowledgement and its demands, and returns
// its shares. A renewal may arrive late, twice, or after a newer one. A new incarnation
// begins with nothing; what the older one holds stays in use until its lease expires.
//
// A change is offered only once the last one is acknowledged, so that a holder uses one of
// two allotments at most. What a share has lost is available with the renewal that follows
// the one that announced the loss. Renewals in between get the same answer.
//
// So a process with demand has a share within three renewals, the others' and its own.
// First it reports its demand, and the budget is divided within DivisionInterval. Then the
// others get smaller shares with their next renewals and acknowledge them at once
// (Allowance.NextRenewal). Last, its own next renewal is granted what is available. That
// takes two thirds of a lease plus the network delays if there are as many seats (of a
// Rate's burst, or whole jobs in flight) as processes with demand. If there are fewer,
// processes take turns of two leases.
func (t *AllocationTable) Renew(at time.Duration, r Renewal) (Grant, error) {
	if r.Process == "" || r.Incarnation == 0 {
		return Grant{}, fmt.Errorf("renewing %q, %d: %w", r.Process, r.Incarnation, ErrNoName)
	}
	if t.isFenced(r.Process, r.Incarnation) {
		return Grant{}, fmt.Errorf("renewing %q, %d: %w", r.Process, r.Incarnation, ErrFenced)
	}
	for _, s := range t.Budgets {
		u := r.Usage[s.Name]
		if !(u.Demand >= 0 && u.Demand <= maxTotal && u.InFlight >= 0 && u.InFlight <= maxTotal && u.MaxRemaining >= 0) {
			return Grant{}, fmt.Errorf("renewing %q, %d: use of budget %q: below 0, no number or above %v: %+v", r.Process, r.Incarnation, s.Name, maxTotal, u)
		}
	}
	t.expireDue(at)
	h := t.activeHolders[r.Process]
	if h == nil || h.Incarnation < r.Incarnation {
		h = t.addHolder(r)
	}
	h.LeaseEnd = max(h.LeaseEnd, t.Now+t.Lease)
	t.nextDue = min(t.nextDue, h.LeaseEnd)
	t.acknowledge(h, r)
	t.divideChanged()
	return t.grant(h), nil
}

// isFenced reports whether a newer incarnation exists, or existed during this one's lease.
func (t *AllocationTable) isFenced(process string, incarnation uint64) bool {
	if h := t.activeHolders[process]; h != nil && h.Incarnation > incarnation {
		return true
	}
	i, ok := t.holderIndex(process, incarnation)
	return ok && t.Holders[i].Superseded
}

func (t *AllocationTable) addHolder(r Renewal) *holder {
	if old := t.activeHolders[r.Process]; old != nil {
		old.Superseded = true
		if t.grantTwice {
			t.expireHolder(old, false)
		}
	}
	h := &holder{Process: r.Process, Incarnation: r.Incarnation, Allocations: make([]allocation, len(t.Budgets))}
	i, _ := t.holderIndex(r.Process, r.Incarnation)
	t.Holders = slices.Insert(t.Holders, i, h)
	t.activeHolders[r.Process] = h
	for i, s := range t.Budgets {
		h.Allocations[i].Since = t.Now
		s.NeedsDivision = true
	}
	return h
}

// acknowledge applies what a renewal reports. A renewal older than the last acknowledgement
// is ignored. The number of jobs in flight above the amount can only fall, since no job
// begins above it, so that the least number reported since the acknowledgement counts.
func (t *AllocationTable) acknowledge(h *holder, r Renewal) {
	if r.AppliedGrant < h.AcknowledgedGrant {
		return
	}
	fresh := r.AppliedGrant == h.OfferedGrant && h.AcknowledgedGrant != h.OfferedGrant
	for i, s := range t.Budgets {
		l, u := &h.Allocations[i], r.Usage[s.Name]
		t.updateAllocation(s, l, func() {
			inFlight := toMicros(u.InFlight)
			if s.Kind == InFlight && (fresh || h.OfferedGrant == 0 || inFlight < l.InFlight) {
				l.InFlight = inFlight
			}
			if fresh {
				before := l.upperBound().Amount
				l.Acknowledged = l.Offered
				if freed := before - l.upperBound().Amount; freed > 0 && s.Kind == Divided {
					until := t.Now + quarantineSpan(max(s.SettleTime, l.Acknowledged.SettleTime))
					s.addQuarantine(quarantine{Amount: freed, Until: until})
					t.nextDue = min(t.nextDue, until)
				}
			}
		})
		l.Latest = max(l.Latest, t.Now+quarantineSpan(u.MaxRemaining))
		if l.Demand != u.Demand && (math.Abs(l.Demand-u.Demand) > demandTolerance*max(l.Demand, u.Demand)) {
			l.Demand, s.NeedsDivision = u.Demand, true
		}
	}
	if fresh {
		h.AcknowledgedGrant = h.OfferedGrant
	}
}

// Advance advances the fleet time: leases expire, quarantines end, and changed budgets are
// divided. Without a change, and before NextDue, it does nothing.
func (t *AllocationTable) Advance(at time.Duration) {
	t.expireDue(at)
	t.divideChanged()
}

// NextDue returns the earliest fleet time at which Advance may have something to do. A
// leader need not propose an Advance before.
func (t *AllocationTable) NextDue() time.Duration {
	due := t.nextDue
	for _, s := range t.Budgets {
		if s.NeedsDivision {
			due = min(due, s.DividedAt+DivisionInterval)
		}
	}
	return due
}
