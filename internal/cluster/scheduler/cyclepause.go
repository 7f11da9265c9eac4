package scheduler

import "time"

// The time that a cycle takes is estimated from its work, because the scheduler reads no clock: the
// same inputs have to give the same decisions.
const (
	// timePerGroup is the estimated time that a cycle takes for a waiting group, and
	// timePerCandidate that for each examination of a candidate.
	timePerGroup     = 300 * time.Nanosecond
	timePerCandidate = 40 * time.Nanosecond
	// cycleTimeShare limits the time spent on waiting work to one part in cycleTimeShare of a
	// processor's time.
	cycleTimeShare = 10
)

// cyclePause returns the pause between two cycles. It is based on the work of the first cycle that
// the next one would repeat, which is given by the number of waiting groups and of candidates
// examined without a start. Without the pause, cycles with a large backlog and many runners would
// take the processor time that orders and replies need. Work that led to a start is not repeated
// and doesn't count.
func cyclePause(groups, candidates int) time.Duration {
	took := time.Duration(groups)*timePerGroup + time.Duration(candidates)*timePerCandidate
	return min(max(minCycleInterval, cycleTimeShare*took), maxCycleInterval)
}

// examinedWithoutStart returns how many examinations of candidates in the current cycle led to no
// start.
func (c *cycle) examinedWithoutStart() int {
	return len(c.candidates) + c.round.ExaminedWithoutMatch() + c.forecast.examined + c.examinedForGangs
}
