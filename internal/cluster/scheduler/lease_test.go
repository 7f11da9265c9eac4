package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newLeaseManager() *leaseManager {
	return &leaseManager{maxLease: 6 * time.Second, sequence: &sequence{}}
}

func TestRenewalAsksForALease(t *testing.T) {
	manager, runner := newLeaseManager(), contactedRunner()
	order, due := manager.renewIfDue(testNow, runner)
	require.True(t, due)
	require.Equal(t, Order{Kind: OrderRenewLease, Runner: "i-1", Address: "10.0.0.1:1", DeadlineMs: runnerClockMs + leaseDuration.Milliseconds(), WaitMs: maxPollWaitMs, Sequence: 1}, order)
	_, due = manager.renewIfDue(testNow+time.Minute, runner)
	require.False(t, due, "a renewal is pending")
	require.Greater(t, runner.lease.allExpiredAt, testNow+leaseDuration, "the runner's clock may be slow")
	require.Less(t, runner.lease.allExpiredAt, testNow+leaseDuration+200*time.Millisecond)
}

func TestLeaseIsNoLongerThanRunnersGrant(t *testing.T) {
	manager := &leaseManager{maxLease: 2 * time.Second}
	require.Equal(t, 2*time.Second-leaseMargin, manager.duration())
}

// TestRunnerOutOfContactIsPolledWithoutALease checks that polls don't renew the leases of a runner
// that is out of contact: otherwise its runs could never be known to be over.
func TestRunnerOutOfContactIsPolledWithoutALease(t *testing.T) {
	manager, runner := newLeaseManager(), contactedRunner()
	order, due := manager.renewIfDue(testNow+contactTimeout, runner)
	require.True(t, due)
	require.Zero(t, order.DeadlineMs)
	require.Zero(t, order.WaitMs)
	require.Zero(t, runner.lease.allExpiredAt)
}

func TestRunnerThatIsNotListedIsPolledWhileItRunsSomething(t *testing.T) {
	manager, runner := newLeaseManager(), contactedRunner()
	runner.listed = false
	_, due := manager.renewIfDue(testNow, runner)
	require.False(t, due)
	runner.load.add(&run{})
	_, due = manager.renewIfDue(testNow, runner)
	require.True(t, due)
}

func TestRenewalWithoutAReplyIsSentAgainAfterGrowingPauses(t *testing.T) {
	manager, runner := newLeaseManager(), contactedRunner()
	now := testNow
	var pauses []time.Duration
	for range 8 {
		_, due := manager.renewIfDue(now, runner)
		require.True(t, due)
		manager.checkOverdue(runner.lease.replyDeadline-1, runner)
		require.True(t, runner.lease.pending)
		now = runner.lease.replyDeadline
		manager.checkOverdue(now, runner)
		require.False(t, runner.lease.pending)
		pauses = append(pauses, runner.lease.dueAt-now)
		now = runner.lease.dueAt
	}
	require.Zero(t, pauses[0])
	require.Equal(t, renewalBackoff, pauses[1])
	require.Equal(t, 2*renewalBackoff, pauses[2])
	require.Equal(t, maxRenewalBackoff, pauses[7])
	require.True(t, runner.contact.unresponsive())
	require.Equal(t, 1.0, manager.lossRate.Count, "further missing replies of an unresponsive runner don't count as lost replies")
}

func TestPollWaitShrinksWithLostReplies(t *testing.T) {
	manager, runner := newLeaseManager(), contactedRunner()
	manager.lossRate.Value = 0.01
	require.Equal(t, int64(maxPollWaitMs/2), manager.pollWaitMs(testNow, runner))
	manager.lossRate.Value = 0.9
	require.Equal(t, int64(minPollWaitMs), manager.pollWaitMs(testNow, runner))
}

// TestOverdueStartIsPolledFor checks that a runner is polled once it can no longer carry out an
// order to start that has no reply.
func TestOverdueStartIsPolledFor(t *testing.T) {
	manager, runner := newLeaseManager(), contactedRunner()
	r := &run{phase: phaseOrdered, orderedAt: testNow, orderDeadlineMs: runnerClockMs + startDeadlineMs}
	runner.load.add(r)
	_, due := manager.renewIfDue(testNow, runner)
	require.True(t, due)
	manager.pollForOverdueStarts(testNow+startDeadlineMs*time.Millisecond, runner)
	require.True(t, runner.lease.pending, "the order may still arrive")

	now := testNow + (startDeadlineMs+1)*time.Millisecond
	manager.pollForOverdueStarts(now, runner)
	require.False(t, runner.lease.pending)
	order, due := manager.renewIfDue(now, runner)
	require.True(t, due)
	require.Equal(t, int64(startDeadlineMarginMs-1), order.WaitMs)
	manager.pollForOverdueStarts(now+time.Second, runner)
	require.True(t, runner.lease.pending, "once")
}

func TestRepliesToRenewals(t *testing.T) {
	for _, test := range []struct {
		name     string
		reply    LeaseReply
		reportMs int64
		want     renewalResult
		pause    time.Duration // before the next renewal
	}{
		{"renewed", LeaseRenewed, runnerClockMs + 1, reportArrived, 0},
		{"overtaken", LeaseRenewed, runnerClockMs - 1, reportOvertaken, 0},
		{"other incarnation", LeaseOtherIncarnation, 0, incarnationEnded, 0},
		{"fenced off", LeaseFenced, 0, renewalFailed, 0},
		{"no reply", LeaseNoReply, 0, renewalFailed, renewalBackoff},
	} {
		t.Run(test.name, func(t *testing.T) {
			manager, runner := newLeaseManager(), contactedRunner()
			order, _ := manager.renewIfDue(testNow, runner)
			require.Equal(t, test.want, manager.replied(testNow, runner, order.Sequence, test.reply, test.reportMs))
			require.False(t, runner.lease.pending)
			require.Equal(t, testNow+test.pause, runner.lease.dueAt)
		})
	}
}

func TestLateReplyLeavesANewerRenewalPending(t *testing.T) {
	manager, runner := newLeaseManager(), contactedRunner()
	first, _ := manager.renewIfDue(testNow, runner)
	now := runner.lease.replyDeadline
	manager.checkOverdue(now, runner)
	_, due := manager.renewIfDue(now, runner)
	require.True(t, due)
	require.Equal(t, reportArrived, manager.replied(now, runner, first.Sequence, LeaseRenewed, runnerClockMs+1), "its report is still used")
	require.True(t, runner.lease.pending)
}
