package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRunsThatOutlastADrainingRunnerMigrate(t *testing.T) {
	for _, test := range []struct {
		name        string
		leavesIn    time.Duration
		expected    float64 // seconds
		checkpoints bool
		want        bool
	}{
		{"time not known", 0, 100, false, false},
		{"ends before the departure", 5 * time.Second, 4, false, false},
		{"does not end before the departure", 5 * time.Second, 4.6, false, true},
		{"does not end, keeps saving checkpoints", 5 * time.Second, 10, true, false},
		{"does not end, last time to save a checkpoint", migrationLead - 1, 10, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var drain drainState
			if test.leavesIn > 0 {
				drain.departsAt = testNow + test.leavesIn
			}
			r := &run{expected: test.expected, orderedAt: testNow}
			require.Equal(t, test.want, drain.requiresMigration(testNow, r, test.checkpoints))
		})
	}
}

func TestLongRunningTaskMigratesAtTheLastMoment(t *testing.T) {
	f := newStragglerFixture(1)
	r := f.addRun("a", 0, 0)
	f.store.Jobs["a"].Spec.Steps[0].LongRunning = true
	runner := f.runners.inOrder[0]
	runner.drain.departsAt = testNow + migrationLead + time.Second
	require.Empty(t, f.policy.runsToMigrate(testNow, runner))
	require.Empty(t, f.policy.runsToMigrate(testNow+time.Second, runner))
	require.Equal(t, []*run{r}, f.policy.runsToMigrate(testNow+time.Second+1, runner))
}
