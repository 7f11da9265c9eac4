package budget

import (
	"cmp"
	"math"
	"slices"

	"basaltloft/internal/shared/saturating"
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
// quarantined and what is reserved is not divided. Quarantined parts of a Divided budget
// are the exception, since they become available to the holders that they are due to.
func (t *AllocationTable) divideBudget(i int, s *budgetState) {
	total, bursts, wanting := t.divisible(i, s)
	live := len(t.candidates)
	if live == 0 {
		return
	}
	seats, wanted := live, live
	switch s.Kind {
	case Rate:
		seats = int(min(bursts/microsPerUnit, int64(live)))
	case InFlight: // a holder without demand needs no seat
		seats, wanted = int(min(total/microsPerUnit, int64(live))), wanting
	}
	s.SeatTurnAt = 0
	if seats < wanted {
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
// of holders with demand. It makes all holders that are not superseded candidates with
// nothing due.
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

// seatTurnLeases is the number of leases that a holder keeps its seat while others wait.
const seatTurnLeases = 2

// assignSeats reduces candidates to those that get a share, if the budget can't be divided
// among all: a token bucket needs 1 of the burst, and a job is indivisible. The first seats
// go to holders with demand that have had one for less than a turn, the next to holders
// with demand that wait, the longest wait first, then to those that have had a seat for a
// turn or more, the latest assigned first. Holders without demand come last, those that
// have a seat before the others.
func (t *AllocationTable) assignSeats(i int, s *budgetState, seats, wanting int) {
	class := func(k int) int {
		h := t.Holders[k]
		l := &h.Allocations[i]
		switch hasDemand := t.demandBeyondFloor(i, s, h) > 0; {
		case hasDemand && l.Seated && t.Now-l.Since < seatTurnLeases*t.Lease:
			return 0
		case hasDemand && !l.Seated:
			return 1
		case hasDemand:
			return 2
		case l.Seated:
			return 3
		}
		return 4
	}
	slices.SortFunc(t.candidates, func(x, y int) int {
		byClass := cmp.Compare(class(x), class(y))
		since := cmp.Compare(t.Holders[x].Allocations[i].Since, t.Holders[y].Allocations[i].Since)
		if class(x) == 2 {
			since = -since
		}
		return cmp.Or(byClass, since, cmp.Compare(x, y))
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

// divideBurst gives each seated holder 1 of the burst, and divides the rest by amount due.
func (t *AllocationTable) divideBurst(i int, bursts int64) {
	amounts := 0.0
	for _, k := range t.candidates {
		amounts += float64(t.Holders[k].Allocations[i].Due)
	}
	remaining := bursts - int64(len(t.candidates))*microsPerUnit
	for _, k := range t.candidates {
		l := &t.Holders[k].Allocations[i]
		l.DueBurst = microsPerUnit
		if amounts > 0 && remaining > 0 {
			l.DueBurst += saturating.Int64(float64(remaining) * (float64(l.Due) / amounts))
		}
	}
}

// divideWholeJobs divides whole jobs: one for each holder with demand, and the rest by the
// policy. What rounding leaves over goes first to holders that already have more than is
// due to them.
func (t *AllocationTable) divideWholeJobs(i int, jobs int64) {
	remaining := jobs
	for n, k := range t.candidates {
		if t.claims[n].Demand >= 1 {
			t.claims[n].Demand--
			t.Holders[k].Allocations[i].Due = microsPerUnit
			remaining--
		}
	}
	t.policy(float64(remaining), t.claims, t.shares)
	for n, k := range t.candidates {
		share := min(saturating.Int64(max(t.shares[n], 0)), remaining)
		remaining -= share
		t.Holders[k].Allocations[i].Due += share * microsPerUnit
	}
	for _, holdsMore := range []bool{true, false} {
		for _, k := range t.candidates {
			if l := &t.Holders[k].Allocations[i]; remaining > 0 && (l.Acknowledged.Amount-l.Acknowledged.Floor > l.Due) == holdsMore {
				l.Due += microsPerUnit
				remaining--
			}
		}
	}
}
