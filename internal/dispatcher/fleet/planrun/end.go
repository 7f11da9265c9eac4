package planrun

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/dispatcher/policy"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// endAttempt takes in how the attempt that is out ended, and says whether a loss that it
// reports was news, so that the output is made again.
func (b *Tracker) endAttempt(at time.Duration, r *Run, c ReportEnd) (fresh bool) {
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	it := &st.Items[c.Item]
	t := &it.Job
	t.State, t.End, t.NotBefore, it.Member = Pending, c.End, at, c.Member
	if !c.End.MayHaveRun() {
		t.MayHaveRun = t.MayHaveRunBefore
	}
	if r.GaveUp != nil {
		t.State = PermanentlyFailed
		if c.End == plan.Done && it.Generation == st.Generation {
			t.State, it.Result = Succeeded, c.Result
			r.Bytes += len(c.Result)
		}
		return false
	}
	if c.End == plan.Lost {
		if c.Lost.Generation > r.Stages[c.Lost.Stage].LostThrough {
			if !b.rerunAllowed(r, c) {
				b.failItem(at, r, c.Stage, c.Item, "no rule covers this end, or no rerun is left")
				return false
			}
			fresh = b.loseOutput(r, c.Lost.Stage, c.Lost.Generation)
		}
		if r.GaveUp == nil && !maySendAgain(sh.Effect, t.MayHaveRun) {
			b.failItem(at, r, c.Stage, c.Item, "it must never run twice")
		}
		return fresh
	}
	if it.Generation != st.Generation || st.Complete { // what it was given has gone since, or another run made the output
		return false
	}
	if c.End == plan.Done {
		b.succeedItem(at, r, c)
		return false
	}
	if !maySendAgain(sh.Effect, t.MayHaveRun) {
		b.failItem(at, r, c.Stage, c.Item, "it must never run twice")
		return false
	}
	for i := range sh.Retries {
		q := &sh.Retries[i]
		if !slices.Contains(q.On, c.End) {
			continue
		}
		if it.RetriesUsed == nil {
			it.RetriesUsed = make([]int, len(sh.Retries))
		}
		if it.RetriesUsed[i] >= q.MaxRetries {
			break
		}
		t.NotBefore = at + q.delay(r.Seed, c.Stage, c.Item, t.Attempt, it.RetriesUsed[i])
		it.RetriesUsed[i]++
		if it.RetryPlace = q.Where; t.NotBefore >= r.Deadline {
			b.failItemLate(at, r, c.Stage, c.Item)
		}
		return false
	}
	b.failItem(at, r, c.Stage, c.Item, "no rule covers this end, or no try is left")
	return false
}

// succeedItem takes in the result of an item.
func (b *Tracker) succeedItem(at time.Duration, r *Run, c ReportEnd) {
	it := &r.Stages[c.Stage].Items[c.Item]
	it.Job.State, it.Job.End, it.Result = Succeeded, plan.Done, c.Result
	r.Bytes += len(c.Result)
	b.completeIfDone(at, r, c.Stage)
}

// lateSuccess takes in that the last attempt of an item did end well after all. It does
// not count for a stage that has gone on, nor for one that is being undone.
func (b *Tracker) lateSuccess(at time.Duration, r *Run, c ReportEnd) bool {
	st := &r.Stages[c.Stage]
	it := &st.Items[c.Item]
	if it.Generation != st.Generation || st.Complete || it.Undo.Attempt > 0 {
		return false
	}
	if r.GaveUp != nil { // it changes what is known, not what was decided
		it.Job.State, it.Job.End, it.Result = Succeeded, plan.Done, c.Result
		r.Bytes += len(c.Result)
		return true
	}
	b.succeedItem(at, r, c)
	return true
}

// failItem says that an item ended badly. Its stage may do without.
func (b *Tracker) failItem(at time.Duration, r *Run, stage, item int, reason string) {
	t := &r.Stages[stage].Items[item].Job
	t.State = PermanentlyFailed
	if !b.canStillSucceed(r, stage) {
		b.giveUp(r, stage, cmp.Or(t.End, plan.Refused), reason)
		return
	}
	b.completeIfDone(at, r, stage)
}

// failItemLate is dead for want of time.
func (b *Tracker) failItemLate(at time.Duration, r *Run, stage, item int) {
	r.Stages[stage].Items[item].Job.State = PermanentlyFailed
	if !b.canStillSucceed(r, stage) {
		b.giveUp(r, stage, plan.Late, "the rest could not end before the deadline")
		return
	}
	b.completeIfDone(at, r, stage)
}

// canStillSucceed tells whether enough items of a stage may still end well.
func (b *Tracker) canStillSucceed(r *Run, stage int) bool {
	st, alive := &r.Stages[stage], 0
	for i := range st.Items {
		if st.Items[i].Job.State != PermanentlyFailed {
			alive++
		}
	}
	return alive >= r.shape.Stages[stage].requiredItems(st)
}

