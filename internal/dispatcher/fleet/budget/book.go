package budget

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// DivisionInterval is how often, in fleet time, a budget is divided anew at most.
const DivisionInterval = 100 * time.Millisecond

// demandTolerance is the change of a demand, as a part of the greater one, that changes no share.
const demandTolerance = 0.1

// AllocationTable is the replicated side of the budgets. It is no goroutine's own: who
// applies the commands calls it, one call at a time, with a fleet time that does
// not run backward (an earlier one counts as the last).
type AllocationTable struct {
	storedState
	activeHolders map[string]*holder // the incarnation in force, by process
	nextDue       time.Duration      // no lease, rest or turn ends before
	policy        DivisionPolicy
	grantTwice    bool // the planted bug

	claims     []Claim // kept for the next division
	shares     []float64
	candidates []int
}

// storedState is what is encoded. The sums that Book keeps beside it follow from it.
type storedState struct {
	Version   uint64
	Now       time.Duration `cbor:"At"`
	Lease     time.Duration
	LastGrant uint64 `cbor:"Number"` // the last grant number given
	Budgets   []*budgetState
	Holders   []*holder // by process, then incarnation
}

// budgetState is a budget with what it has given.
type budgetState struct {
	Budget
	Quarantines   []quarantine  `cbor:"Rests"`
	DividedAt     time.Duration `cbor:"Divided"` // when last
	SeatTurnAt    time.Duration `cbor:"Turn"`    // when those without a seat get theirs; 0: all have one
	NeedsDivision bool          `cbor:"Dirty"`   // something changed since

	held, quarantined totals
}

// totals are exact, so they are kept along and do not drift.
type totals struct {
	amount, burst int64
	floors        int
}

// quarantine is what nobody holds and nobody may have yet.
type quarantine struct {
	_             struct{} `cbor:",toarray"`
	Amount, Burst int64
	Floor         bool // a floor's slot
	Until         time.Duration
}

// holder is one incarnation of a process.
type holder struct {
	_                 struct{} `cbor:",toarray"`
	Process           string
	Incarnation       uint64
	LeaseEnd          time.Duration // of its lease
	AcknowledgedGrant uint64        // the number it has acknowledged
	OfferedGrant      uint64        // the number offered to it; nothing new is offered before it is acknowledged
	Superseded        bool          // a newer incarnation is there
	Allocations       []allocation  // one a budget, in their order
}

// allocation is what one holder has of one budget.
type allocation struct {
	_                     struct{} `cbor:",toarray"`
	Demand                float64  // what the division counts with
	InFlight              int64    // UnderWay: what it said is under way
	Latest                time.Duration
	Acknowledged, Offered allotment
	Due, DueBurst         int64 // what the division says, without the floor
	Seated                bool  // has a seat, where there are fewer than holders
	Since                 time.Duration
}

// allotment is what is offered or bound, in millionths.
type allotment struct {
	_                         struct{} `cbor:",toarray"`
	Amount, Burst, Floor      int64
	FloorDuration, SettleTime time.Duration
}

func (p allotment) componentMax(q allotment) allotment {
	return allotment{
		Amount: max(p.Amount, q.Amount), Burst: max(p.Burst, q.Burst), Floor: max(p.Floor, q.Floor),
		FloorDuration: max(p.FloorDuration, q.FloorDuration), SettleTime: max(p.SettleTime, q.SettleTime),
	}
}

// upperBound is the upper bound of what the holder may be using.
func (l *allocation) upperBound() allotment {
	p := l.Acknowledged.componentMax(l.Offered)
	p.Amount = max(p.Amount, l.InFlight)
	return p
}

// hasFloor tells whether it has a floor's slot, or may think so.
func (l *allocation) hasFloor() bool { return l.upperBound().Floor > 0 }

// NewAllocationTable returns a book without budgets, at fleet time 0. Until it is
// configured, renewals are granted for no time at all.
func NewAllocationTable() *AllocationTable { return NewAllocationTableWith(MaxMin) }

// NewAllocationTableWith returns a book that divides another way, for studies. All replicas divide alike.
func NewAllocationTableWith(way DivisionPolicy) *AllocationTable {
	return &AllocationTable{storedState: storedState{Version: stateVersion}, activeHolders: map[string]*holder{}, nextDue: math.MaxInt64, policy: way, grantTwice: faultGrantTwice}
}

