package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// restartedRunner is a runner that has come back at its address as i-2 and runs a task, as its leader knows.
type restartedRunner struct {
	scheduler *Scheduler
	session   *runnerSession
}

func newRestartedRunner() restartedRunner {
	s := newTestScheduler()
	session := addRunner(s, "i-2")
	session.load.add(&run{runKey: runKey{task: job.TaskRef{Job: "j"}, attempt: 1}, phase: phaseConfirmed, orderedAt: testNow})
	return restartedRunner{scheduler: s, session: session}
}

// list passes the platform's list, which has one runner.
func (r restartedRunner) list(now time.Duration, id string) []Order {
	r.scheduler.UpdateRunners(now, []Runner{{ID: id, Service: "s", Address: r.session.address, Capacity: job.Resources{CPU: 4000}}})
	return r.scheduler.outbox.take(false).Orders
}

// polls returns the polls of the runner among some orders.
func (r restartedRunner) polls(orders []Order) (polls []Order) {
	for _, order := range orders {
		if order.Kind == OrderRenewLease && order.Runner == r.session.id {
			polls = append(polls, order)
		}
	}
	return polls
}

// TestOlderListEndsNoLiveIncarnation guards against TWICE: a list that is older than what the leader knows
// names the former ID at the address (review/5).
func TestOlderListEndsNoLiveIncarnation(t *testing.T) {
	r := newRestartedRunner()
	orders := r.list(testNow+time.Millisecond, "i-1")
	require.Empty(t, r.scheduler.outbox.commands, "no run ends by a list")
	require.False(t, r.session.ended)
	polls := r.polls(orders)
	require.Len(t, polls, 1, "the runner is asked at once")
	require.Zero(t, polls[0].WaitMs)
	require.Empty(t, r.polls(r.list(testNow+2*time.Millisecond, "i-1")), "once for each listed ID")
}

// TestIncarnationEndsOnceAnotherOneReplies checks that the runs of a runner that did restart end after one
// round trip.
func TestIncarnationEndsOnceAnotherOneReplies(t *testing.T) {
	r := newRestartedRunner()
	polls := r.polls(r.list(testNow+time.Millisecond, "i-3"))
	require.Len(t, polls, 1)
	r.scheduler.LeaseReplied(testNow+2*time.Millisecond, polls[0], LeaseOtherIncarnation, RunnerReport{})
	require.True(t, r.session.ended)
	require.Len(t, r.scheduler.outbox.commands, 1)
	require.Equal(t, job.EndLost, r.scheduler.outbox.commands[0].EndReason)
}

// TestPendingPollDelaysNoCheckOfTheIncarnation checks that a poll that waits for a reply which may never come
// doesn't put off the one that the list causes.
func TestPendingPollDelaysNoCheckOfTheIncarnation(t *testing.T) {
	r := newRestartedRunner()
	r.scheduler.pollIfDue(r.session)
	require.True(t, r.session.lease.pending)
	require.Len(t, r.polls(r.scheduler.outbox.take(false).Orders), 1)
	require.Len(t, r.polls(r.list(testNow+time.Millisecond, "i-3")), 1)
}
