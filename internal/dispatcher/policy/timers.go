package policy

import (
	"slices"
	"time"
)

// tickInterval is the period of the tick, the timer that checks queues and attempts.
const tickInterval = 20 * time.Millisecond

// Tokens of the timers. The simulator's line protocol carries them.
const (
	tickToken        = "tick"   // queues and attempts are to be checked
	watchToken       = "watch"  // the watch of the worker list is to be renewed
	recheckToken     = "trial"  // a suspect worker is to be rechecked
	overdueToken     = "due"    // an attempt may be overdue
	startToken       = "start"  // an attempt should have started
	latestStartToken = "chance" // a waiting job may now be too late
)

// armTick sets the tick timer if it is not pending: while jobs are queued, and while jobs are open
// unless many dispatchers share the workers and few workers are busy. Everything else that comes due
// has its own timer.
func (d *Dispatcher) armTick() {
	queued := slices.ContainsFunc(d.queues, func(q *queue) bool { return len(q.jobs) > 0 })
	if !d.tickPending && (queued || len(d.jobs) > 0 && (!d.widelyShared || len(d.busy) >= manyMembers)) {
		d.tickPending = true
		d.host.Timer(tickInterval, tickToken)
	}
}
