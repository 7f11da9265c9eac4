package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
)

// StartsInFlight returns the number of starts that the start window counts, the number of runs
// marked as counted, and the time when the oldest of these was proposed or ordered.
func (s *Scheduler) StartsInFlight() (counted, starting int, oldest time.Duration) {
	for _, runner := range s.runners.inOrder {
		for _, r := range runner.load.runs {
			if !r.starting {
				continue
			}
			if starting == 0 || r.orderedAt < oldest {
				oldest = r.orderedAt
			}
			starting++
		}
	}
	return s.startWindow.inFlight, starting, oldest
}

// StartProposedTwice returns a task for which two starts of the same attempt wait to be committed,
// at one runner or at two.
func (s *Scheduler) StartProposedTwice() (ref job.TaskRef, found bool) {
	proposed := map[runKey]bool{}
	for _, runner := range s.runners.inOrder {
		for key, r := range runner.load.runs {
			if r.phase != phaseProposed {
				continue
			}
			if proposed[key] {
				return key.task, true
			}
			proposed[key] = true
		}
	}
	return job.TaskRef{}, false
}
