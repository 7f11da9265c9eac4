package budget

import (
	"cmp"
	"math"
	"slices"
)

// divide divides the budgets anew that changed, each once an Interval at most.
func (b *Book) divide() {
	for i, s := range b.Budgets {
		if s.Dirty && b.At-s.Divided >= Interval {
			b.divideOne(i, s)
			s.Dirty, s.Divided = false, b.At
		}
	}
}

// divideOne says what is due to each holder. What older incarnations hold, what
// rests and what is set aside is not divided; parts that rest are, as they come
// back to those that they are due to.
func (b *Book) divideOne(i int, s *standing) {
	amount, burst, _ := s.aside()
	whole, bursts := millionths(s.Whole)-amount, millionths(s.Burst)-burst
	for _, r := range s.Rests {
		if s.Kind != Divided || r.Floor {
			whole -= r.Amount
		}
		bursts -= r.Burst
	}
	floor, live, wanting := millionths(s.Floor), 0, 0
	b.asks, b.who = b.asks[:0], b.who[:0]
	for k, h := range b.Holders {
		l := &h.Lines[i]
		if h.Old {
			held := l.held()
			whole -= held.Amount
			bursts -= held.Burst
			continue
		}
		live++
		if l.hasFloor() {
			whole -= floor
			bursts -= s.floorBurst()
		}
		if b.wants(i, s, h) > 0 {
			wanting++
		}
		b.who = append(b.who, k)
		l.Due, l.DueBurst = 0, 0
	}
	whole, bursts = max(whole, 0), max(bursts, 0)
	if live == 0 {
		return
	}
	seats, most := live, live
	switch s.Kind {
	case Rate:
		seats = int(min(bursts/unit, int64(live)))
	case InFlight: // who wants nothing needs no seat
		seats, most = int(min(whole/unit, int64(live))), wanting
	}
	s.Turn = 0
	if seats < most {
		b.seat(i, s, seats, wanting)
	}
	if seats == 0 {
		return
	}
	for _, k := range b.who {
		h := b.Holders[k]
		b.asks = append(b.asks, Ask{Demand: b.wants(i, s, h), Weight: s.weight(h.Process)})
	}
	b.outs = slices.Grow(b.outs[:0], len(b.asks))[:len(b.asks)]
	switch s.Kind {
	case InFlight:
		b.whole(i, whole/unit)
	default:
		b.way(figure(whole), b.asks, b.outs)
		for n, k := range b.who {
			b.Holders[k].Lines[i].Due = min(millionths(max(b.outs[n], 0)), whole)
		}
	}
	if s.Kind == Rate {
		b.bursts(i, bursts)
	}
}

// wants is what a holder asks for beyond its floor.
func (b *Book) wants(i int, s *standing, h *holder) float64 {
	l := &h.Lines[i]
	d := l.Demand
	if l.hasFloor() {
		d -= s.Floor
	}
	if s.Kind == InFlight {
		d = math.Ceil(d)
	}
	return min(max(d, 0), s.Whole)
}

// turns is how many leases a seat is kept where others wait for one.
const turns = 2

// seat leaves in who those that get a share where one cannot be cut small enough
// for all: a token bucket needs 1 of the burst, and a job is whole. Who wants
// something and has had a seat for less than a turn keeps it, then come those
// that wait, the longest first, then who has had one for longest.
func (b *Book) seat(i int, s *standing, seats, wanting int) {
	class := func(k int) int {
		h := b.Holders[k]
		l := &h.Lines[i]
		switch wants := b.wants(i, s, h) > 0; {
		case wants && l.Seated && b.At-l.Since < turns*b.Lease:
			return 0
		case wants && !l.Seated:
			return 1
		case wants:
			return 2
		case l.Seated:
			return 3
		}
		return 4
	}
	slices.SortFunc(b.who, func(x, y int) int {
		by := cmp.Compare(class(x), class(y))
		since := cmp.Compare(b.Holders[x].Lines[i].Since, b.Holders[y].Lines[i].Since)
		if class(x) == 2 {
			since = -since
		}
		return cmp.Or(by, since, cmp.Compare(x, y))
	})
	for n, k := range b.who {
		if l := &b.Holders[k].Lines[i]; l.Seated != (n < seats) {
			l.Seated, l.Since = n < seats, b.At
		}
	}
	if seats < wanting {
		s.Turn = b.At + turns*b.Lease
		b.due = min(b.due, s.Turn)
	}
	b.who = b.who[:seats]
	slices.Sort(b.who)
}

// bursts gives each that has a seat 1 and the rest by amount.
func (b *Book) bursts(i int, bursts int64) {
	all := 0.0
	for _, k := range b.who {
		all += float64(b.Holders[k].Lines[i].Due)
	}
	rest := bursts - int64(len(b.who))*unit
	for _, k := range b.who {
		l := &b.Holders[k].Lines[i]
		l.DueBurst = unit
		if all > 0 && rest > 0 {
			l.DueBurst += int64(float64(rest) * (float64(l.Due) / all))
		}
	}
}

// whole divides whole jobs: one for each that wants any, the rest by the
// way, and what is left of cutting to those that have it already.
func (b *Book) whole(i int, jobs int64) {
	left := jobs
	for n, k := range b.who {
		if b.asks[n].Demand >= 1 {
			b.asks[n].Demand--
			b.Holders[k].Lines[i].Due = unit
			left--
		}
	}
	b.way(float64(left), b.asks, b.outs)
	for n, k := range b.who {
		got := min(int64(max(b.outs[n], 0)), left)
		left -= got
		b.Holders[k].Lines[i].Due += got * unit
	}
	for _, having := range []bool{true, false} {
		for _, k := range b.who {
			if l := &b.Holders[k].Lines[i]; left > 0 && (l.Bound.Amount-l.Bound.Floor > l.Due) == having {
				l.Due += unit
				left--
			}
		}
	}
}
