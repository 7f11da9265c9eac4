package scheduler

import (
	"time"

	"basaltloft/internal/shared/admission"
)

const (
	// A runner is suspect if at least suspectRuns of its runs have ended and their recent failure
	// rate exceeds suspectFailureRate.
	suspectFailureRate = 0.45
	suspectRuns        = 3
	// failureWindow is the window, in runs, of the failure rate.
	failureWindow = 8

	// baseProbeInterval is the base of the pauses between probes. The pause doubles with each
	// probe, at most maxProbeDoublings times, and is limited to maxProbeInterval.
	baseProbeInterval = 400 * time.Millisecond
	maxProbeInterval  = 4 * time.Second
	maxProbeDoublings = 4

	// slowObservationInterval is the minimum time between two observations of slowness that count.
	slowObservationInterval = rateSpan
)

// suspicion determines whether a runner is suspect: its runs often fail, or they are slow or have
// stalled. The tasks of such a runner migrate, so that it always has free capacity and would
// attract further tasks. A suspect runner is on probation: it gets only one task at a time, as a
// probe, at increasing intervals, until a run ends as expected. The zero value is the state of a
// new runner.
type suspicion struct {
	failureRate  admission.Average // fraction of runs that failed
	slow         bool              // slow or stalled runs were observed, and no run has ended in time since
	slowCounted  time.Duration     // time of the last observation of slowness that counted
	probes       int               // number of probes since the runner was last cleared
	nextProbeDue time.Duration
}

// suspect reports whether the runner is on probation.
func (s *suspicion) suspect() bool {
	return s.slow || s.failureRate.Count >= suspectRuns && s.failureRate.Value > suspectFailureRate
}

// probeDue reports whether a suspect runner may get its next probe.
func (s *suspicion) probeDue(now time.Duration) bool { return now >= s.nextProbeDue }

// runStarted records that a task was assigned to the runner. If the runner is suspect, this is a
// probe.
func (s *suspicion) runStarted(now time.Duration) {
	if !s.suspect() {
		return
	}
	s.probes++
	s.nextProbeDue = now + min(maxProbeInterval, baseProbeInterval<<min(s.probes, maxProbeDoublings))
}

// runDone records that a run was successful.
func (s *suspicion) runDone() { s.failureRate.Add(0, failureWindow) }

// runFailed records that a run failed.
func (s *suspicion) runFailed() { s.failureRate.Add(1, failureWindow) }

// slowObserved records that the runner's runs are slow. It reports whether the observation counts,
// which it doesn't if it follows another one within slowObservationInterval.
func (s *suspicion) slowObserved(now time.Duration) bool {
	s.slow = true
	if now < s.slowCounted+slowObservationInterval {
		return false
	}
	s.slowCounted = now
	return true
}

// runInTime records that a run ended in time, which clears a runner that was suspect because of its
// slowness.
func (s *suspicion) runInTime(now time.Duration) {
	if s.slow {
		s.slow, s.probes, s.nextProbeDue = false, 0, now
	}
}
