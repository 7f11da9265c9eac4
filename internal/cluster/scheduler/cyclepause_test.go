package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// TestBacklogLeavesTimeForOrders guards against a leader that collapses under load: with a backlog,
// cycles followed each other at intervals of 3 ms, regardless of how long they took.
func TestBacklogLeavesTimeForOrders(t *testing.T) {
	require.InDelta(t, 20, cyclesInSteps(t, 0), 2, "one cycle per step with a small backlog")
	require.Less(t, cyclesInSteps(t, 10*benchBacklog), 8, "fewer cycles with a large backlog")
}

// cyclesInSteps returns in how many of 20 steps a newly submitted job that fits is started, while
// the given number of jobs that need more than the free capacity waits.
func cyclesInSteps(t *testing.T, waiting int) int {
	t.Helper()
	f := warmBenchFleet(64, 100, false)
	for range waiting {
		f.submit(job.Step{Count: 1, EstimateMs: time.Hour.Milliseconds(), Resources: benchResources(benchSlots)})
	}
	cycles := 0
	for range 20 {
		f.submit(job.Step{Count: 1, EstimateMs: 1, Resources: benchResources(1)})
		f.step()
		for _, command := range f.unapplied.Commands {
			if command.Kind == job.StartRun {
				cycles++
				break
			}
		}
	}
	return cycles
}
