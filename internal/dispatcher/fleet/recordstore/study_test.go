package recordstore

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"runtime"
	"slices"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/records"

	"github.com/stretchr/testify/require"
)

// TestStudy measures the store with records of 100 tenants. RECORDS_STUDY is the number of
// records; without it the test is skipped.
func TestStudy(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	n := 0
	if _, err := fmt.Sscan(os.Getenv("RECORDS_STUDY"), &n); err != nil {
		t.Skip("RECORDS_STUDY is not set")
	}
	s, st := openStore(t), records.New()
	memory := func() float64 { // of the Go heap; the mapped pages of the file belong to the page cache
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / 1e6
	}
	const batchSize = 1000
	before, start := memory(), time.Now()
	for first := 0; first < n; first += batchSize {
		c := records.Ship{Process: fmt.Sprint("n", first/batchSize%5), Epoch: 1, FirstSeq: uint64(first/batchSize/5*batchSize) + 1}
		for i := first; i < first+batchSize; i++ {
			outcome, reason := "served", "answered"
			if i%20 == 0 {
				outcome, reason = "failed", "deadline"
			}
			c.Records = append(c.Records, records.Record{
				ID: fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), Key: fmt.Sprint("key-", i), Tenant: fmt.Sprintf("tenant-%02d", i%100), Class: "place-hold",
				Outcome: outcome, Reason: reason, Arrived: int64(i) * 1e6, Ended: int64(i)*1e6 + 5e5, Attempts: 1, Members: []string{"member-7"},
			})
		}
		require.NoError(t, s.Update(uint64(first), func(in records.Store) error {
			_, err := st.Ship(0, in, c)
			return err
		}))
	}
	elapsed := time.Since(start)
	status, err := os.ReadFile("/proc/self/status")
	require.NoError(t, err)
	t.Logf("resident memory, the file's pages included: %s", regexp.MustCompile(`(?m)^(VmRSS|RssAnon|RssFile|RssShmem):.*$`).FindAll(status, -1))
	size, err := s.Size()
	require.NoError(t, err)
	t.Logf("stored, %d records a transaction: %.0f records a second; file %.0f bytes a record, heap grown by %.1f MB", batchSize, float64(n)/elapsed.Seconds(), float64(size)/float64(n), memory()-before)

	state, err := st.Encode()
	require.NoError(t, err)
	snap, err := s.Snapshot(state)
	require.NoError(t, err)
	var text bytes.Buffer
	start = time.Now()
	_, err = snap.WriteTo(&text)
	require.NoError(t, err)
	written := time.Since(start)
	snap.Release()
	other := openStore(t)
	start = time.Now()
	_, _, err = other.Restore(&text)
	require.NoError(t, err)
	t.Logf("snapshot of %.0f MB of records and %d bytes of state: written in %v, restored in an empty store in %v", float64(size)/1e6, len(state), written.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))

	require.NoError(t, st.SetRules(0, records.SetRules{Rules: []records.Rule{{Tenant: records.DefaultRuleTenant, Keep: records.Limits{MaxCount: int64(n / 200)}}}}))
	for _, limit := range []int{1000, 10000} {
		var planned, pruned []time.Duration
		removed := 0
		for range 20 {
			start := time.Now()
			var c records.Prune
			require.NoError(t, s.View(func(in records.Reader) (err error) {
				c, _, err = st.PlanPrune(in, int64(n)*1e6, limit)
				return err
			}))
			planned, start = append(planned, time.Since(start)), time.Now()
			require.NoError(t, s.Update(0, func(in records.Store) error {
				done, err := st.Prune(0, in, c)
				removed += done.Removed
				return err
			}))
			pruned = append(pruned, time.Since(start))
		}
		slices.Sort(planned)
		slices.Sort(pruned)
		t.Logf("20 prunes of at most %d: %d records removed; transaction %v (median), %v (maximum); planning %v (median)", limit, removed, pruned[10], pruned[19], planned[10])
	}
	start, removed, prunes := time.Now(), 0, 0
	for needed := true; needed; prunes++ {
		var c records.Prune
		require.NoError(t, s.View(func(in records.Reader) (err error) {
			c, needed, err = st.PlanPrune(in, int64(n)*1e6, 10000)
			return err
		}))
		require.NoError(t, s.Update(0, func(in records.Store) error {
			done, err := st.Prune(0, in, c)
			removed += done.Removed
			return err
		}))
	}
	t.Logf("all other records over the limits: %d removed in %d prunes, %v in total", removed, prunes, time.Since(start).Round(time.Millisecond))
}
