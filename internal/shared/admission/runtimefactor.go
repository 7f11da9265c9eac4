package admission

const (
	factorWindow  = 16.0 // window of the average of one runner, in runs
	minFactorRuns = 3.0  // runs that a runner's factor needs before it is used
	minPeers      = 3    // runs that a step needs for its runners to be compared
	maxFactor     = 3.0  // largest ratio of a run to its peers that counts; the smallest is 1/maxFactor
)

// RunTimeFactor is the ratio of the run times at one runner to those of the same steps' tasks at other
// runners. Tasks of one step are alike, so that their run times differ mainly by the speed of their
// runners. Estimates are not used. The zero value is the factor of a new runner.
type RunTimeFactor struct{ average Average }

// Value returns the factor: 1 is normal, a greater one is slower. It returns 1 until enough runs were
// learned.
func (f *RunTimeFactor) Value() float64 {
	if f.average.Count < minFactorRuns {
		return 1
	}
	return f.average.Value
}

// PeerRun is a successful run of one of a step's tasks.
type PeerRun struct {
	Factor *RunTimeFactor // of its runner
	Took   float64        // run time in seconds, as near its data
}

// LearnRunTimeFactors updates the factors of the runners by the runs of one completed step.
func LearnRunTimeFactors(peers []PeerRun) {
	if len(peers) < minPeers {
		return
	}
	work := 0.0 // mean seconds at a normal runner
	for _, peer := range peers {
		work += peer.Took / peer.Factor.Value() / float64(len(peers))
	}
	if work <= 0 {
		return
	}
	for _, peer := range peers {
		peer.Factor.average.Add(min(max(peer.Took/work, 1/maxFactor), maxFactor), factorWindow)
	}
}
