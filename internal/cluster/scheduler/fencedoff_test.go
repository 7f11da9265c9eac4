package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// maxOrdersAfterFencing is the number of further orders that a runner may get after it has rejected
// the token.
const maxOrdersAfterFencing = 3

// TestFencedOffLeaderStopsPolling guards against a leader that keeps polling a runner which rejects
// its token because another leader has used a higher one.
func TestFencedOffLeaderStopsPolling(t *testing.T) {
	const observed, step = 20 * time.Second, 10 * time.Millisecond
	manager, runner := newLeaseManager(), contactedRunner()
	refused := 0
	for now := testNow; now < testNow+observed; now += step {
		order, due := manager.renewIfDue(now, runner)
		if !due {
			continue
		}
		refused++
		require.Equal(t, renewalFailed, manager.replied(now, runner, order.Sequence, LeaseFenced, 0))
	}
	require.LessOrEqual(t, refused, 1+maxOrdersAfterFencing)
}

// TestFencedOffRunnerGetsNoOrders guards against starts, and against stops that are repeated until
// they are confirmed, with a token that the runner rejects.
func TestFencedOffRunnerGetsNoOrders(t *testing.T) {
	s := newTestScheduler()
	runner := contactedRunner()
	s.runners.add(runner)
	require.True(t, runner.takesWork(testNow))
	order, _ := s.leases.renewIfDue(testNow, runner)
	s.LeaseReplied(testNow, order, LeaseFenced, RunnerReport{})

	require.False(t, runner.takesWork(testNow))
	r := &run{runKey: runKey{task: job.TaskRef{Job: "a"}, attempt: 1}, phase: phaseConfirmed}
	runner.load.add(r)
	s.requestStop(runner, r)
	require.Empty(t, s.TakeOutput(testNow, false).Orders)
}
