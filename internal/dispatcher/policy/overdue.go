package policy

import "time"

const (
	// overdueRuns and overdueFloor: an attempt is overdue after so many expected run times and so
	// long.
	overdueRuns  = 5.0
	overdueFloor = 400 * time.Millisecond
	// promptStart: a job starts within this time at a worker that has room.
	promptStart = 25 * time.Millisecond
	// startTimeoutMeans: where starts are told, an attempt that has not started is overdue after so
	// many mean costs, and overdueFloor.
	startTimeoutMeans = 3.0
)

// overdueTime is when an attempt is overdue: where starts are told, soon for one that has not
// started.
func (d *Dispatcher) overdueTime(a *attempt) time.Duration {
	if d.ReportsStart && a.startedAt == 0 {
		return a.sentAt + overdueFloor + time.Duration(startTimeoutMeans*d.meanCost)
	}
	return d.now + overdueFloor + time.Duration(overdueRuns*a.expectedRun*a.worker.pace()*d.slowdown)
}

// checkAllOverdue looks at all workers with attempts out, and forgets those that have none any
// more.
func (d *Dispatcher) checkAllOverdue() {
	n := 0
	for _, w := range d.busy { // looking sends jobs, which makes others busy: those come behind
		d.checkOverdue(w)
	}
	for _, w := range d.busy {
		if w.listedBusy = len(w.attempts) > 0; w.listedBusy {
			d.busy[n] = w
			n++
		}
	}
	clear(d.busy[n:])
	d.busy = d.busy[:n]
}

// checkOverdue checks a worker with attempts out for overdue ones.
func (d *Dispatcher) checkOverdue(w *worker) {
	for _, a := range w.attempts {
		if d.lateStartSaturates() && a.startedAt == 0 && d.now >= a.sentAt+promptStart {
			d.recordLateStart(a) // there is no room, whatever the worker reports
		}
		d.hedge(a.job)
		d.recallWaiting(a)
		if d.now < a.overdueAt {
			continue
		}
		if !a.overdue {
			a.overdue = true
			w.overdueJobs++
			d.shrinkBudget(w, a.sentAt)
		}
		if !w.suspect && w.lastContact < a.overdueAt {
			d.suspectWorker(w, false)
			break
		}
	}
}

// lateStartSaturates reports whether a missing start shuts a worker: where own sums and reports say
// little of its room.
func (d *Dispatcher) lateStartSaturates() bool {
	return d.ReportsStart && (d.crowded || !d.probesTellSlots)
}

// recordLateStart takes in that an attempt did not start soon.
func (d *Dispatcher) recordLateStart(a *attempt) {
	if !a.waiting {
		a.waiting = true
		a.worker.waitingJobs++
		a.worker.promptStartAt = 0
		d.promptShare[boolToInt(d.warmingUp(a.worker))] *= 1 - 1/paceWindow
	}
}

// recordStart takes in that an attempt has started.
func (d *Dispatcher) recordStart(a *attempt) {
	runs := 0.0 // side by side, which takes so many slots, whatever is reported
	for _, b := range a.worker.attempts {
		runs += b.slots * float64(boolToInt(b.startedAt != 0))
	}
	a.worker.kind.maxSlots = max(a.worker.kind.maxSlots, runs)
	if a.waiting {
		a.waiting = false
		a.worker.waitingJobs--
		a.worker.saturatedUntil = d.now + d.now - a.sentAt
		return
	}
	a.worker.saturatedUntil, a.worker.promptStartAt = 0, d.now
	p := &d.promptShare[boolToInt(d.warmingUp(a.worker))]
	*p += (1 - *p) / paceWindow
}
