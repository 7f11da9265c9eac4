package scheduler

import "time"

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
