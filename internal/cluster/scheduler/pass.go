package scheduler

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/admission"
)

// passEvery is how often ready work is looked at though nothing happened.
const passEvery = 200 * time.Millisecond

// agingMultiple: shorter work may not pass a task that has waited so many times what it is
// expected to run.
const agingMultiple = 2.0

// pass starts what fits, in the aged order. Work at the head that fits no budget holds up
// the rest while some runner has the capacity for it; work for which none has is passed by,
// and once it has aged a runner is kept for it.
func (o *Scheduler) pass() {
	o.passAt = o.now
	ready := o.readyBundles()
	if len(ready) == 0 {
		return
	}
	candidates, sessions := o.candidates()
	for _, b := range ready {
		b.queue.Wait(o.now, lateness.Queued)
	}
	kept := 0
	for _, b := range ready {
		result := o.place(b, candidates, sessions)
		if len(b.pending) == 0 {
			continue
		}
		b.queue.Wait(o.now, waitsFor(o.ask(b), b.step.Gang, result))
		if result == placement.NoBudget {
			o.holdBack(b, candidates, sessions)
			return
		}
		if result == placement.NoCapacity && b.rank.Aged && kept < len(candidates)/keptPart {
			kept++
			reserve(o.ask(b), candidates)
		}
	}
}

// keptPart: at most one runner in so many is kept for work that has aged.
const keptPart = 8

func (o *Scheduler) readyBundles() []*bundle {
	var ready []*bundle
	for _, b := range o.bundles {
		if len(b.pending) == 0 {
			continue
		}
		b.expects = o.expected(b.job, b.key.step)
		agedAt := b.readyAt + time.Duration(agingMultiple*b.expects*float64(time.Second))
		b.rank = admission.Rank{Aged: o.now >= agedAt, AgedAt: agedAt, Cost: b.expects, Seq: b.seq}
		ready = append(ready, b)
	}
	slices.SortFunc(ready, func(a, b *bundle) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), admission.Compare(a.rank, b.rank))
	})
	return ready
}

// candidates are the runners that take work now.
func (o *Scheduler) candidates() ([]placement.Candidate, []*session) {
	candidates, sessions := o.scratchCandidates[:0], o.scratchSessions[:0]
	for _, s := range o.ordered {
		if !s.listed || s.draining || !s.inTouch(o.now) || s.silent() {
			continue
		}
		doubtful := s.doubtful()
		candidates = append(candidates, placement.Candidate{
			Key: len(sessions), Service: s.service, Labels: s.labels, Capacity: s.capacity, Free: s.capacity.Subtract(s.used),
			Headroom: s.budget.Headroom(s.out, o.meansOf(s.service)), Idle: len(s.runs) == 0, Slowdown: s.paceNow(), RunTimeFactor: s.speed.Value(),
			Suspect: doubtful, Reserved: doubtful && (s.onTrial() || o.now < s.trialAt),
		})
		sessions = append(sessions, s)
	}
	o.scratchCandidates, o.scratchSessions = candidates, sessions
	return candidates, sessions
}

// place starts as much of a bundle as fits, as many tasks at one runner as fit there.
func (o *Scheduler) place(b *bundle, candidates []placement.Candidate, sessions []*session) placement.Result {
	if b.step.Gang {
		return o.placeGang(b, candidates, sessions)
	}
	for len(b.pending) > 0 {
		alike := o.alike(b)
		chosen, result := o.choose(b, alike, candidates, sessions)
		if result != placement.Found {
			return result
		}
		for range chosen.Count {
			ask := o.ask(b)
			candidates[chosen.Candidate].Assign(ask)
			o.start(b, b.pending[0], o.nextAttempt(b, b.pending[0]), sessions[candidates[chosen.Candidate].Key], ask)
			b.pending = b.pending[1:]
		}
	}
	return placement.Found
}

// start proposes a start and keeps its place at the runner.
func (o *Scheduler) start(b *bundle, index, attempt int, s *session, ask *placement.Request) {
	ref := job.TaskRef{Job: b.key.job, Occurrence: b.key.time, Step: b.key.step, Index: index}
	r := &run{runKey: runKey{task: ref, attempt: attempt}, need: ask.Resources, cost: ask.Cost, expected: b.expects, sentAt: o.now}
	r.far = ask.DataRack != "" && !slices.Contains(s.labels, ask.DataRack)
	if r.far {
		r.expected *= o.bounds.RemoteSlowdown
	}
	r.expected *= s.speed.Value()
	if s.doubtful() {
		s.trials++
		s.trialAt = o.now + min(trialMax, trialFirst<<min(s.trials, 4))
	}
	s.add(r)
	b.waiting[index] = true
	b.trail(index).Started(b.queue.Waited(o.now))
	o.meansOf(b.job.Service).Add(ask.Cost)
	o.propose(job.Command{Kind: job.StartRun, Task: ref, Attempt: attempt, Runner: s.id, Address: s.address})
}

// Trials of a runner that fails most of what it runs.
const (
	trialFirst = 400 * time.Millisecond
	trialMax   = 4 * time.Second
)

// holdBack notes which budgets keep the head of the queue from leaving, so that they grow
// with the next run that ends well.
func (o *Scheduler) holdBack(b *bundle, candidates []placement.Candidate, sessions []*session) {
	ask := o.ask(b)
	for at := range candidates {
		c := &candidates[at]
		if c.Service == ask.Service && ask.Resources.FitsIn(c.Free) && hasAll(c.Labels, ask.Constraints) {
			s := sessions[c.Key]
			s.budget.RecordBlocked(o.now, ask.Cost, max(o.mostBudget(s), s.out+ask.Cost))
		}
	}
}

// reserve keeps the suitable runner with the most free capacity, too little as yet, for work
// that has aged.
func reserve(ask *placement.Request, candidates []placement.Candidate) {
	best := -1
	for at := range candidates {
		c := &candidates[at]
		if c.Reserved || c.Service != ask.Service || ask.Resources.FitsIn(c.Free) || !ask.Resources.FitsIn(c.Capacity) || !hasAll(c.Labels, ask.Constraints) {
			continue
		}
		if best < 0 || c.Free.CPU > candidates[best].Free.CPU {
			best = at
		}
	}
	if best >= 0 {
		candidates[best].Reserved = true
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
