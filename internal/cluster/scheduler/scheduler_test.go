package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/failuretest"
)

// randomSpec makes a job of any kind.
func (w *world) randomSpec() job.Spec {
	spec := job.Spec{Text: fmt.Sprint("text ", w.random.IntN(1000))}
	for at := range 1 + w.random.IntN(3) {
		s := job.Step{Count: 1 + w.random.IntN(5), EstimateMs: int64(100 + w.random.IntN(1500)),
			Resources: job.Resources{CPU: int64(500 + w.random.IntN(6000)), MemMB: int64(500 + w.random.IntN(8000))}}
		if at > 0 {
			s.DependsOn = []int{w.random.IntN(at)}
		}
		switch w.random.IntN(10) {
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
			s.GPU = int64(1 + w.random.IntN(3))
		case 7:
			s.Speculative = true
		case 8:
			s.Speculative, s.Checkpoints = true, true
		}
		spec.Steps = append(spec.Steps, s)
	}
	if w.random.IntN(8) == 0 {
		spec.Repeats, spec.StartAtMs, spec.IntervalMs = 1+w.random.IntN(3), w.wallMs()+int64(w.random.IntN(2000)), int64(500+w.random.IntN(3000))
	}
	return spec
}

// injectFault does one random harmful thing.
func (w *world) injectFault() {
	inc := w.incarnations[w.random.IntN(len(w.incarnations))]
	if !inc.up {
		return
	}
	switch w.random.IntN(8) {
	case 0:
		w.crash(inc, w.random.IntN(3) > 0)
	case 1:
		inc.unreachableUntil = w.now + w.between(time.Second, 9*time.Second)
	case 2:
		w.loseLeader()
	case 3:
		w.lateShare = 0.06
	case 4:
		w.lateShare = 0
	case 5:
		inc.failsRuns = !inc.failsRuns
	case 6:
		inc.stallsRuns = !inc.stallsRuns
	case 7:
		if w.countHealthy() > 4 {
			inc.draining = true
			w.later(4*time.Second, func() { w.crash(inc, true) })
		}
	}
}

func (w *world) countHealthy() (n int) {
	for _, inc := range w.incarnations {
		if inc.up && !inc.draining {
			n++
		}
	}
	return n
}

// healAndFinish heals everything and expects each job to end.
func (w *world) healAndFinish() {
	w.lateShare = 0
	for i := range 3 { // of each kind and rack at least one is healthy
		w.addIncarnation(fmt.Sprintf("10.0.9.%d:1", i), i)
		w.addIncarnation(fmt.Sprintf("10.0.8.%d:1", i), i+3)
	}
	for _, inc := range w.incarnations {
		inc.unreachableUntil, inc.failsRuns, inc.stallsRuns = 0, false, false
	}
	for range 80 {
		w.run(500 * time.Millisecond)
		w.listRunners()
		if w.countOpen() == 0 {
			break
		}
	}
	for _, id := range w.order {
		j := w.store.Jobs[id]
		w.check(j.State.Terminal(), "LOST", "job %s is %v at the end, live %d, %s", id, j.State, j.ActiveRuns, describe(j))
		if j.State == job.StateCompleted {
			w.check(!w.jobs[id].alwaysFails, "MIXED", "job %s is completed, though its tasks always fail", id)
			w.checkComplete(w.jobs[id])
		}
	}
}

// describe tells what a job still waits for.
func describe(j *job.Job) (text string) {
	for occurrence, state := range j.Occurrences {
		for step, run := range state.Steps {
			text += fmt.Sprintf("[%d.%d %d of %d done, spec %+v, tasks %+v]", occurrence, step, run.DoneTasks, len(run.Tasks), j.Spec.Steps[step], run.Tasks)
		}
	}
	return text
}

func (w *world) countOpen() (n int) {
	for _, id := range w.order {
		if !w.store.Jobs[id].State.Terminal() {
			n++
		}
	}
	return n
}

func (w *world) checkComplete(j *submitted) {
	for occurrence := range j.spec.OccurrenceCount() {
		for step, spec := range j.spec.Steps {
			for index := range spec.Count {
				w.check(j.ended[job.TaskRef{Job: j.id, Occurrence: occurrence, Step: step, Index: index}], "MIXED", "job %s is completed without task %d.%d.%d", j.id, occurrence, step, index)
			}
		}
	}
}

func play(w *world, rounds int, trouble bool) {
	w.priorities = 3
	w.run(100 * time.Millisecond)
	for range rounds {
		for range w.random.IntN(3) {
			w.submit(w.randomSpec(), w.random.IntN(15) == 0)
		}
		if w.random.IntN(12) == 0 && len(w.order) > 0 {
			w.cancel(w.order[w.random.IntN(len(w.order))])
		}
		if trouble && w.random.IntN(4) == 0 {
			w.injectFault()
		}
		w.run(w.between(50*time.Millisecond, 400*time.Millisecond))
		w.listRunners()
	}
	w.healAndFinish()
}