// completeIfDone looks whether a stage has its output. That is fixed once every item has
// ended, well or badly: one generation never has two forms.
func (b *Tracker) completeIfDone(at time.Duration, r *Run, stage int) {
	st := &r.Stages[stage]
	if st.Complete || r.GaveUp != nil {
		return
	}
	if !b.canStillSucceed(r, stage) {
		b.giveUp(r, stage, plan.Failed, "fewer items than must end well")
		return
	}
	for i := range st.Items {
		if st.Items[i].Job.State < Succeeded {
			return
		}
	}
	st.Complete = true
	b.publishOutput(at, r, stage)
}

// rerunAllowed tells whether a rule lets a stage be run again on an item's report.
func (b *Tracker) rerunAllowed(r *Run, c ReportEnd) bool {
	for _, q := range r.shape.Stages[c.Stage].Reruns {
		if q.Of == c.Lost.Stage {
			return r.Stages[q.Of].RerunsUsed < q.Most
		}
	}
	return false
}

// loseOutput takes in that a generation of a stage's output is lost, the first time that
// this run hears of it. The stage makes the next generation, unless another run has
// begun to (then it is not fresh), and what hung on the lost one is reset. A
// never-twice stage among those that may have run ends the run.
func (b *Tracker) loseOutput(r *Run, stage int, gen uint64) (fresh bool) {
	st := &r.Stages[stage]
	st.LostThrough = gen
	st.RerunsUsed++
	for i := range r.Stages {
		if i == stage || r.shape.dependsOn(i, stage) {
			for k := range r.Stages[i].Items {
				if it := &r.Stages[i].Items[k]; !maySendAgain(r.shape.Stages[i].Effect, it.Job.MayHaveRun) {
					b.giveUp(r, i, plan.Lost, "it may have run with what was lost, and must never run twice")
					return false
				}
			}
		}
	}
	if st.Generation == gen {
		fresh = b.rerunStage(r, stage)
	}
	for i := stage + 1; i < len(r.Stages); i++ {
		if d := &r.Stages[i]; r.shape.dependsOn(i, stage) && d.hasBegun() {
			d.LostThrough = d.Generation
			b.rerunStage(r, i)
		}
	}
	return fresh
}

// hasBegun tells whether anything of a stage was sent, or is there.
func (s *Stage) hasBegun() bool {
	return s.Complete || s.SharedKey != "" || slices.ContainsFunc(s.Items, func(it Item) bool { return it.Job.Attempt > 0 })
}

// rerunStage has a stage make the generation after its present one, or takes the one that
// another run has made or is making; then it is not fresh.
func (b *Tracker) rerunStage(r *Run, stage int) (fresh bool) {
	st := &r.Stages[stage]
	gen := st.Generation
	r.resetStage(stage, gen+1)
	if o := b.outputs[st.SharedKey]; st.SharedKey != "" && o != nil {
		return b.rerunShared(o, r, stage, gen)
	}
	return true
}

// resetStage sets a stage back: its output is yet to be made. What is out stays out: it
// ends first.
func (r *Run) resetStage(stage int, gen uint64) {
	st := &r.Stages[stage]
	st.Generation, st.Complete, st.SharedResults = gen, false, nil
	for k := range st.Items {
		it := &st.Items[k]
		r.Bytes -= len(it.Result)
		it.Result, it.RetriesUsed = nil, nil
		if it.Job.State != InFlight {
			it.Job.State, it.Job.NotBefore = Pending, 0
		}
	}
}

// giveUp ends a run's way forward. From here on nothing is sent but undos.
func (b *Tracker) giveUp(r *Run, stage int, end plan.End, reason string) {
	if r.GaveUp != nil {
		return
	}
	if len(reason) > b.limits.ReasonSize {
		reason = reason[:b.limits.ReasonSize]
	}
	r.GaveUp = &GiveUp{stage, end, reason}
	b.deadlines.Remove(r.heapIndex) // at once: what falls due, and in which order, follows from the encoded state
	r.dueAt = r.Deadline + b.limits.Grace
	b.deadlines.Push(r)
	b.detachOutputs(r)
}

// endUndo takes in how an undo ended.
func (b *Tracker) endUndo(at time.Duration, r *Run, c ReportEnd) {
	u := r.shape.Stages[c.Stage].Undo
	t := &r.Stages[c.Stage].Items[c.Item].Undo
	t.State, t.End, t.NotBefore = Pending, c.End, at+u.Wait
	if !c.End.MayHaveRun() {
		t.MayHaveRun = t.MayHaveRunBefore
	}
	switch {
	case c.End == plan.Done:
		t.State = Succeeded
	case !maySendAgain(u.Effect, t.MayHaveRun) || int(t.Attempt) >= u.MaxTries:
		t.State = PermanentlyFailed
	}
}

