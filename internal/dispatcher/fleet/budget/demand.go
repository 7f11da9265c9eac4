package budget

import (
	"math"
	"time"
)

// arrivals returns the number of attempts so far.
func (t *TokenBucket) arrivals() int64 { return t.taken.Load() + t.rejected.Load() + t.begun.Load() }

// usage returns what to report for the time since the last renewal. What is in flight is
// read before its latest deadline, which is set before the job counts.
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

// samplingError is the chance deviation of a count of n: three standard deviations of a
// Poisson distribution.
func samplingError(n float64) float64 { return 3 * math.Sqrt(max(n, 1)) }

// demandChanged reports whether the demand differs from the reported one, by half and by
// more than chance.
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

// unfinished returns the number of jobs in flight, and how long the longest may still last.
func (t *TokenBucket) unfinished(now time.Duration) (float64, time.Duration) {
	under := t.inFlight.Load()
	if under <= 0 {
		return 0, 0
	}
	return float64(under), max(time.Duration(t.latestDeadline.Load())-now, 0)
}

// SetDemand sets how much of a Divided budget this process would use if it could.
func (t *TokenBucket) SetDemand(x float64) { t.wantedAmount.Store(math.Float64bits(x)) }

// CountRejection counts a rejection that did not come from Begin, so that the demand is
// reported.
func (t *TokenBucket) CountRejection() { t.rejected.Add(1) }
