package scheduler

import (
	"math"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/admission"
	"basaltloft/internal/shared/saturating"
)

// runnerSession is the state that this leader keeps for one incarnation of a runner.
type runnerSession struct {
	id      string // instance ID of the incarnation
	address string

	service  string
	labels   []string
	capacity job.Resources
	listed   bool // in the platform's latest list
	ended    bool // the incarnation has ended
	// replacedBy is the other ID that a list last named at the address; empty if there was none.
	replacedBy string

	nextRunCheck time.Duration // time of the next check of its runs

	contact   runnerContact
	lease     leaseExchange
	load      runnerLoad
	drain     drainState
	suspicion suspicion
	speed     runnerSpeed

	probationLogged bool // the log has it as on probation
}

// runnerContact is the state of the contact with a runner: its replies and its clock.
type runnerContact struct {
	tokenAccepted     bool          // it has accepted this leader's token
	lastContact       time.Duration // arrival of its last reply
	clockMs           int64         // its clock's last reading, in milliseconds
	clockReadAt       time.Duration
	reportMs          int64 // its clock when it made the newest report
	missedPolls       int   // consecutive lease renewals without a reply
	startReplyOverdue bool  // the reply to an order to start is overdue, and nothing has arrived since
	timeoutCounted    bool  // the mass-timeout detector has counted that it is unresponsive
}

// leaseExchange is the state of the task leases at a runner and of the polls that renew them.
type leaseExchange struct {
	pending         bool          // a renewal waits for its reply
	rejectsToken    bool          // the runner rejects this leader's token, until the end of its incarnation
	sequence        uint64        // of the latest renewal
	replyDeadline   time.Duration // from then on the pending renewal counts as lost
	dueAt           time.Duration // when the next renewal is due
	replyAtOnce     bool          // the runner has to reply to the next renewal without waiting for a run to end
	allExpiredAt    time.Duration // when all leases are certain to have expired, if no more are granted
	ackedThrough    uint64        // reported ends up to this number are committed
	proposedThrough uint64        // reported ends up to this number have been proposed
}

// runnerLoad is the set of runs that are or may be active at a runner, and the resources they take.
type runnerLoad struct {
	runs     map[runKey]*run
	reserved job.Resources    // resources of all runs
	cost     float64          // total cost of all runs, in core-seconds
	costly   int              // number of runs that have a cost
	budget   admission.Budget // limits the total cost
}

// runnerSpeed holds how fast a runner is, as learned from its runs.
type runnerSpeed struct {
	slowdown admission.Average       // ratio of run times to the expected ones
	factor   admission.RunTimeFactor // ratio of run times to those of the same steps' tasks on other runners
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
	// contactTimeout is the time after a runner's last reply from which on it gets no new tasks and
	// no new leases.
	contactTimeout = 1200 * time.Millisecond
	// slowestClock is the lowest rate of a runner's clock that the deployment's rules allow.
	slowestClock = 0.98
	// clockReadingError is the maximum age of a reading of a runner's clock when it arrives.
	clockReadingError = 50 * time.Millisecond
)

// inContact reports whether the runner has replied recently.
func (c *runnerContact) inContact(now time.Duration) bool { return now-c.lastContact < contactTimeout }

// unresponsive reports whether a reply from the runner is overdue.
func (c *runnerContact) unresponsive() bool { return c.missedPolls > 0 || c.startReplyOverdue }

// clockAt returns the estimated time of the runner's clock, in milliseconds.
func (c *runnerContact) clockAt(now time.Duration) int64 {
	return c.clockMs + (now - c.clockReadAt).Milliseconds()
}

// latestLocalTime returns the monotonic time by which the runner's clock is certain to have passed
// deadlineMs, even if it runs at slowestClock.
func (c *runnerContact) latestLocalTime(deadlineMs int64) time.Duration {
	ahead := float64(deadlineMs-c.clockMs) / slowestClock
	return c.clockReadAt + saturating.Duration(math.Trunc(ahead)*float64(time.Millisecond)) + clockReadingError
}

