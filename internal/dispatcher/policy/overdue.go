package policy

import (
	"time"

	"basaltloft/internal/shared/saturating"
)

const (
	// overdueMultiple and minOverdueDelay: an attempt is overdue after minOverdueDelay plus
	// overdueMultiple times its expected run time.
	overdueMultiple = 5.0
	minOverdueDelay = 400 * time.Millisecond
	// promptStart: a job starts within this time at a worker that has capacity.
	promptStart = 25 * time.Millisecond
	// startTimeoutCosts: where workers report starts, an attempt that has not started is overdue
	// after minOverdueDelay plus this multiple of the mean cost.
	startTimeoutCosts = 3.0
)

// overdueTime returns the time from which an attempt is overdue. Where workers report starts, an
// attempt that has not started has its own, usually shorter, limit.
func (d *Dispatcher) overdueTime(a *attempt) time.Duration {
	if d.ReportsStart && a.startedAt == 0 {
		return a.sentAt + minOverdueDelay + saturating.Duration(startTimeoutCosts*d.meanCost)
	}
	delay := saturating.Duration(overdueMultiple * a.expectedRun * a.worker.pace() * d.slowdown)
	return d.now + minOverdueDelay + delay
}

// checkAllOverdue checks all busy workers for overdue attempts, and removes workers without attempts
// in flight from the list of busy workers.
func (d *Dispatcher) checkAllOverdue() {
	n := 0
	for _, w := range d.busy { // a check may send jobs and so append workers, which are not visited
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

// checkOverdue checks the attempts in flight at a worker for overdue ones.
func (d *Dispatcher) checkOverdue(w *worker) {
	for _, a := range w.attempts {
		if d.lateStartSaturates() && a.startedAt == 0 && d.now >= a.sentAt+promptStart {
			d.recordLateStart(a) // the worker has no capacity, whatever it reports
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

// lateStartSaturates reports whether a job that does not start marks its worker as saturated. It does
// where this dispatcher's own sums and the reports show little of the worker's load.
func (d *Dispatcher) lateStartSaturates() bool {
	return d.ReportsStart && (d.widelyShared || !d.probesReportSlots)
}

// recordLateStart records that an attempt did not start promptly.
func (d *Dispatcher) recordLateStart(a *attempt) {
	if !a.waiting {
		a.waiting = true
		a.worker.waitingJobs++
		a.worker.promptStartAt = 0
		d.promptShare[boolToInt(d.warmingUp(a.worker))] *= 1 - 1/paceWindow
	}
}

// recordStart records that an attempt has started.
func (d *Dispatcher) recordStart(a *attempt) {
	runs := 0.0 // slots of the jobs that run there now, whatever is reported
	for _, b := range a.worker.attempts {
		runs += float64(b.slots * float64(boolToInt(b.startedAt != 0)))
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
