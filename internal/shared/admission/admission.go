// Package admission has the parts of the design that decide when work starts: learned run times
// (RunTimeEstimates, RunTimeFactor), the budgets of runners (Budget), and the aged order (Rank,
// Compare). The dispatcher's policy and the cluster scheduler both use them, so that a change here
// is a change of both. It does no I/O and keeps no clock: times are those of the caller's monotonic
// clock. Its types are not safe for concurrent use.
package admission

import "time"

// Average is a moving average over about so many values as its window says. The zero value has
// seen none.
type Average struct {
	Value float64
	Count float64 // of values seen, up to the window
}

// Add takes a value in. The window is 1 or more.
func (a *Average) Add(value, window float64) {
	a.Count = min(a.Count+1, window)
	a.Value += (value - a.Value) / a.Count
}

// Known tells whether any value was seen.
func (a *Average) Known() bool { return a.Count > 0 }

// ShrunkBudget is what remains of a budget after a time-out, a slowing or a refusal: a part of it,
// between 0 and 1, and no less than least.
func ShrunkBudget(budget, fraction, least float64) float64 { return max(budget*fraction, least) }

// Rank is the place of a piece of ready work in the order in which work starts.
type Rank struct {
	Aged   bool          // no shorter work may pass it any more
	AgedAt time.Duration // since when, or from when on
	Cost   float64       // what is expected of it, in the caller's unit
	Seq    uint64        // of its arrival: decides between equals
}

// Compare puts aged work first, the longest aged before the others, and then the shortest
// expected. It is negative where a goes before b.
func Compare(a, b Rank) int {
	switch {
	case a.Aged != b.Aged:
		return beforeIf(a.Aged)
	case a.Aged && a.AgedAt != b.AgedAt:
		return beforeIf(a.AgedAt < b.AgedAt)
	case a.Cost != b.Cost:
		return beforeIf(a.Cost < b.Cost)
	case a.Seq != b.Seq:
		return beforeIf(a.Seq < b.Seq)
	}
	return 0
}

// beforeIf returns Compare's result for a that goes before b, or after it.
func beforeIf(before bool) int {
	if before {
		return -1
	}
	return 1
}
