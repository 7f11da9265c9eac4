package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/failuretest"
)

// randomSpec returns the spec of a random job.
func (sim *simulation) randomSpec() job.Spec {
	spec := job.Spec{Text: fmt.Sprint("text ", sim.random.IntN(1000))}
	for at := range 1 + sim.random.IntN(3) {
		s := job.Step{Count: 1 + sim.random.IntN(5), EstimateMs: int64(100 + sim.random.IntN(1500)),
			Resources: job.Resources{CPU: int64(500 + sim.random.IntN(6000)), MemMB: int64(500 + sim.random.IntN(8000))}}
		if at > 0 {
			s.DependsOn = []int{sim.random.IntN(at)}
		}
		switch sim.random.IntN(10) {
		case 0:
			s.Gang = true
		case 1:
			s.Gang, s.SameRack, s.Checkpoints = true, true, true
		case 2:
			s.Checkpoints = true
		case 3:
			s.Constraints = job.Labels{"a"}
		case 4:
			s.AntiAffinity = 1
		case 5:
			s.Affinity = "r-1"
		case 6:
			s.GPU = int64(1 + sim.random.IntN(3))
		case 7:
			s.Speculative = true
		case 8:
			s.Speculative, s.Checkpoints = true, true
		}
		spec.Steps = append(spec.Steps, s)
	}
	if sim.random.IntN(8) == 0 {
		spec.Repeats, spec.StartAtMs, spec.IntervalMs = 1+sim.random.IntN(3), sim.wallMs()+int64(sim.random.IntN(2000)), int64(500+sim.random.IntN(3000))
	}
	return spec
}

// injectFault injects one random fault.
func (sim *simulation) injectFault() {
	inc := sim.incarnations[sim.random.IntN(len(sim.incarnations))]
	if !inc.up {
		return
	}
	switch sim.random.IntN(8) {
	case 0:
		sim.crash(inc, sim.random.IntN(3) > 0)
	case 1:
		inc.unreachableUntil = sim.now + sim.between(time.Second, 9*time.Second)
	case 2:
		sim.loseLeader()
	case 3:
		sim.lateShare = 0.06
	case 4:
		sim.lateShare = 0
	case 5:
		inc.failsRuns = !inc.failsRuns
	case 6:
		inc.stallsRuns = !inc.stallsRuns
	case 7:
		if sim.countHealthy() > 4 {
			inc.draining = true
			sim.later(4*time.Second, func() { sim.crash(inc, true) })
		}
	}
}

func (sim *simulation) countHealthy() (n int) {
	for _, inc := range sim.incarnations {
		if inc.up && !inc.draining {
			n++
		}
	}
	return n
}

// healAndFinish removes all faults, runs the simulation until no job is open, and checks that each
// job has ended correctly.
func (sim *simulation) healAndFinish() {
	sim.lateShare = 0
	for i := range 3 { // at least one healthy runner of each kind and rack
		sim.addIncarnation(fmt.Sprintf("10.0.9.%d:1", i), i)
		sim.addIncarnation(fmt.Sprintf("10.0.8.%d:1", i), i+3)
	}
	for _, inc := range sim.incarnations {
		inc.unreachableUntil, inc.failsRuns, inc.stallsRuns = 0, false, false
	}
	for range 80 {
		sim.run(500 * time.Millisecond)
		sim.listRunners()
		if sim.countOpen() == 0 {
			break
		}
	}
	for _, id := range sim.order {
		j := sim.store.Jobs[id]
		sim.check(j.State.Terminal(), "LOST", "job %s is %v at the end, active runs %d, %s", id, j.State, j.ActiveRuns, describe(j))
		if j.State == job.StateCompleted {
			sim.check(!sim.jobs[id].alwaysFails, "MIXED", "job %s is completed, though its tasks always fail", id)
			sim.checkComplete(sim.jobs[id])
		}
	}
}

// describe returns the progress of each step of a job, for failure messages.
func describe(j *job.Job) (text string) {
	for occurrence, state := range j.Occurrences {
		for step, run := range state.Steps {
			text += fmt.Sprintf("[%d.%d %d of %d done, spec %+v, tasks %+v]", occurrence, step, run.DoneTasks, len(run.Tasks), j.Spec.Steps[step], run.Tasks)
		}
	}
	return text
}

