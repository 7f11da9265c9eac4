package scheduler

import (
	"log/slog"
	"time"

	"basaltloft/internal/cluster/job"
)

// newTestScheduler returns a scheduler with an empty store, at testNow.
func newTestScheduler() *Scheduler {
	config := Config{MaxLease: 6 * time.Second, RemoteSlowdown: 1.5, RestoreTime: 250 * time.Millisecond, StatusRetention: 2 * time.Minute}
	return New(job.NewStore(), 1, config, testNow, 0, slog.New(slog.DiscardHandler))
}

// groupExpecting returns the group of a job of one step that has been ready since testNow and whose
// tasks have an expected run time of the given number of seconds.
func groupExpecting(seconds float64) *taskGroup {
	j := &job.Job{Submission: job.Submission{ID: "a", Queue: "q", Spec: job.Spec{Steps: []job.Step{{Count: 1}}}}}
	return &taskGroup{key: groupKey{job: "a"}, job: j, step: &j.Spec.Steps[0], readyAt: testNow, expected: seconds}
}

// stragglerFixture holds jobs of one step with two tasks each, whose expected run time is a second.
type stragglerFixture struct {
	store   *job.Store
	policy  *stragglerPolicy
	runners *runnerTable
}

func newStragglerFixture(runners int) *stragglerFixture {
	f := &stragglerFixture{store: job.NewStore(), runners: newRunnerTable()}
	f.policy = &stragglerPolicy{store: f.store, runners: f.runners, restoreTime: 250 * time.Millisecond}
	for at := range runners {
		runner := contactedRunner()
		runner.id = string(rune('a' + at))
		f.runners.add(runner)
	}
	return f
}

// addRun adds a run of a task that has been active at a runner since testNow.
func (f *stragglerFixture) addRun(id string, index, runner int) *run {
	j := f.store.Jobs[id]
	if j == nil {
		f.store.Apply(job.Command{Kind: job.AcceptJob, Submission: &job.Submission{ID: id, Spec: job.Spec{Steps: []job.Step{{Count: 2}}}}})
		j = f.store.Jobs[id]
	}
	at := f.runners.inOrder[runner]
	r := &run{runKey: runKey{task: job.TaskRef{Job: id, Index: index}, attempt: 1}, phase: phaseConfirmed, expected: 1, cost: 1, orderedAt: testNow}
	at.load.add(r)
	task, _ := j.Task(r.task)
	task.Runs = append(task.Runs, job.Run{Attempt: 1, Runner: at.id})
	return r
}

// report records the progress of a run, as its runner reports it, and returns the runs that have to
// migrate from that runner.
func (f *stragglerFixture) report(runner int, now time.Duration, r *run, percent int) []*run {
	at := f.runners.inOrder[runner]
	at.contact.replied(now, 0)
	r.recordProgress(now, percent)
	return f.policy.runsToMigrate(now, at)
}

const runnerClockMs = 500_000 // clock of the test runner at testNow

const testNow = time.Hour

// contactedRunner returns the session with a runner that has just replied.
func contactedRunner() *runnerSession {
	runner := newRunnerSession("i-1", "10.0.0.1:1", testNow)
	runner.listed = true
	runner.contact.tokenAccepted = true
	runner.contact.replied(testNow, runnerClockMs)
	return runner
}