// Configure sets the lease's length and the budgets. A budget that is there
// already keeps its shares: a lowered whole binds once those that hold more have
// acknowledged less, or are gone, and nothing grows before. Of a new
// one that counts what lasts (UnderWay, Part) each process there counts as holding the whole
// until it has acknowledged: it may have anything under way. With a bad
// figure nothing changes.
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

func (b *AllocationTable) budgetIndex(name string) int {
	i, ok := slices.BinarySearchFunc(b.Budgets, name, func(s *budgetState, name string) int { return strings.Compare(s.Name, name) })
	if !ok {
		return -1
	}
	return i
}

func (b *AllocationTable) holderIndex(process string, incarnation uint64) (int, bool) {
	return slices.BinarySearchFunc(b.Holders, process, func(h *holder, _ string) int {
		return cmp.Or(strings.Compare(h.Process, process), cmp.Compare(h.Incarnation, incarnation))
	})
}

// Renew extends a process's lease, takes in what it acknowledges and asks for,
// and answers with its shares. A renewal may come late, twice, or after a newer
// one. A new incarnation begins with nothing; what the older one holds stays
// taken until its lease's end.
//
// A change is offered only once the last one is acknowledged, so that a holder uses
// one of two pieces at most: a share that shrinks is free with the renewal
// after the one that told it. The answer is the same for renewals between.
//
// So a process with demand has a share within three renewals of others and its own:
// it asks (and the budget is divided within Interval), the others are told to
// shrink by their next renewal and acknowledge at once (Purse.Due), and it gets what
// is free by its next. That is two thirds of a lease and the calls' trips, where
// there are as many seats (Burst; whole jobs under way) as processes with demand;
// where there are fewer they take turns of two leases.
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

// isFenced tells whether a newer incarnation is there, or was while this one's
// lease went on.
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

// acknowledge takes in what a renewal says. One that is older than what was
// acknowledged says nothing new. What is under way above the amount can only fall, as
// nothing is begun above it: so the least that was said since counts.
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

// updateAllocation keeps the sums along with what do does to a line.
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

// reservedFloors is what is set aside for the slots that nobody has.
func (s *budgetState) reservedFloors() (amount, burst int64, slots int) {
	slots = max(s.FloorSlots-s.held.floors-s.quarantined.floors, 0)
	if s.Floor == 0 {
		slots = 0
	}
	return int64(slots) * toMicros(s.Floor), int64(slots) * s.burstPerFloor(), slots
}

// available is what may be given now; below 0 while a lowered whole does not bind yet.
func (s *budgetState) available() (amount, burst int64) {
	amount, burst, _ = s.reservedFloors()
	return toMicros(s.Total) - amount - s.held.amount - s.quarantined.amount,
		toMicros(s.Burst) - burst - s.held.burst - s.quarantined.burst
}

// grant offers a holder what is due to it, as far as it is free, and answers.
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

// offer sets what is offered to a holder that has acknowledged everything; it
// tells whether that is a change. Its line is out of the sums meanwhile.
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

// Leave ends a process as planned. It has closed its Purse before: what it held
// of a Rate is free at once, what it left under way rests until its latest deadline, and
// its parts rest for Linger. A budget that left does not name rests as if the process had
// died now. A process that is not there is no error: the call may come twice.
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

// expireHolder ends a holder whose lease is over. It may go on with its floor for
// FloorFor; jobs that it began by then last for Linger more at most, and what it
// used of a part counts for as long.
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

// Advance takes in that fleet time is at: leases end, what rests is free, and
// what changed is divided anew. Without a change, and before anything is due, it
// does nothing.
func (b *AllocationTable) Advance(at time.Duration) {
	b.expireDue(at)
	b.divideChanged()
}

// expireDue ends what is due. A rest may be of before: one that is over is dropped in the same call.
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

// BudgetStatus is how a budget stands, for figures and checks.
type BudgetStatus struct {
	Name                           string
	Whole, Held, Resting, SetAside float64
	Burst, HeldBurst               float64 // with what rests and is set aside
	Bound                          bool    // the whole binds: no more is held than it
}

// Status tells how each budget stands, by name.
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
