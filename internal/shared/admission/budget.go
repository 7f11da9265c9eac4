package admission

import (
	"math"
	"time"
)

// Tunables of a runner's budget. None depends on a deployment.
const (
	startMeans  = 6.0  // a new runner's budget, in mean costs
	leastMeans  = 1.5  // least budget, in mean costs
	growShare   = 0.5  // part of a good run's cost by which a fully used budget grows
	shrinkPart  = 0.75 // what remains after a time-out, a slowing or a refusal
	costsWindow = 200.0
)

// MeanCost is the moving mean of the costs of what was started, which budgets are counted in.
type MeanCost struct{ cost Average }

// Add takes in the cost of a task that was started. One without a cost tells nothing of the
// others'.
func (m *MeanCost) Add(cost float64) {
	if cost > 0 {
		m.cost.Add(cost, costsWindow)
	}
}

// Mean returns the mean cost; 1 while nothing is known.
func (m *MeanCost) Mean() float64 {
	if !m.cost.Known() {
		return 1
	}
	return m.cost.Value
}

// Budget bounds the sum of the estimated costs that are out at one runner.
type Budget struct {
	amount  float64       // 0: not yet set
	full    bool          // it has held work back since it last grew
	since   time.Duration // from when on it has
	lastCut time.Duration
}

// Headroom returns what the budget leaves beside what is out. While no cost is known the budget
// is not set, and it leaves everything.
func (b *Budget) Headroom(out float64, means *MeanCost) float64 {
	if b.amount == 0 && !means.cost.Known() {
		return math.MaxFloat64
	}
	b.set(out, means)
	return b.amount - out
}

// set begins a budget with a few mean costs beside what is out: where that comes from an
// earlier dispatcher, its budget had let it out, and the runner carries it.
func (b *Budget) set(out float64, means *MeanCost) {
	if b.amount == 0 {
		b.amount = out + startMeans*means.Mean()
	}
}

// growAfter is how long a budget holds work back, without a sign of trouble, before it grows
// by itself: what runs at its runner may last, and end no run that would let it grow.
const growAfter = 400 * time.Millisecond

// NoteBlocked notes that the budget kept work of that cost from its runner.
func (b *Budget) NoteBlocked(now time.Duration, cost, most float64) {
	if !b.full {
		b.full, b.since = true, now
		return
	}
	if now-max(b.since, b.lastCut) > growAfter {
		b.Grow(cost, most)
	}
}

// Grow lets a budget that was fully used grow by a run that ended well, up to a bound.
func (b *Budget) Grow(cost, most float64) {
	if !b.full || b.amount == 0 {
		return
	}
	b.full = false
	b.amount = min(b.amount+growShare*cost+growShare*b.amount, max(b.amount, most))
}

// Shrink cuts the budget, once for all that was sent in one round trip.
func (b *Budget) Shrink(sentAt, now time.Duration, means *MeanCost) {
	if sentAt < b.lastCut {
		return
	}
	b.set(0, means)
	b.amount = ShrunkBudget(b.amount, shrinkPart, leastMeans*means.Mean())
	b.lastCut = now
}
