package policy

import (
	"cmp"
	"time"

	"basaltloft/internal/shared/admission"
)

const (
	// initialBudget is the budget of a worker that is new, in mean costs.
	initialBudget = 2.0
	// minBudget is the least budget, in mean costs.
	minBudget = 0.5
	// budgetGrowth is the share of a served job's cost by which a budget that was used up grows.
	budgetGrowth = 0.02
	// unsharedGrowth is that share where no other dispatcher uses the worker, until the first cut.
	unsharedGrowth = 0.5
	// budgetDecrease is what remains of a budget after a rejection, a time-out or a slow answer.
	budgetDecrease = 0.75
	// slowAnswer: an answer is slow after this many times the run time at the worker's pace.
	slowAnswer = 2.0
	// crowdedReportWait is how long a job waits for load reports, at least, where many dispatchers
	// share the workers.
	crowdedReportWait = 100 * time.Millisecond
)

// budgetCost is what a job counts against a budget: its cost, but one far heavier than the mean
// holds no more slots than others, and must not shut a worker that has free ones.
func (d *Dispatcher) budgetCost(j *job) float64 { return min(j.cost, d.meanCost*j.Slots) }

// headroom is the share of its budget that a worker can still take, by its pace, and whether the
// job fits. In plain cost the budget that has grown most would draw all jobs, at every dispatcher,
// past idle workers. An idle worker takes any job; where an own one waits for its start nothing
// fits, whatever is reported.
func (d *Dispatcher) headroom(w *worker, j *job) (float64, bool) {
	w.budget = cmp.Or(w.budget, initialBudget*d.meanCost)
	headroom := w.budget - w.outstandingCost
	fits := w.outstandingCost+d.budgetCost(j) <= w.budget || len(w.attempts) == 0
	w.budgetLimited = w.budgetLimited || !fits
	fits = fits && w.waitingJobs == 0 && d.now >= w.saturatedUntil
	if d.crowded && d.probesTellSlots && !d.reportFresh(w, time.Duration(d.meanCost)) {
		fits = fits && d.now >= j.queuedAt+d.reportWait()
	}
	if d.reportFresh(w, reportTTL) {
		headroom = min(headroom, w.freeSlots*d.meanCost)
		if w.freeSlots < j.Slots-0.5 || w.reportsMemory && w.freeMemory < j.Memory-0.25 {
			fits = false
		}
	}
	if d.warmingUp(w) {
		left := d.slowStartHeadroom(w, j)
		inTurn := j.cost <= left && w.outstandingCost+j.cost <= max(w.budget, j.cost)
		// A draw is better evidence of room than a report that many see.
		if d.crowded && !d.onlyStartsShowCapacity() {
			return slowStartPriority + left/w.pace(), inTurn
		}
		headroom, fits = min(headroom, left)/d.warmupSlowdown(w), fits && inTurn
	}
	if d.onlyStartsShowCapacity() {
		headroom = d.promptWeight(w, j) * (w.budget - w.outstandingCost)
	}
	return headroom / w.budget / w.pace(), fits
}

// reportWait is how long a job waits for a report of what a worker holds of other dispatchers: the
// longer, the fewer jobs start promptly.
func (d *Dispatcher) reportWait() time.Duration {
	return time.Duration(float64(crowdedReportWait) / max(0.03, d.promptShare[0]*d.promptShare[0]))
}

// shrinkBudget shrinks a budget, at most once for all the jobs of one round trip.
func (d *Dispatcher) shrinkBudget(w *worker, sentAt time.Duration) {
	if sentAt >= w.budgetShrunkAt {
		w.budget = admission.ShrunkBudget(w.budget, budgetDecrease, minBudget*d.meanCost)
		w.budgetShrunkAt = d.now
		d.reindex(w)
	}
}

// growBudget grows a budget that has held jobs back, by a share of a served job's cost: slowly,
// also where starts are told, since too large a budget fills the worker's queue.
func (d *Dispatcher) growBudget(w *worker, cost float64) {
	if w.budget += budgetGrowth * cost; w.budgetShrunkAt == 0 && d.Instances == 1 {
		w.budget += (unsharedGrowth - budgetGrowth) * cost
	}
	w.budgetLimited = false
	d.reindex(w)
}

// onlyStartsShowCapacity reports whether only the starts of own jobs show which worker has room: many
// dispatchers share the workers, and no report tells free slots.
func (d *Dispatcher) onlyStartsShowCapacity() bool { return d.thronged() && !d.probesTellSlots }
