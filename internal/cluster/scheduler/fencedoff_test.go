package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// maxOrdersOnceFencedOff is how often an order may still reach a runner that refuses the token.
const maxOrdersOnceFencedOff = 3

// TestFencedOffLeaderStopsPolling: guards against a leader that was refused since another one had
// used a higher token, and polls that runner with the same token for as long as it believes to lead.
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
	require.LessOrEqual(t, refused, 1+maxOrdersOnceFencedOff)
}

// TestFencedOffRunnerGetsNoOrders: guards against stops, sent again until they are confirmed, and
// starts with a token that the runner refuses.
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
