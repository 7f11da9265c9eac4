package policy

import "time"

const (
	// errorWindow is the number of jobs in the moving error rate of a worker.
	errorWindow = 20.0
	// minErrorRate: a smaller error rate is put down to the jobs.
	minErrorRate = 0.04
	// errorRateMultiple: and so is one under this multiple of the error rate of the other workers.
	errorRateMultiple = 3.0
	// minRecheckDelay is the first delay until a suspect worker is tried again.
	minRecheckDelay = 250 * time.Millisecond
	// maxRecheckDelay is the longest.
	maxRecheckDelay = 4 * time.Second
	// atMostOnceRecheck: a worker on probation that was left alone for so long is tried with any
	// job.
	atMostOnceRecheck = 8 * time.Second
)

// learnFromResult takes in what the end of an attempt says of its worker: of its pace, its budget
// and its health.
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
		// It says nothing of the worker: else one client's bad input would eject them all in turn.
		d.recordContact(w)
	case NotSent: // which proves little, but other workers are tried first
		a.cancelled = true
	case TimedOut, ConnectFailed, Reset: // whether the process died shows when the next attempt fails
		if d.shrinkBudget(w, a.sentAt); o.Status != TimedOut {
			d.suspectWorker(w, o.Status == ConnectFailed)
		}
	}
}

// learnFromSuccess takes in an attempt that served its job.
func (d *Dispatcher) learnFromSuccess(a *attempt) {
	w := a.worker
	w.addEndedJob(0)
	w.overdueJobs, w.recheckDelay = 0, w.recheckDelay/2 // trust returns step by step
	w.failing = w.failing && d.failsMoreThanPeers(w)
	d.clearSuspicion(w)
	slow := float64(d.now-a.sentAt) > slowAnswer*a.expectedRun*w.pace()*d.slowdown+float64(tickInterval)
	from := a.sentAt
	if a.startedAt != 0 { // what the run took says nothing of the load then
		from, slow = a.startedAt, false
	}
	if !a.overdue && (a.startedAt != 0 || a.foundFreeSlot) { // a hang or a wait is no run time
		d.learn(a, float64(d.now-from))
	}
	if slow {
		d.shrinkBudget(w, a.sentAt)
	} else if w.budgetLimited {
		d.growBudget(w, a.cost)
	}
}

// recordError takes in an error. A worker that fails all, or many, looks idle and fast, and would
// draw all work: it is on probation then, whatever single jobs end well between.
func (d *Dispatcher) recordError(w *worker) {
	d.recordContact(w)
	w.addEndedJob(1)
	if w.failing = d.failsMoreThanPeers(w); w.failing {
		d.suspectWorker(w, false)
	}
}

// failsMoreThanPeers reports whether a worker fails a larger share of its jobs than the others do.
// Errors as likely at all are the requests' own.
func (d *Dispatcher) failsMoreThanPeers(w *worker) bool {
	return w.failedJobs/w.endedJobs > max(minErrorRate, errorRateMultiple*d.errorRateElsewhere(w))
}

// heldByProbation reports whether a worker that fails many of its jobs is no place for this one: it
// gets one at a time, of those that may be sent again elsewhere, until its share has fallen.
func (d *Dispatcher) heldByProbation(w *worker, j *job) bool {
	if !w.failing {
		return false
	}
	return len(w.attempts) > 0 || j.effect() == AtMostOnce && d.now < w.lastSendAt+atMostOnceRecheck
}

// errorRateElsewhere is the share of jobs that end in error at the other workers in use, of which
// those on probation say nothing unless they are the most. Few ends say little.
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

// addEndedJob takes a job's end into the share of those that end in error; bad is 1 for one that
// does.
func (w *worker) addEndedJob(bad float64) {
	w.endedJobs += 1 - w.endedJobs/errorWindow
	w.failedJobs += bad - w.failedJobs/errorWindow
}

// suspectWorker holds new work back from a worker until it is tried again, each time after a longer
// delay.
func (d *Dispatcher) suspectWorker(w *worker, down bool) {
	if w.unreachable = w.unreachable || down; !w.suspect {
		w.suspect = true
		d.recordUnresponsive(w)
		d.log("worker %d is silent, down or failing: no new work, %d jobs out", w.Number, len(w.attempts))
	}
	w.recheckDelay = min(max(2*w.recheckDelay, minRecheckDelay), maxRecheckDelay)
	d.scheduleRecheck(w, d.jitter(w.recheckDelay))
}

// clearSuspicion takes in a sign that a worker serves jobs.
func (d *Dispatcher) clearSuspicion(w *worker) {
	d.recordContact(w)
	if w.suspect && w.unreachable { // it may have come back as a new process before the list tells
		d.log("worker %d answers again", w.Number)
		w.unreachable, w.warmingSince = false, d.now
		w.budget = min(w.budget, initialBudget*d.meanCost)
		d.reindex(w)
	}
	w.suspect = false
}

// recheckSuspects tries the suspect workers of the subset whose delay is over: with a probe, or,
// where it fails jobs or can't be probed, with jobs, since no probe tells that it serves them
// again.
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

// scheduleRecheck sets the time at which a suspect worker is tried again.
func (d *Dispatcher) scheduleRecheck(w *worker, in time.Duration) {
	w.recheckAt = d.now + in
	d.host.Timer(in, recheckToken)
}

// recordContact takes in a sign of life.
func (d *Dispatcher) recordContact(w *worker) {
	w.lastContact = d.now
	delete(d.unresponsive, w.Zone)
}

// recordUnresponsive takes in that a worker gives no sign of life.
func (d *Dispatcher) recordUnresponsive(w *worker) {
	d.unresponsive[w.Zone]++
	if d.affinityJobs > 0 { // it may be a home outside the subset
		d.joinSubset(w)
	}
}
