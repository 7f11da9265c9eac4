package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// TestLearning checks what is learned about a run's step and runner from each kind of end.
func TestLearning(t *testing.T) {
	newCase := func() (*runTimeLearner, *taskGroup, *runnerSession, *run) {
		group := groupExpecting(1)
		group.step.EstimateMs = 1000
		return newRunTimeLearner(1.5), group, contactedRunner(), &run{phase: phaseConfirmed, expected: 1, cost: 1, orderedAt: testNow}
	}
	t.Run("done", func(t *testing.T) {
		learner, group, runner, r := newCase()
		learner.runEnded(testNow+2*time.Second, group.job, group, runner, r, job.EndDone)
		require.Equal(t, 2.0, learner.expected(group.job, 0))
		require.Equal(t, 2.0, runner.speed.slowdown.Value)
		require.Len(t, group.finished, 1)
	})
	t.Run("done away from its data", func(t *testing.T) {
		learner, group, runner, r := newCase()
		r.remote = true
		learner.runEnded(testNow+1500*time.Millisecond, group.job, group, runner, r, job.EndDone)
		require.Equal(t, 1.0, learner.expected(group.job, 0))
	})
	t.Run("resumed", func(t *testing.T) {
		learner, group, runner, r := newCase()
		r.resumed = true
		learner.runEnded(testNow+2*time.Second, group.job, group, runner, r, job.EndDone)
		require.Equal(t, 1.0, learner.expected(group.job, 0), "a part of it may have run elsewhere")
		require.False(t, runner.speed.slowdown.Known())
		require.Equal(t, 1.0, runner.suspicion.failureRate.Count)
	})
	t.Run("failed", func(t *testing.T) {
		learner, group, runner, r := newCase()
		learner.runEnded(testNow+2*time.Second, group.job, group, runner, r, job.EndFailed)
		require.Equal(t, 1.0, learner.expected(group.job, 0))
		require.Equal(t, 1.0, runner.suspicion.failureRate.Value)
	})
	t.Run("lost", func(t *testing.T) {
		learner, group, runner, r := newCase()
		learner.runEnded(testNow+2*time.Second, group.job, group, runner, r, job.EndLost)
		require.False(t, runner.suspicion.failureRate.Known(), "a lost run doesn't count as a failure")
	})
	t.Run("at a slow runner", func(t *testing.T) {
		learner, group, runner, r := newCase()
		for range 3 {
			learner.runEnded(testNow+4*time.Second, group.job, nil, runner, r, job.EndDone)
		}
		first := learner.expected(group.job, 0)
		learner.runEnded(testNow+8*time.Second, group.job, nil, runner, r, job.EndDone)
		require.Equal(t, first, learner.expected(group.job, 0), "runs of a slow runner don't change the estimate of the step")
	})
}
