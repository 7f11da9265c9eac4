package admission

// A runner's speed is how long tasks take there beside their peers elsewhere: tasks of one step
// are alike, so that their run times differ by the runners' speeds and by little else. Estimates
// do not come into it.

const (
	speedWindow = 16.0 // runs in the average of one runner
	speedKnown  = 3.0  // runs from which on a runner's speed counts
	leastPeers  = 3    // runs of a step that tell of speeds
	speedMost   = 3.0  // a run so many times longer or shorter than its peers counts as this much
)

// RunTimeFactor is what is known of one runner's speed.
type RunTimeFactor struct{ average Average }

// Value returns how long tasks take at the runner beside their peers; 1 while that is not known.
func (s *RunTimeFactor) Value() float64 {
	if s.average.Count < speedKnown {
		return 1
	}
	return s.average.Value
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
	work := 0.0
	for _, peer := range peers {
		work += peer.Took / peer.Factor.Value() / float64(len(peers))
	}
	if work <= 0 {
		return
	}
	for _, peer := range peers {
		peer.Factor.average.Add(min(max(peer.Took/work, 1/speedMost), speedMost), speedWindow)
	}
}
