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

// demandTolerance is the change of a demand, as a fraction of the greater one, that changes
// no share.
const demandTolerance = 0.1

// AllocationTable is the replicated side of the budgets. It is not safe for concurrent use.
// Its methods take the fleet time, which must not run backward; an earlier one counts as
// the last.
type AllocationTable struct {
	storedState
	activeHolders map[string]*holder // the incarnation in force, by process
	nextDue       time.Duration      // no lease, quarantine or seat turn ends before
	policy        DivisionPolicy
	grantTwice    bool // the injected fault

	claims     []Claim // scratch space of a division, with shares and candidates
	shares     []float64
	candidates []int
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

// budgetState is a budget with what has been granted of it.
type budgetState struct {
	Budget
	Quarantines   []quarantine  `cbor:"Rests"`
	DividedAt     time.Duration `cbor:"Divided"` // fleet time of the last division
	SeatTurnAt    time.Duration `cbor:"Turn"`    // when those without a seat get theirs; 0: all have one
	NeedsDivision bool          `cbor:"Dirty"`   // something has changed since

	held, quarantined totals
}

// totals are exact sums, which are updated with each change and do not drift.
type totals struct {
	amount, burst int64
	floors        int
}

// quarantine is what nobody holds and nobody may get yet.
type quarantine struct {
	_             struct{} `cbor:",toarray"`
	Amount, Burst int64
	Floor         bool // of a floor's slot
	Until         time.Duration
}

// holder is one incarnation of a process.
type holder struct {
	_                 struct{} `cbor:",toarray"`
	Process           string
	Incarnation       uint64
	LeaseEnd          time.Duration // of its lease
	AcknowledgedGrant uint64        // number of the grant that it has applied
	OfferedGrant      uint64        // number of the grant offered to it; nothing new is offered before it is acknowledged
	Superseded        bool          // a newer incarnation has joined
	Allocations       []allocation  // one for each budget, in their order
}

// allocation is what one holder has of one budget.
type allocation struct {
	_                     struct{} `cbor:",toarray"`
	Demand                float64  // that the division uses
	InFlight              int64    // InFlight budgets: as reported
	Latest                time.Duration
	Acknowledged, Offered allotment
	Due, DueBurst         int64         // what the division assigned, without the floor; with DueBurst
	Seated                bool          // has a seat, where there are fewer seats than holders
	Since                 time.Duration // of Seated, or of its lack
}

// allotment is what is offered or acknowledged, in millionths.
type allotment struct {
	_                         struct{} `cbor:",toarray"`
	Amount, Burst, Floor      int64
	FloorDuration, SettleTime time.Duration
}

// componentMax returns the componentwise maximum.
func (p allotment) componentMax(q allotment) allotment {
	return allotment{
		Amount: max(p.Amount, q.Amount), Burst: max(p.Burst, q.Burst), Floor: max(p.Floor, q.Floor),
		FloorDuration: max(p.FloorDuration, q.FloorDuration), SettleTime: max(p.SettleTime, q.SettleTime),
	}
}

// upperBound returns the most that the holder may be using.
func (l *allocation) upperBound() allotment {
	p := l.Acknowledged.componentMax(l.Offered)
	p.Amount = max(p.Amount, l.InFlight)
	return p
}

// hasFloor reports whether the holder has a floor's slot, or may believe so.
func (l *allocation) hasFloor() bool { return l.upperBound().Floor > 0 }

// NewAllocationTable returns a table without budgets, at fleet time 0. Until it is
// configured, renewals are granted with a lease of 0.
func NewAllocationTable() *AllocationTable { return NewAllocationTableWith(MaxMin) }

// NewAllocationTableWith returns a table with another division policy, for studies. All
// replicas must have the same.
func NewAllocationTableWith(way DivisionPolicy) *AllocationTable {
	return &AllocationTable{storedState: storedState{Version: stateVersion}, activeHolders: map[string]*holder{}, nextDue: math.MaxInt64, policy: way, grantTwice: faultGrantTwice}
}

// Configure sets the lease duration and the budgets. A budget that exists keeps its shares:
// a lowered total binds once the holders above it have acknowledged less, or are gone, and
// nothing grows before. Of a new InFlight or Divided budget each holder counts as holding
// the total until it has acknowledged, since it may have anything in flight. If the
// configuration is invalid, nothing changes.
func (b *AllocationTable) Configure(at time.Duration, c Config) error {
	if err := c.Check(); err != nil {
		return fmt.Errorf("configuring the fleet's budgets: %w", err)
	}
	b.expireDue(at)
	next := make([]*budgetState, 0, len(c.Budgets))
	for _, budget := range c.Budgets {
		s := &budgetState{Budget: budget, NeedsDivision: true, DividedAt: -DivisionInterval}
		if i := b.budgetIndex(budget.Name); i >= 0 && b.Budgets[i].Kind == budget.Kind {
			s.Quarantines = b.Budgets[i].Quarantines
		}
		next = append(next, s)
	}
	slices.SortFunc(next, func(x, y *budgetState) int { return strings.Compare(x.Name, y.Name) })
	if len(b.Holders) > 0 {
		b.LastGrant++
	}
	for _, h := range b.Holders {
		lines := make([]allocation, len(next))
		for i, s := range next {
			l := &lines[i]
			if k := b.budgetIndex(s.Name); k >= 0 && b.Budgets[k].Kind == s.Kind {
				// It may be using what is bound or what was offered: both count on.
				*l = h.Allocations[k]
				l.Acknowledged = l.Acknowledged.componentMax(l.Offered)
				l.Offered = l.Acknowledged
			} else if s.Kind != Rate {
				l.Acknowledged = allotment{Amount: toMicros(s.Total), SettleTime: s.SettleTime}
			}
		}
		h.Allocations, h.OfferedGrant = lines, b.LastGrant
	}
	b.Lease, b.Budgets = c.Lease, next
	b.rebuildTotals()
	return nil
}

// budgetIndex returns a budget's index, or -1.
func (b *AllocationTable) budgetIndex(name string) int {
	i, ok := slices.BinarySearchFunc(b.Budgets, name, func(s *budgetState, name string) int { return strings.Compare(s.Name, name) })
	if !ok {
		return -1
	}
	return i
}

// holderIndex returns where a holder is, or belongs.
func (b *AllocationTable) holderIndex(process string, incarnation uint64) (int, bool) {
	return slices.BinarySearchFunc(b.Holders, process, func(h *holder, _ string) int {
		return cmp.Or(strings.Compare(h.Process, process), cmp.Compare(h.Incarnation, incarnation))
	})
}

// Renew extends a process's lease, takes in its acknowledgement and its demands, and
// returns its shares. A renewal may arrive late, twice, or after a newer one. A new
// incarnation begins with nothing; what the older one holds stays taken until its lease
// expires.
//
// A change is offered only once the last one is acknowledged, so that a holder uses one of
// two allotments at most: what a share has lost is available with the renewal after the one
// that announced it. Renewals in between get the same answer.
//
// So a process with demand has a share within three renewals, of the others and its own: it
// asks, and the budget is divided within DivisionInterval; the others are told to shrink by
// their next renewal and acknowledge at once (Allowance.NextRenewal); and it gets what is
// available by its next. That is two thirds of a lease plus the network delays, where there
// are as many seats (of a Rate's burst, or whole jobs in flight) as processes with demand;
// where there are fewer, processes take turns of two leases.
func (b *AllocationTable) Renew(at time.Duration, r Renewal) (Grant, error) {
	if r.Process == "" || r.Incarnation == 0 {
		return Grant{}, fmt.Errorf("renewing %q, %d: %w", r.Process, r.Incarnation, ErrNoName)
	}
	if b.isFenced(r.Process, r.Incarnation) {
		return Grant{}, fmt.Errorf("renewing %q, %d: %w", r.Process, r.Incarnation, ErrFenced)
	}
	for _, s := range b.Budgets {
		u := r.Usage[s.Name]
		if !(u.Demand >= 0 && u.Demand <= maxTotal && u.InFlight >= 0 && u.InFlight <= maxTotal && u.MaxRemaining >= 0) {
			return Grant{}, fmt.Errorf("renewing %q, %d: use of budget %q: below 0, no number or above %v: %+v", r.Process, r.Incarnation, s.Name, maxTotal, u)
		}
	}
	b.expireDue(at)
	h := b.activeHolders[r.Process]
	if h == nil || h.Incarnation < r.Incarnation {
		h = b.addHolder(r)
	}
	h.LeaseEnd = max(h.LeaseEnd, b.Now+b.Lease)
	b.nextDue = min(b.nextDue, h.LeaseEnd)
	b.acknowledge(h, r)
	b.divideChanged()
	return b.grant(h), nil
}

// isFenced reports whether a newer incarnation exists, or has existed during this one's
// lease.
func (b *AllocationTable) isFenced(process string, incarnation uint64) bool {
	if h := b.activeHolders[process]; h != nil && h.Incarnation > incarnation {
		return true
	}
	i, ok := b.holderIndex(process, incarnation)
	return ok && b.Holders[i].Superseded
}

func (b *AllocationTable) addHolder(r Renewal) *holder {
	if old := b.activeHolders[r.Process]; old != nil {
		old.Superseded = true
		if b.grantTwice {
			b.expireHolder(old, false)
		}
	}
	h := &holder{Process: r.Process, Incarnation: r.Incarnation, Allocations: make([]allocation, len(b.Budgets))}
	i, _ := b.holderIndex(r.Process, r.Incarnation)
	b.Holders = slices.Insert(b.Holders, i, h)
	b.activeHolders[r.Process] = h
	for i, s := range b.Budgets {
		h.Allocations[i].Since = b.Now
		s.NeedsDivision = true
	}
	return h
}

// acknowledge takes in what a renewal reports. One that is older than what was acknowledged
// has no news. What is in flight above the amount can only fall, since nothing is begun
// above it, so that the least reported since counts.
func (b *AllocationTable) acknowledge(h *holder, r Renewal) {
	if r.AppliedGrant < h.AcknowledgedGrant {
		return
	}
	fresh := r.AppliedGrant == h.OfferedGrant && h.AcknowledgedGrant != h.OfferedGrant
	for i, s := range b.Budgets {
		l, u := &h.Allocations[i], r.Usage[s.Name]
		b.updateAllocation(s, l, func() {
			under := toMicros(u.InFlight)
			if s.Kind == InFlight && (fresh || h.OfferedGrant == 0 || under < l.InFlight) {
				l.InFlight = under
			}
			if fresh {
				before := l.upperBound().Amount
				l.Acknowledged = l.Offered
				if freed := before - l.upperBound().Amount; freed > 0 && s.Kind == Divided {
					until := b.Now + quarantineSpan(max(s.SettleTime, l.Acknowledged.SettleTime))
					s.addQuarantine(quarantine{Amount: freed, Until: until})
					b.nextDue = min(b.nextDue, until)
				}
			}
		})
		l.Latest = max(l.Latest, b.Now+quarantineSpan(u.MaxRemaining))
		if l.Demand != u.Demand && (math.Abs(l.Demand-u.Demand) > demandTolerance*max(l.Demand, u.Demand)) {
			l.Demand, s.NeedsDivision = u.Demand, true
		}
	}
	if fresh {
		h.AcknowledgedGrant = h.OfferedGrant
	}
}

// updateAllocation changes an allocation and keeps the totals up to date.
func (b *AllocationTable) updateAllocation(s *budgetState, l *allocation, do func()) {
	s.held.add(l, -1)
	do()
	s.held.add(l, 1)
}

func (s *totals) add(l *allocation, sign int64) {
	p := l.upperBound()
	s.amount += sign * p.Amount
	s.burst += sign * p.Burst
	if p.Floor > 0 {
		s.floors += int(sign)
	}
}

func (s *totals) addQuarantine(r quarantine, sign int64) {
	s.amount += sign * r.Amount
	s.burst += sign * r.Burst
	if r.Floor {
		s.floors += int(sign)
	}
}

func (s *budgetState) addQuarantine(r quarantine) {
	if r.Amount > 0 || r.Burst > 0 || r.Floor {
		s.Quarantines = append(s.Quarantines, r)
		s.quarantined.addQuarantine(r, 1)
	}
}

// reservedFloors returns what is reserved for the floor slots that nobody has.
func (s *budgetState) reservedFloors() (amount, burst int64, slots int) {
	slots = max(s.FloorSlots-s.held.floors-s.quarantined.floors, 0)
	if s.Floor == 0 {
		slots = 0
	}
	return int64(slots) * toMicros(s.Floor), int64(slots) * s.burstPerFloor(), slots
}

// available returns what may be granted now; it is below 0 while a lowered total does not
// bind yet.
func (s *budgetState) available() (amount, burst int64) {
	amount, burst, _ = s.reservedFloors()
	return toMicros(s.Total) - amount - s.held.amount - s.quarantined.amount,
		toMicros(s.Burst) - burst - s.held.burst - s.quarantined.burst
}

// grant offers a holder what is due to it, as far as it is available, and returns the
// answer to its renewal.
func (b *AllocationTable) grant(h *holder) Grant {
	g := Grant{Process: h.Process, Incarnation: h.Incarnation, Lease: b.Lease, Shares: make([]Share, len(b.Budgets))}
	if h.OfferedGrant == h.AcknowledgedGrant {
		changed := h.OfferedGrant == 0
		for i, s := range b.Budgets {
			l := &h.Allocations[i]
			b.updateAllocation(s, l, func() { changed = s.offer(l) || changed })
		}
		if changed {
			b.LastGrant++
			h.OfferedGrant = b.LastGrant
		}
	}
	g.Number = h.OfferedGrant
	for i, s := range b.Budgets {
		l := &h.Allocations[i]
		o := l.Offered
		g.Shares[i] = Share{
			Name: s.Name, Kind: s.Kind, Amount: fromMicros(o.Amount), Burst: fromMicros(o.Burst),
			Floor: fromMicros(o.Floor), FloorDuration: o.FloorDuration, SettleTime: o.SettleTime,
		}
		waits := s.NeedsDivision && l.Due == 0 && l.Demand > 0 // not divided since it asked
		if waits || s.Kind != Divided && float64(o.Amount) < (1-demandTolerance)*float64(l.Due+o.Floor) {
			g.RenewSoon = true
		}
	}
	return g
}

// offer sets what is offered to a holder that has acknowledged everything, and reports
// whether that is a change. The allocation must not be in the totals meanwhile.
func (s *budgetState) offer(l *allocation) bool {
	held, next, slot := l.upperBound(), allotment{SettleTime: s.SettleTime}, 0
	free, burst := s.available()
	if others := s.held.floors + s.quarantined.floors; s.Floor > 0 && others < s.FloorSlots && (held.Floor > 0 || free >= 0 && burst >= 0) {
		slot = 1 // its part of what is set aside is free, for it
		next.Floor, next.FloorDuration = toMicros(s.Floor), s.FloorDuration
	}
	s.NeedsDivision = s.NeedsDivision || (slot > 0) != (held.Floor > 0)
	s.held.floors += slot
	free, burst = s.available()
	s.held.floors -= slot
	// What is under way above the amount backs no growth: it may be counted twice
	// (a process that came back says what rests from its last lease already).
	next.Amount = min(l.Due+next.Floor, max(l.Acknowledged.Amount, free))
	next.Floor = min(next.Floor, next.Amount)
	switch s.Kind {
	case Rate:
		next.Burst = min(l.DueBurst+int64(slot)*s.burstPerFloor(), max(l.Acknowledged.Burst, burst))
		if next.Burst < microsPerUnit {
			next.Burst = 0
		}
	case InFlight:
		next.Amount -= next.Amount % microsPerUnit
	}
	changed := next != l.Acknowledged
	l.Offered = next
	return changed
}

// Leave processes a planned shutdown. The process has closed its Allowance before: what it
// held of a Rate is available at once, what it left in flight is quarantined until its
// latest deadline, and its parts of Divided budgets for SettleTime. A budget that left does
// not name is treated as if the process had failed now. An unknown process is no error,
// since the call may arrive twice.
func (b *AllocationTable) Leave(at time.Duration, process string, incarnation uint64, left map[string]Departure) error {
	if process == "" || incarnation == 0 {
		return fmt.Errorf("leaving of %q, %d: %w", process, incarnation, ErrNoName)
	}
	for _, s := range b.Budgets {
		if l := left[s.Name]; !(l.InFlight >= 0 && l.InFlight <= maxTotal && l.MaxRemaining >= 0) {
			return fmt.Errorf("leaving of %q, %d: budget %q: below 0, no number or above %v: %+v", process, incarnation, s.Name, maxTotal, l)
		}
	}
	b.expireDue(at)
	i, ok := b.holderIndex(process, incarnation)
	if !ok {
		return nil
	}
	h := b.Holders[i]
	for k, s := range b.Budgets {
		held := h.Allocations[k].upperBound()
		u, told := left[s.Name]
		switch {
		case s.Kind == Divided || s.Kind == InFlight && !told:
			s.addQuarantine(quarantine{Amount: held.Amount, Until: b.Now + quarantineSpan(max(held.SettleTime, s.SettleTime))})
		case s.Kind == InFlight:
			s.addQuarantine(quarantine{Amount: toMicros(u.InFlight), Until: b.Now + quarantineSpan(u.MaxRemaining)})
		}
	}
	b.removeHolder(h)
	return nil
}

// expireHolder removes a holder whose lease has expired. It may go on with its floor for
// FloorDuration; jobs that it has begun by then last for SettleTime more at most, and what
// it used of a Divided budget counts for as long.
func (b *AllocationTable) expireHolder(h *holder, lasting bool) {
	for i, s := range b.Budgets {
		l := &h.Allocations[i]
		p := l.upperBound()
		linger := quarantineSpan(max(p.SettleTime, s.SettleTime))
		if s.Kind == Rate {
			linger = 0
		}
		floor, cut := quarantine{}, h.LeaseEnd
		if p.Floor > 0 && p.FloorDuration > 0 {
			cut += p.FloorDuration
			floor = quarantine{Amount: min(p.Floor, p.Amount), Burst: min(p.Burst, microsPerUnit), Floor: true, Until: cut + linger}
		}
		if lasting {
			s.addQuarantine(floor)
			if s.Kind != Rate {
				s.addQuarantine(quarantine{Amount: p.Amount - floor.Amount, Until: max(h.LeaseEnd+linger, l.Latest)})
			}
		}
	}
	b.removeHolder(h)
}

func (b *AllocationTable) removeHolder(h *holder) {
	for i, s := range b.Budgets {
		s.held.add(&h.Allocations[i], -1)
		s.NeedsDivision = true
	}
	i, _ := b.holderIndex(h.Process, h.Incarnation)
	b.Holders = slices.Delete(b.Holders, i, i+1)
	if b.activeHolders[h.Process] == h {
		delete(b.activeHolders, h.Process)
	}
	b.nextDue = min(b.nextDue, b.Now) // rests may be due
}

// Advance moves the fleet time: leases expire, quarantines end, and changed budgets are
// divided. Without a change, and before NextDue, it does nothing.
func (b *AllocationTable) Advance(at time.Duration) {
	b.expireDue(at)
	b.divideChanged()
}

// expireDue ends the leases, quarantines and seat turns that are due. A quarantine may
// already be over when it is added; it is then dropped in the same call.
func (b *AllocationTable) expireDue(at time.Duration) {
	b.Now = max(b.Now, at)
	if b.nextDue > b.Now {
		return
	}
	for i := 0; i < len(b.Holders); {
		if h := b.Holders[i]; h.LeaseEnd <= b.Now {
			b.expireHolder(h, true)
			continue
		}
		i++
	}
	b.nextDue = math.MaxInt64
	for _, h := range b.Holders {
		b.nextDue = min(b.nextDue, h.LeaseEnd)
	}
	for _, s := range b.Budgets {
		s.Quarantines = slices.DeleteFunc(s.Quarantines, func(r quarantine) bool {
			if r.Until > b.Now {
				b.nextDue = min(b.nextDue, r.Until)
				return false
			}
			s.quarantined.addQuarantine(r, -1)
			s.NeedsDivision = true
			return true
		})
		if s.SeatTurnAt > 0 && s.SeatTurnAt <= b.Now {
			s.SeatTurnAt, s.NeedsDivision = 0, true
		}
		if s.SeatTurnAt > 0 {
			b.nextDue = min(b.nextDue, s.SeatTurnAt)
		}
	}
}

// BudgetStatus describes a budget, for metrics and checks.
type BudgetStatus struct {
	Name                           string
	Whole, Held, Resting, SetAside float64
	Burst, HeldBurst               float64 // HeldBurst includes what is quarantined and reserved
	Bound                          bool    // the total binds: no more than it is held
}

// Status describes the budgets, sorted by name.
func (b *AllocationTable) Status() []BudgetStatus {
	out := make([]BudgetStatus, len(b.Budgets))
	for i, s := range b.Budgets {
		aside, asideBurst, _ := s.reservedFloors()
		free, burst := s.available()
		out[i] = BudgetStatus{
			Name: s.Name, Whole: s.Total, Held: fromMicros(s.held.amount), Resting: fromMicros(s.quarantined.amount), SetAside: fromMicros(aside),
			Burst: s.Burst, HeldBurst: fromMicros(s.held.burst + s.quarantined.burst + asideBurst), Bound: free >= 0 && burst >= 0,
		}
	}
	return out
}
