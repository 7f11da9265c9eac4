package protocol

import "basaltloft/internal/cluster/job"

// RunnerList is the platform's list of runners. The leader of the configuration's group reads it and sends it
// to the other control-plane nodes. It has no response. The newest list is the one with the highest Epoch and,
// within that epoch, the highest Sequence.
type RunnerList struct {
	Epoch    uint64 // epoch of the sender's leadership
	Sequence uint64 // increases with each list of the sender
	List     []Runner
}

// NewerThan reports whether this list is newer than other. The zero value is older than any list.
func (l RunnerList) NewerThan(other RunnerList) bool {
	if l.Epoch != other.Epoch {
		return l.Epoch > other.Epoch
	}
	return l.Sequence > other.Sequence
}

// Runner is one incarnation of a runner, as the platform lists it.
type Runner struct {
	ID          string // instance ID of the incarnation
	Service     string
	Address     string
	Labels      []string
	Capacity    job.Resources
	Draining    bool  // the runner must not get new tasks
	RemainingMs int64 // minimum time until a draining runner stops; 0: not specified
}