// replied records a reply and its reading of the runner's clock; 0 means that it has no reading.
func (c *runnerContact) replied(now time.Duration, clockMs int64) {
	c.lastContact = now
	c.missedPolls = 0
	c.startReplyOverdue = false
	if clockMs > 0 {
		c.clockMs, c.clockReadAt = clockMs, now
	}
}

// takesWork reports whether new tasks may be assigned to the runner.
func (r *runnerSession) takesWork(now time.Duration) bool {
	return r.listed && !r.ended && !r.lease.rejectsToken && !r.drain.draining && r.contact.tokenAccepted && r.contact.inContact(now) && !r.contact.unresponsive()
}

// recordGrant records that an order was sent that allows tasks to run, or to start, until a
// deadline on the runner's clock.
func (r *runnerSession) recordGrant(deadlineMs int64) {
	r.lease.allExpiredAt = max(r.lease.allExpiredAt, r.contact.latestLocalTime(deadlineMs))
}

// leasesExpired reports whether all leases and start deadlines given to the runner are certain to
// have passed and the runner is out of contact.
func (r *runnerSession) leasesExpired(now time.Duration) bool {
	return now > r.lease.allExpiredAt && now-r.contact.lastContact > contactTimeout
}

// rack returns the label that names the runner's rack: by the protocol, it is the last label. It
// returns "" if the runner has no labels.
func (r *runnerSession) rack() string {
	if len(r.labels) == 0 {
		return ""
	}
	return r.labels[len(r.labels)-1]
}

// add adds a run and reserves its resources and cost.
func (l *runnerLoad) add(r *run) {
	l.runs[r.runKey] = r
	l.reserved = l.reserved.Add(r.resources)
	l.cost += r.cost
	if r.cost > 0 {
		l.costly++
	}
}

// remove removes a run and releases its resources and cost. It returns nil if there is no such run.
func (l *runnerLoad) remove(key runKey) *run {
	r := l.runs[key]
	if r == nil {
		return nil
	}
	delete(l.runs, key)
	l.reserved = l.reserved.Subtract(r.resources)
	l.cost = max(0, l.cost-r.cost)
	if r.cost > 0 {
		l.costly--
	}
	if l.costly == 0 {
		l.cost = 0 // clears floating-point rounding errors
	}
	return r
}

// mayProbe reports whether a suspect runner may get another probe. The end of a run with a cost
// shows whether the runner works; long-running runs, which have none, end only when they are
// cancelled.
func (r *runnerSession) mayProbe(now time.Duration) bool {
	return r.suspicion.probeDue(now) && r.load.costly < r.suspicion.maxRuns()
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

// minSlowdownRuns is the number of ended runs from which on their slowdown is used.
const minSlowdownRuns = 2

// recentSlowdown returns the average ratio of the runner's run times to the expected ones, or 1 if
// too few runs have ended.
func (s *runnerSpeed) recentSlowdown() float64 {
	if s.slowdown.Count < minSlowdownRuns {
		return 1
	}
	return s.slowdown.Value
}

// runnerTable holds the sessions with all incarnations that are listed or may have active runs.
type runnerTable struct {
	byID    map[string]*runnerSession
	inOrder []*runnerSession // in the order in which they were added
}

func newRunnerTable() *runnerTable { return &runnerTable{byID: map[string]*runnerSession{}} }

func (t *runnerTable) add(runner *runnerSession) {
	t.byID[runner.id] = runner
	t.inOrder = append(t.inOrder, runner)
}

// find returns the session and the run for a task's replicated run. The session is nil if the
// runner is unknown, the run is nil if the run is unknown.
func (t *runnerTable) find(ref job.TaskRef, live job.Run) (*runnerSession, *run) {
	runner := t.byID[live.Runner]
	if runner == nil {
		return nil, nil
	}
	return runner, runner.load.runs[runKey{task: ref, attempt: live.Attempt}]
}

// dropTerminated removes the incarnations without runs and without a pending renewal that have
// ended, or that are no longer listed and have been out of contact for some time.
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
