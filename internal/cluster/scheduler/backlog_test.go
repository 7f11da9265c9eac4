package scheduler_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBacklogAllocatesNothing guards against a leader that collapses under load: each cycle made garbage for each job
// that waited, so that a backlog took the processor time that would have worked it off.
func TestBacklogAllocatesNothing(t *testing.T) {
	f := warmBenchFleet(64, 100, true)
	perTurn := testing.AllocsPerRun(40, f.turn)
	require.Less(t, perTurn, float64(benchBacklog)/4, "allocations of a turn with %d jobs that wait", benchBacklog)
}
