package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSingleSlowRunDoesNotMakeRunnerSlow(t *testing.T) {
	f := newStragglerFixture(1)
	r := f.addRun("a", 0, 0)
	require.Empty(t, f.report(0, testNow+time.Second, r, 10), "it takes ten times as long as expected")
	require.False(t, f.runners.inOrder[0].suspicion.suspect(testNow+time.Second))
}

func TestRunMigratesIfItsPeerIsFaster(t *testing.T) {
	f := newStragglerFixture(2)
	slow, peer := f.addRun("a", 0, 0), f.addRun("a", 1, 1)
	require.Empty(t, f.report(1, testNow+500*time.Millisecond, peer, 50))
	require.Equal(t, []*run{slow}, f.report(0, testNow+500*time.Millisecond, slow, 5))
	require.True(t, f.runners.inOrder[0].suspicion.suspect(testNow+500*time.Millisecond))
	require.False(t, f.runners.inOrder[1].suspicion.suspect(testNow+500*time.Millisecond))
}

func TestStalledRunMigrates(t *testing.T) {
	f := newStragglerFixture(1)
	r := f.addRun("a", 0, 0)
	require.Empty(t, f.report(0, testNow+200*time.Millisecond, r, 1))
	require.Empty(t, f.report(0, testNow+400*time.Millisecond, r, 1))
	require.Equal(t, []*run{r}, f.report(0, testNow+800*time.Millisecond, r, 1))
}

func TestRunnerAtWhichAllJobsAreSlowIsSlow(t *testing.T) {
	f := newStragglerFixture(1)
	var runs []*run
	for _, id := range []string{"a", "b", "c"} {
		runs = append(runs, f.addRun(id, 0, 0))
	}
	now := testNow + time.Second
	require.Empty(t, f.report(0, now, runs[0], 10))
	require.Empty(t, f.report(0, now, runs[1], 10))
	require.Equal(t, runs, f.report(0, now, runs[2], 10), "in a fixed order")
}

func TestHighAttemptNumberDoesNotMigrate(t *testing.T) {
	f := newStragglerFixture(2)
	slow, peer := f.addRun("a", 0, 0), f.addRun("a", 1, 1)
	slow.attempt = maxMigratedAttempt
	f.report(1, testNow+500*time.Millisecond, peer, 50)
	require.Empty(t, f.report(0, testNow+500*time.Millisecond, slow, 5))
}

func TestNothingMigratesFromARunnerThatIsOutOfContact(t *testing.T) {
	f := newStragglerFixture(2)
	slow, peer := f.addRun("a", 0, 0), f.addRun("a", 1, 1)
	f.report(1, testNow+500*time.Millisecond, peer, 50)
	slow.recordProgress(testNow+500*time.Millisecond, 5)
	runner := f.runners.inOrder[0]
	require.NotEmpty(t, f.policy.runsToMigrate(testNow+contactTimeout, runner))
	require.Empty(t, f.policy.runsToMigrate(testNow+contactTimeout+1, runner))
}
