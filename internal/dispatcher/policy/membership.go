package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// contactTTL: a sign of life counts against a list for so long.
	contactTTL = 2 * time.Second
	// removedRetention is how long a worker that is listed as removed is remembered.
	removedRetention = time.Minute
	// watchCallTime is what the list service takes for one dispatcher's call.
	watchCallTime = 25 * time.Millisecond
	// maxWatchBackoff is the longest wait before a failed watch is renewed.
	maxWatchBackoff = 8 * time.Second
)

// scheduleWatch keeps one watch on the list. Many instances may start together, and the list
// service can't answer all at once: the first call and repeats of failed ones are spread, by as
// long as all may take.
func (d *Dispatcher) scheduleWatch(kind ListKind) {
	if kind == ListFailed {
		d.host.Timer(d.jitter(d.watchBackoff), watchToken)
		d.watchBackoff = min(2*d.watchBackoff, maxWatchBackoff)
		d.log("no worker list: asking again, %d workers known", len(d.workers))
		return
	}
	d.watchBackoff = time.Duration(d.Instances) * watchCallTime
	if kind == ListRestored {
		longest := min(d.watchBackoff, d.Rules.MembershipMaxAge/2)
		d.host.Timer(time.Duration(d.rng.Float64()*float64(longest)), watchToken)
	}
}

// applyList brings the table of workers up to date, in the order of their ids. What an entry means
// for its worker is decided by applyListing and recheckFirst.
func (d *Dispatcher) applyList(kind ListKind, entries []Member) {
	if kind != ListDelta {
		listed := make(map[uint32]bool, len(entries))
		for _, m := range entries {
			listed[m.Number] = true
		}
		for _, w := range d.workers {
			if m := w.Member; !listed[m.Number] && m.State != Removed {
				m.State, d.hasRemoved = Removed, true
				d.applyListing(w, m)
			}
		}
	}
	var added []*worker
	for _, m := range entries {
		d.hasRemoved = d.hasRemoved || m.State == Removed
		if w := d.byID[m.Number]; w != nil {
			d.applyListing(w, m)
		} else if m.State != Removed {
			w = &worker{
				Member: m, kind: d.kindOf(m.Kind), relativePace: 1,
				warmingSince: m.StartedAt, drained: m.State == Draining,
			}
			d.byID[m.Number], added = w, append(added, w)
			d.recheckFirst(w)
			d.joinIfWarmingUp(w)
		}
	}
	d.insertWorkers(added)
}

// insertWorkers merges workers into the table. One after the other, thousands at once would cost
// too much.
func (d *Dispatcher) insertWorkers(added []*worker) {
	if len(added) == 0 {
		return
	}
	slices.SortFunc(added, func(a, b *worker) int { return cmp.Compare(a.Number, b.Number) })
	all := make([]*worker, 0, len(d.workers)+len(added))
	for _, w := range d.workers {
		for len(added) > 0 && added[0].Number < w.Number {
			all, added = append(all, added[0]), added[1:]
		}
		all = append(all, w)
	}
	all = append(all, added...)
	d.workers = all
	d.tableVersion++
}

// applyListing takes in what the list says of a known worker. An old list may come back: the latest
// start and, where lists may be wrong, a drain hold. One called gone that gave no sign of life of
// late is tried like a suspect. This meets short, empty and old lists; it costs an attempt on a
// worker that died.
func (d *Dispatcher) applyListing(w *worker, m Member) {
	was, since := w.State, w.StartedAt
	w.Member, w.StartedAt = m, max(m.StartedAt, since)
	if m.State != Ready && was == Ready {
		d.log("worker %d is listed as draining or gone, %d jobs out", m.Number, len(w.attempts))
	}
	switch {
	case m.StartedAt > since: // a new process of the same id: nothing that is known of it holds
		w.warmingSince, w.suspect, w.unreachable, w.drained = m.StartedAt, false, false, m.State == Draining
		w.budget, w.budgetShrunkAt, w.reportAt, w.overdueJobs = 0, 0, 0, 0
		d.reindex(w)
		d.joinIfWarmingUp(w)
	case m.State == Draining:
		w.drained = true
	case m.State == Ready && !d.Rules.RemovedMayServe:
		w.drained = false
	case m.State == Removed && was != Removed:
		if w.removedAt = d.now; d.now-w.lastContact > contactTTL {
			d.recheckFirst(w)
		}
	}
}

// usable reports whether a worker may get new work. A drain binds until a later start; where it alone
// binds, a list that calls a worker gone, or leaves it out, is a claim: own answers and probes
// decide.
func (d *Dispatcher) usable(w *worker) bool {
	return !w.drained && (w.State == Ready || w.State == Removed && d.Rules.RemovedMayServe)
}

// recheckFirst holds work back until a trial, soon, where lists may be wrong: one named later may
// not exist.
func (d *Dispatcher) recheckFirst(w *worker) {
	if d.Rules.RemovedMayServe && d.refilledAt != 0 && !w.suspect {
		w.suspect, w.recheckDelay = true, max(w.recheckDelay, minRecheckDelay)
		if w.inSubset { // else it begins once it joins
			d.scheduleRecheck(w, d.jitter(minRecheckDelay/2))
		}
	}
}

// forgotten reports whether to drop a worker that is gone: where lists may be wrong, so that drains
// and starts survive an old one and workers listed as removed serve on, only when it has been
// silent for long.
func (d *Dispatcher) forgotten(w *worker) bool {
	kept := d.Rules.RemovedMayServe && d.now-max(w.removedAt, w.lastContact) < removedRetention
	return w.State == Removed && len(w.attempts) == 0 && !kept
}

// sweepTables drops the workers that are forgotten, and members that are not usable any more.
func (d *Dispatcher) sweepTables() {
	if d.hasRemoved {
		d.hasRemoved = false
		d.workers = slices.DeleteFunc(d.workers, func(w *worker) bool {
			forgotten := d.forgotten(w)
			if forgotten {
				delete(d.byID, w.Number)
				d.tableVersion++
				w.drained = true
			}
			d.hasRemoved = d.hasRemoved || w.State == Removed && !forgotten
			return forgotten
		})
	}
	d.subset = slices.DeleteFunc(d.subset, func(w *worker) bool {
		w.inSubset = d.usable(w)
		d.reindex(w)
		return !w.inSubset
	})
}
