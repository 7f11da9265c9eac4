package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRunnerIsSuspectAfterFrequentFailures(t *testing.T) {
	var s suspicion
	s.runFailed()
	s.runFailed()
	require.False(t, s.suspect(), "too few runs")
	s.runFailed()
	require.True(t, s.suspect())
	for range 2 * failureWindow {
		s.runDone()
	}
	require.False(t, s.suspect(), "it works again")
}

func TestProbesOfASuspectRunnerComeWithGrowingPauses(t *testing.T) {
	var s suspicion
	s.runStarted(time.Second)
	require.True(t, s.probeDue(time.Second), "a start at a runner that is not suspect doesn't count as a probe")
	s.slowObserved(time.Second)
	require.True(t, s.suspect())
	require.True(t, s.probeDue(time.Second), "the first probe is due immediately")

	now := time.Second
	var pauses []time.Duration
	for range 6 {
		s.runStarted(now)
		pauses = append(pauses, s.nextProbeDue-now)
		require.False(t, s.probeDue(s.nextProbeDue-1))
		now = s.nextProbeDue
		require.True(t, s.probeDue(now))
	}
	require.Equal(t, []time.Duration{800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, maxProbeInterval, maxProbeInterval, maxProbeInterval}, pauses)

	s.runInTime(now - time.Millisecond)
	require.False(t, s.suspect(), "a run that ends in time clears the runner")
	require.True(t, s.probeDue(now))
	require.Zero(t, s.probes)
}

func TestSlownessObservationsAreRateLimited(t *testing.T) {
	var s suspicion
	require.True(t, s.slowObserved(time.Second))
	require.False(t, s.slowObserved(time.Second+slowObservationInterval-1))
	require.True(t, s.slowObserved(time.Second+slowObservationInterval))
}

// TestFailuresAreNotClearedByARunInTime checks that a run in time clears a runner only of slowness.
func TestFailuresAreNotClearedByARunInTime(t *testing.T) {
	var s suspicion
	for range suspectRuns {
		s.runFailed()
	}
	s.runInTime(time.Second)
	require.True(t, s.suspect())
}
