package budget

import (
	"cmp"
	"math"
	"slices"
)

// divideChanged divides the budgets that have changed, each once in a DivisionInterval at
// most.
func (t *AllocationTable) divideChanged() {
	for i, s := range t.Budgets {
		if s.NeedsDivision && t.Now-s.DividedAt >= DivisionInterval {
			t.divideBudget(i, s)
			s.NeedsDivision, s.DividedAt = false, t.Now
		}
	}
}

// divideBudget sets what is due to each holder. What older incarnations hold, what is
// quarantined and what is reserved is not divided; parts of a Divided budget in quarantine
// are, since they return to those that they are due to.
func (t *AllocationTable) divideBudget(i int, s *budgetState) {
	total, bursts, wanting := t.divisible(i, s)
	live := len(t.candidates)
	if live == 0 {
		return
	}
	seats, most := live, live
	switch s.Kind {
	case Rate:
		seats = int(min(bursts/microsPerUnit, int64(live)))
	case InFlight: // who wants nothing needs no seat
		seats, most = int(min(total/microsPerUnit, int64(live))), wanting
	}
	s.SeatTurnAt = 0
	if seats < most {
		t.assignSeats(i, s, seats, wanting)
	}
	if seats == 0 {
		return
	}
	for _, k := range t.candidates {
		h := t.Holders[k]
		t.claims = append(t.claims, Claim{Demand: t.demandBeyondFloor(i, s, h), Weight: s.weight(h.Process)})
	}
	t.shares = slices.Grow(t.shares[:0], len(t.claims))[:len(t.claims)]
	switch s.Kind {
	case InFlight:
		t.divideWholeJobs(i, total/microsPerUnit)
	default:
		t.policy(fromMicros(total), t.claims, t.shares)
		for n, k := range t.candidates {
			t.Holders[k].Allocations[i].Due = min(toMicros(max(t.shares[n], 0)), total)
		}
	}
	if s.Kind == Rate {
		t.divideBurst(i, bursts)
	}
}

// divisible returns how much of a budget and of its burst can be divided, and the number
// of holders with demand. It makes all holders in force candidates with nothing due.
func (t *AllocationTable) divisible(i int, s *budgetState) (total, bursts int64, wanting int) {
	amount, burst := s.reservedFloors()
	total, bursts = toMicros(s.Total)-amount, toMicros(s.Burst)-burst
	for _, r := range s.Quarantines {
		if s.Kind != Divided || r.Floor {
			total -= r.Amount
		}
		bursts -= r.Burst
	}
	floor := toMicros(s.Floor)
	t.claims, t.candidates = t.claims[:0], t.candidates[:0]
	for k, h := range t.Holders {
		l := &h.Allocations[i]
		if h.Superseded {
			held := l.upperBound()
			total -= held.Amount
			bursts -= held.Burst
			continue
		}
		if l.hasFloor() {
			total -= floor
			bursts -= s.burstPerFloor()
		}
		if t.demandBeyondFloor(i, s, h) > 0 {
			wanting++
		}
		t.candidates = append(t.candidates, k)
		l.Due, l.DueBurst = 0, 0
	}
	return max(total, 0), max(bursts, 0), wanting
}

// demandBeyondFloor returns a holder's demand beyond its floor.
func (t *AllocationTable) demandBeyondFloor(i int, s *budgetState, h *holder) float64 {
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
func (t *AllocationTable) assignSeats(i int, s *budgetState, seats, wanting int) {
	class := func(k int) int {
		h := t.Holders[k]
		l := &h.Allocations[i]
		switch wants := t.demandBeyondFloor(i, s, h) > 0; {
		case wants && l.Seated && t.Now-l.Since < seatTurnLeases*t.Lease:
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
	slices.SortFunc(t.candidates, func(x, y int) int {
		by := cmp.Compare(class(x), class(y))
		since := cmp.Compare(t.Holders[x].Allocations[i].Since, t.Holders[y].Allocations[i].Since)
		if class(x) == 2 {
			since = -since
		}
		return cmp.Or(by, since, cmp.Compare(x, y))
	})
	for n, k := range t.candidates {
		if l := &t.Holders[k].Allocations[i]; l.Seated != (n < seats) {
			l.Seated, l.Since = n < seats, t.Now
		}
	}
	if seats < wanting {
		s.SeatTurnAt = t.Now + seatTurnLeases*t.Lease
		t.nextDue = min(t.nextDue, s.SeatTurnAt)
	}
	t.candidates = t.candidates[:seats]
	slices.Sort(t.candidates)
}

// divideBurst gives each seated holder 1 of the burst, and the rest by amount.
func (t *AllocationTable) divideBurst(i int, bursts int64) {
	all := 0.0
	for _, k := range t.candidates {
		all += float64(t.Holders[k].Allocations[i].Due)
	}
	remaining := bursts - int64(len(t.candidates))*microsPerUnit
	for _, k := range t.candidates {
		l := &t.Holders[k].Allocations[i]
		l.DueBurst = microsPerUnit
		if all > 0 && remaining > 0 {
			l.DueBurst += int64(float64(remaining) * (float64(l.Due) / all))
		}
	}
}

// divideWholeJobs divides whole jobs: one for each holder with demand, the rest by the
// policy, and what rounding leaves to those that hold it already.
func (t *AllocationTable) divideWholeJobs(i int, jobs int64) {
	left := jobs
	for n, k := range t.candidates {
		if t.claims[n].Demand >= 1 {
			t.claims[n].Demand--
			t.Holders[k].Allocations[i].Due = microsPerUnit
			left--
		}
	}
	t.policy(float64(left), t.claims, t.shares)
	for n, k := range t.candidates {
		got := min(int64(max(t.shares[n], 0)), left)
		left -= got
		t.Holders[k].Allocations[i].Due += got * microsPerUnit
	}
	for _, having := range []bool{true, false} {
		for _, k := range t.candidates {
			if l := &t.Holders[k].Allocations[i]; left > 0 && (l.Acknowledged.Amount-l.Acknowledged.Floor > l.Due) == having {
				l.Due += microsPerUnit
				left--
			}
		}
	}
}
