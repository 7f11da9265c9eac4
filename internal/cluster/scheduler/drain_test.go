package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDrainingRunnerLosesWhatWouldNotEnd(t *testing.T) {
	for _, test := range []struct {
		name        string
		leavesIn    time.Duration
		expected    float64 // seconds
		checkpoints bool
		want        bool
	}{
		{"time not known", 0, 100, false, false},
		{"ends before", 5 * time.Second, 4, false, false},
		{"does not end", 5 * time.Second, 4.6, false, true},
		{"does not end, saves checkpoints as long as it can", 5 * time.Second, 10, true, false},
		{"does not end, last moment for a checkpoint", migrationLead - 1, 10, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var drain drainState
			if test.leavesIn > 0 {
				drain.departsAt = testNow + test.leavesIn
			}
			r := &run{expected: test.expected, orderedAt: testNow}
			require.Equal(t, test.want, drain.interrupts(testNow, r, test.checkpoints))
		})
	}
}

func TestLongRunningTaskMigratesAtTheLastMoment(t *testing.T) {
	w := newStragglerWorld(1)
	r := w.addRun("a", 0, 0)
	w.store.Jobs["a"].Spec.Steps[0].LongRunning = true
	runner := w.runners.inOrder[0]
	runner.drain.departsAt = testNow + migrationLead + time.Second
	require.Empty(t, w.policy.runsToMigrate(testNow, runner))
	require.Empty(t, w.policy.runsToMigrate(testNow+time.Second, runner))
	require.Equal(t, []*run{r}, w.policy.runsToMigrate(testNow+time.Second+1, runner))
}
