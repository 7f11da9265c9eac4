package budget

import (
	"fmt"
	"slices"
	"time"
)

// Reason is why a tap turned something away, for the account and the logs.
type Reason uint8

// The reasons.
const (
	Admits   Reason = iota // it would let one through now
	NoShare                // there is none: no grant told of one yet, or its amount is 0
	Spent                  // the share, or the floor, is used up
	Cut                    // the lease is over, and the floor too
	TooLong                // the job may last longer than the budget's Linger
	NotOfOne               // asked as another kind of budget than it is
)

var reasons = [...]string{"admits", "no share", "share spent", "cut off from the fleet", "longer than the budget lingers", "a budget of another kind"}

// String is a reason in words.
func (r Reason) String() string {
	if int(r) < len(reasons) {
		return reasons[r]
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

// Why is why one more would be turned away at now, of a kind, lasting so long
// (UnderWay). It is asked after a refusal and changes nothing; by then one more may
// be admitted.
func (t *Tap) Why(now time.Duration, kind Kind, lasts time.Duration) Reason {
	s := t.terms.Load()
	switch {
	case s == &open:
		return Admits
	case s == &shut:
		return NoShare
	case s.kind != kind:
		return NotOfOne
	case now >= s.floorEnds:
		return Cut
	case s.at(now) <= 0:
		return NoShare
	case kind == InFlight && lasts > s.linger:
		return TooLong
	case kind == InFlight && float64(t.under.Load()+1) > s.at(now):
		return Spent
	case kind == Rate && t.taken.Load() >= t.ceiling.Load():
		return Spent
	}
	return Admits
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

var modes = [...]string{"unbounded", "share", "floor", "nothing"}

// String is a mode in a word.
func (m Mode) String() string {
	if int(m) < len(modes) {
		return modes[m]
	}
	return fmt.Sprintf("mode %d", uint8(m))
}

// Figure is how one budget stands at this process.
type Figure struct {
	Name     string
	Kind     Kind
	Mode     Mode
	Amount   float64       // that may be used now; 0 where unbounded
	For      time.Duration // until that ends, without another grant; 0: it has, or never will
	Admitted int64         // since the start
	Turned   int64         // turned away since the start
	UnderWay int64
	Demand   float64 // as last told
}

// Figures tells how the budgets stand here at now, by name.
func (p *Purse) Figures(now time.Duration) []Figure {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Figure, 0, len(p.names))
	for _, n := range slices.Sorted(slices.Values(p.names)) {
		t := p.taps[n]
		s := t.terms.Load()
		f := Figure{
			Name: n, Kind: s.kind, Admitted: t.taken.Load() + t.begun.Load(), Turned: t.turned.Load(),
			UnderWay: t.under.Load(), Demand: t.told, Amount: s.at(now),
		}
		switch {
		case s == &open:
			f.Amount = 0
		case now < s.ends:
			f.Mode, f.For = OnShare, s.ends-now
		case now < s.floorEnds:
			f.Mode, f.For = OnFloor, s.floorEnds-now
		default:
			f.Mode = OnNothing
		}
		out = append(out, f)
	}
	return out
}

// Holding is what one incarnation of a process holds of a budget.
type Holding struct {
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

// Holdings tells who holds what of a budget, by process and incarnation; none for a name
// that there is not.
func (b *Book) Holdings(name string) []Holding {
	i := b.find(name)
	if i < 0 {
		return nil
	}
	out := make([]Holding, len(b.Holders))
	for k, h := range b.Holders {
		l := &h.Lines[i]
		out[k] = Holding{
			Process: h.Process, Incarnation: h.Incarnation, Ends: h.Ends, Fenced: h.Old, Acknowledged: h.Bound == h.Number,
			Held: figure(l.held().Amount), Offered: figure(l.Offered.Amount), Due: figure(l.Due + l.Offered.Floor),
			Floor: l.hasFloor(), Demand: l.Demand,
		}
	}
	return out
}

// Due is the fleet time from which Advance has something to do, at the earliest. A leader
// need not put an Advance into the log before; it may well have nothing to do then.
func (b *Book) Due() time.Duration {
	due := b.due
	for _, s := range b.Budgets {
		if s.Dirty {
			due = min(due, s.Divided+Interval)
		}
	}
	return due
}
