package spool

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/segment"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// goldenSpool is a spool's folder with records that were not shipped, written by commit
// 352ebf2. It must never be rewritten by later code.
var goldenSpool = filepath.Join("testdata", "golden", "spool")

func goldenRecords() (all []records.Record) {
	for n := range int64(6) {
		all = append(all, records.Record{
			ID: fmt.Sprintf("job-%d", n), Key: "key", Tenant: "hrad-kamenec", Class: "place-hold", Plan: "booking", Stage: "hold", Outcome: "failed", Reason: "deadline",
			Arrived: 1_780_000_000_000_000_000 + n, Ended: 1_780_000_000_040_000_000 + n, Attempts: 2, Members: []string{"cell-1", "cell-2"}, Body: []byte(`{"seat":"A1"}`),
		})
	}
	return all
}

func goldenSettings(epoch uint64) Settings {
	return Settings{Process: "n1", Epoch: epoch, QueueLength: 100, BatchSize: 4, MaxBodyBytes: 1 << 10, SegmentBytes: 500, WriteDelay: time.Hour, SyncInterval: time.Hour, RetryInterval: time.Millisecond}
}

// TestGoldenFolder opens a spool on a copy of the golden folder, and checks that it ships all
// records there unchanged and with their sequence numbers.
func TestGoldenFolder(t *testing.T) {
	log := logtest.Discard()
	if goldentest.Missing(goldenSpool) {
		written := filepath.Join(t.TempDir(), "spool")
		folder, err := segment.OpenDirectory(written)
		require.NoError(t, err)
		unreachable := func(context.Context, records.Ship) (uint64, error) { return 0, errors.New("the fleet is unreachable") }
		p, err := Open(folder, goldenSettings(70), time.Unix(0, 0), log, unreachable)
		require.NoError(t, err)
		for _, r := range goldenRecords() {
			require.True(t, p.Add(r))
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.NoError(t, p.Close(ctx))
		goldentest.WriteMissingFolder(t, written, goldenSpool)
	}
	folder, err := segment.OpenDirectory(goldentest.CopyFolder(t, goldenSpool))
	require.NoError(t, err)
	names, err := folder.Names()
	require.NoError(t, err)
	require.Equal(t, "00000000000000000070-00000001.seg", names[0])
	var shipped []records.Record
	ship := func(_ context.Context, s records.Ship) (uint64, error) {
		require.Equal(t, "n1", s.Process)
		require.EqualValues(t, 70, s.Epoch)
		require.EqualValues(t, len(shipped)+1, s.FirstSeq)
		shipped = append(shipped, s.Records...)
		return uint64(len(shipped)), nil
	}
	p, err := Open(folder, goldenSettings(71), time.Unix(0, 0), log, ship)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	require.NoError(t, p.Close(ctx))
	require.Equal(t, goldenRecords(), shipped)

	_, err = Open(folder, goldenSettings(70), time.Unix(0, 0), log, ship)
	require.NoError(t, err, "all is shipped and removed, so that no epoch is known any more")
}
