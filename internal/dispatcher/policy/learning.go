package policy

import (
	"cmp"
	"math"
	"time"
)

const (
	// costWindow is the number of jobs in the moving averages of a class's run time and of a kind's
	// pace.
	costWindow = 40.0
	// paceWindow is the number of jobs in the moving averages of a worker's pace and of the
	// slowdown of all.
	paceWindow = 12.0
	// maxRunRatio bounds what a single run counts: as at most so many times the expected run time,
	// and at least its inverse.
	maxRunRatio = 3.0
)

// classCost is the learned run time of a class: per unit of hint, and plainly.
type classCost struct {
	Class
	runPerHint, meanRun float64 // at the fleet's mean pace
	longestPatience     time.Duration
	samples             float64 // how many runs the averages are of, up to costWindow
}

// kindStats is what is known of the workers of one kind.
type kindStats struct {
	pace     float64 // their run times beside the fleet's mean
	maxSlots float64 // most free slots, or slots of own jobs that ran side by side, seen at one
}

func (d *Dispatcher) kindOf(name string) *kindStats {
	k := d.kinds[name]
	if k == nil {
		k = &kindStats{pace: 1}
		d.kinds[name] = k
	}
	return k
}

// fastest is the pace of the fastest kind.
func (d *Dispatcher) fastest() float64 {
	best := math.Inf(1)
	for _, k := range d.kinds {
		best = min(best, k.pace)
	}
	return best
}

// pace is a worker's run times beside the fleet's mean.
func (w *worker) pace() float64 { return w.kind.pace * w.relativePace }

// addPaceSample counts a run, and tells how many its own pace is the mean of: the first ones say
// much to a dispatcher that sends few jobs there, beside two that were as long as expected.
func (w *worker) addPaceSample() float64 {
	w.paceSamples = min(w.paceSamples+1, paceWindow)
	return min(w.paceSamples+2, paceWindow)
}

// expectedRun is the run time to expect at the mean pace. New types start at the hint, else at the
// mean of all.
func (d *Dispatcher) expectedRun(c *classCost, hint time.Duration) float64 {
	if hint > 0 {
		return c.runPerHint * float64(hint)
	}
	return cmp.Or(c.meanRun, d.meanRun)
}

// learn takes a run time into the averages of its type, its worker's pace and how slow all are of
// late. Each is divided out of the others: a slow worker inflates no shared average, a slowdown of
// all soon goes.
func (d *Dispatcher) learn(a *attempt, run float64) {
	c, w := a.job.class, a.worker
	ratio := min(max(run/(a.expectedRun*w.pace()*d.slowdown*d.warmupSlowdown(w)), 1/maxRunRatio), maxRunRatio)
	weight := min(1, a.expectedRun/max(1, d.meanCost)) // short runs are mostly network
	d.slowdown *= 1 + (ratio-1)*weight/paceWindow*d.addRunSample(a.job)
	c.runPerHint *= 1 + (ratio-1)*weight/costWindow
	c.meanRun += (a.expectedRun*ratio - c.meanRun) / c.samples
	d.meanRun += (a.expectedRun*ratio - d.meanRun) / d.meanRunSamples
	if d.warmingUp(w) {
		d.learnWarmupPenalty(w, ratio, weight)
	} else {
		w.kind.pace *= 1 + (ratio-1)*weight/costWindow
		w.relativePace *= 1 + (ratio-1)*weight/w.addPaceSample()
	}
}

// addRunSample takes in one more run of a type, and tells how much of it is put down to how slow
// all are. Of a type without hints little is known at first: what its first runs took is its own,
// else a start at a wrong guess would count as a slowness of all, and stay. Nor do the paces of the
// kinds, that are set beside each other, drift together.
func (d *Dispatcher) addRunSample(j *job) float64 {
	c := j.class
	c.samples, d.meanRunSamples = min(c.samples+1, costWindow), min(d.meanRunSamples+1, costWindow)
	if j.Hint > 0 {
		return 1
	}
	mean := 0.0
	for _, name := range d.Kinds {
		mean += math.Log(d.kindOf(name).pace) / float64(len(d.Kinds))
	}
	mean = math.Exp(mean)
	for _, name := range d.Kinds {
		d.kindOf(name).pace /= mean
	}
	d.meanRun *= mean
	for _, c := range d.classes {
		c.runPerHint, c.meanRun = c.runPerHint*mean, c.meanRun*mean
	}
	return c.samples / costWindow
}
