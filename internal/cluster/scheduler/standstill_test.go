package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// finishTime is the time after the end of the traffic within which the deployments require that no
// accepted job waits beside free runners (finish_s).
const finishTime = 14 * time.Second

// gangOf returns the spec of a job of one gang.
func gangOf(tasks int, ms, cpu int64) job.Spec {
	return job.Spec{Text: "g", Steps: []job.Step{{Count: tasks, Gang: true, EstimateMs: ms, Resources: job.Resources{CPU: cpu, MemMB: 100}}}}
}

// twoCoreTasks returns the spec of a job of equal tasks of two cores.
func twoCoreTasks(tasks int, ms int64) job.Spec {
	return job.Spec{Text: "t", Steps: []job.Step{{Count: tasks, EstimateMs: ms, Resources: job.Resources{CPU: 2000, MemMB: 100}}}}
}

// runUntilEnded runs the simulation until a job is over, at most for finishTime, and returns its state.
func (sim *simulation) runUntilEnded(id string) job.State {
	for end := sim.now + finishTime; sim.now < end && !sim.store.Jobs[id].State.Terminal(); {
		sim.run(50 * time.Millisecond)
	}
	return sim.store.Jobs[id].State
}

// TestGangStartsAfterHopelessJobs guards against a gang that is accepted and never starts, with all
// runners idle, after jobs that fail by their own fault have put all runners on probation.
func TestGangStartsAfterHopelessJobs(t *testing.T) {
	for hopeless := 1; hopeless <= 3; hopeless++ {
		sim := newSimulation(t, uint64(hopeless), 2)
		sim.run(100 * time.Millisecond)
		for range 10 {
			require.Equal(t, job.StateCompleted, sim.runUntilEnded(sim.submit(twoCoreTasks(2, 200), false)))
		}
		for range hopeless {
			sim.submit(twoCoreTasks(4, 200), true)
		}
		for sim.countOpen() > 0 {
			sim.run(100 * time.Millisecond)
		}
		gang := sim.submit(gangOf(4, 300, 2000), false)
		require.Equal(t, job.StateCompleted, sim.runUntilEnded(gang), "after %d hopeless jobs", hopeless)
	}
}

// TestBacklogIsWorkedOffOnceRunnersWorkAgain guards against jobs that wait beside idle runners for
// long after a time in which all runners failed what they started.
func TestBacklogIsWorkedOffOnceRunnersWorkAgain(t *testing.T) {
	for seed := range uint64(5) {
		sim := newSimulation(t, seed, 6)
		sim.run(100 * time.Millisecond)
		sim.submitSteadily(50, twoCoreTasks(3, 400))
		for _, inc := range sim.incarnations {
			inc.failsRuns = true
		}
		sim.submitSteadily(72, twoCoreTasks(3, 400))
		for _, inc := range sim.incarnations {
			inc.failsRuns = false
		}
		sim.run(finishTime)
		require.Zero(t, sim.countOpen(), "seed %d", seed)
	}
}

// TestGangThatCostsMoreThanBudgetsStarts guards against a gang that is accepted and never starts on
// idle runners, and keeps less urgent work from starting too.
func TestGangThatCostsMoreThanBudgetsStarts(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		sim := newSimulation(t, 1, 2)
		sim.run(100 * time.Millisecond)
		if longRunning { // a task that never ends takes some room of each runner
			spec := twoCoreTasks(2, 1000)
			spec.Steps[0].LongRunning, spec.Steps[0].AntiAffinity = true, 1
			sim.submit(spec, false)
		}
		require.Equal(t, job.StateCompleted, sim.runUntilEnded(sim.submit(twoCoreTasks(2, 200), false)))
		gang := sim.submit(gangOf(4, 70_000, 6000), false)
		sim.jobs[gang].work = time.Second
		small := sim.submit(twoCoreTasks(1, 200), false)
		sim.store.Jobs[gang].Priority, sim.store.Jobs[small].Priority = 0, 1
		require.Equal(t, job.StateCompleted, sim.runUntilEnded(gang))
		require.Equal(t, job.StateCompleted, sim.runUntilEnded(small))
	}
}

// TestHopelessGangFailsAfterManyRejectedStarts guards against a hopeless gang that is never shown as
// failed, and whose members are started alone, because many starts were rejected before.
func TestHopelessGangFailsAfterManyRejectedStarts(t *testing.T) {
	for seed := range uint64(6) {
		sim := newSimulation(t, seed, 2)
		sim.run(100 * time.Millisecond)
		for _, inc := range sim.incarnations {
			inc.rejectsStarts = true
		}
		gang := sim.submit(gangOf(2, 100, 2000), true)
		sim.run(5 * time.Second)
		require.Greater(t, sim.store.Jobs[gang].Occurrences[0].Steps[0].Tasks[0].Attempt, 64, "attempts")
		for _, inc := range sim.incarnations {
			inc.rejectsStarts = false
		}
		if seed%2 == 1 {
			sim.run(200 * time.Millisecond)
			sim.loseLeader()
		}
		require.Equal(t, job.StateFailed, sim.runUntilEnded(gang), "seed %d", seed)
		require.Zero(t, sim.incompleteGangs, "runs that ended alone")
	}
}
