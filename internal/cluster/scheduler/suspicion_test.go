package scheduler

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failures records a number of failed runs, each of another job.
func (s *suspicion) failures(now time.Duration, count int) {
	for at := range count {
		s.runFailed(now, "job-"+strconv.Itoa(at))
	}
}

func TestRunnerIsSuspectAfterFrequentFailures(t *testing.T) {
	var s suspicion
	s.failures(testNow, suspectRuns-1)
	require.False(t, s.suspect(testNow), "too few runs")
	s.failures(testNow, suspectRuns)
	require.True(t, s.suspect(testNow))
	for range 2 * failureWindow {
		s.runDone(testNow)
	}
	require.False(t, s.suspect(testNow), "it works again")
}

// TestOneHopelessJobMakesNoRunnerSuspect guards against runners being held responsible for a job
// that fails everywhere.
func TestOneHopelessJobMakesNoRunnerSuspect(t *testing.T) {
	var s suspicion
	for range 2 * failureWindow {
		s.runFailed(testNow, "hopeless")
	}
	require.False(t, s.suspect(testNow))
	s.runFailed(testNow, "other")
	require.True(t, s.suspect(testNow), "a second job fails there")
}

// TestProbationEndsWithoutAnyRun guards against a probation that only the success of waiting work
// could end.
func TestProbationEndsWithoutAnyRun(t *testing.T) {
	var s suspicion
	s.failures(testNow, suspectRuns)
	require.True(t, s.suspect(testNow+maxProbation-1))
	require.False(t, s.suspect(testNow+maxProbation))
	s.runFailed(testNow+maxProbation, "job-0")
	require.False(t, s.suspect(testNow+maxProbation), "the job has failed there before")
	s.runFailed(testNow+maxProbation, "new")
	require.True(t, s.suspect(testNow+maxProbation))

	var slow suspicion
	slow.slowObserved(testNow, "a")
	slow.slowObserved(testNow+time.Second, "a")
	require.False(t, slow.suspect(testNow+maxProbation), "the same job, observed again, extends nothing")
	slow.slowObserved(testNow+maxProbation, "a", "b")
	require.True(t, slow.suspect(testNow+maxProbation), "another job is slow")
}

// TestProbationEndsQuicklyAfterSuccesses guards against a runner that works again and yet gets one
// task in four seconds.
func TestProbationEndsQuicklyAfterSuccesses(t *testing.T) {
	var s suspicion
	now := testNow
	s.failures(now, failureWindow)
	s.runStarted(now)
	require.False(t, s.probeDue(now))
	require.Equal(t, 1, s.maxRuns())
	for _, runs := range []int{2, 4, 8} {
		s.runDone(now)
		require.True(t, s.probeDue(now))
		require.Equal(t, runs, s.maxRuns())
		s.runStarted(now)
		require.True(t, s.probeDue(now), "no pause after a success")
	}
	s.runFailed(now, "new")
	require.Equal(t, 1, s.maxRuns())
	s.runStarted(now)
	require.Equal(t, 2*baseProbeInterval, s.nextProbeDue-now, "the pauses begin anew")
}

func TestEvidenceIsBounded(t *testing.T) {
	var s suspicion
	s.failures(testNow, 10*maxEvidenceJobs)
	require.Len(t, s.failedJobs, maxEvidenceJobs)
}

func TestProbesOfASuspectRunnerComeWithGrowingPauses(t *testing.T) {
	var s suspicion
	s.runStarted(time.Second)
	require.True(t, s.probeDue(time.Second), "a start at a runner that is not suspect doesn't count as a probe")
	s.slowObserved(time.Second, "a")
	require.True(t, s.suspect(time.Second))
	require.True(t, s.probeDue(time.Second), "the first probe is due immediately")

	now := time.Second
	var pauses []time.Duration
	for at := range 6 {
		s.slowObserved(now, "job-"+strconv.Itoa(at))
		s.runStarted(now)
		pauses = append(pauses, s.nextProbeDue-now)
		require.False(t, s.probeDue(s.nextProbeDue-1))
		now = s.nextProbeDue
		require.True(t, s.probeDue(now))
	}
	require.Equal(t, []time.Duration{800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, maxProbeInterval, maxProbeInterval, maxProbeInterval}, pauses)

	s.runInTime(now - time.Millisecond)
	require.False(t, s.suspect(now), "a run that ends in time clears the runner")
	require.True(t, s.probeDue(now))
	require.Zero(t, s.probes)
}

func TestSlownessObservationsAreRateLimited(t *testing.T) {
	var s suspicion
	require.True(t, s.slowObserved(time.Second, "a"))
	require.False(t, s.slowObserved(time.Second+slowObservationInterval-1, "a"))
	require.True(t, s.slowObserved(time.Second+slowObservationInterval, "a"))
}

// TestFailuresAreNotClearedByARunInTime checks that a run in time clears a runner only of slowness.
func TestFailuresAreNotClearedByARunInTime(t *testing.T) {
	var s suspicion
	s.failures(time.Second, suspectRuns)
	s.runInTime(time.Second)
	require.True(t, s.suspect(time.Second))
}
