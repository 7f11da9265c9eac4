package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMemoryBuysRareCollections: a process of a large limit collected as often as one of a small limit, in
// bursts that took its processor time of several tenths of a second.
func TestMemoryBuysRareCollections(t *testing.T) {
	for megabytes, percent := range map[int]int{0: 60, 160: 60, 184: 61, 280: 93, 664: 200, 4000: 200} {
		require.Equal(t, percent, gcPercent(megabytes), "%d MB", megabytes)
	}
}
