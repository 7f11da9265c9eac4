package job_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

func FuzzDecodeBatch(f *testing.F) {
	f.Add(job.Batch{Commands: []job.Command{start(0, 0, 1), end(0, 0, 1, job.EndDone)}}.Encode())
	f.Add([]byte{1, 255, 255, 255, 255, 15})
	f.Fuzz(func(t *testing.T, content []byte) {
		batch, err := job.DecodeBatch(content)
		if err != nil {
			require.ErrorIs(t, err, job.ErrFormat)
			return
		}
		again, err := job.DecodeBatch(batch.Encode())
		require.NoError(t, err)
		require.Equal(t, len(batch.Commands), len(again.Commands))
	})
}

// TestBatchesOfThePreviousFormatAreRead checks that batches of the previous format, which a log on disk may
// still contain, are decoded.
func TestBatchesOfThePreviousFormatAreRead(t *testing.T) {
	content := []byte{1, 1, byte(job.StartRun), 0, 1, 'a', 0, 0, 3, 2, 1, 'r', 3, 'x', ':', '1', 0, 10}
	batch, err := job.DecodeBatch(content)
	require.NoError(t, err)
	require.Equal(t, job.Command{Kind: job.StartRun, Task: job.TaskRef{Job: "a", Index: 3}, Attempt: 2, Runner: "r", Address: "x:1", ProposedAtMs: 5}, batch.Commands[0])
}
