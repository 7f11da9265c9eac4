package scheduler

import (
	"time"

	"basaltloft/internal/shared/admission"
)

const (
	// A runner is suspect once more than suspectFailureRate of at least suspectRuns runs have failed.
	suspectFailureRate = 0.45
	suspectRuns        = 3
	// failureWindow is the window, in runs, of the average of those that failed.
	failureWindow = 8

	// firstProbeInterval is the pause after the first probe, doubled with each further one up to
	// maxProbeDoublings times, and to maxProbeInterval at the most.
	firstProbeInterval = 400 * time.Millisecond
	maxProbeInterval   = 4 * time.Second
	maxProbeDoublings  = 4

	// slowObservationInterval is the least time between two observations that count.
	slowObservationInterval = rateSpan
)

// suspicion tells whether a runner is suspect: it fails many of the tasks that it is given, or
// what it runs is slow or has stalled, so that its tasks migrate and it always has free capacity. A
// suspect runner is on probation: it gets one task at a time, as a probe, with growing pauses, until
// one ends as it should. The zero value is that of a new runner.
type suspicion struct {
	failureRate  admission.Average // share of runs that failed
	slow         bool              // its runs were seen to be slow or stalled, and none has ended in its time since
	slowCounted  time.Duration     // when an observation of that last counted
	probes       int               // since it was last cleared
	nextProbeDue time.Duration
}

// suspect tells whether the runner is on probation.
func (s *suspicion) suspect() bool {
	return s.slow || s.failureRate.Count >= suspectRuns && s.failureRate.Value > suspectFailureRate
}

// probeDue tells whether a suspect runner may be given its next probe.
func (s *suspicion) probeDue(now time.Duration) bool { return now >= s.nextProbeDue }

// runStarted notes that a task was assigned to the runner, which is a probe of a suspect one.
func (s *suspicion) runStarted(now time.Duration) {
	if !s.suspect() {
		return
	}
	s.probes++
	s.nextProbeDue = now + min(maxProbeInterval, firstProbeInterval<<min(s.probes, maxProbeDoublings))
}

// runDone and runFailed note how a run ended.
func (s *suspicion) runDone() { s.failureRate.Add(0, failureWindow) }

func (s *suspicion) runFailed() { s.failureRate.Add(1, failureWindow) }

// slowObserved notes that what runs there is slow. It tells whether the observation counts: those
// that follow shortly after another one don't.
func (s *suspicion) slowObserved(now time.Duration) bool {
	s.slow = true
	if now < s.slowCounted+slowObservationInterval {
		return false
	}
	s.slowCounted = now
	return true
}

// runInTime notes that a run ended in its time, which clears a runner that was slow.
func (s *suspicion) runInTime(now time.Duration) {
	if s.slow {
		s.slow, s.probes, s.nextProbeDue = false, 0, now
	}
}
