package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// localityScenario returns a scheduler with two runners of four cores: one in rack r1, which is
// busy until endsIn has passed, and one in rack r2, which is free. It also returns the group of a
// job whose tasks need four cores each and have their data in r1. Running remotely costs them a
// second.
func localityScenario(t *testing.T, tasks int, endsIn time.Duration) (s *Scheduler, group *taskGroup) {
	t.Helper()
	s = newTestScheduler()
	s.config.RemoteSlowdown, s.localityWait.remoteSlowdown = 2, 2
	near, remote := addRunner(s, "near"), addRunner(s, "remote")
	near.labels, remote.labels = []string{"r1"}, []string{"r2"}
	s.learner.meanCost("s").Add(100) // budgets are limited and have headroom for all tasks
	near.load.add(&run{
		runKey: runKey{task: job.TaskRef{Job: "other"}, attempt: 1}, phase: phaseConfirmed,
		resources: job.Resources{CPU: 4000}, expected: endsIn.Seconds(), orderedAt: testNow,
	})
	group = submit(s, "j", job.Step{Count: tasks, Affinity: "r1", Resources: job.Resources{CPU: 4000}})
	return s, group
}

func TestTaskWaitsForARunnerNearItsDataThatIsFreeSoon(t *testing.T) {
	s, group := localityScenario(t, 1, 999*time.Millisecond)
	s.runCycle()
	require.Equal(t, []int{0}, group.pending, "running remotely would cost a second")
	require.Empty(t, startsAt(s))
}

func TestTaskRunsRemoteWhereTheWaitCostsMore(t *testing.T) {
	s, _ := localityScenario(t, 1, 1001*time.Millisecond)
	s.runCycle()
	require.Equal(t, []string{"remote"}, startsAt(s))
}

// TestTimeAlreadyWaitedCounts checks that a task whose forecast is wrong loses no more by waiting
// than by running remotely.
func TestTimeAlreadyWaitedCounts(t *testing.T) {
	s, group := localityScenario(t, 1, 500*time.Millisecond)
	group.readyAt = testNow - 501*time.Millisecond
	s.runCycle()
	require.Equal(t, []string{"remote"}, startsAt(s))
}

func TestUrgentTaskWaitsByTheSameRule(t *testing.T) {
	s, group := localityScenario(t, 1, 500*time.Millisecond)
	group.job.Extension = 1.5
	s.runCycle()
	require.Equal(t, []int{0}, group.pending)
}

// TestTasksBeyondTheForecastRunRemote checks that one of two tasks waits for the near runner, and
// that a task of a later group doesn't wait for the same capacity.
func TestTasksBeyondTheForecastRunRemote(t *testing.T) {
	s, group := localityScenario(t, 2, 500*time.Millisecond)
	later := submit(s, "k", job.Step{Count: 1, Affinity: "r1", Resources: job.Resources{CPU: 4000}})
	other := addRunner(s, "other-remote")
	other.labels = []string{"r2"}
	s.runCycle()
	require.Len(t, group.pending, 1, "waits")
	require.Empty(t, later.pending)
	require.ElementsMatch(t, []string{"remote", "other-remote"}, startsAt(s))
}

func TestTaskDoesNotWaitForARackWithoutSuitableRunners(t *testing.T) {
	s, group := localityScenario(t, 1, 10*time.Millisecond)
	group.step.Affinity = "r9"
	s.runCycle()
	require.Equal(t, []string{"remote"}, startsAt(s))
}

// TestForecastCountsEarlierGroups checks that groups earlier in the aged order get the near
// runner's capacity first.
func TestForecastCountsEarlierGroups(t *testing.T) {
	s, group := localityScenario(t, 1, 500*time.Millisecond)
	group.job.Priority = 1
	first := submit(s, "a", job.Step{Count: 3, Resources: job.Resources{CPU: 4000}})
	s.runCycle()
	require.Equal(t, []string{"remote"}, startsAt(s))
	require.Len(t, first.pending, 2, "each runner is expected to take one more of its tasks")
	require.Zero(t, s.waitingTasks(group, s.requestFor(group)))
}

// TestWaitForDataIsBounded guards against a long task that waits beside idle runners for a runner near
// its data for as long as it would take longer elsewhere.
func TestWaitForDataIsBounded(t *testing.T) {
	policy := localityWaitPolicy{remoteSlowdown: 1.5}
	group := groupExpecting(1000)
	require.Equal(t, maxLocalityWait, policy.remaining(testNow, group))
	require.Zero(t, policy.remaining(testNow+maxLocalityWait, group))
}
