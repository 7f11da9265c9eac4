package scheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBacklogAllocatesNothing guards against a leader that collapses under load: each cycle
// allocated memory for each waiting job, so that a backlog took the processor time that would have
// been needed to work it off.
func TestBacklogAllocatesNothing(t *testing.T) {
	f := warmBenchFleet(64, 100, true)
	perStep := testing.AllocsPerRun(40, f.step)
	require.Less(t, perStep, float64(benchBacklog)/4, "allocations of a step with %d waiting jobs", benchBacklog)
}
