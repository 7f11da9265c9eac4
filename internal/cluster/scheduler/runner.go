package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/admission"
)

// runnerSession is this leader's dealing with one incarnation of a runner.
type runnerSession struct {
	id      string // instance ID of the incarnation
	address string

	service  string
	labels   []string
	capacity job.Resources
	listed   bool // in the platform's newest list
	ended    bool // the incarnation has ended

	nextRunCheck time.Duration // when its runs are checked again

	contact   runnerContact
	lease     leaseExchange
	load      runnerLoad
	drain     drainState
	suspicion suspicion
	speed     runnerSpeed
}

// runnerContact is what is known of the runner's clock and of when it last replied.
type runnerContact struct {
	fenced         bool          // it has replied to this leader's token
	lastContact    time.Duration // when a reply of it last arrived
	clockMs        int64         // its clock, in milliseconds, as of the last reading
	clockReadAt    time.Duration
	missedPolls    int  // lease renewals in a row without a reply
	replyPending   bool // an order to start has no reply, and nothing has come since
	timeoutCounted bool // that it is unresponsive was counted by the mass time-out detector
}

// leaseExchange is the state of the task leases at the runner and of the polls that renew them.
type leaseExchange struct {
	pending         bool          // a renewal is on its way
	fencedOff       bool          // the runner refuses this leader's token, for the rest of its incarnation
	sequence        uint64        // of the newest renewal
	replyDeadline   time.Duration // the pending renewal counts as lost from then on
	dueAt           time.Duration // when the next renewal is due
	replyAtOnce     bool          // the runner is not to wait for an end before it replies to the next one
	allExpiredAt    time.Duration // by then all leases have surely expired, if no more are granted
	ackedThrough    uint64        // reported ends up to it are committed
	proposedThrough uint64        // reported ends up to it were proposed
}

// runnerLoad is what runs, or may run, at the runner.
type runnerLoad struct {
	runs     map[runKey]*run
	reserved job.Resources    // of all runs
	cost     float64          // core-seconds in flight
	budget   admission.Budget // bounds the cost in flight
}

// runnerSpeed is what is known of how long tasks take at the runner.
type runnerSpeed struct {
	slowdown admission.Average       // run times over the expected ones
	factor   admission.RunTimeFactor // run times over those of the same steps' tasks elsewhere
}

func newRunnerSession(id, address string, now time.Duration) *runnerSession {
	return &runnerSession{
		id: id, address: address,
		contact: runnerContact{lastContact: now},
		lease:   leaseExchange{dueAt: now},
		load:    runnerLoad{runs: map[runKey]*run{}},
	}
}

const (
	// contactTimeout: a runner whose last reply is older gets no work and no new leases.
	contactTimeout = 1200 * time.Millisecond
	// slowestClock is the least rate of a runner's clock, by the deployment's rules.
	slowestClock = 0.98
	// clockReadingError is how much older than its arrival a reading of a runner's clock may be.
	clockReadingError = 50 * time.Millisecond
)

// inContact tells whether the runner replied lately.
func (c *runnerContact) inContact(now time.Duration) bool { return now-c.lastContact < contactTimeout }

// unresponsive tells whether the runner owes a reply that should have come.
func (c *runnerContact) unresponsive() bool { return c.missedPolls > 0 || c.replyPending }

// clockAt returns what the runner's clock shows, roughly, in milliseconds.
func (c *runnerContact) clockAt(now time.Duration) int64 {
	return c.clockMs + (now - c.clockReadAt).Milliseconds()
}

// surelyPast returns when a time on the runner's clock is past even if that clock is slow.
func (c *runnerContact) surelyPast(deadlineMs int64) time.Duration {
	ahead := float64(deadlineMs-c.clockMs) / slowestClock
	return c.clockReadAt + time.Duration(ahead)*time.Millisecond + clockReadingError
}

// replied notes a reply, with a reading of the runner's clock; 0: it has none.
func (c *runnerContact) replied(now time.Duration, clockMs int64) {
	c.lastContact = now
	c.missedPolls = 0
	c.replyPending = false
	if clockMs > 0 {
		c.clockMs, c.clockReadAt = clockMs, now
	}
}

