package budget

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"basaltloft/internal/shared/saturating"
)

// refillInterval is the least time between two refills of a bucket, by the process's own
// clock.
const refillInterval = 50 * time.Microsecond

// TokenBucket admits a process's jobs against its share of one budget: Take for a Rate,
// Begin and End for InFlight, Amount for Divided. It is safe for concurrent use, and no
// method on a job's path blocks.
//
// The bucket of a Rate has two counters, the tokens taken and the ceiling that they may
// reach, so that taking a token is one atomic addition. A caller that arrives a
// refillInterval after the last refill refills the bucket, unless another caller does. In
// an interval that begins with a level l, no more is taken than l and what the share
// refills: the level rises by refills only and never above the burst. It is clipped to the
// floor's burst, which is reserved with the floor, when the lease expires, and to 0 when the
// floor expires. So all holders together take in a time t no more than the sum of their
// levels, which is at most Burst, plus their rates times t, which is at most Total times t.
type TokenBucket struct {
	refillAt          atomic.Int64 // earliest time of the next refill
	ceilingValidUntil atomic.Int64 // no token may be taken from then on without a refill
	ceiling           atomic.Int64 // greatest allowed value of taken
	terms             atomic.Pointer[terms]
	taken             paddedCounter
	rejected          paddedCounter
	inFlight          paddedCounter

	peakInFlight, begun, latestDeadline atomic.Int64
	wantedAmount                        atomic.Uint64 // bits of a float64

	mu         sync.Mutex // guards the next three; Take only uses TryLock
	level      float64    // at refilledAt, before the tokens taken beyond base are subtracted
	refilledAt time.Duration
	base       int64 // value of taken at refilledAt

	arrivalsAtRenewal                 atomic.Int64 // arrivals up to the last renewal
	reportedDemand                    float64      // in the last renewal; Allowance.mu guards this and the next two
	rejectedAtRenewal, begunAtRenewal int64
}

// Take takes one token of a Rate at now, and reports whether there was one. It checks the
// lease first, so that a process that was suspended takes nothing of an expired share; now
// must be read just before the call.
func (b *TokenBucket) Take(now time.Duration) bool {
	if int64(now) >= b.refillAt.Load() && b.mu.TryLock() {
		b.refill(now)
		b.mu.Unlock()
	}
	if int64(now) < b.ceilingValidUntil.Load() && b.taken.Load() < b.ceiling.Load() {
		if b.taken.Add(1) <= b.ceiling.Load() {
			return true
		}
		b.taken.Add(-1)
	}
	b.rejected.Add(1)
	return false
}

// refill advances the bucket to now: it refills by the share until the lease's expiry, then
// by the floor until the floor's expiry, clipped to the floor's burst. What was taken since
// the last refill is subtracted after the clip to the burst, as if it had been taken last,
// so that never too much is left.
func (b *TokenBucket) refill(now time.Duration) {
	s := b.terms.Load()
	if s == &unlimited || s.kind != Rate {
		return
	}
	b.advance(min(now, s.leaseEnd), s.amount, s.burst)
	if now >= s.leaseEnd {
		b.advance(min(now, s.floorEnd), s.floor, s.floorBurst)
	}
	valid := s.leaseEnd
	if now >= s.leaseEnd {
		valid = s.floorEnd
	}
	if now >= s.floorEnd {
		b.level, valid = 0, 0
	}
	b.refilledAt = max(b.refilledAt, now)
	b.ceiling.Store(b.base + saturating.Int64(math.Floor(b.level)))
	b.ceilingValidUntil.Store(int64(valid))
	next := now + refillInterval
	if valid > now {
		next = min(next, valid)
	}
	b.refillAt.Store(int64(next))
}

func (b *TokenBucket) advance(to time.Duration, rate, burst float64) {
	if to > b.refilledAt {
		b.level += float64(rate * RefillPace * (to - b.refilledAt).Seconds())
		b.refilledAt = to
	}
	taken := min(b.taken.Load(), b.ceiling.Load()) // above the ceiling are attempts that Take undoes
	b.level = min(b.level, burst) - float64(taken-b.base)
	b.base = taken
}

// reset sets terms that do not refill: unlimited or blocked.
func (b *TokenBucket) reset(s *terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.terms.Store(s)
	b.level, b.base = 0, b.taken.Load()
	b.ceiling.Store(b.base + saturating.Int64(s.amount))
	b.ceilingValidUntil.Store(int64(s.leaseEnd))
	b.refillAt.Store(math.MaxInt64)
}

// applyTerms replaces the terms, after a refill by the old ones up to now.
func (b *TokenBucket) applyTerms(now time.Duration, s *terms, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.terms.Load()
	switch {
	case s.kind != Rate:
		b.ceiling.Store(0)
	case old == &unlimited || old == &blocked || old.kind != Rate:
		b.level, b.refilledAt, b.base = 0, now, b.taken.Load()
		b.ceiling.Store(b.base)
	default:
		b.refill(now)
		b.advance(now, 0, s.burst)
	}
	b.terms.Store(s)
	if full {
		b.level = s.burst
	}
	b.refill(now)
}

// Begin begins one job of an InFlight budget, which ends by its deadline until, and reports
// whether the job is admitted. Each admitted job must be ended by End. Begin counts the job
// before it checks the limit, so that a share's new amount holds for all jobs that are not
// in the count reported with its acknowledgement. A job that may last longer than the
// budget's SettleTime is rejected: it could outlast the quarantine.
func (b *TokenBucket) Begin(now, until time.Duration) bool {
	if until-now > b.terms.Load().settleTime {
		b.rejected.Add(1)
		return false
	}
	storeMax(&b.latestDeadline, int64(until))
	n := b.inFlight.Add(1)
	if s := b.terms.Load(); float64(n) > s.amountAt(now) || s.kind != InFlight && s != &unlimited {
		b.inFlight.Add(-1)
		b.rejected.Add(1)
		return false
	}
	storeMax(&b.peakInFlight, n)
	b.begun.Add(1)
	return true
}

// End ends a job that Begin has begun.
func (b *TokenBucket) End() { b.inFlight.Add(-1) }

func storeMax(x *atomic.Int64, n int64) {
	for {
		if was := x.Load(); was >= n || x.CompareAndSwap(was, n) {
			return
		}
	}
}

// Amount returns the part of a Divided budget that this process may use at now, and false if
// the budget does not exist (yet).
func (b *TokenBucket) Amount(now time.Duration) (float64, bool) {
	s := b.terms.Load()
	return s.amountAt(now), s != &unlimited
}

// RetryAfter returns the time after which another attempt may succeed: for a Rate, the time
// to admit as many jobs as arrived since the last renewal, a lease at most; otherwise the
// time until the next renewal may have granted more.
func (b *TokenBucket) RetryAfter(now time.Duration) time.Duration {
	s := b.terms.Load()
	rate := s.amountAt(now) * RefillPace
	if s == &unlimited {
		return 0
	}
	if s.kind != Rate || rate <= 0 {
		return max(s.lease/3, refillInterval)
	}
	perToken := saturating.Duration(float64(time.Second) / max(rate, 1e-3))
	return max(perToken, min(saturating.Duration(float64(b.arrivals()-b.arrivalsAtRenewal.Load())*float64(perToken)), s.lease))
}

// CanBegin reports whether Begin would admit another job at now, and changes nothing. For
// the goroutine that calls Begin the answer holds until the next grant.
func (b *TokenBucket) CanBegin(now time.Duration) bool {
	s := b.terms.Load()
	return s == &unlimited || s.kind == InFlight && float64(b.inFlight.Load()+1) <= s.amountAt(now)
}