func (sim *simulation) countOpen() (n int) {
	for _, id := range sim.order {
		if !sim.store.Jobs[id].State.Terminal() {
			n++
		}
	}
	return n
}

func (sim *simulation) checkComplete(j *submitted) {
	for occurrence := range j.spec.OccurrenceCount() {
		for step, spec := range j.spec.Steps {
			for index := range spec.Count {
				sim.check(j.ended[job.TaskRef{Job: j.id, Occurrence: occurrence, Step: step, Index: index}], "MIXED", "job %s is completed without task %d.%d.%d", j.id, occurrence, step, index)
			}
		}
	}
}

// runWorkload submits and cancels random jobs for a number of rounds, with injected faults if faults is
// true, and then checks that all jobs end.
func runWorkload(sim *simulation, rounds int, faults bool) {
	sim.priorities = 3
	sim.run(100 * time.Millisecond)
	for range rounds {
		for range sim.random.IntN(3) {
			sim.submit(sim.randomSpec(), sim.random.IntN(15) == 0)
		}
		if sim.random.IntN(12) == 0 && len(sim.order) > 0 {
			sim.cancel(sim.order[sim.random.IntN(len(sim.order))])
		}
		if faults && sim.random.IntN(4) == 0 {
			sim.injectFault()
		}
		sim.run(sim.between(50*time.Millisecond, 400*time.Millisecond))
		sim.listRunners()
	}
	sim.healAndFinish()
}

func TestRandomWorkloadsWithoutFaults(t *testing.T) {
	for seed := range uint64(60) {
		sim := newSimulation(t, seed, 8)
		runWorkload(sim, 40, false)
		sim.check(sim.incompleteGangs == 0, "GANG", "%d runs ended alone", sim.incompleteGangs)
	}
}

func TestRandomWorkloadsWithFaults(t *testing.T) {
	for seed := range uint64(200) {
		runWorkload(newSimulation(t, 1000+seed, 6+int(seed%5)), 50, true)
	}
}

// requireCaught runs workloads with an injected fault until a check detects it.
func requireCaught(t *testing.T, planted plantedFault) {
	t.Helper()
	for seed := range uint64(200) {
		found := failuretest.CatchFatal(t, func(t testing.TB) {
			sim := newSimulation(t, 70_000+seed, 7)
			sim.fault = planted
			runWorkload(sim, 50, true)
		})
		if found != "" {
			t.Log(found)
			return
		}
	}
	t.Fatal("no check detected the injected fault")
}

func TestPlantedFaultsAreFound(t *testing.T) {
	t.Run("ends counted as seen before their commit", func(t *testing.T) { requireCaught(t, acknowledgedBeforeCommit) })
	t.Run("a fence that is not raised", func(t *testing.T) { requireCaught(t, tokenNotRaised) })
	t.Run("speculative attempts where none are allowed", func(t *testing.T) { requireCaught(t, speculationNotAllowed) })
}

// The following tests check the properties of the design one by one, without injected faults except
// where stated.

func oneTask(ms, cpu int64) job.Spec {
	return job.Spec{Text: "t", Steps: []job.Step{{Count: 1, EstimateMs: ms, Resources: job.Resources{CPU: cpu, MemMB: 100}}}}
}

// submitSteadily submits a number of jobs at intervals of 100 ms.
func (sim *simulation) submitSteadily(jobs int, spec job.Spec) {
	for range jobs {
		sim.submit(spec, false)
		sim.run(100 * time.Millisecond)
	}
}

// startedAt returns when the active run of a job started; 0 if there is none.
func (sim *simulation) startedAt(id string) time.Duration {
	for _, inc := range sim.incarnations {
		for ref, r := range inc.runs {
			if ref.Job == id {
				return r.startedAt
			}
		}
	}
	return 0
}

