package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

const lateAttempt = 100

// failLate applies a start and the failed end of a task's late attempt.
func failLate(s *Scheduler, ref job.TaskRef, attempt int) {
	s.store.Apply(job.Command{Kind: job.StartRun, Task: ref, Attempt: attempt, Runner: "a"})
	s.store.Apply(job.Command{Kind: job.EndRun, Task: ref, Attempt: attempt, Runner: "a", EndReason: job.EndFailed})
}

// TestFailureListedAgainToAnotherLeaderCountsOnce guards against a failure at a late attempt that
// counts twice because the leader that counted it did not acknowledge it to the runner.
func TestFailureListedAgainToAnotherLeaderCountsOnce(t *testing.T) {
	s := newTestScheduler()
	runner := addRunner(s, "a")
	group := submit(s, "j", job.Step{Count: 1})
	group.job.Retries = 5
	ref := group.taskRef(0)
	failLate(s, ref, lateAttempt)
	report := RunnerReport{Finished: []ReportedEnd{
		{Number: 1, Task: ref, Attempt: lateAttempt, Reason: job.EndFailed},
		{Number: 2, Task: ref, Attempt: lateAttempt + 1, Reason: job.EndFailed},
	}}
	s.proposeEnds(runner, report, map[runKey]bool{})
	require.Len(t, s.outbox.commands, 2)
	for _, command := range s.outbox.commands {
		s.store.Apply(command)
	}
	require.Equal(t, 2, group.task(0).Failed, "two attempts failed")
}

// TestNewLeaderFailsAGangThatFailedAtLateAttempts checks that a leader finishes what an earlier one
// did not propose, also on data of builds that didn't record late failures.
func TestNewLeaderFailsAGangThatFailedAtLateAttempts(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		s := newTestScheduler()
		group := submit(s, "j", job.Step{Count: 2, Gang: true})
		group.job.Retries = 3
		for attempt := range group.job.Retries {
			require.Zero(t, group.job.MissingGangFailures(0, 0))
			failLate(s, group.taskRef(1), lateAttempt+attempt)
		}
		if !recorded {
			group.job.LaterFailures = nil
		}
		next := New(s.store, 2, s.config, testNow, 0, s.log)
		require.Equal(t, job.StateRunning, group.job.State)
		require.Empty(t, next.groups.byKey[group.key].pending, "it may not start again")
		for _, command := range next.outbox.commands {
			require.Equal(t, job.Applied, next.store.Apply(command))
		}
		require.Equal(t, job.StateFailed, group.job.State)
	}
}
