package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSpeculativeAttemptBesideAnUncertainRun(t *testing.T) {
	w := newStragglerWorld(1)
	policy := &speculationPolicy{runners: w.runners}
	r := w.addRun("a", 0, 0)
	j := w.store.Jobs["a"]
	group := &taskGroup{key: groupKey{job: "a"}, job: j, step: &j.Spec.Steps[0]}
	task := group.task(0)
	require.False(t, policy.shouldStart(group, 0, task), "its step does not allow it")
	group.step.Speculative = true
	require.False(t, policy.shouldStart(group, 0, task), "its run goes on")
	r.uncertain = true
	require.True(t, policy.shouldStart(group, 0, task))
	group.findPending(group.state().Tasks, policy)
	require.Equal(t, []int{1, 0}, group.pending, "the task without a run comes first")
	require.Equal(t, 1, group.interchangeable())
	r.ending = true
	require.False(t, policy.shouldStart(group, 0, task), "its end is known")
	r.ending = false
	group.step.Gang = true
	require.False(t, policy.shouldStart(group, 0, task))
}