func TestDaysWithoutFaults(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(t, seed, 8)
		play(w, 40, false)
		w.check(w.incompleteGangs == 0, "GANG", "%d runs ended alone", w.incompleteGangs)
	}
}

func TestDaysWithFaults(t *testing.T) {
	for seed := range uint64(200) {
		play(newWorld(t, 1000+seed, 6+int(seed%5)), 50, true)
	}
}

// requireCaught plays seeds with a planted fault until a check finds it.
func requireCaught(t *testing.T, planted plantedFault) {
	t.Helper()
	for seed := range uint64(200) {
		found := failuretest.CatchFatal(t, func(t testing.TB) {
			w := newWorld(t, 70_000+seed, 7)
			w.fault = planted
			play(w, 50, true)
		})
		if found != "" {
			t.Log(found)
			return
		}
	}
	t.Fatal("no check found the planted fault")
}

func TestPlantedFaultsAreFound(t *testing.T) {
	t.Run("ends counted as seen before their commit", func(t *testing.T) { requireCaught(t, acknowledgedBeforeCommit) })
	t.Run("a fence that is not raised", func(t *testing.T) { requireCaught(t, tokenNotRaised) })
	t.Run("speculative attempts where none are allowed", func(t *testing.T) { requireCaught(t, speculationNotAllowed) })
}

// The properties of the design, each by itself, on the ordinary path.

func oneTask(ms, cpu int64) job.Spec {
	return job.Spec{Text: "t", Steps: []job.Step{{Count: 1, EstimateMs: ms, Resources: job.Resources{CPU: cpu, MemMB: 100}}}}
}

// submitSteadily submits so many jobs, one each 100 ms.
func (w *world) submitSteadily(jobs int, spec job.Spec) {
	for range jobs {
		w.submit(spec, false)
		w.run(100 * time.Millisecond)
	}
}

func (w *world) startedAt(id string) time.Duration {
	for _, inc := range w.incarnations {
		for ref, r := range inc.runs {
			if ref.Job == id {
				return r.startedAt
			}
		}
	}
	return 0
}

func TestIdleRunnerTakesAnyTaskThatFits(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.run(100 * time.Millisecond)
	id := w.submit(oneTask(60_000, 16_000), false)
	w.run(100 * time.Millisecond)
	require.NotZero(t, w.startedAt(id), "its cost is beyond any first budget, and its runner is idle")
}

func TestShorterWorkStartsFirstUntilTheLongerHasAged(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.run(100 * time.Millisecond)
	w.submit(oneTask(1000, 16_000), false) // fills the runner
	w.run(50 * time.Millisecond)
	long, short := w.submit(oneTask(900, 16_000), false), w.submit(oneTask(300, 16_000), false)
	for w.startedAt(long) == 0 && w.startedAt(short) == 0 {
		w.run(tickLength)
	}
	require.NotZero(t, w.startedAt(short))
	for range 40 { // short work keeps coming
		w.submit(oneTask(300, 16_000), false)
		w.run(200 * time.Millisecond)
		if w.startedAt(long) != 0 {
			return
		}
	}
	t.Fatal("the longer work has starved")
}

func TestWorkThatFitsNowhereBlocksNothing(t *testing.T) {
	w := newWorld(t, 3, 2)
	w.run(100 * time.Millisecond)
	w.submit(oneTask(100, 500_000), false)
	id := w.submit(oneTask(2000, 1000), false)
	w.run(100 * time.Millisecond)
	require.NotZero(t, w.startedAt(id))
}

func TestRunnerWithMostHeadroomIsTaken(t *testing.T) {
	w := newWorld(t, 4, 2)
	w.run(100 * time.Millisecond)
	for range 2 {
		w.submit(oneTask(5000, 4000), false)
	}
	w.run(100 * time.Millisecond)
	require.Len(t, w.incarnations[0].runs, 1)
	require.Len(t, w.incarnations[1].runs, 1)
}

func TestGangStartsCompleteOrNotAtAll(t *testing.T) {
	w := newWorld(t, 5, 2)
	w.run(100 * time.Millisecond)
	w.submit(oneTask(3000, 10_000), false)
	w.run(50 * time.Millisecond)
	gang := job.Spec{Text: "g", Steps: []job.Step{{Count: 2, EstimateMs: 500, Gang: true, Resources: job.Resources{CPU: 10_000, MemMB: 10}}}}
	id := w.submit(gang, false)
	w.run(500 * time.Millisecond)
	require.Zero(t, w.startedAt(id), "only one of its two tasks would fit")
	w.run(5 * time.Second)
	require.Equal(t, job.StateCompleted, w.store.Jobs[id].State)
	require.Zero(t, w.incompleteGangs)
}

