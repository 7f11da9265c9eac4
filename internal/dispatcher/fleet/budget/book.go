package budget

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Interval is how often, in fleet time, a budget is divided anew at most.
const Interval = 100 * time.Millisecond

// steady is the change of a demand, as a part of the greater one, that changes no share.
const steady = 0.1

// Book is the replicated side of the budgets. It is no goroutine's own: who
// applies the commands calls it, one call at a time, with a fleet time that does
// not run backward (an earlier one counts as the last).
type Book struct {
	image
	current map[string]*holder // the incarnation in force, by process
	due     time.Duration      // no lease, rest or turn ends before
	way     Way
	twice   bool // the planted bug

	asks []Ask // kept for the next division
	outs []float64
	who  []int
}

// image is what is encoded. The sums that Book keeps beside it follow from it.
type image struct {
	Version uint64
	At      time.Duration
	Lease   time.Duration
	Number  uint64 // the last grant number given
	Budgets []*standing
	Holders []*holder // by process, then incarnation
}

// standing is a budget with what it has given.
type standing struct {
	Budget
	Rests   []rest
	Divided time.Duration // when last
	Turn    time.Duration // when those without a seat get theirs; 0: all have one
	Dirty   bool          // something changed since

	held, resting sums
}

// sums are exact, so they are kept along and do not drift.
type sums struct {
	amount, burst int64
	floors        int
}

// rest is what nobody holds and nobody may have yet.
type rest struct {
	_             struct{} `cbor:",toarray"`
	Amount, Burst int64
	Floor         bool // a floor's slot
	Until         time.Duration
}

// holder is one incarnation of a process.
type holder struct {
	_           struct{} `cbor:",toarray"`
	Process     string
	Incarnation uint64
	Ends        time.Duration // of its lease
	Bound       uint64        // the number it has acknowledged
	Number      uint64        // the number offered to it; nothing new is offered before it is acknowledged
	Old         bool          // a newer incarnation is there
	Lines       []line        // one a budget, in their order
}

// line is what one holder has of one budget.
type line struct {
	_              struct{} `cbor:",toarray"`
	Demand         float64  // what the division counts with
	Under          int64    // UnderWay: what it said is under way
	Latest         time.Duration
	Bound, Offered piece
	Due, DueBurst  int64 // what the division says, without the floor
	Seated         bool  // has a seat, where there are fewer than holders
	Since          time.Duration
}

// piece is what is offered or bound, in millionths.
type piece struct {
	_                    struct{} `cbor:",toarray"`
	Amount, Burst, Floor int64
	FloorFor, Linger     time.Duration
}

func (p piece) most(q piece) piece {
	return piece{
		Amount: max(p.Amount, q.Amount), Burst: max(p.Burst, q.Burst), Floor: max(p.Floor, q.Floor),
		FloorFor: max(p.FloorFor, q.FloorFor), Linger: max(p.Linger, q.Linger),
	}
}

// held is the upper bound of what the holder may be using.
func (l *line) held() piece {
	p := l.Bound.most(l.Offered)
	p.Amount = max(p.Amount, l.Under)
	return p
}

// hasFloor tells whether it has a floor's slot, or may think so.
func (l *line) hasFloor() bool { return l.held().Floor > 0 }

// NewBook returns a book without budgets, at fleet time 0. Until it is
// configured, renewals are granted for no time at all.
func NewBook() *Book { return NewBookBy(MaxMin) }

// NewBookBy returns a book that divides another way, for studies. All replicas divide alike.
func NewBookBy(way Way) *Book {
	return &Book{image: image{Version: version}, current: map[string]*holder{}, due: math.MaxInt64, way: way, twice: plantTwice}
}

// Configure sets the lease's length and the budgets. A budget that is there
// already keeps its shares: a lowered whole binds once those that hold more have
// acknowledged less, or are gone, and nothing grows before. Of a new
// one that counts what lasts (UnderWay, Part) each process there counts as holding the whole
// until it has acknowledged: it may have anything under way. With a bad
// figure nothing changes.
func (b *Book) Configure(at time.Duration, c Config) error {
	if err := c.Check(); err != nil {
		return fmt.Errorf("configuring the fleet's budgets: %w", err)
	}
	b.settle(at)
	next := make([]*standing, 0, len(c.Budgets))
	for _, budget := range c.Budgets {
		s := &standing{Budget: budget, Dirty: true, Divided: -Interval}
		if i := b.find(budget.Name); i >= 0 && b.Budgets[i].Kind == budget.Kind {
			s.Rests = b.Budgets[i].Rests
		}
		next = append(next, s)
	}
	slices.SortFunc(next, func(x, y *standing) int { return strings.Compare(x.Name, y.Name) })
	if len(b.Holders) > 0 {
		b.Number++
	}
	for _, h := range b.Holders {
		lines := make([]line, len(next))
		for i, s := range next {
			l := &lines[i]
			if k := b.find(s.Name); k >= 0 && b.Budgets[k].Kind == s.Kind {
				// It may be using what is bound or what was offered: both count on.
				*l = h.Lines[k]
				l.Bound = l.Bound.most(l.Offered)
				l.Offered = l.Bound
			} else if s.Kind != Rate {
				l.Bound = piece{Amount: millionths(s.Whole), Linger: s.Linger}
			}
		}
		h.Lines, h.Number = lines, b.Number
	}
	b.Lease, b.Budgets = c.Lease, next
	b.sum()
	return nil
}

