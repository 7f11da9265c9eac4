package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// nearCase is a scheduler with a runner of four cores in rack r1, which is full, and another one in rack
// r2 which is free. Running remote costs a second; the job's tasks of four cores have their data in r1.
func nearCase(t *testing.T, tasks int, endsIn time.Duration) (s *Scheduler, group *taskGroup) {
	t.Helper()
	s = newTestScheduler()
	s.config.RemoteSlowdown, s.patience.remoteSlowdown = 2, 2
	near, remote := addRunner(s, "near"), addRunner(s, "remote")
	near.labels, remote.labels = []string{"r1"}, []string{"r2"}
	s.learner.meanCost("s").Add(100) // budgets have headroom for all, and are bounded
	near.load.add(&run{
		runKey: runKey{task: job.TaskRef{Job: "other"}, attempt: 1}, phase: phaseConfirmed,
		resources: job.Resources{CPU: 4000}, expected: endsIn.Seconds(), orderedAt: testNow,
	})
	group = submit(s, "j", job.Step{Count: tasks, Affinity: "r1", Resources: job.Resources{CPU: 4000}})
	return s, group
}

func TestTaskWaitsForARunnerNearItsDataThatIsFreeSoon(t *testing.T) {
	s, group := nearCase(t, 1, 999*time.Millisecond)
	s.runCycle()
	require.Equal(t, []int{0}, group.pending, "it loses a second by running remote")
	require.Empty(t, startsAt(s))
}

func TestTaskRunsRemoteWhereTheWaitCostsMore(t *testing.T) {
	s, _ := nearCase(t, 1, 1001*time.Millisecond)
	s.runCycle()
	require.Equal(t, []string{"remote"}, startsAt(s))
}

// TestWaitedTimeCounts: a task whose forecast is wrong loses no more by waiting than by running remote.
func TestWaitedTimeCounts(t *testing.T) {
	s, group := nearCase(t, 1, 500*time.Millisecond)
	group.readyAt = testNow - 501*time.Millisecond
	s.runCycle()
	require.Equal(t, []string{"remote"}, startsAt(s))
}

func TestUrgentTaskWaitsByTheSameRule(t *testing.T) {
	s, group := nearCase(t, 1, 500*time.Millisecond)
	group.job.Extension = 1.5
	s.runCycle()
	require.Equal(t, []int{0}, group.pending)
}

// TestTasksBeyondTheForecastRunRemote: one task of two fits the near runner; a task of a later group finds
// that taken.
func TestTasksBeyondTheForecastRunRemote(t *testing.T) {
	s, group := nearCase(t, 2, 500*time.Millisecond)
	later := submit(s, "k", job.Step{Count: 1, Affinity: "r1", Resources: job.Resources{CPU: 4000}})
	other := addRunner(s, "other-remote")
	other.labels = []string{"r2"}
	s.runCycle()
	require.Len(t, group.pending, 1, "waits")
	require.Empty(t, later.pending)
	require.ElementsMatch(t, []string{"remote", "other-remote"}, startsAt(s))
}

func TestTaskDoesNotWaitForARackWithoutSuitableRunners(t *testing.T) {
	s, group := nearCase(t, 1, 10*time.Millisecond)
	group.step.Affinity = "r9"
	s.runCycle()
	require.Equal(t, []string{"remote"}, startsAt(s))
}

// TestQueueBeforeItCounts: the near runner's capacity goes to work that comes before in the aged order.
func TestQueueBeforeItCounts(t *testing.T) {
	s, group := nearCase(t, 1, 500*time.Millisecond)
	group.job.Priority = 1
	first := submit(s, "a", job.Step{Count: 3, Resources: job.Resources{CPU: 4000}})
	s.runCycle()
	require.Equal(t, []string{"remote"}, startsAt(s))
	require.Len(t, first.pending, 2, "one more at each runner before")
	require.Zero(t, s.waitingTasks(group, s.requestFor(group)))
}
