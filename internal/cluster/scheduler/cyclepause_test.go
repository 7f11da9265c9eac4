package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// TestBacklogLeavesTimeForOrders guards against a leader that collapses under load: with work that waits a cycle
// followed each 3 ms on the one before, whatever it took.
func TestBacklogLeavesTimeForOrders(t *testing.T) {
	require.InDelta(t, 20, cyclesInTurns(t, 0), 2, "a cycle each turn while little waits")
	require.Less(t, cyclesInTurns(t, 10*benchBacklog), 8, "fewer cycles while much waits")
}

// cyclesInTurns returns in how many of 20 turns work that has just come, and fits, is started, while so
// many jobs wait that need more than is free.
func cyclesInTurns(t *testing.T, waiting int) int {
	t.Helper()
	f := warmBenchFleet(64, 100, false)
	for range waiting {
		f.submit(job.Step{Count: 1, EstimateMs: time.Hour.Milliseconds(), Resources: benchResources(benchSlots)})
	}
	cycles := 0
	for range 20 {
		f.submit(job.Step{Count: 1, EstimateMs: 1, Resources: benchResources(1)})
		f.turn()
		for _, command := range f.unapplied.Commands {
			if command.Kind == job.StartRun {
				cycles++
				break
			}
		}
	}
	return cycles
}
