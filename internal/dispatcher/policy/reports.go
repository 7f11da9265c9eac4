package policy

import "time"

const (
	// reportLag: attempts sent this recently are not in a report yet.
	reportLag = 100 * time.Millisecond
	// reportTTL: an older report is not used.
	reportTTL = 1200 * time.Millisecond
	// reportDistrust is how long after a rejection reports are ignored, since they may be older than
	// the rejection.
	reportDistrust = 1200 * time.Millisecond
	// probeInterval is the least time between two probes of a worker.
	probeInterval = 80 * time.Millisecond
	// probesPerRequest is the number of probes that each request allows.
	probesPerRequest = 1.0
)

// probeOldestReports probes the workers of the subset with the oldest reports, as far as the probe
// credit allows.
func (d *Dispatcher) probeOldestReports() {
	for d.probesReportSlots && d.probeCredit >= 1 {
		var oldest *worker
		for _, w := range d.subset {
			if d.usable(w) && !w.suspect && !w.probePending && d.now-w.probedAt >= probeInterval &&
				d.now-w.reportAt >= probeInterval && (oldest == nil || w.reportAt < oldest.reportAt) {
				oldest = w
			}
		}
		if oldest == nil {
			return
		}
		d.probeCredit--
		d.probe(oldest)
	}
}

// probe probes a worker, if the shared budget allows it.
func (d *Dispatcher) probe(w *worker) {
	if d.SharedBudget != nil && !d.SharedBudget.TakeProbe() {
		return
	}
	w.probePending, w.probedAt = true, d.now
	d.host.Probe(w.Number)
}

// applyReport updates a worker's free slots and memory from a load report. Queued requests and
// attempts sent too recently to be in the report are subtracted from the free slots, and the slots
// of the job that ended with the report are added.
func (d *Dispatcher) applyReport(w *worker, r Report, ended float64) {
	if r.Has&HasX0 == 0 || !d.slotsInX0 || d.now < w.ignoreReportsUntil {
		return
	}
	w.kind.maxSlots = max(w.kind.maxSlots, r.X0)
	slots, memory := w.sentSince(d.now - reportLag)
	w.freeSlots, w.reportAt = r.X0+ended-r.Queue-slots, d.now
	w.freeMemory, w.reportsMemory = r.X1-memory, r.Has&HasX1 != 0 && d.memoryInX1
}

// reportFresh reports whether a worker's last report is younger than life and reportTTL. Where many
// dispatchers share the workers, life is the mean cost, since the load changes within that time.
func (d *Dispatcher) reportFresh(w *worker, life time.Duration) bool {
	return w.reportAt != 0 && d.now-w.reportAt < min(life, reportTTL)
}

// sentSince returns the slots and memory of the attempts in flight that were sent after then.
func (w *worker) sentSince(then time.Duration) (slots, memory float64) {
	for i := len(w.attempts) - 1; i >= 0 && w.attempts[i].sentAt > then; i-- {
		slots += w.attempts[i].slots
		memory += w.attempts[i].job.Memory
	}
	return slots, memory
}
