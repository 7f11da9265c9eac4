package planrun

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"
)

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// end takes in how the attempt that is out ended, and says whether a loss that it
// reports was news, so that the output is made again.
func (b *Book) end(at time.Duration, r *Run, c Ended) (fresh bool) {
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	it := &st.Items[c.Item]
	t := &it.Job
	t.State, t.End, t.NotBefore, it.Member = Idle, c.End, at, c.Member
	if !c.End.MayHaveRun() {
		t.Ran = t.Before
	}
	if r.Gave != nil {
		t.State = Dead
		if c.End == plan.Done && it.Gen == st.Gen {
			t.State, it.Result = Ok, c.Result
			r.Bytes += len(c.Result)
		}
		return false
	}
	if c.End == plan.Lost {
		if c.Lost.Generation > r.Stages[c.Lost.Stage].Lost {
			if !b.allowed(r, c) {
				b.dead(at, r, c.Stage, c.Item, "no rule covers this end, or no rerun is left")
				return false
			}
			fresh = b.lose(r, c.Lost.Stage, c.Lost.Generation)
		}
		if r.Gave == nil && !again(sh.Effect, t.Ran) {
			b.dead(at, r, c.Stage, c.Item, "it must never run twice")
		}
		return fresh
	}
	if it.Gen != st.Gen || st.Joined { // what it was given has gone since, or another run made the output
		return false
	}
	if c.End == plan.Done {
		b.good(at, r, c)
		return false
	}
	if !again(sh.Effect, t.Ran) {
		b.dead(at, r, c.Stage, c.Item, "it must never run twice")
		return false
	}
	for i := range sh.Retries {
		q := &sh.Retries[i]
		if !slices.Contains(q.On, c.End) {
			continue
		}
		if it.Tries == nil {
			it.Tries = make([]int, len(sh.Retries))
		}
		if it.Tries[i] >= q.Most {
			break
		}
		t.NotBefore = at + q.wait(r.Seed, c.Stage, c.Item, t.Attempt, it.Tries[i])
		it.Tries[i]++
		if it.Where = q.Where; t.NotBefore >= r.Deadline {
			b.late(at, r, c.Stage, c.Item)
		}
		return false
	}
	b.dead(at, r, c.Stage, c.Item, "no rule covers this end, or no try is left")
	return false
}

// good takes in the result of an item.
func (b *Book) good(at time.Duration, r *Run, c Ended) {
	it := &r.Stages[c.Stage].Items[c.Item]
	it.Job.State, it.Job.End, it.Result = Ok, plan.Done, c.Result
	r.Bytes += len(c.Result)
	b.join(at, r, c.Stage)
}

// lateDone takes in that the last attempt of an item did end well after all. It does
// not count for a stage that has gone on, nor for one that is being undone.
func (b *Book) lateDone(at time.Duration, r *Run, c Ended) bool {
	st := &r.Stages[c.Stage]
	it := &st.Items[c.Item]
	if it.Gen != st.Gen || st.Joined || it.Undo.Attempt > 0 {
		return false
	}
	if r.Gave != nil { // it changes what is known, not what was decided
		it.Job.State, it.Job.End, it.Result = Ok, plan.Done, c.Result
		r.Bytes += len(c.Result)
		return true
	}
	b.good(at, r, c)
	return true
}

// dead says that an item ended badly. Its stage may do without.
func (b *Book) dead(at time.Duration, r *Run, stage, item int, reason string) {
	t := &r.Stages[stage].Items[item].Job
	t.State = Dead
	if !b.spare(r, stage) {
		b.giveUp(r, stage, cmp.Or(t.End, plan.Refused), reason)
		return
	}
	b.join(at, r, stage)
}

// late is dead for want of time.
func (b *Book) late(at time.Duration, r *Run, stage, item int) {
	r.Stages[stage].Items[item].Job.State = Dead
	if !b.spare(r, stage) {
		b.giveUp(r, stage, plan.Late, "the rest could not end before the deadline")
		return
	}
	b.join(at, r, stage)
}

// spare tells whether enough items of a stage may still end well.
func (b *Book) spare(r *Run, stage int) bool {
	st, alive := &r.Stages[stage], 0
	for i := range st.Items {
		if st.Items[i].Job.State != Dead {
			alive++
		}
	}
	return alive >= r.shape.Stages[stage].need(st)
}

