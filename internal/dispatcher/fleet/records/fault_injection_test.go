//go:build faults

package records

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestInjectedResurrection: the audit finds a record that came back.
func TestInjectedResurrection(t *testing.T) {
	for _, planted := range []bool{false, true} {
		faultResurrectPruned = planted
		s, shelf := New(), shelf(nil)
		ship := func(first uint64, ended int64) {
			_, err := s.Ship(0, &shelf, Ship{Process: "n1", Epoch: first, FirstSeq: 1, Records: []Record{{ID: "j", Tenant: "hrad", Ended: ended}}})
			require.NoError(t, err)
		}
		ship(1, 100)
		_, err := s.Prune(0, &shelf, Prune{Watermarks: []Watermark{{Tenant: "hrad", Position: Position{Ended: 200}}}})
		require.NoError(t, err)
		ship(2, 150) // from a folder that was away
		wrong, err := s.Audit(&shelf)
		require.NoError(t, err)
		require.Equal(t, planted, len(wrong) > 0, "%v", wrong)
	}
	faultResurrectPruned = false
}
