package soak

import (
	"context"
	"io"
	"path/filepath"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// TestSoak runs a short soak: both fronts are under load, the program is killed at random times, and the
// journal is verified after each kill.
func TestSoak(t *testing.T) {
	binary, err := scenario.Build()
	require.NoError(t, err)
	r, err := Run(context.Background(), Settings{
		Program: binary, Until: time.Now().Add(20 * time.Second), Kills: 6, WorkerKills: 10, Rate: 25, JournalDir: t.TempDir(), Seed: 5,
	}, io.Discard)
	require.NoError(t, err)
	require.Empty(t, r.Violations)
	require.Equal(t, 6, r.Kills)
	require.Equal(t, 7, r.Journal.Epochs)
	require.NotZero(t, r.WorkerKills)
	require.NotZero(t, r.Audits)
	require.NotZero(t, r.Journal.Checkpoints)
	require.NotZero(t, r.Journal.Totals.Ends[accounting.Answered])
	require.NoError(t, r.Write(io.Discard))
}

// TestKillsWaitForStart checks that kills that are due before the process has started wait for the start, so
// that each kill ends a running process.
func TestKillsWaitForStart(t *testing.T) {
	binary, err := scenario.Build()
	require.NoError(t, err)
	r, err := Run(context.Background(), Settings{
		Program: binary, Until: time.Now().Add(30 * time.Millisecond), Kills: 3, Rate: 5, JournalDir: t.TempDir(), Seed: 5,
	}, io.Discard)
	require.NoError(t, err)
	require.Equal(t, 3, r.Kills)
	require.Equal(t, 4, r.Journal.Epochs)
}

// TestKill kills the program while jobs are open: the next start closes exactly these jobs, before it accepts
// new ones.
func TestKill(t *testing.T) {
	binary, err := scenario.Build()
	require.NoError(t, err)
	dir := t.TempDir()
	journalDir := filepath.Join(dir, "figures")
	w, err := demo.NewWorld(demo.Load{Members: 2, RunTime: time.Hour})
	require.NoError(t, err)
	defer w.Close()
	files, err := writeFiles(dir, w, journalDir)
	require.NoError(t, err)
	verify := func() *journal.Verification {
		f, err := journal.ReadDirectory(journalDir)
		require.NoError(t, err)
		v, err := journal.Verify(f)
		require.NoError(t, err)
		require.Empty(t, v.Inconsistencies)
		return v
	}
	const openJobs = 5
	for epoch := 1; epoch <= 3; epoch++ {
		cmd := files.command(t.Context(), binary)
		require.NoError(t, cmd.Start())
		defer func() { _ = cmd.Process.Kill() }() // has no effect if the test passes: the process has ended
		client := scenario.Dial(w.HTTPAddr)
		for n := range openJobs {
			c, err := client()
			require.NoError(t, err)
			defer func() { _ = c.Close() }() // the kill has broken the connection
			_, err = io.WriteString(c, "POST /group-ticket HTTP/1.1\r\nHost: a\r\nX-Call-Id: t-"+string(rune('a'+n))+"\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
		}
		require.Eventually(t, func() bool { return verify().Totals.Open == openJobs }, 20*time.Second, 10*time.Millisecond)
		require.NoError(t, cmd.Process.Kill())
		require.Error(t, cmd.Wait(), "killed")
		v := verify()
		require.EqualValues(t, openJobs*epoch, v.Totals.Taken)
		require.EqualValues(t, openJobs*(epoch-1), v.Totals.Ends[accounting.Crashed])
		require.EqualValues(t, openJobs, v.Totals.Open)
	}
}
