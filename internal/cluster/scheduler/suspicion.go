package scheduler

import (
	"slices"
	"time"

	"basaltloft/internal/shared/admission"
)

const (
	// A runner is suspect if at least suspectRuns of its runs have ended, their recent failure rate
	// exceeds suspectFailureRate, and the failed ones belong to at least suspectJobs jobs: a single
	// job may itself be the cause.
	suspectFailureRate = 0.45
	suspectRuns        = 3
	suspectJobs        = 2
	// failureWindow is the window, in runs, of the failure rate.
	failureWindow = 8
	// maxEvidenceJobs is the number of jobs that are remembered as evidence.
	maxEvidenceJobs = 16

	// maxProbation is how long a runner stays on probation after the last evidence against it.
	// Without that bound, work that doesn't fit a runner on probation, such as a gang, would wait
	// for good if nothing else runs.
	maxProbation = 5 * time.Second

	// baseProbeInterval is the base of the pauses between probes. The pause doubles with each
	// probe, at most maxProbeDoublings times, and is limited to maxProbeInterval.
	baseProbeInterval = 400 * time.Millisecond
	maxProbeInterval  = 4 * time.Second
	maxProbeDoublings = 4

	// maxSuccessDoublings limits the number of runs that a runner on probation may have at once.
	maxSuccessDoublings = 4

	// slowObservationInterval is the minimum time between two observations of slowness that count.
	slowObservationInterval = rateSpan
)

// suspicion determines whether a runner is suspect: its runs often fail, or they are slow or have
// stalled. The tasks of such a runner migrate, so that it always has free capacity and would
// attract further tasks. A suspect runner is on probation: it gets only one task at a time, as a
// probe, at increasing intervals. Once a probe was successful, the next ones follow without a
// pause, and twice as many at once after each success, until a failure or until enough runs were
// successful. Probation ends at the latest maxProbation after the last evidence against the runner:
// the first run of a job that failed there, or was slow there. Later runs of the same job are no
// further evidence, because the cause may be the job. The zero value is the state of a new runner.
type suspicion struct {
	failureRate  admission.Average // fraction of runs that failed
	failedJobs   evidence          // jobs with failed runs since the runner was last reliable
	slow         bool              // slow or stalled runs were observed, and no run has ended in time since
	slowCounted  time.Duration     // time of the last observation of slowness that counted
	slowJobs     evidence          // jobs with slow runs since a run last ended in time
	until        time.Duration     // when probation ends at the latest
	successes    int               // number of successful runs since the last failed one
	probes       int               // number of probes since the runner was last cleared
	nextProbeDue time.Duration
}

// evidence holds jobs that are evidence against a runner, the latest maxEvidenceJobs of them.
type evidence []string

// add adds a job. It returns false if the job is known.
func (e *evidence) add(job string) bool {
	if slices.Contains(*e, job) {
		return false
	}
	if len(*e) == maxEvidenceJobs {
		*e = slices.Delete(*e, 0, 1)
	}
	*e = append(*e, job)
	return true
}

// suspect reports whether the runner is on probation.
func (s *suspicion) suspect(now time.Duration) bool {
	return now < s.until && (s.slow || s.unreliable() && len(s.failedJobs) >= suspectJobs)
}

// unreliable reports whether the runner's recent runs often failed.
func (s *suspicion) unreliable() bool {
	return s.failureRate.Count >= suspectRuns && s.failureRate.Value > suspectFailureRate
}

// probeDue reports whether a suspect runner may get its next probe.
func (s *suspicion) probeDue(now time.Duration) bool { return now >= s.nextProbeDue }

// maxRuns returns how many runs a suspect runner may have at once.
func (s *suspicion) maxRuns() int {
	if s.slow {
		return 1
	}
	return 1 << min(s.successes, maxSuccessDoublings)
}

// runStarted records that a task was assigned to the runner. If the runner is suspect, this is a
// probe.
func (s *suspicion) runStarted(now time.Duration) {
	if !s.suspect(now) || s.maxRuns() > 1 {
		return
	}
	s.probes++
	s.nextProbeDue = now + min(maxProbeInterval, baseProbeInterval<<min(s.probes, maxProbeDoublings))
}

// runDone records that a run was successful.
func (s *suspicion) runDone(now time.Duration) {
	s.failureRate.Add(0, failureWindow)
	s.successes++
	if !s.slow {
		s.probes, s.nextProbeDue = 0, now
	}
	if !s.unreliable() {
		s.failedJobs = s.failedJobs[:0]
	}
}

// runFailed records that a run of a job failed.
func (s *suspicion) runFailed(now time.Duration, job string) {
	s.failureRate.Add(1, failureWindow)
	s.successes = 0
	if s.failedJobs.add(job) {
		s.until = now + maxProbation
	}
}

// slowObserved records that runs of the given jobs are slow at the runner. It reports whether the
// observation counts, which it doesn't if it follows another one within slowObservationInterval.
func (s *suspicion) slowObserved(now time.Duration, jobs ...string) bool {
	s.slow = true
	for _, job := range jobs {
		if s.slowJobs.add(job) {
			s.until = now + maxProbation
		}
	}
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
		s.slowJobs = s.slowJobs[:0]
	}
}
