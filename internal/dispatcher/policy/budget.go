package policy

import (
	"cmp"
	"time"

	"basaltloft/internal/shared/admission"
	"basaltloft/internal/shared/saturating"
)

const (
	// initialBudget is the budget of a new worker, in mean costs.
	initialBudget = 2.0
	// minBudget is the smallest budget, in mean costs.
	minBudget = 0.5
	// budgetGrowth is the share of a served job's cost by which an exhausted budget grows.
	budgetGrowth = 0.02
	// unsharedGrowth replaces budgetGrowth if there is no other dispatcher, until the budget is
	// first reduced.
	unsharedGrowth = 0.5
	// budgetDecrease is the factor applied to a budget after a rejection, a timeout or a slow
	// answer.
	budgetDecrease = 0.75
	// slowMultiple: an answer is slow if it takes longer than this multiple of the expected
	// run time at the worker's pace.
	slowMultiple = 2.0
	// wideSharingReportWait is the minimum time that a job waits for load reports where many
	// dispatchers share the workers.
	wideSharingReportWait = 100 * time.Millisecond
)

// budgetCost returns what a job counts against a budget: its cost, but at most the mean cost for
// each of its slots. A job far heavier than the mean takes no more slots than others and must not
// block a worker that has free slots.
func (d *Dispatcher) budgetCost(j *job) float64 { return min(j.cost, d.meanCost*j.Slots) }

// headroom returns the share of its budget that a worker can still take, divided by its pace, and
// whether the job fits. If headroom were an absolute cost, the worker with the largest budget would
// attract all jobs of every dispatcher while other workers are idle. An idle worker takes any job;
// a worker where a job of this dispatcher waits for its start takes none, whatever it reports.
func (d *Dispatcher) headroom(w *worker, j *job) (float64, bool) {
	w.budget = cmp.Or(w.budget, initialBudget*d.meanCost)
	headroom := w.budget - w.outstandingCost
	fits := w.outstandingCost+d.budgetCost(j) <= w.budget || len(w.attempts) == 0
	w.budgetLimited = w.budgetLimited || !fits
	fits = fits && w.waitingJobs == 0 && d.now >= w.saturatedUntil
	if d.widelyShared && d.probesReportSlots && !d.reportFresh(w, saturating.Duration(d.meanCost)) {
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
		// A won draw is better evidence of capacity than a report that many dispatchers see.
		if d.widelyShared && !d.onlyStartsShowCapacity() {
			return slowStartPriority + left/w.pace(), inTurn
		}
		headroom, fits = min(headroom, left)/d.warmupSlowdown(w), fits && inTurn
	}
	if d.onlyStartsShowCapacity() {
		headroom = d.promptWeight(w, j) * (w.budget - w.outstandingCost)
	}
	return headroom / w.budget / w.pace(), fits
}

// reportWait returns how long a job waits for a report of the load that other dispatchers put on a
// worker: the fewer jobs start promptly, the longer.
func (d *Dispatcher) reportWait() time.Duration {
	return saturating.Duration(float64(wideSharingReportWait) / max(0.03, d.promptShare[0]*d.promptShare[0]))
}

// shrinkBudget reduces a budget, at most once for all the jobs of one round trip.
func (d *Dispatcher) shrinkBudget(w *worker, sentAt time.Duration) {
	if sentAt >= w.budgetShrunkAt {
		w.budget = admission.ShrunkBudget(w.budget, budgetDecrease, minBudget*d.meanCost)
		w.budgetShrunkAt = d.now
		d.reindex(w)
	}
}

// growBudget increases a budget that has held jobs back, by a share of a served job's cost. Growth
// is slow, also where workers report starts, since too large a budget fills the worker's queue.
func (d *Dispatcher) growBudget(w *worker, cost float64) {
	if w.budget += float64(budgetGrowth * cost); w.budgetShrunkAt == 0 && d.Instances == 1 {
		w.budget += float64((unsharedGrowth - budgetGrowth) * cost)
	}
	w.budgetLimited = false
	d.reindex(w)
}

// onlyStartsShowCapacity reports whether the starts of this dispatcher's jobs are the only evidence
// of which worker has capacity: many dispatchers share the workers, and probes do not report free
// slots.
func (d *Dispatcher) onlyStartsShowCapacity() bool {
	return d.veryWidelyShared() && !d.probesReportSlots
}
