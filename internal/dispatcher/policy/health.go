package policy

import "time"

const (
	// errorWindow is the number of jobs in the moving error rate of a worker.
	errorWindow = 20.0
	// minErrorRate: an error rate up to this one is attributed to the jobs, not to the worker.
	minErrorRate = 0.04
	// errorRateMultiple: so is an error rate up to this multiple of that of the other workers.
	errorRateMultiple = 3.0
	// minRecheckDelay is the first delay until a suspect worker is rechecked.
	minRecheckDelay = 250 * time.Millisecond
	// maxRecheckDelay is the longest delay until a suspect worker is rechecked.
	maxRecheckDelay = 4 * time.Second
	// atMostOnceRecheck: a worker on probation that got no job for so long may get any job, even
	// an at-most-once one.
	atMostOnceRecheck = 8 * time.Second
)

// learnFromResult updates the pace, budget and health of a worker from the end of an attempt.
func (d *Dispatcher) learnFromResult(a *attempt, o AttemptResult) {
	w := a.worker
	switch o.Status {
	case OK:
		d.learnFromSuccess(a)
	case Rejected:
		d.recordContact(w)
		d.shrinkBudget(w, a.sentAt)
		w.freeSlots, w.reportAt, w.ignoreReportsUntil = 0, d.now, d.now+reportDistrust
	case Error:
		a.failed = true
		d.recordError(w)
	case InvalidRequest:
		// It shows nothing about the worker: otherwise one client's bad input would eject all
		// workers in turn.
		d.recordContact(w)
	case NotSent: // it shows little about the worker, but other workers are tried first
		a.cancelled = true
	case TimedOut, ConnectFailed, Reset: // the next attempt shows whether the process died
		if d.shrinkBudget(w, a.sentAt); o.Status != TimedOut {
			d.suspectWorker(w, o.Status == ConnectFailed)
		}
	}
}

// learnFromSuccess updates a worker's state from an attempt that served its job.
func (d *Dispatcher) learnFromSuccess(a *attempt) {
	w := a.worker
	w.addEndedJob(0)
	w.overdueJobs, w.recheckDelay = 0, w.recheckDelay/2 // the delay shrinks gradually
	w.failing = w.failing && d.failsMoreThanPeers(w)
	d.clearSuspicion(w)
	limit := float64(slowMultiple*a.expectedRun*w.pace()*d.slowdown) + float64(tickInterval)
	slow := float64(d.now-a.sentAt) > limit
	from := a.sentAt
	if a.startedAt != 0 { // the time since the start shows nothing about the load
		from, slow = a.startedAt, false
	}
	if !a.overdue && (a.startedAt != 0 || a.foundFreeSlot) { // without a hang or a wait
		d.learn(a, float64(d.now-from))
	}
	if slow {
		d.shrinkBudget(w, a.sentAt)
	} else if w.budgetLimited {
		d.growBudget(w, a.cost)
	}
}

// recordError records an error of a worker. A worker that fails all or many of its jobs looks idle
// and fast and would attract all work, so it is put on probation, even if single jobs succeed in
// between.
func (d *Dispatcher) recordError(w *worker) {
	d.recordContact(w)
	w.addEndedJob(1)
	if w.failing = d.failsMoreThanPeers(w); w.failing {
		d.suspectWorker(w, false)
	}
}

// failsMoreThanPeers reports whether a worker fails a larger share of its jobs than the others do.
// Errors that are equally likely at all workers are attributed to the requests.
func (d *Dispatcher) failsMoreThanPeers(w *worker) bool {
	return w.failedJobs/w.endedJobs > max(minErrorRate, errorRateMultiple*d.errorRateElsewhere(w))
}

// heldByProbation reports whether probation keeps a job from a worker. Until its error rate has
// fallen, a worker on probation gets one job at a time, and only jobs that may be retried elsewhere,
// except after atMostOnceRecheck.
func (d *Dispatcher) heldByProbation(w *worker, j *job) bool {
	if !w.failing {
		return false
	}
	return len(w.attempts) > 0 || j.effect() == AtMostOnce && d.now < w.lastSendAt+atMostOnceRecheck
}

// errorRateElsewhere returns the share of jobs that end in error at the other workers of the subset.
// Workers on probation are left out unless they are the majority. The counts start at
// errorWindow/4 jobs without an error, so that few ended jobs have little weight.
func (d *Dispatcher) errorRateElsewhere(w *worker) float64 {
	ends, bad, failing := [2]float64{errorWindow / 4, errorWindow / 4}, [2]float64{}, 0
	for _, o := range d.subset {
		of := boolToInt(o.failing)
		if failing += of; o != w {
			ends[of], bad[of] = ends[of]+o.endedJobs, bad[of]+o.failedJobs
		}
	}
	if 2*failing > len(d.subset) {
		return (bad[0] + bad[1]) / (ends[0] + ends[1])
	}
	return bad[0] / ends[0]
}

// addEndedJob adds an ended job to the worker's error rate; bad is 1 for an error and 0 otherwise.
func (w *worker) addEndedJob(bad float64) {
	w.endedJobs += 1 - w.endedJobs/errorWindow
	w.failedJobs += bad - w.failedJobs/errorWindow
}

// suspectWorker marks a worker as suspect, so that it gets no new work until it is rechecked. The
// delay doubles each time.
func (d *Dispatcher) suspectWorker(w *worker, down bool) {
	if w.unreachable = w.unreachable || down; !w.suspect {
		w.suspect = true
		d.recordUnresponsive(w)
		d.log("worker %d is unresponsive, down or failing: no new jobs, %d attempts in flight",
			w.Number, len(w.attempts))
	}
	w.recheckDelay = min(max(2*w.recheckDelay, minRecheckDelay), maxRecheckDelay)
	d.scheduleRecheck(w, d.jitter(w.recheckDelay))
}

// clearSuspicion handles evidence that a worker serves jobs: the worker is no longer suspect.
func (d *Dispatcher) clearSuspicion(w *worker) {
	d.recordContact(w)
	if w.suspect && w.unreachable { // it may be a new process that the list does not show yet
		d.log("worker %d answers again", w.Number)
		w.unreachable, w.warmingSince = false, d.now
		w.budget = min(w.budget, initialBudget*d.meanCost)
		d.reindex(w)
	}
	w.suspect = false
}

// recheckSuspects rechecks the suspect workers of the subset whose delay is over: with a probe, or
// with jobs if the worker is failing or can't be probed. A probe does not show whether a failing
// worker serves jobs again.
func (d *Dispatcher) recheckSuspects() {
	for _, w := range d.subset {
		if !w.suspect || d.now < w.recheckAt {
			continue
		}
		d.scheduleRecheck(w, d.jitter(w.recheckDelay))
		if w.suspect = !w.failing && d.Limits.Probes; w.suspect && !w.probePending {
			d.probe(w)
		}
	}
}

// scheduleRecheck sets the time at which a suspect worker is rechecked.
func (d *Dispatcher) scheduleRecheck(w *worker, in time.Duration) {
	w.recheckAt = d.now + in
	d.host.Timer(in, recheckToken)
}

// recordContact records that a worker has responded.
func (d *Dispatcher) recordContact(w *worker) {
	w.lastContact = d.now
	delete(d.unresponsive, w.Zone)
}

// recordUnresponsive records that a worker does not respond.
func (d *Dispatcher) recordUnresponsive(w *worker) {
	d.unresponsive[w.Zone]++
	if d.affinityJobs > 0 { // it may be a home outside the subset
		d.joinSubset(w)
	}
}
