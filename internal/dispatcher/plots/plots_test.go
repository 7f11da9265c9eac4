package plots

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/logging/logtest"

	"github.com/stretchr/testify/require"
)

// TestDraw draws a journal of half an hour as SVG and PNG. A query without jobs returns ErrNoJobs.
func TestDraw(t *testing.T) {
	dir := t.TempDir()
	f, err := journal.OpenDirectory(dir)
	require.NoError(t, err)
	log := logtest.Discard()
	start := time.Date(2026, 7, 4, 12, 0, 0, 0, time.UTC)
	j, err := journal.Open(f, journal.Settings{SegmentBytes: 1 << 20, MaxBytes: 1 << 30, MaxAge: time.Hour}, start, log, nil)
	require.NoError(t, err)
	for n := uint64(1); n <= 300; n++ {
		at := start.Add(time.Duration(n) * 6 * time.Second)
		j.JobAccepted(n, accounting.Job{Front: "http", Class: []string{"place-hold", "group-ticket"}[n%2]}, at)
		j.JobEnded(n, "cell 0", []accounting.Reason{accounting.Answered, accounting.Answered, accounting.Declined, accounting.GivenUp}[n%4], at.Add(time.Duration(n)*time.Millisecond))
	}
	require.NoError(t, j.Close())
	for extension, prefix := range map[string]string{".svg": "<?xml", ".png": "\x89PNG"} {
		names, err := Draw(f, journal.Query{}, filepath.Join(dir, "out"+extension))
		require.NoError(t, err)
		require.Len(t, names, 2)
		for _, name := range names {
			text, err := os.ReadFile(name)
			require.NoError(t, err)
			require.True(t, bytes.HasPrefix(text, []byte(prefix)))
			if extension == ".svg" {
				require.Contains(t, string(text), "<path")
			}
		}
	}
	_, err = Draw(f, journal.Query{To: start}, filepath.Join(dir, "none.svg"))
	require.ErrorIs(t, err, ErrNoJobs)
}
