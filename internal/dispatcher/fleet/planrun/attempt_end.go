package planrun

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
)

// endAttempt takes in how the attempt in flight ended, and reports whether a loss that it
// reports was new, so that the output is made again.
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

// lateSuccess takes in that the last attempt at an item has succeeded after all. It is
// ignored for a stage that has gone on, and for an item that is being undone.
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

// failItem marks an item as permanently failed. Its stage may succeed without it.
func (b *Tracker) failItem(at time.Duration, r *Run, stage, item int, reason string) {
	t := &r.Stages[stage].Items[item].Job
	t.State = PermanentlyFailed
	if !b.canStillSucceed(r, stage) {
		b.giveUp(r, stage, cmp.Or(t.End, plan.Refused), reason)
		return
	}
	b.completeIfDone(at, r, stage)
}

// failItemLate is failItem for want of time.
func (b *Tracker) failItemLate(at time.Duration, r *Run, stage, item int) {
	r.Stages[stage].Items[item].Job.State = PermanentlyFailed
	if !b.canStillSucceed(r, stage) {
		b.giveUp(r, stage, plan.Late, "the rest could not end before the deadline")
		return
	}
	b.completeIfDone(at, r, stage)
}

// canStillSucceed reports whether enough items of a stage may still succeed.
func (b *Tracker) canStillSucceed(r *Run, stage int) bool {
	st, alive := &r.Stages[stage], 0
	for i := range st.Items {
		if st.Items[i].Job.State != PermanentlyFailed {
			alive++
		}
	}
	return alive >= r.shape.Stages[stage].requiredItems(st)
}

// completeIfDone completes a stage once every item has ended, well or badly: a generation
// never has two contents.
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

// giveUp ends a run's progress. From here on only undos are sent.
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

// ReportEnd takes in the end of an attempt: that of the attempt in flight, whichever
// process has the run now, and a plan.Done of the last one even after that was given up, as
// long as no other was sent. All other reports are ignored.
func (b *Tracker) ReportEnd(at time.Duration, c ReportEnd) (ReportEndReply, error) {
	at = b.advanceClock(at)
	r, err := b.findRun(c.Run)
	if err != nil {
		return ReportEndReply{Answer: b.Answer(c.Run)}, err
	}
	if c.Stage < 0 || c.Stage >= len(r.Stages) || c.Item < 0 || c.Item >= len(r.Stages[c.Stage].Items) || c.Undo && r.shape.Stages[c.Stage].Undo == nil {
		return ReportEndReply{}, ErrNotFound
	}
	if len(c.Result) > b.limits.ResultBytes || r.Bytes+len(c.Result) > b.limits.RunBytes || len(c.Member) > maxNameLength {
		return ReportEndReply{}, ErrTooLarge
	}
	it := &r.Stages[c.Stage].Items[c.Item]
	t := &it.Job
	if c.Undo {
		t = &it.Undo
	}
	if t.Attempt != c.Attempt || t.Fence != c.Fence {
		return ReportEndReply{}, nil
	}
	if l := c.Lost; !c.Undo && c.End == plan.Lost {
		at := -1
		if l != nil {
			r.shape.eachUpstream(c.Stage, func(i, u int) {
				if u == l.Stage && it.Inputs[i] == l.Generation {
					at = i
				}
			})
		}
		if at < 0 {
			return ReportEndReply{}, fmt.Errorf("a loss of what it was not given: %w", ErrNotFound)
		}
	}
	var reply ReportEndReply
	switch {
	case t.State == InFlight && c.Undo:
		reply.Accepted = true
		b.endUndo(at, r, c)
	case t.State == InFlight:
		reply.Accepted = true
		reply.NewLoss = b.endAttempt(at, r, c)
	case c.End == plan.Done && !c.Undo && t.MayHaveRun && t.End != plan.Done && t.State != Succeeded:
		reply.Accepted = b.lateSuccess(at, r, c)
	}
	b.finishIfDone(at, r)
	reply.Answer = b.Answer(c.Run)
	return reply, nil
}
