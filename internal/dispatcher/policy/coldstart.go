package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// coldPriority is added to the headroom of a cold worker and outweighs any headroom.
	coldPriority = 1e13
	// coldEvenShare is the share of the bound on a cold worker that even parts use.
	coldEvenShare = 0.6
	// coldDrawShare is the share of the bound, with its allowance for chance, that won draws use.
	coldDrawShare = 0.7
	// coldEvenExcess is what one of few dispatchers may take by a draw, in even parts.
	coldEvenExcess = 1.3
	// coldJobShare is the share of the bound that a single job may take.
	coldJobShare = 0.2
)

// minCapacity keeps what is divided by from 0: the rule's figures may let a worker start with
// nothing, or with all.
const minCapacity = 1e-6

// coldSend is the cost sent to a cold worker at a time.
type coldSend struct {
	at   time.Duration
	cost float64
}

// cold tells whether a worker may not be warm yet.
func (d *Dispatcher) cold(w *worker) bool {
	return w.coldSince != 0 && d.now-w.coldSince < d.Rules.WarmupTime
}

// warmCapacity is the part of its capacity that a worker has at least, at an age.
func (d *Dispatcher) warmCapacity(w *worker, age time.Duration) float64 {
	if !d.cold(w) {
		return 1
	}
	warmed := min(1, float64(age)/float64(max(1, d.Rules.WarmupTime)))
	return d.Rules.ColdCapacity + (1-d.Rules.ColdCapacity)*warmed
}

// coldHeadroom is the cost that a cold worker may still get from this instance. Slots seen at its
// kind, at its pace, stand for its capacity at the window's start. Even parts, where they take the
// job, keep the sum for sure. Where many share they don't: there each draws, once a window, what it
// may send.
func (d *Dispatcher) coldHeadroom(w *worker, j *job) float64 {
	capacity := max(1, 0.8*w.kind.maxSlots) / w.pace() * float64(d.Rules.ColdOverloadWindow)
	age := max(0, d.now-w.coldSince-d.Rules.ColdOverloadWindow)
	whole := d.Rules.ColdOverloadMultiple * d.warmCapacity(w, age) * capacity
	got := w.coldCostSince(d.now - d.Rules.ColdOverloadWindow)
	if d.scaleToColdShare(&whole) {
		return coldEvenShare*whole - got
	}
	part := coldEvenShare * whole / float64(d.Instances)
	whole += 2*math.Sqrt(whole*d.meanCost) + 2*d.meanCost // what the rule puts down to chance
	most := max(d.meanCost, coldJobShare*whole)
	each := coldDrawShare * whole / 2 / float64(d.Instances)
	if j.cost <= part || j.cost > most || got+d.coldDraw(w)*j.cost > each ||
		d.Instances < crowdedSharing && got+j.cost > coldEvenExcess*part { // few make no distribution
		return part - got
	}
	return most
}

// scaleToColdShare makes what all may send to a cold worker this dispatcher's part of it, where it
// has one.
func (d *Dispatcher) scaleToColdShare(whole *float64) bool {
	if d.SharedBudget == nil {
		return false
	}
	part, ok := d.SharedBudget.ColdShare()
	if ok {
		*whole *= part
	}
	return ok
}

// coldDraw is this instance's draw for a cold worker, from 0 to 1, the same for as long as the
// rule's window and whatever it asks for; the draws of the instances change one after the other.
// Those of one window lie evenly: that many win as the mean says, and no more. One that began
// before this instance was started may have been used: it does not win.
func (d *Dispatcher) coldDraw(w *worker) float64 {
	each := max(1, float64(d.Rules.ColdOverloadWindow))
	phase := w.hashFraction(uint64(d.Rank)) * each
	n := math.Floor((float64(d.now-w.coldSince) + phase) / each)
	if began := w.coldSince + time.Duration(n*each-phase); began < d.bornAt && w.coldSince < d.bornAt {
		return math.Inf(1)
	}
	window := 3 * uint64(max(0, n))
	in, stride := uint64(d.Instances), 1+int(w.hashFraction(1<<32+window)*float64(d.Instances))
	for gcd(stride, d.Instances) > 1 {
		stride++
	}
	first := w.hashFraction(1<<32 + window + 1)
	place := (uint64(d.Rank)*uint64(stride) + uint64(first*float64(in))) % in
	return (float64(place) + w.hashFraction(1<<32+window+2)) / float64(in)
}

// coldSlowdown is how much longer a job runs at a worker that may be cold: at most as the rule's
// figures allow, of which coldPenalty is the part that cold workers were found to take.
func (d *Dispatcher) coldSlowdown(w *worker) float64 {
	return 1 + d.coldPenalty*(1/max(minCapacity, d.warmCapacity(w, d.now-w.coldSince))-1)
}

// learnColdPenalty takes a run at a cold worker into coldPenalty: the less it lacks of its capacity, the
// less it shows.
func (d *Dispatcher) learnColdPenalty(w *worker, ratio, weight float64) {
	lack := max(minCapacity, 1-d.warmCapacity(w, d.now-w.coldSince))
	penalty := min(1, max(0, (ratio*d.coldSlowdown(w)-1)*(1-lack)/lack))
	d.coldPenalty += (penalty - d.coldPenalty) * lack * weight / paceWindow
}

// coldCostSince is the cost sent to a cold worker since then; what is older is forgotten.
func (w *worker) coldCostSince(then time.Duration) (cost float64) {
	w.coldSends = slices.DeleteFunc(w.coldSends, func(s coldSend) bool { return s.at <= then })
	for _, s := range w.coldSends {
		cost += s.cost
	}
	return cost
}

// hashFraction is a number from 0 to 1, even over numbers and workers. By that of a job it is the
// same however often the job asks while it is held, by 0 it is the same at all instances.
func (w *worker) hashFraction(of uint64) float64 {
	x := (of<<32 | uint64(w.Worker)) * 0x9e3779b97f4a7c15 // mixed as splitmix64 does
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}
