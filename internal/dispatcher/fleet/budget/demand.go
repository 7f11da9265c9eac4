package budget

import (
	"math"
	"time"
)

// arrivals returns the number of attempts so far.
func (b *TokenBucket) arrivals() int64 { return b.taken.Load() + b.rejected.Load() + b.begun.Load() }

// usage returns what to report for the time since the last renewal. What is in flight is
// read before its latest deadline, which is set before the job counts.
func (b *TokenBucket) usage(now, since time.Duration) Usage {
	under, latest := b.unfinished(now)
	came, turned, begun := b.arrivals(), b.rejected.Load(), b.begun.Load()
	n := float64(came - b.arrivalsAtRenewal.Swap(came))
	refused, began := float64(turned-b.rejectedAtRenewal), float64(begun-b.begunAtRenewal)
	b.rejectedAtRenewal, b.begunAtRenewal = turned, begun
	switch s := b.terms.Load(); {
	case s.kind == Divided:
		b.reportedDemand = math.Float64frombits(b.wantedAmount.Load())
	case s.kind == InFlight || began > 0:
		d := float64(b.peakInFlight.Swap(int64(under)))
		if began > 0 {
			d = min(d+refused, d*(1+refused/began))
		} else {
			d += refused
		}
		b.reportedDemand = max(d, (b.reportedDemand+d)/2)
	default: // a significant change is reported as it is, the rest is smoothed
		if off := n - b.reportedDemand*since.Seconds(); math.Abs(off) > samplingError(n) {
			b.reportedDemand = n / since.Seconds()
		} else {
			b.reportedDemand += 0.3 * off / since.Seconds()
		}
	}
	if b.reportedDemand < 1e-3 {
		b.reportedDemand = 0
	}
	return Usage{Demand: min(b.reportedDemand, maxTotal), InFlight: under, MaxRemaining: latest}
}

// samplingError is the chance deviation of a count of n: three standard deviations of a
// Poisson distribution.
func samplingError(n float64) float64 { return 3 * math.Sqrt(max(n, 1)) }

// demandChanged reports whether the demand differs from the reported one, by half and by
// more than chance.
func (b *TokenBucket) demandChanged(since time.Duration) bool {
	s := b.terms.Load()
	if s.kind == Divided {
		return b.reportedDemand != math.Float64frombits(b.wantedAmount.Load())
	}
	if s.kind == InFlight {
		n, had := float64(b.rejected.Load()-b.rejectedAtRenewal)+float64(b.peakInFlight.Load()), b.reportedDemand
		return math.Abs(n-had) > max(n, had)/2+samplingError(had)
	}
	n, had := float64(b.arrivals()-b.arrivalsAtRenewal.Load()), b.reportedDemand*since.Seconds()
	return math.Abs(n-had) > max(n, had)/2+samplingError(had)
}

// unfinished returns the number of jobs in flight, and how long the longest may still last.
func (b *TokenBucket) unfinished(now time.Duration) (float64, time.Duration) {
	under := b.inFlight.Load()
	if under <= 0 {
		return 0, 0
	}
	return float64(under), max(time.Duration(b.latestDeadline.Load())-now, 0)
}

// SetDemand sets how much of a Divided budget this process would use if it could.
func (b *TokenBucket) SetDemand(x float64) { b.wantedAmount.Store(math.Float64bits(x)) }

// CountRejection counts a rejection that did not come from Begin, so that the demand is
// reported.
func (b *TokenBucket) CountRejection() { b.rejected.Add(1) }
