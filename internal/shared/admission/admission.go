// Package admission has the building blocks that decide when work starts: learned run times
// (RunTimeEstimates, RunTimeFactor), the budgets of runners (Budget), and the order in which ready work
// starts, with aging (Rank, Compare). The dispatcher's policy and the cluster scheduler both use them, so
// that a change here changes both. The package does no I/O and reads no clock: times are those of the
// caller's monotonic clock. Its types are not safe for concurrent use.
package admission

import "time"

// Average is a moving average over about as many values as the window that is passed to Add. The zero
// value is an average of no values.
type Average struct {
	Value float64
	Count float64 // number of values added, at most the window
}

// Add adds a value to the average. The window must be 1 or more.
func (a *Average) Add(value, window float64) {
	a.Count = min(a.Count+1, window)
	a.Value += (value - a.Value) / a.Count
}

// Known reports whether any value was added.
func (a *Average) Known() bool { return a.Count > 0 }

// ShrunkBudget returns what remains of a budget after a time-out, a slowdown or a rejection: the given
// fraction of it, which is between 0 and 1, but at least minimum.
func ShrunkBudget(budget, fraction, minimum float64) float64 { return max(budget*fraction, minimum) }

// Rank is the position of ready work in the order in which work starts.
type Rank struct {
	Aged   bool          // the work has waited so long that shorter work may no longer start before it
	AgedAt time.Duration // when the work became aged, or will
	Cost   float64       // expected cost, in the caller's unit
	Seq    uint64        // sequence number of its arrival: decides between equals
}

// Compare returns a negative number if a starts before b, a positive one if b starts before a, and 0 if
// they are equal. Aged work starts first, the longest aged before the others, and then the work with the
// lowest expected cost.
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

// beforeIf returns Compare's result: -1 if a starts before b, else 1.
func beforeIf(before bool) int {
	if before {
		return -1
	}
	return 1
}