func TestIdleRunnerTakesAnyTaskThatFits(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.run(100 * time.Millisecond)
	id := sim.submit(oneTask(60_000, 16_000), false)
	sim.run(100 * time.Millisecond)
	require.NotZero(t, sim.startedAt(id), "its cost exceeds any initial budget, but its runner is idle")
}

func TestShorterWorkStartsFirstUntilTheLongerHasAged(t *testing.T) {
	sim := newSimulation(t, 2, 1)
	sim.run(100 * time.Millisecond)
	sim.submit(oneTask(1000, 16_000), false) // fills the runner
	sim.run(50 * time.Millisecond)
	long, short := sim.submit(oneTask(900, 16_000), false), sim.submit(oneTask(300, 16_000), false)
	for sim.startedAt(long) == 0 && sim.startedAt(short) == 0 {
		sim.run(tickLength)
	}
	require.NotZero(t, sim.startedAt(short))
	for range 40 { // short jobs keep arriving
		sim.submit(oneTask(300, 16_000), false)
		sim.run(200 * time.Millisecond)
		if sim.startedAt(long) != 0 {
			return
		}
	}
	t.Fatal("the longer job has starved")
}

func TestWorkThatFitsNowhereBlocksNothing(t *testing.T) {
	sim := newSimulation(t, 3, 2)
	sim.run(100 * time.Millisecond)
	sim.submit(oneTask(100, 500_000), false)
	id := sim.submit(oneTask(2000, 1000), false)
	sim.run(100 * time.Millisecond)
	require.NotZero(t, sim.startedAt(id))
}

func TestRunnerWithMostHeadroomIsTaken(t *testing.T) {
	sim := newSimulation(t, 4, 2)
	sim.run(100 * time.Millisecond)
	for range 2 {
		sim.submit(oneTask(5000, 4000), false)
	}
	sim.run(100 * time.Millisecond)
	require.Len(t, sim.incarnations[0].runs, 1)
	require.Len(t, sim.incarnations[1].runs, 1)
}

func TestGangStartsCompleteOrNotAtAll(t *testing.T) {
	sim := newSimulation(t, 5, 2)
	sim.run(100 * time.Millisecond)
	sim.submit(oneTask(3000, 10_000), false)
	sim.run(50 * time.Millisecond)
	gang := job.Spec{Text: "g", Steps: []job.Step{{Count: 2, EstimateMs: 500, Gang: true, Resources: job.Resources{CPU: 10_000, MemMB: 10}}}}
	id := sim.submit(gang, false)
	sim.run(500 * time.Millisecond)
	require.Zero(t, sim.startedAt(id), "only one of its two tasks would fit")
	sim.run(5 * time.Second)
	require.Equal(t, job.StateCompleted, sim.store.Jobs[id].State)
	require.Zero(t, sim.incompleteGangs)
}

func TestDrainingRunnerGetsNothing(t *testing.T) {
	sim := newSimulation(t, 6, 2)
	sim.incarnations[0].draining = true
	sim.listRunners()
	sim.run(100 * time.Millisecond)
	for range 4 {
		sim.submit(oneTask(2000, 1000), false)
	}
	sim.run(200 * time.Millisecond)
	require.Empty(t, sim.incarnations[0].runs)
	require.Len(t, sim.incarnations[1].runs, 4)
}

func TestTaskMigratesFromAStalledRunner(t *testing.T) {
	sim := newSimulation(t, 7, 2)
	sim.incarnations[0].stallsRuns, sim.incarnations[1].stallsRuns = true, false
	sim.run(100 * time.Millisecond)
	id := sim.submit(oneTask(300, 9000), false)
	other := sim.submit(oneTask(300, 9000), false)
	sim.run(12 * time.Second)
	require.Equal(t, job.StateCompleted, sim.store.Jobs[id].State)
	require.Equal(t, job.StateCompleted, sim.store.Jobs[other].State)
}

