package scheduler

import "time"

// The time that a cycle takes is told from its work, since the scheduler reads no clock: so the same
// inputs give the same decisions.
const (
	// timePerGroup is what a group that waits takes of a cycle, and timePerCandidate each look at a runner.
	timePerGroup     = 300 * time.Nanosecond
	timePerCandidate = 40 * time.Nanosecond
	// cycleTimeShare: work that waits takes at most one part in so many of a processor's time.
	cycleTimeShare = 10
)

// cyclePause returns the pause from one cycle to the next, by what the first did that the next would do
// again: where much waits at many runners, cycles would otherwise take the time that orders and replies
// need. What starts something is no reason for a pause: it is done once.
func cyclePause(groups, candidates int) time.Duration {
	took := time.Duration(groups)*timePerGroup + time.Duration(candidates)*timePerCandidate
	return min(max(minCycleInterval, cycleTimeShare*took), maxCycleInterval)
}

// examinedInVain returns how many looks at runners the current cycle has taken that started nothing.
func (c *cycle) examinedInVain() int {
	return len(c.candidates) + c.round.ExaminedWithoutMatch() + c.forecast.examined + c.examinedForGangs
}
