package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOneSlowRunMayBeWronglyEstimated(t *testing.T) {
	w := newStragglerWorld(1)
	r := w.addRun("a", 0, 0)
	require.Empty(t, w.report(0, testNow+time.Second, r, 10), "ten times as long as expected")
	require.False(t, w.runners.inOrder[0].suspicion.suspect())
}

func TestRunMigratesWhereItsPeerElsewhereDoesBetter(t *testing.T) {
	w := newStragglerWorld(2)
	slow, peer := w.addRun("a", 0, 0), w.addRun("a", 1, 1)
	require.Empty(t, w.report(1, testNow+500*time.Millisecond, peer, 50))
	require.Equal(t, []*run{slow}, w.report(0, testNow+500*time.Millisecond, slow, 5))
	require.True(t, w.runners.inOrder[0].suspicion.suspect())
	require.False(t, w.runners.inOrder[1].suspicion.suspect())
}

func TestStalledRunMigrates(t *testing.T) {
	w := newStragglerWorld(1)
	r := w.addRun("a", 0, 0)
	require.Empty(t, w.report(0, testNow+200*time.Millisecond, r, 1))
	require.Empty(t, w.report(0, testNow+400*time.Millisecond, r, 1))
	require.Equal(t, []*run{r}, w.report(0, testNow+800*time.Millisecond, r, 1))
}

func TestRunnerAtWhichAllJobsAreSlowIsSlow(t *testing.T) {
	w := newStragglerWorld(1)
	var runs []*run
	for _, id := range []string{"a", "b", "c"} {
		runs = append(runs, w.addRun(id, 0, 0))
	}
	now := testNow + time.Second
	require.Empty(t, w.report(0, now, runs[0], 10))
	require.Empty(t, w.report(0, now, runs[1], 10))
	require.Equal(t, runs, w.report(0, now, runs[2], 10), "in a fixed order")
}

func TestLateAttemptStaysWhereItIs(t *testing.T) {
	w := newStragglerWorld(2)
	slow, peer := w.addRun("a", 0, 0), w.addRun("a", 1, 1)
	slow.attempt = maxMigratedAttempt
	w.report(1, testNow+500*time.Millisecond, peer, 50)
	require.Empty(t, w.report(0, testNow+500*time.Millisecond, slow, 5))
}

func TestNothingMigratesFromARunnerThatIsOutOfContact(t *testing.T) {
	w := newStragglerWorld(2)
	slow, peer := w.addRun("a", 0, 0), w.addRun("a", 1, 1)
	w.report(1, testNow+500*time.Millisecond, peer, 50)
	slow.recordProgress(testNow+500*time.Millisecond, 5)
	runner := w.runners.inOrder[0]
	require.NotEmpty(t, w.policy.runsToMigrate(testNow+contactTimeout, runner))
	require.Empty(t, w.policy.runsToMigrate(testNow+contactTimeout+1, runner))
}
