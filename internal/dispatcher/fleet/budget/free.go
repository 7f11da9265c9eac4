package budget

import "time"

// CanBegin tells whether Begin would let one more begin at now, and takes nothing. It
// may be asked by the thread that begins: between the two only a grant can come.
func (t *TokenBucket) CanBegin(now time.Duration) bool {
	s := t.terms.Load()
	return s == &unlimited || s.kind == InFlight && float64(t.inFlight.Load()+1) <= s.amountAt(now)
}

// CountRejection counts one that was turned away without a Begin, so that the demand is told.
func (t *TokenBucket) CountRejection() { t.rejected.Add(1) }
