package policy

import (
	"math"
	"slices"
)

const (
	// localPriority is added to the headroom of a local worker and outweighs slowStartPriority.
	localPriority = 1e15
	// manyMembers is the size of the subset from which searches are sampled and overdue attempts
	// are looked for by the tick alone.
	manyMembers = 64
	// sampledMembers is how many members that the job fits are weighed then.
	sampledMembers = 24
	// wideJobsShare is the part of the workers that jobs of several slots go to first, and others
	// last.
	wideJobsShare = 0.4
	// otherPartWeight is the weight of a worker of the other part.
	otherPartWeight = 0.1
	// tieBreakSpread is the exponent of the random factor that keeps dispatchers with the same
	// knowledge apart.
	tieBreakSpread = 0.1
	// promptGain is how much more a worker weighs at which an own job has just started at once.
	promptGain = 4.0
	// promptDecayMeans is the time constant, in mean costs, with which that gain fades.
	promptDecayMeans = 2.0
)

// selectWorker finds the roomiest worker that the job fits, of the own zone where crossing has a
// price. If all look bad, the cause is common, or on this side, and the suspects go on being used.
func (d *Dispatcher) selectWorker(j *job) *worker {
	if len(j.attempts) > 0 && !d.mayRetry(j) {
		return nil
	}
	return d.selectAny(j)
}

// selectAny is selectWorker without a look at whether the job may be sent: first among the homes of
// its affinity key, then in the whole subset, or, where that is large, among the members that may
// have room.
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
		return nil // the good ones are only full
	}
	return chosen[serving]
}

// bestOf weighs, from a random one on, enough workers that the job fits. It returns the best of
// those that serve and of those that are avoided, and the index of the first group that has any
// member, full or not.
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
		// A job that found no room twice looks further.
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

// tooSlowFor reports whether a job would be late at a worker even with luck.
func (d *Dispatcher) tooSlowFor(w *worker, j *job) bool {
	run := bestCaseRun * j.expectedRun * w.pace() * d.slowdown * d.warmupSlowdown(w)
	return float64(d.now)+run > float64(j.answerBy)
}

// repeatIsDropped reports whether a worker would know a further attempt of a deduplicated job as a
// repeat, where one is needed that does.
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

// anyServes reports whether any worker of the subset may be sent a job that is no suspect.
func (d *Dispatcher) anyServes(j *job) bool {
	from := d.rng.IntN(len(d.subset) + 1)
	for i := range d.subset {
		if w := d.subset[(from+i)%len(d.subset)]; d.compatible(j, w) && !j.inFlightAt(w) && !d.avoided(w, j) {
			return true
		}
	}
	return false
}

// avoided reports whether a worker gets a job only if all compatible ones are avoided.
func (d *Dispatcher) avoided(w *worker, j *job) bool {
	return w.suspect || d.heldByProbation(w, j) || j.failedAt(w)
}

// local reports whether sends to the worker cost nothing extra.
func (d *Dispatcher) local(w *worker) bool { return d.CrossZonePrice == 0 || w.Zone == d.Zone }

// promptWeight weighs a worker by how likely a job starts there at once, as own ones did of late
// there or at all warm workers, or all that are warming up. Who stays with one until a job waits
// keeps off the others (Gibbens, Kelly and Key, Dynamic Alternative Routing, 1988); the roomiest by
// own sums, which say little, is the same one for all.
func (d *Dispatcher) promptWeight(w *worker, j *job) float64 {
	tieBreak := math.Pow(d.rng.ExpFloat64(), -tieBreakSpread)
	weight := d.promptShare[boolToInt(d.warmingUp(w))] * tieBreak / d.warmupSlowdown(w)
	if !d.warmingUp(w) && w.promptStartAt != 0 {
		weight *= 1 + promptGain*math.Exp(-float64(d.now-w.promptStartAt)/(promptDecayMeans*d.meanCost))
	}
	// A job of several slots that waits holds up others.
	if !d.warmingUp(w) && (j.Slots > 1) != (w.hashFraction(0) < wideJobsShare) {
		weight *= otherPartWeight
	}
	return weight
}
