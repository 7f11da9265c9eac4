package spool

import (
	"context"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/records"
	"basaltloft/internal/dispatcher/segment"

	"github.com/stretchr/testify/require"
)

// TestStudy measures the cost of Add and the lag, with a fleet that takes 2 ms for a batch, if
// SPOOL_STUDY is set.
func TestStudy(t *testing.T) {
	if os.Getenv("SPOOL_STUDY") == "" {
		t.Skip("SPOOL_STUDY is not set")
	}
	dir, err := segment.OpenDirectory(t.TempDir())
	require.NoError(t, err)
	f := &fleet{state: records.New()}
	var mu sync.Mutex
	var lags, costs []time.Duration
	p, err := Open(dir, Settings{
		Process: "n1", QueueLength: 1 << 14, BatchSize: 512, SegmentBytes: 1 << 20, WriteDelay: 20 * time.Millisecond, SyncInterval: time.Second, RetryInterval: time.Second,
	}, time.Now(), nil, func(ctx context.Context, b records.Ship) (uint64, error) {
		time.Sleep(2 * time.Millisecond)
		through, err := f.ship(ctx, b)
		mu.Lock()
		defer mu.Unlock()
		for i := range b.Records {
			lags = append(lags, time.Duration(time.Now().UnixNano()-b.Records[i].Ended))
		}
		return through, err
	})
	require.NoError(t, err)
	for range 1000 { // 50 every 10 ms: 5,000 a second
		begun := time.Now()
		for range 50 {
			p.Add(records.Record{ID: "0123456789abcdef", Key: "key", Tenant: "hrad", Class: "place-hold", Outcome: "served", Ended: time.Now().UnixNano()})
		}
		costs = append(costs, time.Since(begun)/50)
		time.Sleep(time.Until(begun.Add(10 * time.Millisecond)))
	}
	closeSpool(t, p)
	slices.Sort(lags)
	slices.Sort(costs)
	t.Logf("%d records, %d dropped: lag p50 %v, p99 %v; an Add %v (median)", len(lags), p.Stats().Dropped, lags[len(lags)/2], lags[len(lags)*99/100], costs[len(costs)/2])
}