// TestStalledRunnerGetsProbesOnly checks that a stalled runner, whose tasks migrate so that it
// always has free capacity, gets only probes, and gets its share of the work again once its runs
// end in time.
func TestStalledRunnerGetsProbesOnly(t *testing.T) {
	sim := newSimulation(t, 13, 3)
	sim.run(100 * time.Millisecond)
	hung := sim.incarnations[0]
	hung.stallsRuns = true
	began := map[string]bool{}
	for at := range 120 {
		sim.submit(oneTask(400, 4000), false)
		sim.run(100 * time.Millisecond)
		if at < 30 {
			continue // until the stall is detected
		}
		for ref := range hung.runs {
			began[ref.Job] = true
		}
	}
	require.LessOrEqual(t, len(began), 6, "only probes, of 90 tasks")
	hung.stallsRuns = false
	for range 100 { // enough work for all three runners
		for range 3 {
			sim.submit(oneTask(400, 4000), false)
		}
		sim.run(100 * time.Millisecond)
	}
	require.GreaterOrEqual(t, len(hung.runs), 3, "it is no longer suspect")
}

// TestLongRunningTaskDoesNotPreventProbes checks that a long-running task at a suspect runner
// doesn't count as a pending probe: it doesn't end and shows nothing about the runner.
func TestLongRunningTaskDoesNotPreventProbes(t *testing.T) {
	sim := newSimulation(t, 14, 2)
	sim.run(100 * time.Millisecond)
	longRunning := oneTask(600_000, 1000)
	longRunning.Steps[0].LongRunning, longRunning.Steps[0].Count = true, 2
	longRunning.Steps[0].AntiAffinity = 1 // one at each runner
	sim.submit(longRunning, false)
	sim.run(200 * time.Millisecond)
	bad := sim.incarnations[0]
	bad.stallsRuns = true
	sim.submitSteadily(40, oneTask(400, 7000))
	bad.stallsRuns = false
	sim.submitSteadily(200, oneTask(400, 7000))
	require.GreaterOrEqual(t, len(bad.runs), 2, "it is no longer suspect, despite its long-running task")
}

// TestLongRunningTasksDoNotBlockTheQueue checks that a long-running task, whose cost would exceed
// any budget, at the only runner with a label blocks neither the tasks that need the label nor the
// others.
func TestLongRunningTasksDoNotBlockTheQueue(t *testing.T) {
	sim := newSimulation(t, 11, 2)
	sim.run(100 * time.Millisecond)
	longRunning := oneTask(600_000, 2000)
	longRunning.Steps[0].LongRunning, longRunning.Steps[0].Constraints = true, job.Labels{"a"}
	sim.submit(oneTask(300, 500), false)
	sim.run(2 * time.Second)
	sim.submit(longRunning, false)
	sim.run(200 * time.Millisecond)
	labelled := oneTask(1000, 1000)
	labelled.Steps[0].Constraints = job.Labels{"a"}
	head, rest := sim.submit(labelled, false), sim.submit(oneTask(1500, 1000), false)
	sim.run(15 * time.Second)
	require.Equal(t, job.StateCompleted, sim.store.Jobs[head].State)
	require.Equal(t, job.StateCompleted, sim.store.Jobs[rest].State)
}

func TestRunOfALostRunnerStartsAgainOnlyAfterAllLeasesExpired(t *testing.T) {
	sim := newSimulation(t, 8, 2)
	sim.run(100 * time.Millisecond)
	id := sim.submit(oneTask(4000, 9000), false)
	sim.run(300 * time.Millisecond)
	sim.loseBusyRunners()
	sim.run(5 * time.Second)
	require.Equal(t, job.StateRunning, sim.store.Jobs[id].State, "it may still run")
	sim.run(15 * time.Second)
	require.Equal(t, job.StateCompleted, sim.store.Jobs[id].State)
}

// loseBusyRunners makes all runners with active runs unreachable for a minute.
func (sim *simulation) loseBusyRunners() {
	for _, inc := range sim.incarnations {
		if len(inc.runs) > 0 {
			inc.unreachableUntil = sim.now + time.Minute
		}
	}
}

