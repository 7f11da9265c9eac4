// Package admission has the parts of the design that decide when work leaves: learned run
// times, budgets of runners, and the aged order. The dispatcher in service and the cluster
// scheduler both use them. It does no I/O and keeps no clock.
package admission

import "time"

// Average is a moving average over about so many values as its window says.
type Average struct {
	Value float64
	Count float64 // of values seen, up to the window
}

// Add takes a value in.
func (a *Average) Add(value, window float64) {
	a.Count = min(a.Count+1, window)
	a.Value += (value - a.Value) / a.Count
}

// Known tells whether any value was seen.
func (a *Average) Known() bool { return a.Count > 0 }

// ShrunkBudget is what remains of a budget after a time-out, a slowing or a refusal.
func ShrunkBudget(budget, part, least float64) float64 { return max(budget*part, least) }

// Rank is the place of a piece of ready work in the order in which work leaves.
type Rank struct {
	Aged   bool          // no shorter work may pass it any more
	AgedAt time.Duration // since when, or from when on
	Cost   float64       // what is expected of it
	Seq    uint64        // of its coming
}

// Compare puts aged work first, the longest aged before the others, and then the shortest
// expected. It is negative where a goes before b.
func Compare(a, b Rank) int {
	switch {
	case a.Aged != b.Aged:
		return first(a.Aged)
	case a.Aged && a.AgedAt != b.AgedAt:
		return first(a.AgedAt < b.AgedAt)
	case a.Cost != b.Cost:
		return first(a.Cost < b.Cost)
	case a.Seq != b.Seq:
		return first(a.Seq < b.Seq)
	}
	return 0
}

func first(before bool) int {
	if before {
		return -1
	}
	return 1
}