// finishIfDone ends a run that has nothing left to do.
func (b *Tracker) finishIfDone(at time.Duration, r *Run) {
	if b.runs[r.ID] != r {
		return
	}
	if r.GaveUp == nil {
		for i := range r.Stages {
			if !r.Stages[i].Complete {
				return
			}
		}
	} else if r.hasAnyInFlight() || r.nextUndoStage(r.shape) >= 0 {
		return
	}
	b.finishRun(at, r)
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
	Run, Plan         string
	Digest            uint64
	Outcome           Outcome
	Stage             string // that made it give up; empty: the run as a whole, or none
	End               plan.End
	Reason            string
	Started           time.Duration
	At                time.Duration // of its end
	Until             time.Duration // it is known up to then
	Attempts          int
	StagesWithEffects []string  `cbor:"Left"` // stages whose effects stay, though the run was not served
	Results           []Results // served: of the stages that no other comes after; else of Left
	ResultsOmitted    bool      `cbor:"Cut"` // results are missing: too large, or too old
}

// Results are one stage's results, by item.
type Results struct {
	Stage string
	Items [][]byte
}

// finishRun gives a run its answer.
func (b *Tracker) finishRun(at time.Duration, r *Run) {
	a := &Answer{
		Run: r.ID, Plan: r.Plan, Digest: r.Digest, Started: r.Started, At: at, Until: max(at+b.limits.AnswerRetention, r.StartBy), Attempts: r.AttemptsUsed,
	}
	var ran, unsure bool
	last := ^uint64(0)
	for i := range r.Stages {
		last &^= r.shape.upstreamSets[i]
		sh, st, left := &r.shape.Stages[i], &r.Stages[i], false
		for k := range st.Items {
			it := &st.Items[k]
			ran = ran || it.Job.MayHaveRun
			if !it.Job.MayHaveRun || it.Undo.State == Succeeded || sh.Shared || sh.Effect == policy.Idempotent {
				continue
			}
			left = true
			unsure = unsure || it.Job.State != Succeeded || it.Undo.MayHaveRun
		}
		if left {
			a.StagesWithEffects = append(a.StagesWithEffects, sh.Name)
		}
	}
	switch g := r.GaveUp; {
	case g == nil:
		a.Outcome, a.StagesWithEffects = Served, nil
	case !ran:
		a.Outcome = Refused
	case unsure:
		a.Outcome = Unknown
	default:
		a.Outcome = Failed
	}
	if g := r.GaveUp; g != nil {
		if a.End, a.Reason = g.End, g.Reason; g.Stage >= 0 {
			a.Stage = r.shape.Stages[g.Stage].Name
		}
	}
	size := 0
	for i := range r.Stages {
		st, name := &r.Stages[i], r.shape.Stages[i].Name
		if r.GaveUp == nil && last&(1<<i) == 0 || r.GaveUp != nil && !slices.Contains(a.StagesWithEffects, name) {
			continue
		}
		list := st.Results()
		for _, v := range list {
			size += len(v)
		}
		if size > b.limits.AnswerBytes {
			a.Results, a.ResultsOmitted = nil, true
			break
		}
		a.Results = append(a.Results, Results{name, list})
	}
	b.detachOutputs(r)
	b.unorphanRun(r)
	b.deadlines.Remove(r.heapIndex)
	delete(b.runs, r.ID)
	b.releaseShape(r.Shape)
	b.answers[r.ID] = a
	b.answersByEnd = append(b.answersByEnd, a)
	b.trimResults()
}

// trimResults takes the results of the oldest answers, beyond those that may keep them. The
// answers themselves stay: an id must not begin a second run.
func (b *Tracker) trimResults() {
	for ; len(b.answersByEnd)-b.firstWithResults > b.limits.AnswersWithResults; b.firstWithResults++ {
		if a := b.answersByEnd[b.firstWithResults]; a.Results != nil {
			c := *a // answers that were given out stay as they were
			c.Results, c.ResultsOmitted = nil, true
			b.answersByEnd[b.firstWithResults], b.answers[a.Run] = &c, &c
		}
	}
}

// pruneAnswers drops what is kept no longer. Answers go in the order of their ends; one that
// is due waits for those before it, for Limits.Longest at the most.
func (b *Tracker) pruneAnswers(at time.Duration) {
	n := 0
	for n < len(b.answersByEnd) && b.answersByEnd[n].Until < at {
		delete(b.answers, b.answersByEnd[n].Run)
		n++
	}
	if n > 0 {
		b.answersByEnd = slices.Delete(b.answersByEnd, 0, n)
		b.firstWithResults = max(0, b.firstWithResults-n)
	}
	b.pruneOutputs(at)
}