func (b *Book) find(name string) int {
	i, ok := slices.BinarySearchFunc(b.Budgets, name, func(s *standing, name string) int { return strings.Compare(s.Name, name) })
	if !ok {
		return -1
	}
	return i
}

func (b *Book) place(process string, incarnation uint64) (int, bool) {
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
func (b *Book) Renew(at time.Duration, r Renewal) (Grant, error) {
	if r.Process == "" || r.Incarnation == 0 {
		return Grant{}, fmt.Errorf("renewing %q, %d: %w", r.Process, r.Incarnation, ErrNoName)
	}
	if b.fenced(r.Process, r.Incarnation) {
		return Grant{}, fmt.Errorf("renewing %q, %d: %w", r.Process, r.Incarnation, ErrFenced)
	}
	for _, s := range b.Budgets {
		u := r.Uses[s.Name]
		if !(u.Demand >= 0 && u.Demand <= mostWhole && u.UnderWay >= 0 && u.UnderWay <= mostWhole && u.Latest >= 0) {
			return Grant{}, fmt.Errorf("renewing %q, %d: use of budget %q: below 0, no number or above %v: %+v", r.Process, r.Incarnation, s.Name, mostWhole, u)
		}
	}
	b.settle(at)
	h := b.current[r.Process]
	if h == nil || h.Incarnation < r.Incarnation {
		h = b.join(r)
	}
	h.Ends = max(h.Ends, b.At+b.Lease)
	b.due = min(b.due, h.Ends)
	b.acknowledge(h, r)
	b.divide()
	return b.grant(h), nil
}

// fenced tells whether a newer incarnation is there, or was while this one's
// lease went on.
func (b *Book) fenced(process string, incarnation uint64) bool {
	if h := b.current[process]; h != nil && h.Incarnation > incarnation {
		return true
	}
	i, ok := b.place(process, incarnation)
	return ok && b.Holders[i].Old
}

func (b *Book) join(r Renewal) *holder {
	if old := b.current[r.Process]; old != nil {
		old.Old = true
		if b.twice {
			b.drop(old, false)
		}
	}
	h := &holder{Process: r.Process, Incarnation: r.Incarnation, Lines: make([]line, len(b.Budgets))}
	i, _ := b.place(r.Process, r.Incarnation)
	b.Holders = slices.Insert(b.Holders, i, h)
	b.current[r.Process] = h
	for i, s := range b.Budgets {
		h.Lines[i].Since = b.At
		s.Dirty = true
	}
	return h
}

// acknowledge takes in what a renewal says. One that is older than what was
// acknowledged says nothing new. What is under way above the amount can only fall, as
// nothing is begun above it: so the least that was said since counts.
func (b *Book) acknowledge(h *holder, r Renewal) {
	if r.Bound < h.Bound {
		return
	}
	fresh := r.Bound == h.Number && h.Bound != h.Number
	for i, s := range b.Budgets {
		l, u := &h.Lines[i], r.Uses[s.Name]
		b.change(s, l, func() {
			under := millionths(u.UnderWay)
			if s.Kind == InFlight && (fresh || h.Number == 0 || under < l.Under) {
				l.Under = under
			}
			if fresh {
				before := l.held().Amount
				l.Bound = l.Offered
				if freed := before - l.held().Amount; freed > 0 && s.Kind == Divided {
					until := b.At + rests(max(s.Linger, l.Bound.Linger))
					s.put(rest{Amount: freed, Until: until})
					b.due = min(b.due, until)
				}
			}
		})
		l.Latest = max(l.Latest, b.At+rests(u.Latest))
		if l.Demand != u.Demand && (math.Abs(l.Demand-u.Demand) > steady*max(l.Demand, u.Demand)) {
			l.Demand, s.Dirty = u.Demand, true
		}
	}
	if fresh {
		h.Bound = h.Number
	}
}

// change keeps the sums along with what do does to a line.
func (b *Book) change(s *standing, l *line, do func()) {
	s.held.add(l, -1)
	do()
	s.held.add(l, 1)
}

func (s *sums) add(l *line, sign int64) {
	p := l.held()
	s.amount += sign * p.Amount
	s.burst += sign * p.Burst
	if p.Floor > 0 {
		s.floors += int(sign)
	}
}

func (s *sums) rest(r rest, sign int64) {
	s.amount += sign * r.Amount
	s.burst += sign * r.Burst
	if r.Floor {
		s.floors += int(sign)
	}
}

func (s *standing) put(r rest) {
	if r.Amount > 0 || r.Burst > 0 || r.Floor {
		s.Rests = append(s.Rests, r)
		s.resting.rest(r, 1)
	}
}

// aside is what is set aside for the slots that nobody has.
func (s *standing) aside() (amount, burst int64, slots int) {
	slots = max(s.Floors-s.held.floors-s.resting.floors, 0)
	if s.Floor == 0 {
		slots = 0
	}
	return int64(slots) * millionths(s.Floor), int64(slots) * s.floorBurst(), slots
}

// free is what may be given now; below 0 while a lowered whole does not bind yet.
func (s *standing) free() (amount, burst int64) {
	amount, burst, _ = s.aside()
	return millionths(s.Whole) - amount - s.held.amount - s.resting.amount,
		millionths(s.Burst) - burst - s.held.burst - s.resting.burst
}

// grant offers a holder what is due to it, as far as it is free, and answers.
func (b *Book) grant(h *holder) Grant {
	g := Grant{Process: h.Process, Incarnation: h.Incarnation, Lease: b.Lease, Shares: make([]Share, len(b.Budgets))}
	if h.Number == h.Bound {
		changed := h.Number == 0
		for i, s := range b.Budgets {
			l := &h.Lines[i]
			b.change(s, l, func() { changed = s.offer(l) || changed })
		}
		if changed {
			b.Number++
			h.Number = b.Number
		}
	}
	g.Number = h.Number
	for i, s := range b.Budgets {
		l := &h.Lines[i]
		o := l.Offered
		g.Shares[i] = Share{
			Name: s.Name, Kind: s.Kind, Amount: figure(o.Amount), Burst: figure(o.Burst),
			Floor: figure(o.Floor), FloorFor: o.FloorFor, Linger: o.Linger,
		}
		waits := s.Dirty && l.Due == 0 && l.Demand > 0 // not divided since it asked
		if waits || s.Kind != Divided && float64(o.Amount) < (1-steady)*float64(l.Due+o.Floor) {
			g.Soon = true
		}
	}
	return g
}

// offer sets what is offered to a holder that has acknowledged everything; it
// tells whether that is a change. Its line is out of the sums meanwhile.
func (s *standing) offer(l *line) bool {
	held, next, slot := l.held(), piece{Linger: s.Linger}, 0
	free, burst := s.free()
	if others := s.held.floors + s.resting.floors; s.Floor > 0 && others < s.Floors && (held.Floor > 0 || free >= 0 && burst >= 0) {
		slot = 1 // its part of what is set aside is free, for it
		next.Floor, next.FloorFor = millionths(s.Floor), s.FloorFor
	}
	s.Dirty = s.Dirty || (slot > 0) != (held.Floor > 0)
	s.held.floors += slot
	free, burst = s.free()
	s.held.floors -= slot
	// What is under way above the amount backs no growth: it may be counted twice
	// (a process that came back says what rests from its last lease already).
	next.Amount = min(l.Due+next.Floor, max(l.Bound.Amount, free))
	next.Floor = min(next.Floor, next.Amount)
	switch s.Kind {
	case Rate:
		next.Burst = min(l.DueBurst+int64(slot)*s.floorBurst(), max(l.Bound.Burst, burst))
		if next.Burst < unit {
			next.Burst = 0
		}
	case InFlight:
		next.Amount -= next.Amount % unit
	}
	changed := next != l.Bound
	l.Offered = next
	return changed
}

// Leave ends a process as planned. It has closed its Purse before: what it held
// of a Rate is free at once, what it left under way rests until its latest deadline, and
// its parts rest for Linger. A budget that left does not name rests as if the process had
// died now. A process that is not there is no error: the call may come twice.
func (b *Book) Leave(at time.Duration, process string, incarnation uint64, left map[string]Left) error {
	if process == "" || incarnation == 0 {
		return fmt.Errorf("leaving of %q, %d: %w", process, incarnation, ErrNoName)
	}
	for _, s := range b.Budgets {
		if l := left[s.Name]; !(l.UnderWay >= 0 && l.UnderWay <= mostWhole && l.Latest >= 0) {
			return fmt.Errorf("leaving of %q, %d: budget %q: below 0, no number or above %v: %+v", process, incarnation, s.Name, mostWhole, l)
		}
	}
	b.settle(at)
	i, ok := b.place(process, incarnation)
	if !ok {
		return nil
	}
	h := b.Holders[i]
	for k, s := range b.Budgets {
		held := h.Lines[k].held()
		u, told := left[s.Name]
		switch {
		case s.Kind == Divided || s.Kind == InFlight && !told:
			s.put(rest{Amount: held.Amount, Until: b.At + rests(max(held.Linger, s.Linger))})
		case s.Kind == InFlight:
			s.put(rest{Amount: millionths(u.UnderWay), Until: b.At + rests(u.Latest)})
		}
	}
	b.remove(h)
	return nil
}

// drop ends a holder whose lease is over. It may go on with its floor for
// FloorFor; jobs that it began by then last for Linger more at most, and what it
// used of a part counts for as long.
func (b *Book) drop(h *holder, lasting bool) {
	for i, s := range b.Budgets {
		l := &h.Lines[i]
		p := l.held()
		linger := rests(max(p.Linger, s.Linger))
		if s.Kind == Rate {
			linger = 0
		}
		floor, cut := rest{}, h.Ends
		if p.Floor > 0 && p.FloorFor > 0 {
			cut += p.FloorFor
			floor = rest{Amount: min(p.Floor, p.Amount), Burst: min(p.Burst, unit), Floor: true, Until: cut + linger}
		}
		if lasting {
			s.put(floor)
			if s.Kind != Rate {
				s.put(rest{Amount: p.Amount - floor.Amount, Until: max(h.Ends+linger, l.Latest)})
			}
		}
	}
	b.remove(h)
}

func (b *Book) remove(h *holder) {
	for i, s := range b.Budgets {
		s.held.add(&h.Lines[i], -1)
		s.Dirty = true
	}
	i, _ := b.place(h.Process, h.Incarnation)
	b.Holders = slices.Delete(b.Holders, i, i+1)
	if b.current[h.Process] == h {
		delete(b.current, h.Process)
	}
	b.due = min(b.due, b.At) // rests may be due
}

// Advance takes in that fleet time is at: leases end, what rests is free, and
// what changed is divided anew. Without a change, and before anything is due, it
// does nothing.
func (b *Book) Advance(at time.Duration) {
	b.settle(at)
	b.divide()
}

// settle ends what is due. A rest may be of before: one that is over is dropped in the same call.
func (b *Book) settle(at time.Duration) {
	b.At = max(b.At, at)
	if b.due > b.At {
		return
	}
	for i := 0; i < len(b.Holders); {
		if h := b.Holders[i]; h.Ends <= b.At {
			b.drop(h, true)
			continue
		}
		i++
	}
	b.due = math.MaxInt64
	for _, h := range b.Holders {
		b.due = min(b.due, h.Ends)
	}
	for _, s := range b.Budgets {
		s.Rests = slices.DeleteFunc(s.Rests, func(r rest) bool {
			if r.Until > b.At {
				b.due = min(b.due, r.Until)
				return false
			}
			s.resting.rest(r, -1)
			s.Dirty = true
			return true
		})
		if s.Turn > 0 && s.Turn <= b.At {
			s.Turn, s.Dirty = 0, true
		}
		if s.Turn > 0 {
			b.due = min(b.due, s.Turn)
		}
	}
}

// Standing is how a budget stands, for figures and checks.
type Standing struct {
	Name                           string
	Whole, Held, Resting, SetAside float64
	Burst, HeldBurst               float64 // with what rests and is set aside
	Bound                          bool    // the whole binds: no more is held than it
}

// Standings tells how each budget stands, by name.
func (b *Book) Standings() []Standing {
	out := make([]Standing, len(b.Budgets))
	for i, s := range b.Budgets {
		aside, asideBurst, _ := s.aside()
		free, burst := s.free()
		out[i] = Standing{
			Name: s.Name, Whole: s.Whole, Held: figure(s.held.amount), Resting: figure(s.resting.amount), SetAside: figure(aside),
			Burst: s.Burst, HeldBurst: figure(s.held.burst + s.resting.burst + asideBurst), Bound: free >= 0 && burst >= 0,
		}
	}
	return out
}
