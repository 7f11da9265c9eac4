package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// refillInterval is how often a bucket is refilled at most, by the own clock.
const refillInterval = 50 * time.Microsecond

// TokenBucket admits a process's jobs against its share of one budget: Take for a Rate,
// Begin and End for InFlight, Amount for Divided. It is safe for concurrent use, and no
// method on a job's path blocks.
//
// The bucket of a Rate is two counters, the tokens taken and the ceiling that they may
// reach, so that taking one is one atomic addition. A caller that arrives a refillInterval
// after the last refill refills the bucket, unless another one does. In an interval that
// begins with a level l, no more is taken than l and what the share refills: the level
// rises by refills only and never above the burst, it is clipped to the floor's burst,
// which is reserved with the floor, at the lease's expiry, and to 0 at the floor's. So all
// holders together take in a time t no more than the sum of their levels, which is at most
// Burst, plus their rates times t, which is at most Total times t.
type TokenBucket struct {
	refillAt          atomic.Int64 // a refill is worthwhile from then on
	ceilingValidUntil atomic.Int64 // the ceiling holds until then
	ceiling           atomic.Int64 // that taken may reach
	terms             atomic.Pointer[terms]
	taken             paddedCounter
	rejected          paddedCounter
	inFlight          paddedCounter

	peakInFlight, begun, latestDeadline atomic.Int64
	wantedAmount                        atomic.Uint64 // bits of a float64

	mu         sync.Mutex // of what follows; Take only tries it
	level      float64    // at refilledAt, without what was taken beyond base
	refilledAt time.Duration
	base       int64

	arrivalsAtRenewal                 atomic.Int64 // arrivals by the last renewal
	reportedDemand                    float64      // with the last renewal; under the Allowance's lock, like the next two
	rejectedAtRenewal, begunAtRenewal int64
}

// Take takes one token of a Rate at now, and reports whether there was one. It checks the
// lease first, so that a process that was stopped takes nothing of an expired share; now
// must be read just before the call.
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

// refill brings the bucket to now: what the share refills until the lease's expiry, then
// the floor until its own, clipped to the floor's burst. What was taken since the last
// refill is subtracted after the clip to the burst, as if it had been taken last, so that
// never too much is left.
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

// reset sets terms that have no end.
func (t *TokenBucket) reset(s *terms) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.terms.Store(s)
	t.level, t.base = 0, t.taken.Load()
	t.ceiling.Store(t.base + int64(s.amount))
	t.ceilingValidUntil.Store(int64(s.leaseEnd))
	t.refillAt.Store(math.MaxInt64)
}

// applyTerms replaces the terms; the old ones are used up to now first.
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

// Begin begins one job of an InFlight budget that ends by its deadline until, and reports
// whether it may. Each job that may must be ended by End. Begin counts the job first and
// checks the limit then, so that a share's new amount holds for all jobs that are not in
// the count reported with its acknowledgement. A job that may last longer than the budget's
// SettleTime is rejected: it could outlast the quarantine.
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

// End ends a job that Begin has begun.
func (t *TokenBucket) End() { t.inFlight.Add(-1) }

func storeMax(x *atomic.Int64, n int64) {
	for {
		if was := x.Load(); was >= n || x.CompareAndSwap(was, n) {
			return
		}
	}
}

// Amount returns the part of a Divided budget that this process may use at now; false: the
// budget does not exist (yet).
func (t *TokenBucket) Amount(now time.Duration) (float64, bool) {
	s := t.terms.Load()
	return s.amountAt(now), s != &unlimited
}

// RetryAfter returns after what time another attempt is worthwhile: for a Rate when it has
// worked off what it has rejected since the last renewal, a lease at most; else when the
// next renewal may have brought something.
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

// CanBegin reports whether Begin would admit another job at now, and takes nothing. For the
// goroutine that calls Begin the answer holds until the next grant.
func (t *TokenBucket) CanBegin(now time.Duration) bool {
	s := t.terms.Load()
	return s == &unlimited || s.kind == InFlight && float64(t.inFlight.Load()+1) <= s.amountAt(now)
}
