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

// TestStudy measures the store with so many records of 100 tenants as
// RECORDS_STUDY says; without that it is left out.
func TestStudy(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	n := 0
	if _, err := fmt.Sscan(os.Getenv("RECORDS_STUDY"), &n); err != nil {
		t.Skip("RECORDS_STUDY is not set")
	}
	s, st := open1(t), records.New()
	memory := func() float64 { // of Go's own; the file's pages are the system's to keep or drop
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / 1e6
	}
	const batch = 1000
	before, begun := memory(), time.Now()
	for first := 0; first < n; first += batch {
		c := records.Ship{Process: fmt.Sprint("n", first/batch%5), Epoch: 1, FirstSeq: uint64(first/batch/5*batch) + 1}
		for i := first; i < first+batch; i++ {
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
	took := time.Since(begun)
	status, err := os.ReadFile("/proc/self/status")
	require.NoError(t, err)
	t.Logf("resident memory, the file's pages included: %s", regexp.MustCompile(`(?m)^(VmRSS|RssAnon|RssFile|RssShmem):.*$`).FindAll(status, -1))
	size, err := s.Size()
	require.NoError(t, err)
	t.Logf("into the store, %d a transaction: %.0f records a second; file %.0f bytes a record, heap %.1f MB more", batch, float64(n)/took.Seconds(), float64(size)/float64(n), memory()-before)

	small, err := st.Encode()
	require.NoError(t, err)
	snap, err := s.Snapshot(small)
	require.NoError(t, err)
	var text bytes.Buffer
	begun = time.Now()
	_, err = snap.WriteTo(&text)
	require.NoError(t, err)
	written := time.Since(begun)
	snap.Release()
	other := open1(t)
	begun = time.Now()
	_, _, err = other.Restore(&text)
	require.NoError(t, err)
	t.Logf("an empty replica: snapshot of %.0f MB and %d bytes written in %v, restored in %v", float64(size)/1e6, len(small), written.Round(time.Millisecond), time.Since(begun).Round(time.Millisecond))

	require.NoError(t, st.SetRules(0, records.SetRules{Rules: []records.Rule{{Tenant: records.DefaultRuleTenant, Keep: records.Limits{MaxCount: int64(n / 200)}}}}))
	for _, most := range []int{1000, 10000} {
		var planned, cut []time.Duration
		removed := 0
		for range 20 {
			begun := time.Now()
			var c records.Prune
			require.NoError(t, s.View(func(in records.Reader) (err error) {
				c, _, err = st.PlanPrune(in, int64(n)*1e6, most)
				return err
			}))
			planned, begun = append(planned, time.Since(begun)), time.Now()
			require.NoError(t, s.Update(0, func(in records.Store) error {
				done, err := st.Prune(0, in, c)
				removed += done.Removed
				return err
			}))
			cut = append(cut, time.Since(begun))
		}
		slices.Sort(planned)
		slices.Sort(cut)
		t.Logf("cuts of %d: %d records removed in 20; the store held %v (median), %v (most); planned beside it in %v", most, removed, cut[10], cut[19], planned[10])
	}
	begun, removed, cuts := time.Now(), 0, 0
	for needed := true; needed; cuts++ {
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
	t.Logf("the rest of the prune: %d records in %d cuts, %v in all", removed, cuts, time.Since(begun).Round(time.Millisecond))
}
