package admission

import "time"

// Parameters of a runner's budget. None depends on the deployment.
const (
	initialMeans   = 6.0   // a new runner's budget, in mean costs
	minMeans       = 1.5   // minimum budget, in mean costs
	growthFraction = 0.5   // part of a successful run's cost, and of the budget, by which an exhausted budget grows
	shrinkFraction = 0.75  // part of the budget that remains after a time-out, a slowdown or a rejection
	meanCostWindow = 200.0 // window of the mean cost, in starts
)

// growAfter is how long a budget must have blocked work, without shrinking meanwhile, before it grows
// on its own. Otherwise a budget grows only after a successful run, which may take long where runs are long.
const growAfter = 400 * time.Millisecond

// MeanCost is the moving average of the costs of started tasks. It is the unit of the initial and the
// minimum budget. The zero value is an average of no tasks.
type MeanCost struct{ average Average }

// Add adds the cost of a task that was started. A cost of 0 means that the cost is unknown, and is
// ignored.
func (m *MeanCost) Add(cost float64) {
	if cost > 0 {
		m.average.Add(cost, meanCostWindow)
	}
}

// Mean returns the mean cost, or 1 if no cost was added yet.
func (m *MeanCost) Mean() float64 {
	if !m.average.Known() {
		return 1
	}
	return m.average.Value
}

// Budget limits the sum of the estimated costs of the tasks in flight at one runner. The zero value is
// the budget of a new runner.
type Budget struct {
	amount         float64       // 0: not yet set
	exhausted      bool          // it has blocked work since it last grew
	exhaustedSince time.Duration // when it first did
	lastShrunk     time.Duration
}

// Headroom returns the part of the budget that the cost in flight leaves unused. As long as no cost is
// known the budget is not set.
func (b *Budget) Headroom(inFlight float64, mean *MeanCost) Headroom {
	if b.amount == 0 && !mean.average.Known() {
		return Headroom{BudgetNotSet: true}
	}
	b.initialize(inFlight, mean)
	return Headroom{Amount: b.amount - inFlight}
}

// initialize sets a new budget to a few mean costs above the cost in flight. Work that an earlier dispatcher
// has started there was within that dispatcher's budget, so that the runner can handle it.
func (b *Budget) initialize(inFlight float64, mean *MeanCost) {
	if b.amount == 0 {
		b.amount = inFlight + float64(initialMeans*mean.Mean())
	}
}

// RecordBlocked records that the budget kept work of that cost from starting. A budget that has blocked
// work for longer than growAfter grows, up to maximum.
func (b *Budget) RecordBlocked(now time.Duration, cost, maximum float64) {
	if !b.exhausted {
		b.exhausted, b.exhaustedSince = true, now
		return
	}
	if now-max(b.exhaustedSince, b.lastShrunk) > growAfter {
		b.Grow(cost, maximum)
	}
}

// Grow increases the budget, up to maximum, after a successful run of that cost. It does nothing if the
// budget has not blocked any work since it last grew.
func (b *Budget) Grow(cost, maximum float64) {
	if !b.exhausted || b.amount == 0 {
		return
	}
	b.exhausted = false
	b.amount = min(b.amount+float64(growthFraction*cost)+float64(growthFraction*b.amount), max(b.amount, maximum))
}

// Shrink reduces the budget after a time-out, a slowdown or a rejection of work that was sent at sentAt.
// It does nothing if the budget has shrunk since then, so that the failures of one round trip count once.
func (b *Budget) Shrink(sentAt, now time.Duration, mean *MeanCost) {
	if sentAt < b.lastShrunk {
		return
	}
	b.initialize(0, mean)
	b.amount = ShrunkBudget(b.amount, shrinkFraction, minMeans*mean.Mean())
	b.lastShrunk = now
}
