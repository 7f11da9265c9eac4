package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// slowStartPriority is added to the headroom of a worker that is warming up and outweighs any
	// headroom.
	slowStartPriority = 1e13
	// slowStartEvenShare is the share of the bound on a worker that is warming up which even parts
	// use.
	slowStartEvenShare = 0.6
	// slowStartDrawShare is the share of the bound, with its allowance for chance, that won draws
	// use.
	slowStartDrawShare = 0.7
	// slowStartEvenExcess is what one of few dispatchers may take by a draw, in even parts.
	slowStartEvenExcess = 1.3
	// slowStartJobShare is the share of the bound that a single job may take.
	slowStartJobShare = 0.2
)

// minCapacity keeps divisors from 0: by the rule's figures a worker may start with no capacity, or
// with all.
const minCapacity = 1e-6

// slowStartSend is the cost sent to a worker that is warming up at a time.
type slowStartSend struct {
	at   time.Duration
	cost float64
}

// warmingUp reports whether a worker may not have its full capacity yet.
func (d *Dispatcher) warmingUp(w *worker) bool {
	return w.warmingSince != 0 && d.now-w.warmingSince < d.Rules.WarmupTime
}

// warmCapacity is the part of its capacity that a worker has at least, at an age.
func (d *Dispatcher) warmCapacity(w *worker, age time.Duration) float64 {
	if !d.warmingUp(w) {
		return 1
	}
	warmed := min(1, float64(age)/float64(max(1, d.Rules.WarmupTime)))
	return d.Rules.ColdCapacity + (1-d.Rules.ColdCapacity)*warmed
}

// slowStartHeadroom is the cost that a worker which is warming up may still get from this instance.
// The platform's rule bounds what all instances send to it within a window; slots seen at its kind,
// at its pace, stand for its capacity at the start of the window. Even parts, where they suffice
// for the job, keep to the bound for sure. Where many instances share they don't suffice: there
// each draws, once a window, what it may send.
func (d *Dispatcher) slowStartHeadroom(w *worker, j *job) float64 {
	capacity := max(1, 0.8*w.kind.maxSlots) / w.pace() * float64(d.Rules.ColdOverloadWindow)
	age := max(0, d.now-w.warmingSince-d.Rules.ColdOverloadWindow)
	limit := d.Rules.ColdOverloadMultiple * d.warmCapacity(w, age) * capacity
	sent := w.slowStartCostSince(d.now - d.Rules.ColdOverloadWindow)
	if d.scaleToOwnShare(&limit) {
		return slowStartEvenShare*limit - sent
	}
	evenPart := slowStartEvenShare * limit / float64(d.Instances)
	limit += 2*math.Sqrt(limit*d.meanCost) + 2*d.meanCost // what the rule allows for chance
	largest := max(d.meanCost, slowStartJobShare*limit)
	ownPart := slowStartDrawShare * limit / 2 / float64(d.Instances)
	if j.cost <= evenPart || j.cost > largest || sent+d.slowStartDraw(w)*j.cost > ownPart ||
		d.Instances < crowdedSharing && sent+j.cost > slowStartEvenExcess*evenPart { // too few to even out
		return evenPart - sent
	}
	return largest
}

// scaleToOwnShare scales a limit on what all instances may send to a worker that is warming up to
// this instance's share of it, and reports whether it has one.
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

// slowStartDraw is this instance's draw (0 to 1) for a worker that is warming up. It is the same
// within a window of the rule, whatever the job; the windows of the instances begin one after the
// other. The draws of one window are evenly spread over the instances, so that no more of them win
// than the mean says. A window that began before this instance was started may have been used: its
// draw is infinite and never wins.
func (d *Dispatcher) slowStartDraw(w *worker) float64 {
	length := max(1, float64(d.Rules.ColdOverloadWindow))
	phase := w.hashFraction(uint64(d.Rank)) * length
	window := math.Floor((float64(d.now-w.warmingSince) + phase) / length)
	began := w.warmingSince + time.Duration(window*length-phase)
	if began < d.bornAt && w.warmingSince < d.bornAt {
		return math.Inf(1)
	}
	seed := 3 * uint64(max(0, window)) // three random numbers a window
	instances, stride := uint64(d.Instances), 1+int(w.hashFraction(1<<32+seed)*float64(d.Instances))
	for gcd(stride, d.Instances) > 1 {
		stride++
	}
	first := w.hashFraction(1<<32 + seed + 1)
	position := (uint64(d.Rank)*uint64(stride) + uint64(first*float64(instances))) % instances
	return (float64(position) + w.hashFraction(1<<32+seed+2)) / float64(instances)
}

// warmupSlowdown is how much longer a job runs at a worker that may be warming up: at most what the
// rule's capacities imply, of which warmupPenalty is the part that such workers were found to need.
func (d *Dispatcher) warmupSlowdown(w *worker) float64 {
	return 1 + d.warmupPenalty*(1/max(minCapacity, d.warmCapacity(w, d.now-w.warmingSince))-1)
}

// learnWarmupPenalty takes a run at a worker that is warming up into warmupPenalty: the less it
// lacks of its capacity, the less the run shows.
func (d *Dispatcher) learnWarmupPenalty(w *worker, ratio, weight float64) {
	lack := max(minCapacity, 1-d.warmCapacity(w, d.now-w.warmingSince))
	penalty := min(1, max(0, (ratio*d.warmupSlowdown(w)-1)*(1-lack)/lack))
	d.warmupPenalty += (penalty - d.warmupPenalty) * lack * weight / paceWindow
}

// slowStartCostSince is the cost sent to a worker that is warming up since then; what is older is
// forgotten.
func (w *worker) slowStartCostSince(then time.Duration) (cost float64) {
	w.slowStartSends = slices.DeleteFunc(w.slowStartSends, func(s slowStartSend) bool { return s.at <= then })
	for _, s := range w.slowStartSends {
		cost += s.cost
	}
	return cost
}

// hashFraction is a pseudo-random number (0 to 1) of a number and the worker's id, evenly spread
// over both, and the same at all instances.
func (w *worker) hashFraction(of uint64) float64 {
	x := (of<<32 | uint64(w.Number)) * 0x9e3779b97f4a7c15 // mixed as splitmix64 does
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}
