package policy

import "time"

const (
	// reportLag: attempts sent this recently are not in a report yet.
	reportLag = 100 * time.Millisecond
	// reportTTL: an older report says nothing.
	reportTTL = 1200 * time.Millisecond
	// reportDistrust: for so long after a rejection a report may be older than that.
	reportDistrust = 1200 * time.Millisecond
	// probeInterval is the least time between two probes of a worker.
	probeInterval = 80 * time.Millisecond
	// probesPerRequest is how many probes each request pays for.
	probesPerRequest = 1.0
)

// probeOldestReports probes the workers of the subset whose reports are oldest, within the share of
// probes.
func (d *Dispatcher) probeOldestReports() {
	for d.probesTellSlots && d.probeCredit >= 1 {
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

func (d *Dispatcher) probe(w *worker) {
	if d.SharedBudget != nil && !d.SharedBudget.TakeProbe() {
		return
	}
	w.probePending, w.probedAt = true, d.now
	d.host.Probe(w.Number)
}

// applyReport takes in a load report: free slots, less what waits and what was sent too late to be
// in it, and the slots of a job that ended with it.
func (d *Dispatcher) applyReport(w *worker, r Report, ended float64) {
	if r.Has&HasX0 == 0 || !d.slotsInX0 || d.now < w.ignoreReportsUntil {
		return
	}
	w.kind.maxSlots = max(w.kind.maxSlots, r.X0)
	slots, memory := w.sentSince(d.now - reportLag)
	w.freeSlots, w.reportAt = r.X0+ended-r.Queue-slots, d.now
	w.freeMemory, w.reportsMemory = r.X1-memory, r.Has&HasX1 != 0 && d.memoryInX1
}

// reportFresh reports whether a report is believed: in a crowd for a mean cost, the time in which
// jobs come and go.
func (d *Dispatcher) reportFresh(w *worker, life time.Duration) bool {
	return w.reportAt != 0 && d.now-w.reportAt < min(life, reportTTL)
}

// sentSince is what the attempts sent since then take.
func (w *worker) sentSince(then time.Duration) (slots, memory float64) {
	for i := len(w.attempts) - 1; i >= 0 && w.attempts[i].sentAt > then; i-- {
		slots += w.attempts[i].slots
		memory += w.attempts[i].job.Memory
	}
	return slots, memory
}
