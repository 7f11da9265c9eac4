package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

func TestOccurrencesFallDue(t *testing.T) {
	schedule := newRecurringJobs()
	j := &job.Job{Submission: job.Submission{ID: "a", Spec: job.Spec{Repeats: 3, StartAtMs: 1000, IntervalMs: 500}}}
	schedule.watch(j)
	schedule.watch(&job.Job{Submission: job.Submission{ID: "once"}, Occurrences: []*job.Occurrence{{}}})
	require.Empty(t, schedule.due(999))
	first, second := job.TaskRef{Job: "a"}, job.TaskRef{Job: "a", Occurrence: 1}
	require.Equal(t, []job.TaskRef{first, second}, schedule.due(1500))
	j.Occurrences = append(j.Occurrences, &job.Occurrence{})
	require.Equal(t, []job.TaskRef{second}, schedule.due(1500), "returned again until it is open")
	j.Occurrences = append(j.Occurrences, &job.Occurrence{}, &job.Occurrence{})
	require.Empty(t, schedule.due(9000))
	require.Empty(t, schedule.jobs, "all are open")
}

// TestLongDueOccurrencesAreOpenedAFewAtATime guards against a job all of whose occurrences are long due
// when it is accepted, and which opens them in one batch.
func TestLongDueOccurrencesAreOpenedAFewAtATime(t *testing.T) {
	schedule := newRecurringJobs()
	j := &job.Job{Submission: job.Submission{ID: "a", Spec: job.Spec{Repeats: 1000, StartAtMs: 1000, IntervalMs: 1}}}
	schedule.watch(j)
	require.Len(t, schedule.due(1_000_000), maxOpenedAtOnce)
	for range maxOpenedAtOnce {
		j.Occurrences = append(j.Occurrences, &job.Occurrence{})
	}
	require.Equal(t, maxOpenedAtOnce, schedule.due(1_000_000)[0].Occurrence, "the next ones")
}
