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
	// maxRunRatio limits the weight of a single run: its ratio to the expected run time counts as at
	// most maxRunRatio and at least 1/maxRunRatio.
	maxRunRatio = 3.0
)

// classCost is the learned run time of a class: per unit of hint, and as a plain mean.
type classCost struct {
	Class
	runPerHint, meanRun float64 // at the fleet's mean pace
	longestTimeLeft     time.Duration
	samples             float64 // runs in the averages, up to costWindow
}

// kindStats holds what was learned of the workers of one kind.
type kindStats struct {
	pace     float64 // their run times relative to the fleet's mean
	maxSlots float64 // most free slots, or slots of concurrent own jobs, seen at one worker
}

// kindOf returns the statistics of a kind, which it creates if needed.
func (d *Dispatcher) kindOf(name string) *kindStats {
	k := d.kinds[name]
	if k == nil {
		k = &kindStats{pace: 1}
		d.kinds[name] = k
	}
	return k
}

// fastest returns the pace of the fastest kind.
func (d *Dispatcher) fastest() float64 {
	best := math.Inf(1)
	for _, k := range d.kinds {
		best = min(best, k.pace)
	}
	return best
}

// pace returns a worker's run time relative to the fleet's mean: the lower, the faster.
func (w *worker) pace() float64 { return w.kind.pace * w.relativePace }

// addPaceSample counts a run and returns the number of runs that the worker's pace is averaged over.
// The average starts as if two runs had taken the expected time. The window is small at first, since
// a dispatcher that sends few jobs to the worker has to learn from its first runs.
func (w *worker) addPaceSample() float64 {
	w.paceSamples = min(w.paceSamples+1, paceWindow)
	return min(w.paceSamples+2, paceWindow)
}

// expectedRun returns the expected run time at the mean pace. New classes start at the hint, or
// without a hint at the mean of all classes.
func (d *Dispatcher) expectedRun(c *classCost, hint time.Duration) float64 {
	if hint > 0 {
		return c.runPerHint * float64(hint)
	}
	return cmp.Or(c.meanRun, d.meanRun)
}

// learn adds a run time to the averages of its class, to its worker's pace and to the recent slowdown
// of the fleet. The ratio is relative to the product of all these estimates, so that a slow worker
// does not inflate a shared average, and a slowdown of the fleet is soon forgotten.
func (d *Dispatcher) learn(a *attempt, run float64) {
	c, w := a.job.class, a.worker
	ratio := min(max(run/(a.expectedRun*w.pace()*d.slowdown*d.warmupSlowdown(w)), 1/maxRunRatio), maxRunRatio)
	weight := min(1, a.expectedRun/max(1, d.meanCost)) // short runs consist mostly of network delay
	d.slowdown *= 1 + float64((ratio-1)*weight/paceWindow*d.addRunSample(a.job))
	c.runPerHint *= 1 + (ratio-1)*weight/costWindow
	c.meanRun += (float64(a.expectedRun*ratio) - c.meanRun) / c.samples
	d.meanRun += (float64(a.expectedRun*ratio) - d.meanRun) / d.meanRunSamples
	if d.warmingUp(w) {
		d.learnWarmupPenalty(w, ratio, weight)
	} else {
		w.kind.pace *= 1 + (ratio-1)*weight/costWindow
		w.relativePace *= 1 + (ratio-1)*weight/w.addPaceSample()
	}
}

// addRunSample counts a run of a class and returns the share of it that is attributed to the slowdown
// of the fleet. For a class without hints the first runs are attributed to the class: otherwise a
// wrong first estimate would count as a slowdown of the fleet, and last. For jobs without hints,
// addRunSample also normalizes the paces of the kinds to a geometric mean of 1, so that they don't
// drift together.
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