// takesWork tells whether new tasks may be assigned to the runner.
func (r *runnerSession) takesWork(now time.Duration) bool {
	return r.listed && !r.ended && !r.lease.fencedOff && !r.drain.draining && r.contact.fenced && r.contact.inContact(now) && !r.contact.unresponsive()
}

// granted notes that an order left under which a task may run until a deadline on the runner's
// clock, or begin until then.
func (r *runnerSession) granted(deadlineMs int64) {
	r.lease.allExpiredAt = max(r.lease.allExpiredAt, r.contact.surelyPast(deadlineMs))
}

// leasesExpired tells whether all that the runner was granted has surely expired without its
// having been in contact.
func (r *runnerSession) leasesExpired(now time.Duration) bool {
	return now > r.lease.allExpiredAt && now-r.contact.lastContact > contactTimeout
}

// rack returns the label that names the runner's rack: by the protocol the last.
func (r *runnerSession) rack() string {
	if len(r.labels) == 0 {
		return ""
	}
	return r.labels[len(r.labels)-1]
}

func (l *runnerLoad) add(r *run) {
	l.runs[r.runKey] = r
	l.reserved = l.reserved.Add(r.resources)
	l.cost += r.cost
}

// remove forgets a run and gives back what it took; nil: there is no such run.
func (l *runnerLoad) remove(key runKey) *run {
	r := l.runs[key]
	if r == nil {
		return nil
	}
	delete(l.runs, key)
	l.reserved = l.reserved.Subtract(r.resources)
	l.cost = max(0, l.cost-r.cost)
	if len(l.runs) == 0 {
		l.cost = 0 // the sum of floating-point values may be off
	}
	return r
}

// hasCost tells whether a run is under way whose end will say something of the runner:
// long-running ones, which have no cost, end by being cancelled.
func (l *runnerLoad) hasCost() bool {
	for _, r := range l.runs {
		if r.cost > 0 {
			return true
		}
	}
	return false
}

// sorted returns the runs in a fixed order, so that the same inputs give the same output.
func (l *runnerLoad) sorted() []*run {
	runs := make([]*run, 0, len(l.runs))
	for _, r := range l.runs {
		runs = append(runs, r)
	}
	sortRuns(runs)
	return runs
}

// leastSlowdownRuns is how many runs must have ended before their slowdown counts.
const leastSlowdownRuns = 2

// recentSlowdown returns the runner's run times over the expected ones; 1 while that is not known.
func (s *runnerSpeed) recentSlowdown() float64 {
	if s.slowdown.Count < leastSlowdownRuns {
		return 1
	}
	return s.slowdown.Value
}

// runnerTable holds the sessions with all incarnations that are listed or may run something.
type runnerTable struct {
	byID    map[string]*runnerSession
	inOrder []*runnerSession // in the order of their coming
}

func newRunnerTable() *runnerTable { return &runnerTable{byID: map[string]*runnerSession{}} }

func (t *runnerTable) add(runner *runnerSession) {
	t.byID[runner.id] = runner
	t.inOrder = append(t.inOrder, runner)
}

// find returns a run by its runner, task and attempt, and the runner; nil: it is not known.
func (t *runnerTable) find(ref job.TaskRef, live job.Run) (*runnerSession, *run) {
	runner := t.byID[live.Runner]
	if runner == nil {
		return nil, nil
	}
	return runner, runner.load.runs[runKey{task: ref, attempt: live.Attempt}]
}

// dropTerminated forgets incarnations that have ended, or vanished from the list, and have nothing
// left.
func (t *runnerTable) dropTerminated(now time.Duration) {
	kept := t.inOrder[:0]
	for _, runner := range t.inOrder {
		vanished := !runner.listed && now-runner.contact.lastContact > 2*contactTimeout
		if (runner.ended || vanished) && len(runner.load.runs) == 0 && !runner.lease.pending {
			delete(t.byID, runner.id)
			continue
		}
		kept = append(kept, runner)
	}
	clear(t.inOrder[len(kept):])
	t.inOrder = kept
}