// join looks whether a stage has its output. That is fixed once every item has
// ended, well or badly: one generation never has two forms.
func (b *Book) join(at time.Duration, r *Run, stage int) {
	st := &r.Stages[stage]
	if st.Joined || r.Gave != nil {
		return
	}
	if !b.spare(r, stage) {
		b.giveUp(r, stage, plan.Failed, "fewer items than must end well")
		return
	}
	for i := range st.Items {
		if st.Items[i].Job.State < Ok {
			return
		}
	}
	st.Joined = true
	b.publish(at, r, stage)
}

// allowed tells whether a rule lets a stage be run again on an item's report.
func (b *Book) allowed(r *Run, c Ended) bool {
	for _, q := range r.shape.Stages[c.Stage].Reruns {
		if q.Of == c.Lost.Stage {
			return r.Stages[q.Of].Again < q.Most
		}
	}
	return false
}

// lose takes in that a generation of a stage's output is lost, the first time that
// this run hears of it. The stage makes the next generation, unless another run has
// begun to (then it is not fresh), and what hung on the lost one is reset. A
// never-twice stage among those that may have run ends the run.
func (b *Book) lose(r *Run, stage int, gen uint64) (fresh bool) {
	st := &r.Stages[stage]
	st.Lost = gen
	st.Again++
	for i := range r.Stages {
		if i == stage || r.shape.hangs(i, stage) {
			for k := range r.Stages[i].Items {
				if it := &r.Stages[i].Items[k]; !again(r.shape.Stages[i].Effect, it.Job.Ran) {
					b.giveUp(r, i, plan.Lost, "it may have run with what was lost, and must never run twice")
					return false
				}
			}
		}
	}
	if st.Gen == gen {
		fresh = b.renew(r, stage)
	}
	for i := stage + 1; i < len(r.Stages); i++ {
		if d := &r.Stages[i]; r.shape.hangs(i, stage) && d.begun() {
			d.Lost = d.Gen
			b.renew(r, i)
		}
	}
	return fresh
}

// begun tells whether anything of a stage was sent, or is there.
func (s *Stage) begun() bool {
	return s.Joined || s.Key != "" || slices.ContainsFunc(s.Items, func(it Item) bool { return it.Job.Attempt > 0 })
}

// renew has a stage make the generation after its present one, or takes the one that
// another run has made or is making; then it is not fresh.
func (b *Book) renew(r *Run, stage int) (fresh bool) {
	st := &r.Stages[stage]
	gen := st.Gen
	r.unjoin(stage, gen+1)
	if o := b.shared[st.Key]; st.Key != "" && o != nil {
		return b.renewShared(o, r, stage, gen)
	}
	return true
}

// unjoin sets a stage back: its output is yet to be made. What is out stays out: it
// ends first.
func (r *Run) unjoin(stage int, gen uint64) {
	st := &r.Stages[stage]
	st.Gen, st.Joined, st.Copied = gen, false, nil
	for k := range st.Items {
		it := &st.Items[k]
		r.Bytes -= len(it.Result)
		it.Result, it.Tries = nil, nil
		if it.Job.State != Out {
			it.Job.State, it.Job.NotBefore = Idle, 0
		}
	}
}

// giveUp ends a run's way forward. From here on nothing is sent but undos.
func (b *Book) giveUp(r *Run, stage int, end plan.End, reason string) {
	if r.Gave != nil {
		return
	}
	if len(reason) > b.limits.ReasonSize {
		reason = reason[:b.limits.ReasonSize]
	}
	r.Gave = &GiveUp{stage, end, reason}
	b.due.Remove(r.place) // at once: what falls due, and in which order, follows from the encoded state
	r.due = r.Deadline + b.limits.Grace
	b.due.Push(r)
	b.leave(r)
}

// undone takes in how an undo ended.
func (b *Book) undone(at time.Duration, r *Run, c Ended) {
	u := r.shape.Stages[c.Stage].Undo
	t := &r.Stages[c.Stage].Items[c.Item].Undo
	t.State, t.End, t.NotBefore = Idle, c.End, at+u.Wait
	if !c.End.MayHaveRun() {
		t.Ran = t.Before
	}
	switch {
	case c.End == plan.Done:
		t.State = Ok
	case !again(u.Effect, t.Ran) || int(t.Attempt) >= u.Most:
		t.State = Dead
	}
}

