package planrun

import (
	"cmp"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
)

// LeaseExpired records that the lease of a process's incarnation has expired. Runs of that
// incarnation, and of earlier ones, have no coordinator until they are claimed; the shared
// outputs that they were producing are reassigned.
func (t *Tracker) LeaseExpired(at time.Duration, process string, incarnation uint64) {
	t.advanceClock(at)
	for _, id := range sortedKeys(t.runs) {
		if r := t.runs[id]; !r.Orphan && r.Process == process && r.Incarnation <= incarnation {
			t.orphanRun(r)
		}
	}
}

func (t *Tracker) orphanRun(r *Run) {
	r.Orphan = true
	if i, found := slices.BinarySearch(t.orphans, r.ID); !found {
		t.orphans = slices.Insert(t.orphans, i, r.ID)
	}
	t.reassignOutputs(r)
}

func (t *Tracker) unorphanRun(r *Run) {
	r.Orphan = false
	if i, found := slices.BinarySearch(t.orphans, r.ID); found {
		t.orphans = slices.Delete(t.orphans, i, i+1)
	}
}

// Claim assigns runs without a coordinator to a process, those with the earliest deadline
// first, each with a new fencing number. Attempts that were in flight end with plan.MayRun:
// idempotent and deduplicated jobs may be sent again, at-most-once jobs fail permanently.
func (t *Tracker) Claim(at time.Duration, c Claim) []Claimed {
	at = t.advanceClock(at)
	var list []*Run
	for _, id := range t.orphans {
		if r := t.runs[id]; len(c.Plans) == 0 || slices.Contains(c.Plans, r.Digest) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(x, y *Run) int { return cmp.Compare(x.Deadline, y.Deadline) })
	var claimed []Claimed
	for _, r := range list[:min(max(c.MaxRuns, 0), len(list))] {
		if t.runs[r.ID] != r { // a shared output of another claimed run has ended this one
			continue
		}
		t.unorphanRun(r)
		t.lastFence++
		r.Fence, r.Process, r.Incarnation = t.lastFence, c.Process, c.Incarnation
		claimed = append(claimed, Claimed{r.ID, r.Fence})
		for i := range r.Stages {
			for k := range r.Stages[i].Items {
				t.resolveInFlight(at, r, i, k)
			}
		}
		t.finishIfDone(at, r)
	}
	return claimed
}

// resolveInFlight ends the attempts at an item that were in flight when the coordinator
// failed.
func (t *Tracker) resolveInFlight(at time.Duration, r *Run, stage, item int) {
	sh, it := &r.shape.Stages[stage], &r.Stages[stage].Items[item]
	if u := &it.Undo; u.State == InFlight {
		u.State, u.End, u.NotBefore = Pending, plan.MayRun, at
		if !maySendAgain(sh.Undo.Effect, true) || int(u.Attempt) >= sh.Undo.MaxTries {
			u.State = PermanentlyFailed
		}
	}
	if j := &it.Job; j.State == InFlight {
		j.State, j.End, j.NotBefore = Pending, plan.MayRun, at
		if !maySendAgain(sh.Effect, true) {
			t.failItem(at, r, stage, item, "its coordinator died while it was under way")
		}
	}
}

// Orphans returns how many runs have no coordinator.
func (t *Tracker) Orphans() int { return len(t.orphans) }
