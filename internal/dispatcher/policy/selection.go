package policy

import (
	"math"
	"slices"
)

const (
	// localPriority is added to the headroom of a local worker and outweighs slowStartPriority.
	localPriority = 1e15
	// manyMembers: for a subset of this size or larger, searches are sampled; from this many busy
	// workers, only the tick checks for overdue attempts.
	manyMembers = 64
	// sampledMembers is the number of fitting members that a sampled search compares.
	sampledMembers = 24
	// wideJobsShare is the part of the workers that get jobs of several slots first, and jobs of one
	// slot last.
	wideJobsShare = 0.4
	// otherPartWeight is the weight of a worker outside the part that a job prefers.
	otherPartWeight = 0.1
	// tieBreakSpread is the exponent of the random factor that makes dispatchers with the same
	// information choose different workers.
	tieBreakSpread = 0.1
	// promptGain is the additional weight of a worker that has just started a job of this dispatcher
	// promptly.
	promptGain = 4.0
	// promptDecayCosts is the time constant, in mean costs, with which promptGain decays.
	promptDecayCosts = 2.0
)

// selectWorker returns the worker with the most headroom that the job fits, or nil; a worker of this
// dispatcher's zone first if attempts in other zones have a price. If all workers are avoided, the
// cause is common to them or lies at this dispatcher, and they go on being used.
func (d *Dispatcher) selectWorker(j *job) *worker {
	if len(j.attempts) > 0 && !d.mayRetry(j) {
		return nil
	}
	return d.selectAny(j)
}

// selectAny is selectWorker without the check that the job may be sent. It searches first among the
// homes of the job's affinity key, then in the whole subset or, if that is large, among its members
// that may have capacity.
func (d *Dispatcher) selectAny(j *job) *worker {
	for more := 0; j.affinity != nil && more < 2; more++ {
		if homes, _ := d.bestOf(j, d.homes(j, more), manyMembers); homes[0] != nil {
			return homes[0]
		}
	}
	among, enough := d.subset, len(d.subset)
	if enough >= manyMembers {
		among, enough = d.vacant.All(), sampledMembers
	}
	d.searches++
	chosen, serving := d.bestOf(j, among, enough)
	if serving == 1 && chosen[1] != nil && len(d.subset) >= manyMembers && d.anyServes(j) {
		return nil // some workers are not avoided, only full
	}
	return chosen[serving]
}

// bestOf compares the workers of a list, from a random one on, until enough were found that the job
// fits. It returns the best worker that is not avoided and the best one that is (chosen[0] and
// chosen[1]; nil if there is none), and the index of the first of the two groups that has any
// compatible worker, full or not.
func (d *Dispatcher) bestOf(j *job, among []*worker, enough int) (chosen [2]*worker, _ int) {
	serving, best := 1, [2]float64{}
	from := d.rng.IntN(len(among) + 1)
	for i := 0; i < len(among) && enough > 0; i++ {
		w := among[(from+i)%len(among)]
		if !d.compatible(j, w) || j.inFlightAt(w) {
			continue
		}
		group := boolToInt(d.avoided(w, j))
		serving = min(serving, group)
		if d.tooSlowFor(w, j) || !j.repeatIsDropped(w) {
			continue
		}
		headroom, fits := d.headroom(w, j)
		// A job that was sent to two workers without a start is no longer restricted to its zone.
		if d.local(w) || d.hedgeable(j) && len(j.attempts) >= 2 {
			headroom += localPriority
			enough -= boolToInt(fits && group == 0)
		}
		if fits && (chosen[group] == nil || headroom > best[group]) {
			chosen[group], best[group] = w, headroom
		}
	}
	return chosen, serving
}

// tooSlowFor reports whether a job would be late at a worker even in the best case.
func (d *Dispatcher) tooSlowFor(w *worker, j *job) bool {
	run := float64(bestCaseRun * j.expectedRun * w.pace() * d.slowdown * d.warmupSlowdown(w))
	return float64(d.now)+run > float64(j.answerBy)
}

// repeatIsDropped reports whether it is safe to send a further attempt to a worker: either no attempt
// of the job may have run, or the job is not deduplicated, or the worker would drop the attempt as a
// repeat.
func (j *job) repeatIsDropped(w *worker) bool {
	first := j.firstMayHaveRun
	return first == nil || j.class.Effect != Deduplicated ||
		j.class.DedupScope.covers(first.listing, w.Member)
}

// compatible reports whether a worker may get a job at all.
func (d *Dispatcher) compatible(j *job, w *worker) bool {
	if j.ExcludedWorker != 0 && j.ExcludedWorker == w.Number {
		return false
	}
	if j.ExcludedZone != "" && j.ExcludedZone == w.Zone {
		return false
	}
	if !d.usable(w) || d.SharedBudget != nil && !d.SharedBudget.HasHeadroom(w.Kind) {
		return false
	}
	if k := j.class.Kind; k >= 0 && d.Kinds[k] != w.Kind {
		return false
	}
	return w.Capabilities == nil || j.Capability == "" || slices.Contains(w.Capabilities, j.Capability)
}

// anyServes reports whether the subset has a compatible worker that is not avoided.
func (d *Dispatcher) anyServes(j *job) bool {
	from := d.rng.IntN(len(d.subset) + 1)
	for i := range d.subset {
		if w := d.subset[(from+i)%len(d.subset)]; d.compatible(j, w) && !j.inFlightAt(w) && !d.avoided(w, j) {
			return true
		}
	}
	return false
}

// avoided reports whether a worker gets a job only if all compatible workers are avoided.
func (d *Dispatcher) avoided(w *worker, j *job) bool {
	return w.suspect || d.heldByProbation(w, j) || j.failedAt(w)
}

// local reports whether sends to the worker have no cross-zone price.
func (d *Dispatcher) local(w *worker) bool { return d.CrossZonePrice == 0 || w.Zone == d.Zone }

// promptWeight returns the weight of a worker by how likely a job is to start there promptly, as this
// dispatcher's recent jobs did at that worker, and at all warm workers or all that are warming up. A
// dispatcher that stays with a worker until a job has to wait there stays away from those of other
// dispatchers (Gibbens, Kelly and Key, Dynamic Alternative Routing, 1988). A choice by the headroom
// of this dispatcher's own sums, which show little of the load, would be the same for all dispatchers.
func (d *Dispatcher) promptWeight(w *worker, j *job) float64 {
	tieBreak := math.Pow(d.rng.ExpFloat64(), -tieBreakSpread)
	weight := d.promptShare[boolToInt(d.warmingUp(w))] * tieBreak / d.warmupSlowdown(w)
	if !d.warmingUp(w) && w.promptStartAt != 0 {
		decay := math.Exp(-float64(d.now-w.promptStartAt) / (promptDecayCosts * d.meanCost))
		weight *= 1 + float64(promptGain*decay)
	}
	// A waiting job of several slots delays the jobs behind it.
	if !d.warmingUp(w) && (j.Slots > 1) != (w.hashFraction(0) < wideJobsShare) {
		weight *= otherPartWeight
	}
	return weight
}