// settle ends a run that has nothing left to do.
func (b *Book) settle(at time.Duration, r *Run) {
	if b.runs[r.ID] != r {
		return
	}
	if r.Gave == nil {
		for i := range r.Stages {
			if !r.Stages[i].Joined {
				return
			}
		}
	} else if r.outs() || r.undoing(r.shape) >= 0 {
		return
	}
	b.finish(at, r)
}

// Outcome is the final answer of a run in one word.
type Outcome uint8

// Outcomes.
const (
	Served  Outcome = iota // every stage ended well
	Refused                // nothing has run
	Failed                 // it gave up, and what became of each effect is known
	Unknown                // it gave up, and something may have run of which no end is known
)

func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "may have run"}[o]
}

// Answer is the one final answer of a run.
type Answer struct {
	Run, Plan string
	Digest    uint64
	Outcome   Outcome
	Stage     string // that made it give up; empty: the run as a whole, or none
	End       plan.End
	Reason    string
	Started   time.Duration
	At        time.Duration // of its end
	Until     time.Duration // it is known up to then
	Attempts  int
	Left      []string  // stages whose effects stay, though the run was not served
	Results   []Results // served: of the stages that no other comes after; else of Left
	Cut       bool      // results are missing: too large, or too old
}

// Results are one stage's results, by item.
type Results struct {
	Stage string
	Items [][]byte
}

// finish gives a run its answer.
func (b *Book) finish(at time.Duration, r *Run) {
	a := &Answer{
		Run: r.ID, Plan: r.Plan, Digest: r.Digest, Started: r.Started, At: at, Until: max(at+b.limits.KeepFor, r.Before), Attempts: r.Used,
	}
	var ran, unsure bool
	last := ^uint64(0)
	for i := range r.Stages {
		last &^= r.shape.up[i]
		sh, st, left := &r.shape.Stages[i], &r.Stages[i], false
		for k := range st.Items {
			it := &st.Items[k]
			ran = ran || it.Job.Ran
			if !it.Job.Ran || it.Undo.State == Ok || sh.Shared || sh.Effect == policy.Idempotent {
				continue
			}
			left = true
			unsure = unsure || it.Job.State != Ok || it.Undo.Ran
		}
		if left {
			a.Left = append(a.Left, sh.Name)
		}
	}
	switch g := r.Gave; {
	case g == nil:
		a.Outcome, a.Left = Served, nil
	case !ran:
		a.Outcome = Refused
	case unsure:
		a.Outcome = Unknown
	default:
		a.Outcome = Failed
	}
	if g := r.Gave; g != nil {
		if a.End, a.Reason = g.End, g.Reason; g.Stage >= 0 {
			a.Stage = r.shape.Stages[g.Stage].Name
		}
	}
	size := 0
	for i := range r.Stages {
		st, name := &r.Stages[i], r.shape.Stages[i].Name
		if r.Gave == nil && last&(1<<i) == 0 || r.Gave != nil && !slices.Contains(a.Left, name) {
			continue
		}
		list := st.Results()
		for _, v := range list {
			size += len(v)
		}
		if size > b.limits.Answer {
			a.Results, a.Cut = nil, true
			break
		}
		a.Results = append(a.Results, Results{name, list})
	}
	b.leave(r)
	b.adopted(r)
	b.due.Remove(r.place)
	delete(b.runs, r.ID)
	b.release(r.Shape)
	b.ended[r.ID] = a
	b.order = append(b.order, a)
	b.trim()
}

// trim takes the results of the oldest answers, beyond those that may keep them. The
// answers themselves stay: an id must not begin a second run.
func (b *Book) trim() {
	for ; len(b.order)-b.whole > b.limits.Answers; b.whole++ {
		if a := b.order[b.whole]; a.Results != nil {
			c := *a // answers that were given out stay as they were
			c.Results, c.Cut = nil, true
			b.order[b.whole], b.ended[a.Run] = &c, &c
		}
	}
}

// prune drops what is kept no longer. Answers go in the order of their ends; one that
// is due waits for those before it, for Limits.Longest at the most.
func (b *Book) prune(at time.Duration) {
	n := 0
	for n < len(b.order) && b.order[n].Until < at {
		delete(b.ended, b.order[n].Run)
		n++
	}
	if n > 0 {
		b.order = slices.Delete(b.order, 0, n)
		b.whole = max(0, b.whole-n)
	}
	b.pruneShared(at)
}
