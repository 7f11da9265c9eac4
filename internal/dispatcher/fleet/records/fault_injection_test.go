//go:build faults

package records

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestInjectedResurrection checks that Audit finds a pruned record that was stored again.
func TestInjectedResurrection(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		faultResurrectPruned = faulty
		s, store := New(), store(nil)
		ship := func(first uint64, ended int64) {
			_, err := s.Ship(0, &store, Ship{Process: "n1", Epoch: first, FirstSeq: 1, Records: []Record{{ID: "j", Tenant: "hrad", Ended: ended}}})
			require.NoError(t, err)
		}
		ship(1, 100)
		_, err := s.Prune(0, &store, Prune{Watermarks: []Watermark{{Tenant: "hrad", Position: Position{Ended: 200}}}})
		require.NoError(t, err)
		ship(2, 150) // from a spool directory that was absent during the prune
		wrong, err := s.Audit(&store)
		require.NoError(t, err)
		require.Equal(t, faulty, len(wrong) > 0, "%v", wrong)
	}
	faultResurrectPruned = false
}
