package scheduler

import (
	"testing"

	"basaltloft/internal/cluster/job"

	"github.com/stretchr/testify/require"
)

func TestSpeculativeAttemptForUncertainRun(t *testing.T) {
	f := newStragglerFixture(1)
	policy := &speculationPolicy{runners: f.runners}
	r := f.addRun("a", 0, 0)
	j := f.store.Jobs["a"]
	group := &taskGroup{key: groupKey{job: "a"}, job: j, step: &j.Spec.Steps[0]}
	task := group.task(0)
	require.False(t, policy.shouldStart(group, 0, task), "its step doesn't allow it")
	group.step.Speculative = true
	require.False(t, policy.shouldStart(group, 0, task), "its run is not uncertain")
	r.uncertain = true
	require.True(t, policy.shouldStart(group, 0, task))
	group.findPending(group.state().Tasks, policy)
	require.Equal(t, []int{1, 0}, group.pending, "the task without a run comes first")
	require.Equal(t, 1, group.interchangeable())
	r.ending = true
	require.False(t, policy.shouldStart(group, 0, task), "the end of its run is proposed")
	r.ending = false
	group.step.Gang = true
	require.False(t, policy.shouldStart(group, 0, task))
}

// TestRunEndKeepsProposedSpeculativeStart checks that the end of a task's uncertain run has no
// effect on a speculative start that is proposed and not yet committed. If that start were proposed
// again with the same attempt number, it would be reserved twice at its runner, and the rejection
// of the second command would remove the run of the first.
func TestRunEndKeepsProposedSpeculativeStart(t *testing.T) {
	s := newTestScheduler()
	addRunner(s, "a")
	group := submit(s, "j", job.Step{Count: 2, Resources: job.Resources{CPU: 4000}, Speculative: true})
	group.job.Retries = 3
	s.runCycle()
	first := s.outbox.take(true).Commands
	require.Len(t, first, 1, "no other runner has capacity for the second task")
	outcome := s.store.Apply(first[0])
	require.Equal(t, job.Applied, outcome)
	s.startCommitted(first[0], outcome)
	_, uncertain := s.runners.find(first[0].Task, group.task(first[0].Task.Index).Runs[0])
	other := addRunner(s, "b")
	addRunner(s, "c")
	uncertain.uncertain = true
	s.allowSpeculativeAttempt(s.runners.byID["a"], uncertain)
	s.runCycle()
	require.Len(t, s.outbox.take(true).Commands, 2, "the speculative attempt and the second task")
	reserved, inFlight := other.load.reserved, s.startWindow.inFlight
	require.Equal(t, 3, inFlight)

	end := job.Command{Kind: job.EndRun, Task: first[0].Task, Attempt: first[0].Attempt, Runner: "a", EndReason: job.EndLost}
	s.endCommitted(s.store.Jobs["j"], end, s.store.Apply(end))
	require.Empty(t, group.pending, "each task has a start in flight")
	s.runCycle()
	require.Empty(t, s.outbox.take(true).Commands)
	require.Equal(t, reserved, other.load.reserved)
	require.Equal(t, inFlight-1, s.startWindow.inFlight, "the first start is released, and no start is counted twice")
}
