// Package lateness accounts for where a job's time went: each task's waits, runs and losses by
// their cause, and of a job the chain of tasks that its end waited for. It does no I/O and
// keeps no clock; the scheduler tells it what happens, and logs what it finds of late jobs.
package lateness

import "time"

// Cause is where time went.
type Cause uint8

// CauseCount.
const (
	PreviousLeader Cause = iota // before this owner had the job: under another owner, or none
	Commit                      // until a start was committed
	Queued                      // behind other work that only budgets held back
	Budget                      // no runner's budget had room
	Capacity                    // no suitable runner had room
	Rack                        // for a place near its data, or on one rack
	Gang                        // with its gang: not all members had room, or another member's run ended
	Unresponsive                // a run at a runner that was not heard of, or whose order was not answered
	Migrated                    // a run that was stopped, since it crawled or its runner left
	Failed                      // a run that failed
	Remote                      // longer, since far from its data
	SlowRunner                  // longer, since the runner is slower than others
	Work                        // the run that counted, as long as it takes near its data at a usual runner
	CauseCount                  // how many there are
)

var names = [CauseCount]string{"earlier", "commit", "behind", "budget", "capacity", "rack", "gang", "silent", "moved", "failed", "far", "slow", "work"}

// String returns the name that stands in logs.
func (c Cause) String() string { return names[c] }

// ParseCause returns the cause of a name.
func ParseCause(name string) (Cause, bool) {
	for at, known := range names {
		if known == name {
			return Cause(at), true
		}
	}
	return 0, false
}

// Breakdown is time by cause.
type Breakdown [CauseCount]time.Duration

// Plus returns the sum.
func (s Breakdown) Plus(other Breakdown) Breakdown {
	for at := range s {
		s[at] += other[at]
	}
	return s
}

// Minus returns the difference.
func (s Breakdown) Minus(other Breakdown) Breakdown {
	for at := range s {
		s[at] -= other[at]
	}
	return s
}

// Total returns the sum of all.
func (s Breakdown) Total() time.Duration {
	sum := time.Duration(0)
	for _, span := range s {
		sum += span
	}
	return sum
}

// Largest returns the cause, other than the work itself, that took most.
func (s Breakdown) Largest() Cause {
	worst := PreviousLeader
	for at := range Work {
		if s[at] > s[worst] {
			worst = at
		}
	}
	return worst
}

// Objective returns the time that a job's owner owes it, from its coming to its end.
func Objective(work time.Duration, extension float64, target time.Duration) time.Duration {
	return time.Duration(extension*float64(work)) + target
}

// QueueAccount is the account of one step's waiting tasks: they are alike, so that what one waits for
// the others do too.
type QueueAccount struct {
	waited Breakdown
	at     time.Duration // up to which it is accounted for
	cause  Cause
}

// NewQueueAccount returns the account of tasks that have become ready.
func NewQueueAccount(now time.Duration) *QueueAccount { return &QueueAccount{at: now, cause: Capacity} }

// Wait accounts the time since the last call to what was then waited for, and notes what is
// waited for from now on.
func (q *QueueAccount) Wait(now time.Duration, cause Cause) {
	q.waited[q.cause] += max(0, now-q.at)
	q.at, q.cause = now, cause
}

// Waited returns what was waited for so far.
func (q *QueueAccount) Waited(now time.Duration) Breakdown {
	so := q.waited
	so[q.cause] += max(0, now-q.at)
	return so
}

// TaskAccount is the account of one task.
type TaskAccount struct {
	spent Breakdown
	base  Breakdown // what its queue had waited when the task last became ready
}

// Ready notes that the task waits, for the first time or again.
func (t *TaskAccount) Ready(queue Breakdown) { t.base = queue }

// Started notes that a start of the task is decided.
func (t *TaskAccount) Started(queue Breakdown) { t.spent = t.spent.Plus(queue.Minus(t.base)) }

// Add notes time that went.
func (t *TaskAccount) Add(cause Cause, span time.Duration) { t.spent[cause] += max(0, span) }

// Completed notes the run that counted: how much longer it took by the distance from its data and by
// its runner, as factors, and its work.
func (t *TaskAccount) Completed(took time.Duration, far, slow float64) {
	near := time.Duration(float64(took) / far)
	work := time.Duration(float64(near) / slow)
	t.Add(Remote, took-near)
	t.Add(SlowRunner, near-work)
	t.Add(Work, min(work, near))
}

// CriticalPath is the account of the chain of tasks that a step's end waited for.
type CriticalPath struct {
	Spent Breakdown
	End   time.Duration
}

// ExtendPath returns the path of a step whose last task has ended now: that of the step it waited
// for last, and the task's own.
func ExtendPath(before []CriticalPath, last *TaskAccount, now time.Duration) CriticalPath {
	path := CriticalPath{End: now}
	latest := CriticalPath{}
	for _, one := range before {
		if one.End >= latest.End {
			latest = one
		}
	}
	path.Spent = latest.Spent.Plus(last.spent)
	return path
}
