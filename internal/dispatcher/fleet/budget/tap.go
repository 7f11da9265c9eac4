package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// refillInterval is how often a bucket is filled at most, by the own clock.
const refillInterval = 50 * time.Microsecond

// TokenBucket is where a process takes from its share of one budget: Take of a Rate,
// Begin and End of what is UnderWay, Amount of a Part. All may be called by any
// thread at once; none waits.
//
// A bucket is two counts, of those taken and the ceiling that they may reach, so
// that taking is one atomic addition. Who comes a quantum after the last filling
// fills the bucket, if nobody else is at it. In any interval that begins with a
// level l, no more is taken than l and what the share fills in; the level never
// rises but by filling, never above the burst, and is clipped to the floor's burst, which is set
// aside with the floor, at the lease's end and to 0 at the floor's. So all holders
// together take no more than the sum of their levels, at most Burst, and of their rates times
// t, at most Whole x t.
type TokenBucket struct {
	refillAt          atomic.Int64 // a filling is worth while from then on
	ceilingValidUntil atomic.Int64 // the ceiling holds until then
	ceiling           atomic.Int64
	terms             atomic.Pointer[terms]
	taken             paddedCounter
	rejected          paddedCounter
	inFlight          paddedCounter

	peakInFlight, begun, latestDeadline atomic.Int64
	wantedAmount                        atomic.Uint64 // a float64's bits

	mu         sync.Mutex // of what follows; Take only tries it
	level      float64    // at filled, before what was taken after base
	refilledAt time.Duration
	base       int64

	arrivalsAtRenewal                 atomic.Int64 // who came, at the last renewal
	reportedDemand                    float64      // with the last renewal; under the Purse's lock, as the next
	rejectedAtRenewal, begunAtRenewal int64
}

// Take takes one of a Rate at now; false: turned away. It asks whether the lease
// holds before anything else, so that a process that was frozen takes nothing
// of a share that is over. now is to be read just before.
func (t *TokenBucket) Take(now time.Duration) bool {
	if int64(now) >= t.refillAt.Load() && t.mu.TryLock() {
		t.refill(now)
		t.mu.Unlock()
	}
	if int64(now) < t.ceilingValidUntil.Load() && t.taken.Load() < t.ceiling.Load() {
		if t.taken.Add(1) <= t.ceiling.Load() {
			return true
		}
		t.taken.Add(-1)
	}
	t.rejected.Add(1)
	return false
}

// refill brings the bucket to now: first what the share fills in until the lease's
// end, then the floor until its own, clipped to the floor's burst. What was taken since the last filling is
// subtracted after the clip to the burst, as if it had been taken last: never too much is left.
func (t *TokenBucket) refill(now time.Duration) {
	s := t.terms.Load()
	if s == &unlimited || s.kind != Rate {
		return
	}
	t.advance(min(now, s.leaseEnd), s.amount, s.burst)
	if now >= s.leaseEnd {
		t.advance(min(now, s.floorEnd), s.floor, s.floorBurst)
	}
	valid := s.leaseEnd
	if now >= s.leaseEnd {
		valid = s.floorEnd
	}
	if now >= s.floorEnd {
		t.level, valid = 0, 0
	}
	t.refilledAt = max(t.refilledAt, now)
	t.ceiling.Store(t.base + int64(math.Floor(t.level)))
	t.ceilingValidUntil.Store(int64(valid))
	next := now + refillInterval
	if valid > now {
		next = min(next, valid)
	}
	t.refillAt.Store(int64(next))
}

func (t *TokenBucket) advance(to time.Duration, rate, burst float64) {
	if to > t.refilledAt {
		t.level += rate * RefillPace * (to - t.refilledAt).Seconds()
		t.refilledAt = to
	}
	taken := min(t.taken.Load(), t.ceiling.Load()) // above it: tries that are undone
	t.level = min(t.level, burst) - float64(taken-t.base)
	t.base = taken
}

// reset puts terms without an end in the place of what there is.
func (t *TokenBucket) reset(s *terms) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.terms.Store(s)
	t.level, t.base = 0, t.taken.Load()
	t.ceiling.Store(t.base + int64(s.amount))
	t.ceilingValidUntil.Store(int64(s.leaseEnd))
	t.refillAt.Store(math.MaxInt64)
}

// applyTerms puts new terms in the place of the old, which are spent to now first.
func (t *TokenBucket) applyTerms(now time.Duration, s *terms, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.terms.Load()
	switch {
	case s.kind != Rate:
		t.ceiling.Store(0)
	case old == &unlimited || old == &blocked || old.kind != Rate:
		t.level, t.refilledAt, t.base = 0, now, t.taken.Load()
		t.ceiling.Store(t.base)
	default:
		t.refill(now)
		t.advance(now, 0, s.burst)
	}
	t.terms.Store(s)
	if full {
		t.level = s.burst
	}
	t.refill(now)
}

