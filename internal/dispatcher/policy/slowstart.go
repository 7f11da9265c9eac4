package policy

import (
	"math"
	"slices"
	"time"

	"basaltloft/internal/shared/saturating"
)

const (
	// slowStartPriority is added to the headroom of a worker that is warming up and outweighs any
	// headroom.
	slowStartPriority = 1e13
	// slowStartEvenShare is the share of the limit for a worker that is warming up that the even
	// parts of all dispatchers add up to.
	slowStartEvenShare = 0.6
	// slowStartDrawShare is the share of the limit, including its allowance for chance, that won
	// draws may use.
	slowStartDrawShare = 0.7
	// slowStartEvenExcess is the maximum that a dispatcher may send by a draw where there are few
	// dispatchers, as a multiple of its even part.
	slowStartEvenExcess = 1.3
	// slowStartJobShare is the share of the limit that a single job may take.
	slowStartJobShare = 0.2
)

// minCapacity keeps divisors above 0: the rule's parameters allow a worker to start with no capacity
// or with its full capacity.
const minCapacity = 1e-6

// slowStartSend is a send to a worker that is warming up: its time and cost.
type slowStartSend struct {
	at   time.Duration
	cost float64
}

// warmingUp reports whether a worker may not have its full capacity yet.
func (d *Dispatcher) warmingUp(w *worker) bool {
	return w.warmingSince != 0 && d.now-w.warmingSince < d.Rules.WarmupTime
}

// warmCapacity returns the minimum part of its capacity that a worker has at an age.
func (d *Dispatcher) warmCapacity(w *worker, age time.Duration) float64 {
	if !d.warmingUp(w) {
		return 1
	}
	warmed := min(1, float64(age)/float64(max(1, d.Rules.WarmupTime)))
	return d.Rules.ColdCapacity + float64((1-d.Rules.ColdCapacity)*warmed)
}

// slowStartHeadroom returns the cost that a worker that is warming up may still get from this
// instance. The platform's rule limits what all instances together send to the worker within a
// window. The worker's capacity at the start of the window is estimated from the slots seen at its
// kind and from its pace. If each instance keeps to an even part, the limit is never exceeded. With
// many instances the even part is too small for a job: then a random draw, once a window, decides
// which instances may send.
func (d *Dispatcher) slowStartHeadroom(w *worker, j *job) float64 {
	capacity := max(1, 0.8*w.kind.maxSlots) / w.pace() * float64(d.Rules.ColdOverloadWindow)
	age := max(0, d.now-w.warmingSince-d.Rules.ColdOverloadWindow)
	limit := d.Rules.ColdOverloadMultiple * d.warmCapacity(w, age) * capacity
	sent := w.slowStartCostSince(d.now - d.Rules.ColdOverloadWindow)
	if d.scaleToOwnShare(&limit) {
		return float64(slowStartEvenShare*limit) - sent
	}
	evenPart := slowStartEvenShare * limit / float64(d.Instances)
	limit += float64(2*math.Sqrt(limit*d.meanCost)) + float64(2*d.meanCost) // the rule's allowance for chance
	largest := max(d.meanCost, slowStartJobShare*limit)
	ownPart := slowStartDrawShare * limit / 2 / float64(d.Instances)
	if j.cost <= evenPart || j.cost > largest || sent+float64(d.slowStartDraw(w)*j.cost) > ownPart ||
		d.Instances < wideSharing && sent+j.cost > slowStartEvenExcess*evenPart { // too few to average out
		return evenPart - sent
	}
	return largest
}

// scaleToOwnShare scales a limit on what all instances may send to a worker that is warming up to
// this instance's share, and reports whether the limit is divided into such shares.
func (d *Dispatcher) scaleToOwnShare(limit *float64) bool {
	if d.SharedBudget == nil {
		return false
	}
	share, divided := d.SharedBudget.ColdShare()
	if divided {
		*limit *= share
	}
	return divided
}

// slowStartDraw returns this instance's random draw (0 to 1) for a worker that is warming up. The draw
// is the same for all jobs within a window of the rule; the windows of the instances start at
// different times. The draws of one window are evenly spread over the instances, so that no more of
// them win than the mean. A window that began before this instance started may already have been
// used: its draw is infinite and never wins.
func (d *Dispatcher) slowStartDraw(w *worker) float64 {
	length := max(1, float64(d.Rules.ColdOverloadWindow))
	phase := float64(w.hashFraction(uint64(d.Rank)) * length)
	window := math.Floor((float64(d.now-w.warmingSince) + phase) / length)
	began := w.warmingSince + saturating.Duration(float64(window*length)-phase)
	if began < d.firstEventAt && w.warmingSince < d.firstEventAt {
		return math.Inf(1)
	}
	seed := 3 * saturating.Uint64(max(0, window)) // three random numbers per window
	instances := uint64(d.Instances)
	stride := 1 + saturating.Int(w.hashFraction(1<<32+seed)*float64(d.Instances))
	for gcd(stride, d.Instances) > 1 {
		stride++
	}
	first := w.hashFraction(1<<32 + seed + 1)
	position := (uint64(d.Rank)*uint64(stride) + saturating.Uint64(first*float64(instances))) % instances
	return (float64(position) + w.hashFraction(1<<32+seed+2)) / float64(instances)
}

// warmupSlowdown returns the factor by which a job runs longer at a worker that may be warming up. The
// capacities of the rule imply the maximum; warmupPenalty is the learned part of it.
func (d *Dispatcher) warmupSlowdown(w *worker) float64 {
	return 1 + float64(d.warmupPenalty*(1/max(minCapacity, d.warmCapacity(w, d.now-w.warmingSince))-1))
}

// learnWarmupPenalty updates warmupPenalty from a run at a worker that is warming up. The closer the
// worker is to its full capacity, the less weight the run has.
func (d *Dispatcher) learnWarmupPenalty(w *worker, ratio, weight float64) {
	lack := max(minCapacity, 1-d.warmCapacity(w, d.now-w.warmingSince))
	penalty := min(1, max(0, (float64(ratio*d.warmupSlowdown(w))-1)*(1-lack)/lack))
	d.warmupPenalty += float64((penalty - d.warmupPenalty) * lack * weight / paceWindow)
}

// slowStartCostSince returns the cost sent to a worker that is warming up after then, and deletes
// older sends.
func (w *worker) slowStartCostSince(then time.Duration) (cost float64) {
	w.slowStartSends = slices.DeleteFunc(w.slowStartSends, func(s slowStartSend) bool { return s.at <= then })
	for _, s := range w.slowStartSends {
		cost += s.cost
	}
	return cost
}

// hashFraction returns a hash (0 to 1) of a number and the worker's id, uniformly distributed and the
// same at all instances.
func (w *worker) hashFraction(of uint64) float64 {
	x := (of<<32 | uint64(w.Number)) * 0x9e3779b97f4a7c15 // mixed as splitmix64 does
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}
