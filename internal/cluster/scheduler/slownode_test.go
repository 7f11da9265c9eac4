package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowNodeDoesNotBlameRunners guards against a leader that collapses under load: where the leader's own node is
// late, replies are late from all runners alike, and speculative attempts only add to its work.
func TestSlowNodeDoesNotBlameRunners(t *testing.T) {
	w := newWorld(t, 5, 250)
	w.run(time.Second)
	spec := oneTask(400, 500)
	spec.Steps[0].Count, spec.Steps[0].Speculative = 10, true
	w.sendTime = time.Second / 1300
	began := w.now
	submitted := 0
	for w.now < began+4*time.Second {
		w.submit(spec, false)
		submitted++
		w.run(25 * time.Millisecond)
	}
	t.Logf("%d speculative of %d orders to start, %d in vain; %d of %d jobs ended", w.speculativeStarts, w.startOrders, w.startsInVain, w.ended(), submitted)
	require.Less(t, w.speculativeStarts, w.startOrders/50)
}
