package admission

const (
	factorWindow    = 16.0 // window of the average of one runner, in runs
	leastFactorRuns = 3.0  // runs from which on a runner's factor counts
	leastPeers      = 3    // runs of a step that say something of their runners
	maxFactor       = 3.0  // a run so many times longer or shorter than its peers counts as this much
)

// RunTimeFactor is how long tasks take at one runner over what their peers take elsewhere: tasks of
// one step are alike, so that their run times differ by their runners' speeds and by little else.
// Estimates do not come into it. The zero value is that of a new runner.
type RunTimeFactor struct{ average Average }

// Value returns the factor: 1 is normal, more is slower; 1 while it is not known.
func (f *RunTimeFactor) Value() float64 {
	if f.average.Count < leastFactorRuns {
		return 1
	}
	return f.average.Value
}

// PeerRun is a run of a step's task that ended well.
type PeerRun struct {
	Factor *RunTimeFactor // of its runner
	Took   float64        // seconds near its data
}

// LearnRunTimeFactors takes in how long the runs of one complete step took.
func LearnRunTimeFactors(peers []PeerRun) {
	if len(peers) < leastPeers {
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
