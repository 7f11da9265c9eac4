package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
)

// StartsInFlight returns how many starts the start window counts, how many runs are marked as counted,
// and when the oldest of these was proposed or ordered.
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

// StartProposedTwice returns a task with two starts of the same attempt that wait for their
// commitment, at one runner or at two.
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
