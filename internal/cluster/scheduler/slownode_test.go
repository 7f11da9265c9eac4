package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowNodeDoesNotMakeRunnersUnresponsive guards against a leader that collapses under load. If
// the leader's own node is slow, the replies of all runners are late, and speculative attempts
// would only add to its load.
func TestSlowNodeDoesNotMakeRunnersUnresponsive(t *testing.T) {
	sim := newSimulation(t, 5, 250)
	sim.run(time.Second)
	spec := oneTask(400, 500)
	spec.Steps[0].Count, spec.Steps[0].Speculative = 10, true
	sim.sendTime = time.Second / 1300
	began := sim.now
	submitted := 0
	for sim.now < began+4*time.Second {
		sim.submit(spec, false)
		submitted++
		sim.run(25 * time.Millisecond)
	}
	t.Logf("%d speculative of %d orders to start, %d started nothing; %d of %d jobs ended", sim.speculativeStarts, sim.startOrders, sim.startsWithoutEffect, sim.ended(), submitted)
	require.Less(t, sim.speculativeStarts, sim.startOrders/50)
}
