// Package lateness attributes the time that a job took to causes. It accounts for each task's waits, runs and
// lost runs, and adds them up along the job's critical path, which is the chain of tasks that determined when
// the job ended.
//
// It reads no clock, and does no I/O apart from ReadLog and Print. Package scheduler reports events to it, and
// logs the accounts of jobs that missed their objective. The command basaltloftctl late reads these log lines
// (ReadLog) and prints tables of them (Print).
package lateness

import (
	"time"

	"basaltloft/internal/shared/saturating"
)

// Cause is what a job's time was spent on.
type Cause uint8

// Parts into which a job's time is divided: waits, lost runs, additional run time, and the work itself.
const (
	PreviousLeader Cause = iota // time before this leader had the job: under another leader, or without one
	Commit                      // wait for the commit of a start
	Queued                      // wait behind other work that was blocked only by budgets
	Budget                      // wait for headroom in a runner's budget
	Capacity                    // wait for capacity at a feasible runner
	Rack                        // wait for a runner near the data, or in a required rack
	Gang                        // wait for capacity for all members of the gang, or a run lost with another member's
	Unresponsive                // run lost at an unresponsive runner, or because an order got no reply
	Migrated                    // run that was stopped because it was slow or its runner was draining
	Failed                      // run that failed
	Remote                      // additional run time because the runner was away from the data
	SlowRunner                  // additional run time because the runner was slower than others
	Work                        // time of the successful run, as it would be near the data at a normal runner

	CauseCount // number of causes
)

// causeNames are the names in logs and in the tables of basaltloftctl late. They must not change, since
// operators' scripts may read both.
var causeNames = [CauseCount]string{
	PreviousLeader: "earlier", Commit: "commit", Queued: "behind", Budget: "budget", Capacity: "capacity",
	Rack: "rack", Gang: "gang", Unresponsive: "silent", Migrated: "moved", Failed: "failed",
	Remote: "far", SlowRunner: "slow", Work: "work",
}

// String returns the name of the cause in logs.
func (c Cause) String() string { return causeNames[c] }

// ParseCause returns the cause with a name, and whether there is one.
func ParseCause(name string) (Cause, bool) {
	for at, known := range causeNames {
		if known == name {
			return Cause(at), true
		}
	}
	return 0, false
}

// Breakdown is an amount of time by cause.
type Breakdown [CauseCount]time.Duration

// Plus returns the sum of b and other, by cause.
func (b Breakdown) Plus(other Breakdown) Breakdown {
	for at := range b {
		b[at] += other[at]
	}
	return b
}

// Minus returns the difference of b and other, by cause.
func (b Breakdown) Minus(other Breakdown) Breakdown {
	for at := range b {
		b[at] -= other[at]
	}
	return b
}

// Total returns the total time of all causes.
func (b Breakdown) Total() time.Duration {
	sum := time.Duration(0)
	for _, span := range b {
		sum += span
	}
	return sum
}

// Largest returns the cause, other than Work, with the most time.
func (b Breakdown) Largest() Cause {
	largest := PreviousLeader
	for cause := range Work {
		if b[cause] > b[largest] {
			largest = cause
		}
	}
	return largest
}

// Objective returns the time that a job may take from its arrival to its end: extension times its work, plus
// target.
func Objective(work time.Duration, extension float64, target time.Duration) time.Duration {
	return saturating.Duration(extension*float64(work)) + target
}

// QueueAccount is the account of the waiting tasks of one step. The tasks are alike, so that all of them wait
// for the same cause.
type QueueAccount struct {
	waited Breakdown     // until at
	at     time.Duration // time of the last call of Wait
	cause  Cause         // cause of the wait since then
}

// NewQueueAccount returns the account of tasks that become ready now. They wait for Capacity until Wait is
// called.
func NewQueueAccount(now time.Duration) *QueueAccount {
	return &QueueAccount{at: now, cause: Capacity}
}

// Wait adds the time since the previous call to the cause of that call, and sets the cause of the wait from now
// on.
func (q *QueueAccount) Wait(now time.Duration, cause Cause) {
	q.waited[q.cause] += max(0, now-q.at)
	q.at, q.cause = now, cause
}

// Waited returns the time waited so far.
func (q *QueueAccount) Waited(now time.Duration) Breakdown {
	waited := q.waited
	waited[q.cause] += max(0, now-q.at)
	return waited
}

// TaskAccount is the account of one task. The zero value is the account of a task that has not waited yet.
type TaskAccount struct {
	spent        Breakdown
	waitedBefore Breakdown // time that the queue had waited when the task last became ready
}

// Ready records that the task waits, for the first time or again. The argument is the queue's Waited.
func (t *TaskAccount) Ready(queue Breakdown) { t.waitedBefore = queue }

// Started records the decision to start the task. The argument is the queue's Waited.
func (t *TaskAccount) Started(queue Breakdown) { t.spent = t.spent.Plus(queue.Minus(t.waitedBefore)) }

// Add adds time to a cause.
func (t *TaskAccount) Add(cause Cause, span time.Duration) { t.spent[cause] += max(0, span) }

// Completed records the successful run. remoteFactor is the ratio by which the distance from the data made the
// run longer, and runnerFactor that by which the runner's speed did. The remaining time is the work.
func (t *TaskAccount) Completed(took time.Duration, remoteFactor, runnerFactor float64) {
	local := saturating.Duration(float64(took) / remoteFactor)
	work := saturating.Duration(float64(local) / runnerFactor)
	t.Add(Remote, took-local)
	t.Add(SlowRunner, local-work)
	t.Add(Work, min(work, local))
}

// CriticalPath is the account of the chain of tasks that determined when a step ended.
type CriticalPath struct {
	Spent Breakdown
	End   time.Duration // when the step ended
}

// ExtendPath returns the critical path of a step whose last task ended now. It is the path of the preceding step
// that ended last, extended by the account of that task.
func ExtendPath(before []CriticalPath, last *TaskAccount, now time.Duration) CriticalPath {
	latest := CriticalPath{}
	for _, path := range before {
		if path.End >= latest.End {
			latest = path
		}
	}
	return CriticalPath{Spent: latest.Spent.Plus(last.spent), End: now}
}
