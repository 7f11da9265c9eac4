package job_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// storeOf returns a store with the given number of jobs. Each has the given number of tasks, one of which runs.
func storeOf(jobs, tasks int) *job.Store {
	store := job.NewStore()
	for number := range jobs {
		command := acceptCommand(fmt.Sprintf("job-%d", number), "host/queue/", plain(tasks))
		store.Apply(command)
		store.Apply(startCommand(task(command.Submission.ID, 0, 0, 0), 1, "runner-1"))
	}
	return store
}

func BenchmarkSnapshot(b *testing.B) {
	store := storeOf(200, 100)
	b.ReportAllocs()
	for b.Loop() {
		_, err := store.Snapshot()
		require.NoError(b, err)
	}
}

func BenchmarkRestore(b *testing.B) {
	snapshot, err := storeOf(200, 100).Snapshot()
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, job.NewStore().Restore(snapshot))
	}
}
