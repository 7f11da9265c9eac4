package policy

import (
	"slices"
	"time"
)

// tickInterval is the period of the tick.
const tickInterval = 20 * time.Millisecond

// Tokens of the timers. The simulator's line protocol carries them.
const (
	tickToken    = "tick"   // the regular look at queues and attempts
	watchToken   = "watch"  // the list is to be watched again
	recheckToken = "trial"  // a suspect worker is to be tried
	overdueToken = "due"    // an attempt may be overdue
	startToken   = "start"  // an attempt should have started
	chanceToken  = "chance" // the last moment at which a job can start
)

// armTick sets the tick while jobs are queued, and while attempts are in flight unless many
// dispatchers share the workers. All else that comes due has its own timer.
func (d *Dispatcher) armTick() {
	queued := slices.ContainsFunc(d.queues, func(q *queue) bool { return len(q.jobs) > 0 })
	if !d.tickPending && (queued || len(d.jobs) > 0 && (!d.crowded || len(d.busy) >= manyMembers)) {
		d.tickPending = true
		d.host.Timer(tickInterval, tickToken)
	}
}