func TestDrainingRunnerGetsNothing(t *testing.T) {
	w := newWorld(t, 6, 2)
	w.incarnations[0].draining = true
	w.listRunners()
	w.run(100 * time.Millisecond)
	for range 4 {
		w.submit(oneTask(2000, 1000), false)
	}
	w.run(200 * time.Millisecond)
	require.Empty(t, w.incarnations[0].runs)
	require.Len(t, w.incarnations[1].runs, 4)
}

func TestTaskMigratesFromAStalledRunner(t *testing.T) {
	w := newWorld(t, 7, 2)
	w.incarnations[0].stallsRuns, w.incarnations[1].stallsRuns = true, false
	w.run(100 * time.Millisecond)
	id := w.submit(oneTask(300, 9000), false)
	other := w.submit(oneTask(300, 9000), false)
	w.run(12 * time.Second)
	require.Equal(t, job.StateCompleted, w.store.Jobs[id].State)
	require.Equal(t, job.StateCompleted, w.store.Jobs[other].State)
}

// TestStalledRunnerGetsProbesOnly: its tasks migrate, so that it always has free capacity; it gets
// probes only, and its share of the work once it runs tasks in time again.
func TestStalledRunnerGetsProbesOnly(t *testing.T) {
	w := newWorld(t, 13, 3)
	w.run(100 * time.Millisecond)
	hung := w.incarnations[0]
	hung.stallsRuns = true
	began := map[string]bool{}
	for at := range 120 {
		w.submit(oneTask(400, 4000), false)
		w.run(100 * time.Millisecond)
		if at < 30 {
			continue // until it is noticed
		}
		for ref := range hung.runs {
			began[ref.Job] = true
		}
	}
	require.LessOrEqual(t, len(began), 6, "probes, of 90 tasks")
	hung.stallsRuns = false
	for range 100 { // as much as all three take
		for range 3 {
			w.submit(oneTask(400, 4000), false)
		}
		w.run(100 * time.Millisecond)
	}
	require.GreaterOrEqual(t, len(hung.runs), 3, "it works again")
}

// TestLongRunningTaskDoesNotPreventProbes: it tells nothing of its runner and does not end.
func TestLongRunningTaskDoesNotPreventProbes(t *testing.T) {
	w := newWorld(t, 14, 2)
	w.run(100 * time.Millisecond)
	longRunning := oneTask(600_000, 1000)
	longRunning.Steps[0].LongRunning, longRunning.Steps[0].Count = true, 2
	longRunning.Steps[0].AntiAffinity = 1 // one on each
	w.submit(longRunning, false)
	w.run(200 * time.Millisecond)
	bad := w.incarnations[0]
	bad.stallsRuns = true
	w.submitSteadily(40, oneTask(400, 7000))
	bad.stallsRuns = false
	w.submitSteadily(200, oneTask(400, 7000))
	require.GreaterOrEqual(t, len(bad.runs), 2, "it works again, beside its long-running task")
}

// TestLongRunningTasksDoNotBlockTheQueue fills the only runner of a label with a long-running task
// whose cost is beyond any budget; work for that label still starts, and so does the rest.
func TestLongRunningTasksDoNotBlockTheQueue(t *testing.T) {
	w := newWorld(t, 11, 2)
	w.run(100 * time.Millisecond)
	longRunning := oneTask(600_000, 2000)
	longRunning.Steps[0].LongRunning, longRunning.Steps[0].Constraints = true, job.Labels{"a"}
	w.submit(oneTask(300, 500), false)
	w.run(2 * time.Second)
	w.submit(longRunning, false)
	w.run(200 * time.Millisecond)
	labelled := oneTask(1000, 1000)
	labelled.Steps[0].Constraints = job.Labels{"a"}
	head, rest := w.submit(labelled, false), w.submit(oneTask(1500, 1000), false)
	w.run(15 * time.Second)
	require.Equal(t, job.StateCompleted, w.store.Jobs[head].State)
	require.Equal(t, job.StateCompleted, w.store.Jobs[rest].State)
}

func TestRunOfALostRunnerStartsAgainOnlyAfterAllLeasesExpired(t *testing.T) {
	w := newWorld(t, 8, 2)
	w.run(100 * time.Millisecond)
	id := w.submit(oneTask(4000, 9000), false)
	w.run(300 * time.Millisecond)
	w.loseBusyRunners()
	w.run(5 * time.Second)
	require.Equal(t, job.StateRunning, w.store.Jobs[id].State, "it may still run")
	w.run(15 * time.Second)
	require.Equal(t, job.StateCompleted, w.store.Jobs[id].State)
}

