package policy

import (
	"math"
	"time"

	"basaltloft/internal/shared/saturating"
)

const (
	// minSubset is the minimum size of the subset, and subsetPerJob the number of workers for each
	// open job.
	minSubset    = 10.0
	subsetPerJob = 2.0
	// subsetInterval is the longest time between two refills of the subset.
	subsetInterval = time.Second
	// wideSharing: where this many dispatchers share a worker, what one of them has sent shows little
	// of the worker's load.
	wideSharing = 8
	// veryWideSharing: with this many dispatchers, what one of them has sent shows nothing.
	veryWideSharing = 16
)

// growSubset grows the subset with the number of open jobs. The subset is no larger than they need:
// with few workers, reports and connections stay fresh.
func (d *Dispatcher) growSubset() {
	d.peakJobs = max(float64(len(d.jobs)), d.peakJobs+(float64(len(d.jobs))-d.peakJobs)/costWindow)
	tooSmall := func() bool { return d.subsetSize() > len(d.subset) && len(d.subset) < len(d.workers) }
	if d.now-d.refilledAt >= subsetInterval || tooSmall() {
		d.refillSubset()
	}
}

// subsetSize returns the target size of the subset. It is halved where the load of each worker can
// only be learned from jobs that wait there, not from reports.
func (d *Dispatcher) subsetSize() int {
	return saturating.Int(max(minSubset, subsetPerJob*d.peakJobs)) >> boolToInt(d.onlyStartsShowCapacity())
}

// refillSubset fills the subset up: for each required kind, with workers of this dispatcher's zone
// first. Suspect workers and those that are warming up do not count. The worker table is scanned only
// if there are too few members, so that a long list costs little.
func (d *Dispatcher) refillSubset() {
	d.refilledAt = d.now
	d.sweepTables()
	// Slightly more than needed, since the cost of a scan grows with the length of the list.
	want := d.subsetSize() + len(d.subset)/manyMembers
	for _, kind := range d.requiredKinds {
		localCount := d.addToSubset(kind, true, want)
		// Some of other zones, for jobs that find no capacity in this one.
		d.addToSubset(kind, false, want*5/4-localCount)
	}
	d.bestPace = d.fastest()
	d.widelyShared = d.Instances*len(d.subset) >= wideSharing*len(d.workers)
}

// addToSubset adds workers of a kind, local ones or others, until the subset has the wanted number of
// them that are neither suspect nor warming up; it returns their number. The start of the scan is
// evenly distributed over the ranks, so that all workers have equally many dispatchers. Each rank has
// its own stride, so that no two ranks share all their workers. Workers that are listed as removed
// are not added.
func (d *Dispatcher) addToSubset(kind int, wantLocal bool, want int) (have int) {
	fits := func(w *worker) bool { return d.local(w) == wantLocal && (kind < 0 || d.Kinds[kind] == w.Kind) }
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

// joinIfWarmingUp adds a worker to the subset if it is warming up.
func (d *Dispatcher) joinIfWarmingUp(w *worker) {
	if d.warmingUp(w) {
		d.joinSubset(w)
	}
}

// reindex updates the index of vacant members, the members of the subset that may fit a job. A member
// outside the index fits no job, so a search of the index gives the same result as one of the whole
// subset. If there were searches while the member was outside the index, they would have found its
// budget exhausted, so budgetLimited is set as they would have done.
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

// veryWidelyShared reports whether so many dispatchers share the workers that what this one has sent
// shows nothing of their load.
func (d *Dispatcher) veryWidelyShared() bool { return d.Instances >= veryWideSharing }

// ringWalk returns the start and the stride of a rank on a ring of n positions. Both are evenly
// distributed over the ranks, as the fractional parts of the multiples of an irrational number are.
// The stride is coprime to n, so that it visits every position.
func ringWalk(rank, n int) (start, stride int) {
	at := func(by float64) int {
		_, f := math.Modf(float64(float64(rank+1) * by))
		return saturating.Int(f * float64(n))
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
