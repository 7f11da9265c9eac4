package budget

import "time"

// CanBegin reports whether Begin would admit another job at now, and takes nothing. For the
// goroutine that calls Begin the answer holds until the next grant.
func (t *TokenBucket) CanBegin(now time.Duration) bool {
	s := t.terms.Load()
	return s == &unlimited || s.kind == InFlight && float64(t.inFlight.Load()+1) <= s.amountAt(now)
}

// CountRejection counts a rejection that did not come from Begin, so that the demand is
// reported.
func (t *TokenBucket) CountRejection() { t.rejected.Add(1) }