// loseBusyRunners cuts off all runners that run something, for a minute.
func (w *world) loseBusyRunners() {
	for _, inc := range w.incarnations {
		if len(inc.runs) > 0 {
			inc.unreachableUntil = w.now + time.Minute
		}
	}
}

// TestSpeculativeAttemptCompletesItsTask: a task that may run side by side is done though its first runner has
// become unresponsive, long before that one's leases have expired; the first run counts for nothing.
func TestSpeculativeAttemptCompletesItsTask(t *testing.T) {
	w := newWorld(t, 8, 2)
	w.run(100 * time.Millisecond)
	spec := oneTask(1000, 9000)
	spec.Steps[0].Speculative = true
	id := w.submit(spec, false)
	w.run(300 * time.Millisecond)
	w.loseBusyRunners()
	w.run(2800 * time.Millisecond)
	require.Equal(t, job.StateCompleted, w.store.Jobs[id].State)
	require.Equal(t, 1, w.speculativeStarts)
	w.run(10 * time.Second)
	require.Zero(t, w.startedAt(id), "what is left of it ends with its leases")
}

// TestUnresponsiveRunnerGetsNothingNew: one order without an answer is enough.
func TestUnresponsiveRunnerGetsNothingNew(t *testing.T) {
	w := newWorld(t, 10, 2)
	w.run(100 * time.Millisecond)
	cut := w.incarnations[0]
	cut.unreachableUntil = w.now + time.Minute
	for range 2 {
		w.submit(oneTask(3000, 9000), false) // one goes to each
	}
	w.run(250 * time.Millisecond)
	var later []string
	for range 6 {
		later = append(later, w.submit(oneTask(400, 500), false))
	}
	w.run(800 * time.Millisecond)
	for _, id := range later {
		require.Equal(t, job.StateCompleted, w.store.Jobs[id].State)
	}
}

// TestMassTimeoutPollsAllRunners: runners that owe no reply are polled as soon as others
// become unresponsive together, not only when their own poll is due.
func TestMassTimeoutPollsAllRunners(t *testing.T) {
	w := newWorld(t, 12, 12)
	w.run(time.Second)
	for _, inc := range w.incarnations[:8] {
		inc.unreachableUntil = w.now + time.Minute
	}
	for range 12 {
		w.submit(oneTask(5000, 9000), false)
	}
	w.run(450 * time.Millisecond)
	late := w.submit(oneTask(200, 1000), false)
	w.run(700 * time.Millisecond)
	require.Equal(t, job.StateCompleted, w.store.Jobs[late].State, "it went to one that answers")
}

func TestLongRunningJobRunsAgainAndStopsWhenCancelled(t *testing.T) {
	w := newWorld(t, 9, 3)
	w.run(100 * time.Millisecond)
	spec := oneTask(200, 1000)
	spec.Steps[0].LongRunning = true
	id := w.submit(spec, false)
	w.run(5 * time.Second)
	require.Equal(t, job.StateRunning, w.store.Jobs[id].State)
	w.cancel(id)
	w.run(time.Second)
	require.Zero(t, w.startedAt(id))
	require.Equal(t, job.StateCanceled, w.store.Jobs[id].State)
}

// TestBacklogStartsThroughASlowNode: after a loss of the whole control plane the new leader finds
// more work than its node can order within the deadline of an order. What can't be ordered in time
// has to wait here: ordered all the same it would start nothing, cost as much as what starts, and
// keep the node from ever catching up.
func TestBacklogStartsThroughASlowNode(t *testing.T) {
	const jobs, tasks = 80, 25
	w := newWorld(t, 21, 250)
	spec := oneTask(400, 500)
	spec.Steps[0].Count = tasks
	for range jobs {
		w.submit(spec, false)
	}
	w.startScheduler()
	w.sendTime = time.Second / 1300 // of polls, too
	began := w.now
	for w.ended() < jobs && w.now < began+time.Minute {
		w.run(100 * time.Millisecond)
	}
	t.Logf("%d jobs in %v, %d of %d orders to start in vain", w.ended(), w.now-began, w.startsInVain, w.startOrders)
	require.Less(t, w.now-began, 8*time.Second)
	require.Less(t, w.startsInVain, w.startOrders/10)
}

// ended returns how many jobs have.
func (w *world) ended() int {
	count := 0
	for _, j := range w.store.Jobs {
		if j.State.Terminal() {
			count++
		}
	}
	return count
}
