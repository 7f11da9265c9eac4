package journal

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// goldenJournal is the directory of a journal of three epochs, written by commit 352ebf2, and goldenRecords holds
// the records that this build read from it. They must never be rewritten by later code.
var (
	goldenJournal = filepath.Join("testdata", "golden", "journal")
	goldenRecords = filepath.Join("testdata", "golden", "journal-records.txt")
	goldenReport  = filepath.Join("testdata", "golden", "journal-report.txt")
)

// writeGoldenJournal writes a journal of jobs that end for each reason, and some that stay open.
func writeGoldenJournal(t *testing.T, path string) {
	small := testSettings
	small.SegmentBytes, small.MaxAge = 700, 1000*time.Hour
	for epoch := range 3 {
		dir, err := OpenDirectory(path)
		require.NoError(t, err)
		at := start.Add(time.Duration(epoch) * time.Hour)
		j, err := Open(dir, small, at, discardLog, func(d []accounting.Difference) { require.Fail(t, "differs", "%v", d) })
		require.NoError(t, err)
		var totals accounting.Totals
		var records int64
		for n := range uint64(30) {
			at = at.Add(time.Second)
			job := accounting.Job{Front: []string{"http", "faktory"}[n%2], Class: "place-hold", Tenant: fmt.Sprintf("t%d", n%3), Key: fmt.Sprintf("k%d", n%20), Retry: n >= 20}
			j.JobAccepted(n+1, job, at)
			totals.Taken++
			totals.Open++
			records++
			if reason := accounting.Reason(n % uint64(accounting.Reasons)); reason != accounting.Crashed {
				j.JobEnded(n+1, fmt.Sprintf("cell %d", n%4), reason, at.Add(90*time.Millisecond))
				totals.Open--
				totals.Ends[reason]++
				records++
			}
			waitWritten(t, j, records)
		}
		j.Checkpoint(totals, at.Add(time.Second))
		require.NoError(t, j.Close())
	}
}

// dumpRecords returns a journal's records as text, field by field.
func dumpRecords(t *testing.T, f Directory) string {
	var b strings.Builder
	names, err := f.Names()
	require.NoError(t, err)
	for _, name := range names {
		text, err := f.Read(name)
		require.NoError(t, err)
		var records strings.Builder
		scanned, err := Scan(text, func(r *Record) error {
			fmt.Fprintf(&records, "kind %d number %d at %d front %q class %q tenant %q ask %016x retry %t group %q reason %d (%s, %s) taken %d open %d ends %v\n",
				r.Kind, r.Number, r.At, r.Series.Front, r.Series.Class, r.Series.Tenant, r.LogicalRequest, r.Retry, r.Group, r.Reason, r.Reason, r.Reason.Outcome(), r.Accepted, r.Open, r.Ends)
			return nil
		})
		require.NoError(t, err)
		require.NoError(t, scanned.Err)
		require.False(t, scanned.Torn)
		h := scanned.Header
		fmt.Fprintf(&b, "%s version %d epoch %d index %d created %d\n%s", name, h.Version, h.Epoch, h.Index, h.Created, records.String())
	}
	return b.String()
}

// TestGoldenJournal tests that the golden journal is read with the golden records, is consistent and gives the
// golden report, and that a restart continues its count.
func TestGoldenJournal(t *testing.T) {
	if goldentest.Missing(goldenJournal) {
		written := filepath.Join(t.TempDir(), "journal")
		writeGoldenJournal(t, written)
		goldentest.WriteMissingFolder(t, written, goldenJournal)
	}
	dir, err := OpenDirectory(goldentest.CopyFolder(t, goldenJournal))
	require.NoError(t, err)
	names, err := dir.Names()
	require.NoError(t, err)
	require.Greater(t, len(names), 3, "segments")
	goldentest.Equal(t, goldenRecords, []byte(dumpRecords(t, dir)))

	v := verify(t, dir)
	require.Empty(t, v.Inconsistencies)
	require.Equal(t, 3, v.Epochs)
	require.EqualValues(t, 90, v.Totals.Taken)
	require.EqualValues(t, 2, v.Totals.Open)
	require.EqualValues(t, 4, v.Totals.Ends[accounting.Crashed])
	require.EqualValues(t, 3*3, v.Totals.Ends[accounting.Answered])
	require.EqualValues(t, 3, v.Checkpoints)

	rows, warnings, err := Report(dir, Query{By: []string{"front", "tenant", "group"}})
	require.NoError(t, err)
	require.Empty(t, warnings)
	var b bytes.Buffer
	for _, row := range rows {
		fmt.Fprintf(&b, "%v opened %d taken %d ends %v open %d asks %d\n", row.By, row.OpenBefore, row.Accepted, row.Ends, row.Open, row.LogicalRequests)
	}
	goldentest.Equal(t, goldenReport, b.Bytes())

	j := openJournal(t, dir, Settings{SegmentBytes: 1 << 20, MaxBytes: 1 << 30, MaxAge: 1000 * time.Hour})
	require.Equal(t, 2, j.Recovery().CrashedJobs)
	require.EqualValues(t, 4, j.Recovery().Epoch)
	require.NoError(t, j.Close())
}
