package scheduler

import (
	"log/slog"
	"time"

	"basaltloft/internal/cluster/job"
)

// newTestScheduler returns a scheduler of an empty store, at testNow.
func newTestScheduler() *Scheduler {
	config := Config{MaxLease: 6 * time.Second, RemoteSlowdown: 1.5, RestoreTime: 250 * time.Millisecond, StatusRetention: 2 * time.Minute}
	return New(job.NewStore(), 1, config, testNow, 0, slog.New(slog.DiscardHandler))
}

// groupExpecting returns a group of a job of one step that is ready since testNow and whose tasks
// are expected to run for so many seconds.
func groupExpecting(seconds float64) *taskGroup {
	j := &job.Job{Submission: job.Submission{ID: "a", Queue: "q", Spec: job.Spec{Steps: []job.Step{{Count: 1}}}}}
	return &taskGroup{key: groupKey{job: "a"}, job: j, step: &j.Spec.Steps[0], readyAt: testNow, expected: seconds}
}

// stragglerWorld has jobs of one step with two tasks each, which are expected to run for a second.
type stragglerWorld struct {
	store   *job.Store
	policy  *stragglerPolicy
	runners *runnerTable
}

func newStragglerWorld(runners int) *stragglerWorld {
	w := &stragglerWorld{store: job.NewStore(), runners: newRunnerTable()}
	w.policy = &stragglerPolicy{store: w.store, runners: w.runners, restoreTime: 250 * time.Millisecond}
	for at := range runners {
		runner := contactedRunner()
		runner.id = string(rune('a' + at))
		w.runners.add(runner)
	}
	return w
}

// addRun lets a task run at a runner since testNow.
func (w *stragglerWorld) addRun(id string, index, runner int) *run {
	j := w.store.Jobs[id]
	if j == nil {
		w.store.Apply(job.Command{Kind: job.AcceptJob, Submission: &job.Submission{ID: id, Spec: job.Spec{Steps: []job.Step{{Count: 2}}}}})
		j = w.store.Jobs[id]
	}
	at := w.runners.inOrder[runner]
	r := &run{runKey: runKey{task: job.TaskRef{Job: id, Index: index}, attempt: 1}, phase: phaseConfirmed, expected: 1, cost: 1, orderedAt: testNow}
	at.load.add(r)
	task, _ := j.Task(r.task)
	task.Runs = append(task.Runs, job.Run{Attempt: 1, Runner: at.id})
	return r
}

// report lets a runner report one of its runs, and returns what migrates from there.
func (w *stragglerWorld) report(runner int, now time.Duration, r *run, percent int) []*run {
	at := w.runners.inOrder[runner]
	at.contact.replied(now, 0)
	r.recordProgress(now, percent)
	return w.policy.runsToMigrate(now, at)
}

const runnerClockMs = 500_000 // of the test's runner at testNow

const testNow = time.Hour

// contactedRunner returns the session with a runner that has just replied.
func contactedRunner() *runnerSession {
	runner := newRunnerSession("i-1", "10.0.0.1:1", testNow)
	runner.listed = true
	runner.contact.fenced = true
	runner.contact.replied(testNow, runnerClockMs)
	return runner
}
