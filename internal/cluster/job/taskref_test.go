package job_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

func TestTaskRefRoundTrip(t *testing.T) {
	task := job.TaskRef{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	parsed, err := job.ParseTaskRef(task.String())
	require.NoError(t, err)
	require.Equal(t, task, parsed)
	for _, name := range []string{"", "a.1.2", "a.b.1.2", "a.1.2.-3", "a.1.2.3.4", "a", "a.", "a.1.2.", "a.1.2.3."} {
		t.Run("reject "+name, func(t *testing.T) {
			_, err := job.ParseTaskRef(name)
			require.Error(t, err)
		})
	}
}

func BenchmarkTaskRef(b *testing.B) {
	task := job.TaskRef{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	b.ReportAllocs()
	for b.Loop() {
		parsed, err := job.ParseTaskRef(task.String())
		if err != nil || parsed != task {
			b.Fatal(parsed, err)
		}
	}
}
