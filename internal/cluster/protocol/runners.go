package protocol

import "basaltloft/internal/cluster/job"

// RunnerList is the platform's list of runners. The leader of the configuration's group reads it and
// sends it to the other control-plane nodes. It has no answer. The newest list is that of the
// highest Epoch and, within it, the highest Sequence.
type RunnerList struct {
	Epoch    uint64 // of the sender's leadership
	Sequence uint64 // rising with each list of the sender
	List     []Runner
}

// NewerThan reports whether this list replaces another one; the zero value is older than any list.
func (l RunnerList) NewerThan(other RunnerList) bool {
	if l.Epoch != other.Epoch {
		return l.Epoch > other.Epoch
	}
	return l.Sequence > other.Sequence
}

// Runner is one incarnation of a runner, as the platform lists it.
type Runner struct {
	ID          string // of the incarnation
	Service     string
	Address     string
	Labels      []string
	Capacity    job.Resources
	Draining    bool  // it gets no more tasks
	RemainingMs int64 // where it drains: how long it runs at least; 0: not said
}
