// Package lateness accounts for where a job's time went: each task's waits, runs and losses by
// their cause, and of a job the critical path, which is the chain of tasks that its end waited for.
// It does no I/O and keeps no clock: package scheduler tells it what happens, and logs what it finds
// of jobs that missed their objective; basaltloftctl late reads those log lines (ReadLog, Print).
package lateness

import "time"

// Cause is where time went.
type Cause uint8

// Causes.
const (
	PreviousLeader Cause = iota // before this leader had the job: under another leader, or none
	Commit                      // until a start was committed
	Queued                      // behind other work that only budgets kept from starting
	Budget                      // until a runner's budget had headroom
	Capacity                    // until a suitable runner had capacity
	Rack                        // for a runner near its data, or for one rack
	Gang                        // with its gang: not all members had capacity, or another member's run ended
	Unresponsive                // a run at a runner that was unresponsive, or whose order got no reply
	Migrated                    // a run that was stopped, since it was slow or its runner drained
	Failed                      // a run that failed
	Remote                      // longer, since away from its data
	SlowRunner                  // longer, since the runner is slower than others
	Work                        // the run that counted, as long as it takes near its data at a normal runner

	CauseCount // how many there are
)

// causeNames are the names in logs and in the tables of basaltloftctl late. Operators' scripts may
// read both: they stay as they are.
var causeNames = [CauseCount]string{
	PreviousLeader: "earlier", Commit: "commit", Queued: "behind", Budget: "budget", Capacity: "capacity",
	Rack: "rack", Gang: "gang", Unresponsive: "silent", Migrated: "moved", Failed: "failed",
	Remote: "far", SlowRunner: "slow", Work: "work",
}

// String returns the name that stands in logs.
func (c Cause) String() string { return causeNames[c] }

// ParseCause returns the cause of a name; false: there is none.
func ParseCause(name string) (Cause, bool) {
	for at, known := range causeNames {
		if known == name {
			return Cause(at), true
		}
	}
	return 0, false
}

// Breakdown is time by cause.
type Breakdown [CauseCount]time.Duration

// Plus returns the sum.
func (b Breakdown) Plus(other Breakdown) Breakdown {
	for at := range b {
		b[at] += other[at]
	}
	return b
}

// Minus returns the difference.
func (b Breakdown) Minus(other Breakdown) Breakdown {
	for at := range b {
		b[at] -= other[at]
	}
	return b
}

// Total returns the sum over all causes.
func (b Breakdown) Total() time.Duration {
	sum := time.Duration(0)
	for _, span := range b {
		sum += span
	}
	return sum
}

// Largest returns the cause, other than the work itself, that took most.
func (b Breakdown) Largest() Cause {
	largest := PreviousLeader
	for cause := range Work {
		if b[cause] > b[largest] {
			largest = cause
		}
	}
	return largest
}

// Objective returns the time that a job may take from its arrival to its end: so many times its
// work, and the target beside that.
func Objective(work time.Duration, extension float64, target time.Duration) time.Duration {
	return time.Duration(extension*float64(work)) + target
}

// QueueAccount is the account of one step's waiting tasks: they are alike, so that what one waits
// for the others do too.
type QueueAccount struct {
	waited Breakdown
	at     time.Duration // up to which it is accounted for
	cause  Cause         // what has been waited for since
}

// NewQueueAccount returns the account of tasks that have become ready.
func NewQueueAccount(now time.Duration) *QueueAccount {
	return &QueueAccount{at: now, cause: Capacity}
}

// Wait accounts the time since the last call to what was then waited for, and notes what is
// waited for from now on.
func (q *QueueAccount) Wait(now time.Duration, cause Cause) {
	q.waited[q.cause] += max(0, now-q.at)
	q.at, q.cause = now, cause
}

// Waited returns what was waited for so far.
func (q *QueueAccount) Waited(now time.Duration) Breakdown {
	waited := q.waited
	waited[q.cause] += max(0, now-q.at)
	return waited
}

// TaskAccount is the account of one task. The zero value is that of a task that has never waited.
type TaskAccount struct {
	spent        Breakdown
	waitedBefore Breakdown // what its queue had waited when the task last became ready
}

// Ready notes that the task waits, for the first time or again.
func (t *TaskAccount) Ready(queue Breakdown) { t.waitedBefore = queue }

// Started notes that a start of the task is decided.
func (t *TaskAccount) Started(queue Breakdown) { t.spent = t.spent.Plus(queue.Minus(t.waitedBefore)) }

// Add notes time that went.
func (t *TaskAccount) Add(cause Cause, span time.Duration) { t.spent[cause] += max(0, span) }

// Completed notes the run that counted: remoteFactor is how many times longer it took by its
// distance from its data, and runnerFactor by its runner. The rest is its work.
func (t *TaskAccount) Completed(took time.Duration, remoteFactor, runnerFactor float64) {
	local := time.Duration(float64(took) / remoteFactor)
	work := time.Duration(float64(local) / runnerFactor)
	t.Add(Remote, took-local)
	t.Add(SlowRunner, local-work)
	t.Add(Work, min(work, local))
}

// CriticalPath is the account of the chain of tasks that a step's end waited for.
type CriticalPath struct {
	Spent Breakdown
	End   time.Duration // when the step ended
}

// ExtendPath returns the path of a step whose last task has ended now: that of the step it waited
// for longest, and the task's own.
func ExtendPath(before []CriticalPath, last *TaskAccount, now time.Duration) CriticalPath {
	latest := CriticalPath{}
	for _, path := range before {
		if path.End >= latest.End {
			latest = path
		}
	}
	return CriticalPath{Spent: latest.Spent.Plus(last.spent), End: now}
}
