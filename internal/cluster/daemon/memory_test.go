package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLargerMemoryLimitCollectsLess guards against frequent garbage collections: a process with a large limit
// collected as often as one with a small limit, in bursts that each took several tenths of a second of its
// processor time.
func TestLargerMemoryLimitCollectsLess(t *testing.T) {
	for megabytes, percent := range map[int]int{0: 60, 160: 60, 184: 61, 280: 93, 664: 200, 4000: 200} {
		require.Equal(t, percent, gcPercent(megabytes), "%d MB", megabytes)
	}
}
