package budget

import "time"

// Free tells whether Begin would let one more begin at now, and takes nothing. It
// may be asked by the thread that begins: between the two only a grant can come.
func (t *Tap) Free(now time.Duration) bool {
	s := t.terms.Load()
	return s == &open || s.kind == InFlight && float64(t.under.Load()+1) <= s.at(now)
}

// Short counts one that was turned away without a Begin, so that the demand is told.
func (t *Tap) Short() { t.turned.Add(1) }