// Begin begins one job of an UnderWay budget that lasts until its latest deadline
// at most; false: turned away. Each that it let begin is ended by End. It counts
// first and then asks what is allowed, so that a share's new amount holds for
// all that are not in the count told with its acknowledgement. A job that may last longer
// than the budget's Linger is turned away: it could outlast what the fleet waits for.
func (t *TokenBucket) Begin(now, until time.Duration) bool {
	if until-now > t.terms.Load().linger {
		t.rejected.Add(1)
		return false
	}
	storeMax(&t.latestDeadline, int64(until))
	n := t.inFlight.Add(1)
	if s := t.terms.Load(); float64(n) > s.amountAt(now) || s.kind != InFlight && s != &unlimited {
		t.inFlight.Add(-1)
		t.rejected.Add(1)
		return false
	}
	storeMax(&t.peakInFlight, n)
	t.begun.Add(1)
	return true
}

// End ends one that Begin let begin.
func (t *TokenBucket) End() { t.inFlight.Add(-1) }

func storeMax(x *atomic.Int64, n int64) {
	for {
		if was := x.Load(); was >= n || x.CompareAndSwap(was, n) {
			return
		}
	}
}

// Amount is the part that this process may use at now; false: the budget is not
// divided (yet), and nothing is said.
func (t *TokenBucket) Amount(now time.Duration) (float64, bool) {
	s := t.terms.Load()
	return s.amountAt(now), s != &unlimited
}

// SetDemand says how much of a Part this process would use if it could.
func (t *TokenBucket) SetDemand(x float64) { t.wantedAmount.Store(math.Float64bits(x)) }

// RetryAfter is when trying again is worth while, from now: when a Rate has worked
// off what it turned away since the last renewal, a lease at most; else when the next
// renewal may have brought something.
func (t *TokenBucket) RetryAfter(now time.Duration) time.Duration {
	s := t.terms.Load()
	rate := s.amountAt(now) * RefillPace
	if s == &unlimited {
		return 0
	}
	if s.kind != Rate || rate <= 0 {
		return max(s.lease/3, refillInterval)
	}
	one := time.Duration(float64(time.Second) / max(rate, 1e-3))
	return max(one, min(time.Duration(float64(t.arrivals()-t.arrivalsAtRenewal.Load())*float64(one)), s.lease))
}

// arrivals is how many asked so far.
func (t *TokenBucket) arrivals() int64 { return t.taken.Load() + t.rejected.Load() + t.begun.Load() }

// usage is what to tell of the time since the last renewal. What is under way is read
// before its latest deadline, which is noted before it counts.
func (t *TokenBucket) usage(now, since time.Duration) Usage {
	under, latest := t.unfinished(now)
	came, turned, begun := t.arrivals(), t.rejected.Load(), t.begun.Load()
	n := float64(came - t.arrivalsAtRenewal.Swap(came))
	refused, began := float64(turned-t.rejectedAtRenewal), float64(begun-t.begunAtRenewal)
	t.rejectedAtRenewal, t.begunAtRenewal = turned, begun
	switch s := t.terms.Load(); {
	case s.kind == Divided:
		t.reportedDemand = math.Float64frombits(t.wantedAmount.Load())
	case s.kind == InFlight || began > 0:
		d := float64(t.peakInFlight.Swap(int64(under)))
		if began > 0 {
			d = min(d+refused, d*(1+refused/began))
		} else {
			d += refused
		}
		t.reportedDemand = max(d, (t.reportedDemand+d)/2)
	default: // what is more than chance is told as it is, the rest smoothed
		if off := n - t.reportedDemand*since.Seconds(); math.Abs(off) > samplingError(n) {
			t.reportedDemand = n / since.Seconds()
		} else {
			t.reportedDemand += 0.3 * off / since.Seconds()
		}
	}
	if t.reportedDemand < 1e-3 {
		t.reportedDemand = 0
	}
	return Usage{Demand: min(t.reportedDemand, maxTotal), InFlight: under, MaxRemaining: latest}
}

// samplingError is by how much a count of n may be off by chance: three times its root.
func samplingError(n float64) float64 { return 3 * math.Sqrt(max(n, 1)) }

// demandChanged tells whether what came in a time is not what was told, by half.
func (t *TokenBucket) demandChanged(since time.Duration) bool {
	s := t.terms.Load()
	if s.kind == Divided {
		return t.reportedDemand != math.Float64frombits(t.wantedAmount.Load())
	}
	if s.kind == InFlight {
		n, had := float64(t.rejected.Load()-t.rejectedAtRenewal)+float64(t.peakInFlight.Load()), t.reportedDemand
		return math.Abs(n-had) > max(n, had)/2+samplingError(had)
	}
	n, had := float64(t.arrivals()-t.arrivalsAtRenewal.Load()), t.reportedDemand*since.Seconds()
	return math.Abs(n-had) > max(n, had)/2+samplingError(had)
}

// unfinished is how many are under way, and for how long the longest may last.
func (t *TokenBucket) unfinished(now time.Duration) (float64, time.Duration) {
	under := t.inFlight.Load()
	if under <= 0 {
		return 0, 0
	}
	return float64(under), max(time.Duration(t.latestDeadline.Load())-now, 0)
}
