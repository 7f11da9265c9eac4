package policy

import (
	"math"
	"time"
)

const (
	// minSubset and subsetPerJob: the subset has so many workers at least, and so many for each
	// job in hand.
	minSubset    = 10.0
	subsetPerJob = 2.0
	// subsetInterval is the longest time between two refills of the subset.
	subsetInterval = time.Second
	// crowdedSharing: where so many dispatchers share a worker, what one has sent there says little
	// of its load.
	crowdedSharing = 8
	// throngedSharing: with so many dispatchers, it says nothing.
	throngedSharing = 16
)

// growSubset grows the subset with the jobs in hand. It is no larger than they need: with few
// workers reports and connections stay fresh.
func (d *Dispatcher) growSubset() {
	d.peakJobs = max(float64(len(d.jobs)), d.peakJobs+(float64(len(d.jobs))-d.peakJobs)/costWindow)
	tooSmall := func() bool { return d.subsetSize() > len(d.subset) && len(d.subset) < len(d.workers) }
	if d.now-d.refilledAt >= subsetInterval || tooSmall() {
		d.refillSubset()
	}
}

// subsetSize is the size of the subset: half where each worker is learned by jobs that wait there,
// not by reports.
func (d *Dispatcher) subsetSize() int {
	return int(max(minSubset, subsetPerJob*d.peakJobs)) >> boolToInt(d.onlyStartsShowCapacity())
}

// refillSubset fills the subset up: for each required kind, workers of the own zone first; suspect
// and warming ones do not count. It walks the list only if there are too few: much that is listed
// must cost little.
func (d *Dispatcher) refillSubset() {
	d.refilledAt = d.now
	d.sweepTables()
	// A little ahead: each walk costs as much as the list is long.
	want := d.subsetSize() + len(d.subset)/manyMembers
	for _, kind := range d.requiredKinds {
		near := d.addToSubset(kind, true, want)
		// Some of other zones, for what the own one has no room for.
		d.addToSubset(kind, false, want*5/4-near)
	}
	d.bestPace = d.fastest()
	d.crowded = d.Instances*len(d.subset) >= crowdedSharing*len(d.workers)
}

// addToSubset adds workers of a kind, near or not, until so many are usable; it returns how many
// are. The walk over the list starts at a place even over the ranks, so that all workers have
// equally many dispatchers, and goes by a stride of the rank's own, so that no two share them all.
// One listed as removed is not added.
func (d *Dispatcher) addToSubset(kind int, near bool, want int) (have int) {
	fits := func(w *worker) bool { return d.local(w) == near && (kind < 0 || d.Kinds[kind] == w.Kind) }
	for _, w := range d.subset {
		have += boolToInt(fits(w) && !w.suspect && !d.warmingUp(w))
	}
	if have >= want {
		return have
	}
	var ring []*worker
	for _, w := range d.workers {
		if fits(w) && w.State == Ready && d.usable(w) {
			ring = append(ring, w)
		}
	}
	at, stride := ringWalk(d.Rank, len(ring))
	for i := 0; i < len(ring) && have < want; i++ {
		if w := ring[(at+i*stride)%len(ring)]; !w.inSubset {
			d.joinSubset(w)
			have += boolToInt(!w.suspect && !d.warmingUp(w))
		}
	}
	return have
}

// joinSubset makes a usable worker a member of the subset.
func (d *Dispatcher) joinSubset(w *worker) {
	if w.inSubset || !d.usable(w) {
		return
	}
	d.subset, w.inSubset = append(d.subset, w), true
	d.reindex(w)
	if w.suspect {
		d.scheduleRecheck(w, d.jitter(w.recheckDelay/2))
	}
}

// joinIfWarmingUp takes a worker that is warming up into the subset.
func (d *Dispatcher) joinIfWarmingUp(w *worker) {
	if d.warmingUp(w) {
		d.joinSubset(w)
	}
}

// reindex keeps the index of vacant members: the members of the subset that a job might fit. One
// that is not among them fits no job, so that a search among them finds what one through the subset
// would. A search while it was not there would have found its budget too small.
func (d *Dispatcher) reindex(w *worker) {
	vacant := w.inSubset && (len(w.attempts) == 0 || w.budget == 0 || w.outstandingCost <= w.budget)
	if !d.vacant.Put(w, vacant) {
		return
	}
	if !vacant {
		w.leftIndexAt = d.searches
	} else if d.searches > w.leftIndexAt && len(d.subset) >= manyMembers {
		w.budgetLimited = true
	}
}

// thronged reports whether so many share the workers that own sums say nothing of them.
func (d *Dispatcher) thronged() bool { return d.Instances >= throngedSharing }

// ringWalk gives a rank its start and its stride on a ring of n: both are even over the ranks,
// since multiples of an irrational number are, and the stride meets every place.
func ringWalk(rank, n int) (start, stride int) {
	at := func(by float64) int {
		_, f := math.Modf(float64(rank+1) * by)
		return int(f * float64(n))
	}
	start, stride = at(math.Phi), 1+at(math.Sqrt2)
	for gcd(stride, n) > 1 {
		stride++
	}
	return start, stride
}

// gcd returns the greatest common divisor.
func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
