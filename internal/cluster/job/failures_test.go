package job_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// TestGangFailuresCountAtAnyAttempt checks that each failed attempt of a gang counts once, whichever
// members report it and however late it is, and that a snapshot keeps that.
func TestGangFailuresCountAtAnyAttempt(t *testing.T) {
	s := job.NewStore()
	submission := accept(job.Spec{Steps: []job.Step{{Count: 2, Gang: true}}})
	submission.Submission.Retries = 3
	apply(t, s, expectation{submission, job.Applied})
	for _, attempt := range []int{70, 71} {
		apply(t, s,
			expectation{start(0, 0, attempt), job.Applied}, expectation{start(0, 1, attempt), job.Applied},
			expectation{end(0, 0, attempt, job.EndFailed), job.Applied}, expectation{end(0, 1, attempt, job.EndFailed), job.Applied})
	}
	require.Zero(t, s.Jobs["a"].MissingGangFailures(0, 0), "two attempts have failed")
	require.True(t, s.Jobs["a"].IsLaterFailureCounted(ref(0, 1), 71))
	require.False(t, s.Jobs["a"].IsLaterFailureCounted(ref(0, 1), 72))
	restored := job.NewStore()
	require.NoError(t, restored.Restore(snapshotOf(t, s)))
	require.Equal(t, s.Jobs["a"].LaterFailures, restored.Jobs["a"].LaterFailures)
	apply(t, restored, expectation{start(0, 0, 72), job.Applied}, expectation{end(0, 0, 72, job.EndFailed), job.Applied})
	require.Equal(t, 2, restored.Jobs["a"].MissingGangFailures(0, 0), "the state has one of three")
	for _, attempt := range restored.Jobs["a"].UnusedAttempts(ref(0, 1), 2) {
		apply(t, restored, expectation{end(0, 1, attempt, job.EndFailed), job.Applied})
	}
	require.Equal(t, job.StateFailed, restored.Jobs["a"].State)
	require.Empty(t, restored.Jobs["a"].LaterFailures, "the state of finished tasks is released")
}
