package policy

import (
	"cmp"
	"slices"
	"time"

	"basaltloft/internal/shared/saturating"
)

const (
	// contactTTL is how long after its last response a worker counts as running, even if a list
	// leaves it out.
	contactTTL = 2 * time.Second
	// removedRetention is how long a worker that is listed as removed stays in the table.
	removedRetention = time.Minute
	// watchCallTime is the time that the list service takes for one dispatcher's call.
	watchCallTime = 25 * time.Millisecond
	// maxWatchBackoff is the longest back-off before a failed watch is renewed.
	maxWatchBackoff = 8 * time.Second
)

// scheduleWatch keeps one watch on the list. Many instances may start together, and the list service
// can't answer all of them at once. So the first call and the retries of failed calls are spread
// over the time that the service takes for the calls of all instances.
func (d *Dispatcher) scheduleWatch(kind ListKind) {
	if kind == ListFailed {
		d.host.Timer(d.jitter(d.watchBackoff), watchToken)
		d.watchBackoff = min(2*d.watchBackoff, maxWatchBackoff)
		d.log("the call for the worker list failed: retrying, %d workers known", len(d.workers))
		return
	}
	d.watchBackoff = time.Duration(d.Instances) * watchCallTime
	if kind == ListRestored {
		longest := min(d.watchBackoff, d.Rules.MembershipMaxAge/2)
		d.host.Timer(saturating.Duration(d.rng.Float64()*float64(longest)), watchToken)
	}
}

// applyList updates the table of workers, which is in the order of their ids. applyListing and
// recheckFirst decide what an entry means for its worker.
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

// insertWorkers merges workers into the table in one pass. Single inserts would be too slow for
// thousands of workers at once.
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

// applyListing applies a list entry to a known worker. The entry may come from an old list, so the
// latest start remains and, where lists may be wrong, so does a drain. A worker that is listed as
// removed and has not responded recently is rechecked like a suspect one. This handles incomplete,
// empty and old lists; the price is an attempt at a worker that died.
func (d *Dispatcher) applyListing(w *worker, m Member) {
	was, since := w.State, w.StartedAt
	w.Member, w.StartedAt = m, max(m.StartedAt, since)
	if m.State != Ready && was == Ready {
		d.log("worker %d is listed as draining or removed, %d attempts in flight", m.Number, len(w.attempts))
	}
	switch {
	case m.StartedAt > since: // a new process with the same id: the state of the old one does not apply
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

// usable reports whether a worker may get new work. A drain holds until a later start. With
// Rules.RemovedMayServe, a worker that a list reports as removed, or leaves out, stays usable, and
// the worker's own responses to jobs and probes decide.
func (d *Dispatcher) usable(w *worker) bool {
	return !w.drained && (w.State == Ready || w.State == Removed && d.Rules.RemovedMayServe)
}

// recheckFirst withholds work from a worker until it was rechecked, where lists may be wrong: a newly
// listed worker may not exist. The recheck is soon.
func (d *Dispatcher) recheckFirst(w *worker) {
	if d.Rules.RemovedMayServe && d.refilledAt != 0 && !w.suspect {
		w.suspect, w.recheckDelay = true, max(w.recheckDelay, minRecheckDelay)
		if w.inSubset { // otherwise joinSubset schedules it
			d.scheduleRecheck(w, d.jitter(minRecheckDelay/2))
		}
	}
}

// forgotten reports whether a removed worker may be deleted from the table. Where lists may be wrong,
// the worker is kept until it has not responded for removedRetention, so that its drain and its start
// time outlast an old list and workers listed as removed can go on serving.
func (d *Dispatcher) forgotten(w *worker) bool {
	kept := d.Rules.RemovedMayServe && d.now-max(w.removedAt, w.lastContact) < removedRetention
	return w.State == Removed && len(w.attempts) == 0 && !kept
}

// sweepTables deletes the workers that are forgotten, and takes workers that are no longer usable
// out of the subset.
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
