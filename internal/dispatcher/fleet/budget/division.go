package budget

import (
	"cmp"
	"math"
	"slices"
)

// divideChanged divides the budgets that have changed, each once in a DivisionInterval at
// most.
func (b *AllocationTable) divideChanged() {
	for i, s := range b.Budgets {
		if s.NeedsDivision && b.Now-s.DividedAt >= DivisionInterval {
			b.divideBudget(i, s)
			s.NeedsDivision, s.DividedAt = false, b.Now
		}
	}
}

// divideBudget sets what is due to each holder. What older incarnations hold, what is
// quarantined and what is reserved is not divided; parts of a Divided budget in quarantine
// are, since they return to those that they are due to.
func (b *AllocationTable) divideBudget(i int, s *budgetState) {
	amount, burst, _ := s.reservedFloors()
	whole, bursts := toMicros(s.Total)-amount, toMicros(s.Burst)-burst
	for _, r := range s.Quarantines {
		if s.Kind != Divided || r.Floor {
			whole -= r.Amount
		}
		bursts -= r.Burst
	}
	floor, live, wanting := toMicros(s.Floor), 0, 0
	b.claims, b.candidates = b.claims[:0], b.candidates[:0]
	for k, h := range b.Holders {
		l := &h.Allocations[i]
		if h.Superseded {
			held := l.upperBound()
			whole -= held.Amount
			bursts -= held.Burst
			continue
		}
		live++
		if l.hasFloor() {
			whole -= floor
			bursts -= s.burstPerFloor()
		}
		if b.demandBeyondFloor(i, s, h) > 0 {
			wanting++
		}
		b.candidates = append(b.candidates, k)
		l.Due, l.DueBurst = 0, 0
	}
	whole, bursts = max(whole, 0), max(bursts, 0)
	if live == 0 {
		return
	}
	seats, most := live, live
	switch s.Kind {
	case Rate:
		seats = int(min(bursts/microsPerUnit, int64(live)))
	case InFlight: // who wants nothing needs no seat
		seats, most = int(min(whole/microsPerUnit, int64(live))), wanting
	}
	s.SeatTurnAt = 0
	if seats < most {
		b.assignSeats(i, s, seats, wanting)
	}
	if seats == 0 {
		return
	}
	for _, k := range b.candidates {
		h := b.Holders[k]
		b.claims = append(b.claims, Claim{Demand: b.demandBeyondFloor(i, s, h), Weight: s.weight(h.Process)})
	}
	b.shares = slices.Grow(b.shares[:0], len(b.claims))[:len(b.claims)]
	switch s.Kind {
	case InFlight:
		b.divideWholeJobs(i, whole/microsPerUnit)
	default:
		b.policy(fromMicros(whole), b.claims, b.shares)
		for n, k := range b.candidates {
			b.Holders[k].Allocations[i].Due = min(toMicros(max(b.shares[n], 0)), whole)
		}
	}
	if s.Kind == Rate {
		b.divideBurst(i, bursts)
	}
}

// demandBeyondFloor returns a holder's demand beyond its floor.
func (b *AllocationTable) demandBeyondFloor(i int, s *budgetState, h *holder) float64 {
	l := &h.Allocations[i]
	d := l.Demand
	if l.hasFloor() {
		d -= s.Floor
	}
	if s.Kind == InFlight {
		d = math.Ceil(d)
	}
	return min(max(d, 0), s.Total)
}

// seatTurnLeases is how many leases a seat is kept while others wait for one.
const seatTurnLeases = 2

// assignSeats reduces candidates to those that get a share, where the budget can't be cut
// small enough for all: a token bucket needs 1 of the burst, and a job is indivisible.
// First come holders with demand that have had a seat for less than a turn, then those that
// wait, the longest first, then those that have had one longest.
func (b *AllocationTable) assignSeats(i int, s *budgetState, seats, wanting int) {
	class := func(k int) int {
		h := b.Holders[k]
		l := &h.Allocations[i]
		switch wants := b.demandBeyondFloor(i, s, h) > 0; {
		case wants && l.Seated && b.Now-l.Since < seatTurnLeases*b.Lease:
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
	slices.SortFunc(b.candidates, func(x, y int) int {
		by := cmp.Compare(class(x), class(y))
		since := cmp.Compare(b.Holders[x].Allocations[i].Since, b.Holders[y].Allocations[i].Since)
		if class(x) == 2 {
			since = -since
		}
		return cmp.Or(by, since, cmp.Compare(x, y))
	})
	for n, k := range b.candidates {
		if l := &b.Holders[k].Allocations[i]; l.Seated != (n < seats) {
			l.Seated, l.Since = n < seats, b.Now
		}
	}
	if seats < wanting {
		s.SeatTurnAt = b.Now + seatTurnLeases*b.Lease
		b.nextDue = min(b.nextDue, s.SeatTurnAt)
	}
	b.candidates = b.candidates[:seats]
	slices.Sort(b.candidates)
}

// divideBurst gives each seated holder 1 of the burst, and the rest by amount.
func (b *AllocationTable) divideBurst(i int, bursts int64) {
	all := 0.0
	for _, k := range b.candidates {
		all += float64(b.Holders[k].Allocations[i].Due)
	}
	rest := bursts - int64(len(b.candidates))*microsPerUnit
	for _, k := range b.candidates {
		l := &b.Holders[k].Allocations[i]
		l.DueBurst = microsPerUnit
		if all > 0 && rest > 0 {
			l.DueBurst += int64(float64(rest) * (float64(l.Due) / all))
		}
	}
}

// divideWholeJobs divides whole jobs: one for each holder with demand, the rest by the
// policy, and what rounding leaves to those that hold it already.
func (b *AllocationTable) divideWholeJobs(i int, jobs int64) {
	left := jobs
	for n, k := range b.candidates {
		if b.claims[n].Demand >= 1 {
			b.claims[n].Demand--
			b.Holders[k].Allocations[i].Due = microsPerUnit
			left--
		}
	}
	b.policy(float64(left), b.claims, b.shares)
	for n, k := range b.candidates {
		got := min(int64(max(b.shares[n], 0)), left)
		left -= got
		b.Holders[k].Allocations[i].Due += got * microsPerUnit
	}
	for _, having := range []bool{true, false} {
		for _, k := range b.candidates {
			if l := &b.Holders[k].Allocations[i]; left > 0 && (l.Acknowledged.Amount-l.Acknowledged.Floor > l.Due) == having {
				l.Due += microsPerUnit
				left--
			}
		}
	}
}
