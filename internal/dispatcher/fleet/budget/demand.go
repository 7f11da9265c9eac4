package budget

import (
	"math"
	"time"

	"basaltloft/internal/shared/saturating"
)

// arrivals returns the number of jobs so far, admitted or rejected.
func (b *TokenBucket) arrivals() int64 { return b.taken.Load() + b.rejected.Load() + b.begun.Load() }

// usage returns the report for the time since the last renewal. The number of jobs in
// flight is read before their latest deadline, which Begin sets before it counts the job.
func (b *TokenBucket) usage(now, since time.Duration) Usage {
	inFlight, remaining := b.unfinished(now)
	arrivedTotal, rejectedTotal, begun := b.arrivals(), b.rejected.Load(), b.begun.Load()
	n := float64(arrivedTotal - b.arrivalsAtRenewal.Swap(arrivedTotal))
	newRejected, newBegun := float64(rejectedTotal-b.rejectedAtRenewal), float64(begun-b.begunAtRenewal)
	b.rejectedAtRenewal, b.begunAtRenewal = rejectedTotal, begun
	switch s := b.terms.Load(); {
	case s.kind == Divided:
		b.reportedDemand = math.Float64frombits(b.wantedAmount.Load())
	case s.kind == InFlight || newBegun > 0:
		d := float64(b.peakInFlight.Swap(saturating.Int64(inFlight)))
		if newBegun > 0 {
			d = min(d+newRejected, d*(1+newRejected/newBegun))
		} else {
			d += newRejected
		}
		b.reportedDemand = max(d, (b.reportedDemand+d)/2)
	default: // a significant change is reported unsmoothed, a smaller one smoothed
		if deviation := n - float64(b.reportedDemand*since.Seconds()); math.Abs(deviation) > samplingError(n) {
			b.reportedDemand = n / since.Seconds()
		} else {
			b.reportedDemand += 0.3 * deviation / since.Seconds()
		}
	}
	if b.reportedDemand < 1e-3 {
		b.reportedDemand = 0
	}
	return Usage{Demand: min(b.reportedDemand, maxTotal), InFlight: inFlight, MaxRemaining: remaining}
}

// samplingError returns the deviation of a count of n that is still random variation: three
// standard deviations of a Poisson distribution.
func samplingError(n float64) float64 { return 3 * math.Sqrt(max(n, 1)) }

// demandChanged reports whether the demand differs from the reported one by more than half
// of the greater and by more than random variation.
func (b *TokenBucket) demandChanged(since time.Duration) bool {
	s := b.terms.Load()
	if s.kind == Divided {
		return b.reportedDemand != math.Float64frombits(b.wantedAmount.Load())
	}
	if s.kind == InFlight {
		n, reported := float64(b.rejected.Load()-b.rejectedAtRenewal)+float64(b.peakInFlight.Load()), b.reportedDemand
		return math.Abs(n-reported) > max(n, reported)/2+samplingError(reported)
	}
	n, reported := float64(b.arrivals()-b.arrivalsAtRenewal.Load()), float64(b.reportedDemand*since.Seconds())
	return math.Abs(n-reported) > max(n, reported)/2+samplingError(reported)
}

// unfinished returns the number of jobs in flight, and the time until their latest deadline.
func (b *TokenBucket) unfinished(now time.Duration) (float64, time.Duration) {
	n := b.inFlight.Load()
	if n <= 0 {
		return 0, 0
	}
	return float64(n), max(time.Duration(b.latestDeadline.Load())-now, 0)
}

// SetDemand sets how much of a Divided budget this process would use without a limit.
func (b *TokenBucket) SetDemand(x float64) { b.wantedAmount.Store(math.Float64bits(x)) }

// CountRejection counts a rejection that did not come from Begin, so that it is part of the
// reported demand.
func (b *TokenBucket) CountRejection() { b.rejected.Add(1) }
