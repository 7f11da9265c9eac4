package admission

import (
	"math"
	"time"
)

// Tunables of a runner's budget. None depends on a deployment.
const (
	initialMeans   = 6.0   // a new runner's budget, in mean costs
	leastMeans     = 1.5   // least budget, in mean costs
	growthFraction = 0.5   // part of a good run's cost, and of the budget, by which a fully used budget grows
	shrinkFraction = 0.75  // what remains after a time-out, a slowing or a refusal
	meanCostWindow = 200.0 // window of the mean cost, in starts
)

// growAfter is how long a budget keeps work from starting, without a sign of trouble, before it
// grows by itself: what runs at its runner may take long, and end no run that would let it grow.
const growAfter = 400 * time.Millisecond

// MeanCost is the moving mean of the costs of what was started, which budgets are counted in. The
// zero value has seen no start.
type MeanCost struct{ average Average }

// Add takes in the cost of a task that was started. One without a cost says nothing of the
// others'.
func (m *MeanCost) Add(cost float64) {
	if cost > 0 {
		m.average.Add(cost, meanCostWindow)
	}
}

// Mean returns the mean cost; 1 while nothing is known.
func (m *MeanCost) Mean() float64 {
	if !m.average.Known() {
		return 1
	}
	return m.average.Value
}

// Budget bounds the sum of the estimated costs that are in flight at one runner. The zero value is
// that of a new runner.
type Budget struct {
	amount     float64       // 0: not yet set
	exhausted  bool          // it has kept work from starting since it last grew
	since      time.Duration // from when on it has
	lastShrunk time.Duration
}

// Headroom returns what the budget leaves beside the cost in flight; negative: it is exceeded.
// While no cost is known the budget is not set, and it leaves everything.
func (b *Budget) Headroom(inFlight float64, mean *MeanCost) float64 {
	if b.amount == 0 && !mean.average.Known() {
		return math.MaxFloat64
	}
	b.initialize(inFlight, mean)
	return b.amount - inFlight
}

// initialize sets a new budget to a few mean costs beside the cost in flight: where that comes from
// an earlier dispatcher, its budget had allowed it, and the runner carries it.
func (b *Budget) initialize(inFlight float64, mean *MeanCost) {
	if b.amount == 0 {
		b.amount = inFlight + initialMeans*mean.Mean()
	}
}

// RecordBlocked notes that the budget kept work of that cost from starting. Where it has done so for
// a while it grows, up to most.
func (b *Budget) RecordBlocked(now time.Duration, cost, most float64) {
	if !b.exhausted {
		b.exhausted, b.since = true, now
		return
	}
	if now-max(b.since, b.lastShrunk) > growAfter {
		b.Grow(cost, most)
	}
}

// Grow lets a budget that was fully used grow by a run of that cost that ended well, up to most.
func (b *Budget) Grow(cost, most float64) {
	if !b.exhausted || b.amount == 0 {
		return
	}
	b.exhausted = false
	b.amount = min(b.amount+growthFraction*cost+growthFraction*b.amount, max(b.amount, most))
}

// Shrink cuts the budget after a time-out, a slowing or a refusal of what was sent at sentAt, once
// for all that was sent in one round trip.
func (b *Budget) Shrink(sentAt, now time.Duration, mean *MeanCost) {
	if sentAt < b.lastShrunk {
		return
	}
	b.initialize(0, mean)
	b.amount = ShrunkBudget(b.amount, shrinkFraction, leastMeans*mean.Mean())
	b.lastShrunk = now
}