// TestSpeculativeAttemptCompletesItsTask checks that a task with a speculative attempt is done long
// before the leases of its first runner, which has become unresponsive, have expired. The first run
// has no effect.
func TestSpeculativeAttemptCompletesItsTask(t *testing.T) {
	sim := newSimulation(t, 8, 2)
	sim.run(100 * time.Millisecond)
	spec := oneTask(1000, 9000)
	spec.Steps[0].Speculative = true
	id := sim.submit(spec, false)
	sim.run(300 * time.Millisecond)
	sim.loseBusyRunners()
	sim.run(2800 * time.Millisecond)
	require.Equal(t, job.StateCompleted, sim.store.Jobs[id].State)
	require.Equal(t, 1, sim.speculativeStarts)
	sim.run(10 * time.Second)
	require.Zero(t, sim.startedAt(id), "the first run ends when its leases expire")
}

// TestUnresponsiveRunnerGetsNothingNew checks that a single order without a reply is sufficient to
// assign no new tasks to a runner.
func TestUnresponsiveRunnerGetsNothingNew(t *testing.T) {
	sim := newSimulation(t, 10, 2)
	sim.run(100 * time.Millisecond)
	cut := sim.incarnations[0]
	cut.unreachableUntil = sim.now + time.Minute
	for range 2 {
		sim.submit(oneTask(3000, 9000), false) // one goes to each
	}
	sim.run(250 * time.Millisecond)
	var later []string
	for range 6 {
		later = append(later, sim.submit(oneTask(400, 500), false))
	}
	sim.run(800 * time.Millisecond)
	for _, id := range later {
		require.Equal(t, job.StateCompleted, sim.store.Jobs[id].State)
	}
}

// TestMassTimeoutPollsAllRunners checks that runners without an overdue reply are polled as soon as
// several others become unresponsive at once, instead of when their next poll is due.
func TestMassTimeoutPollsAllRunners(t *testing.T) {
	sim := newSimulation(t, 12, 12)
	sim.run(time.Second)
	for _, inc := range sim.incarnations[:8] {
		inc.unreachableUntil = sim.now + time.Minute
	}
	for range 12 {
		sim.submit(oneTask(5000, 9000), false)
	}
	sim.run(450 * time.Millisecond)
	late := sim.submit(oneTask(200, 1000), false)
	sim.run(700 * time.Millisecond)
	require.Equal(t, job.StateCompleted, sim.store.Jobs[late].State, "it was assigned to a reachable runner")
}

func TestLongRunningJobRunsAgainAndStopsWhenCancelled(t *testing.T) {
	sim := newSimulation(t, 9, 3)
	sim.run(100 * time.Millisecond)
	spec := oneTask(200, 1000)
	spec.Steps[0].LongRunning = true
	id := sim.submit(spec, false)
	sim.run(5 * time.Second)
	require.Equal(t, job.StateRunning, sim.store.Jobs[id].State)
	sim.cancel(id)
	sim.run(time.Second)
	require.Zero(t, sim.startedAt(id))
	require.Equal(t, job.StateCanceled, sim.store.Jobs[id].State)
}

// TestBacklogStartsThroughASlowNode guards against a node that never catches up with its backlog.
// After a loss of the whole control plane, a new leader finds more pending tasks than its node can
// order within the deadline of an order. Tasks that can't be ordered in time must wait in the
// scheduler: orders that arrive too late start nothing and cost as much as those that start a run.
func TestBacklogStartsThroughASlowNode(t *testing.T) {
	const jobs, tasks = 80, 25
	sim := newSimulation(t, 21, 250)
	spec := oneTask(400, 500)
	spec.Steps[0].Count = tasks
	for range jobs {
		sim.submit(spec, false)
	}
	sim.startScheduler()
	sim.sendTime = time.Second / 1300 // also applies to polls
	began := sim.now
	for sim.ended() < jobs && sim.now < began+time.Minute {
		sim.run(100 * time.Millisecond)
	}
	t.Logf("%d jobs in %v, %d of %d orders to start started nothing", sim.ended(), sim.now-began, sim.startsWithoutEffect, sim.startOrders)
	require.Less(t, sim.now-began, 8*time.Second)
	require.Less(t, sim.startsWithoutEffect, sim.startOrders/10)
}

// ended returns the number of jobs that are over.
func (sim *simulation) ended() int {
	count := 0
	for _, j := range sim.store.Jobs {
		if j.State.Terminal() {
			count++
		}
	}
	return count
}
