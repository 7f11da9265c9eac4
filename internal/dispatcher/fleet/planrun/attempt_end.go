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
func (t *Tracker) endAttempt(at time.Duration, r *Run, c ReportEnd) (newLoss bool) {
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	it := &st.Items[c.Item]
	execution := &it.Job
	execution.State, execution.End, execution.NotBefore, it.Member = Pending, c.End, at, c.Member
	if !c.End.MayHaveRun() {
		execution.MayHaveRun = execution.MayHaveRunBefore
	}
	if r.GaveUp != nil {
		execution.State = PermanentlyFailed
		if c.End == plan.Done && it.Generation == st.Generation {
			execution.State, it.Result = Succeeded, c.Result
			r.Bytes += len(c.Result)
		}
		return false
	}
	if c.End == plan.Lost {
		return t.endAttemptWithLoss(at, r, c)
	}
	if it.Generation != st.Generation || st.Complete { // what it was given has gone since, or another run made the output
		return false
	}
	if c.End == plan.Done {
		t.succeedItem(at, r, c)
		return false
	}
	if !maySendAgain(sh.Effect, execution.MayHaveRun) {
		t.failItem(at, r, c.Stage, c.Item, "it must never run twice")
		return false
	}
	if !t.retryItem(at, r, c) {
		t.failItem(at, r, c.Stage, c.Item, "no rule covers this end, or no try is left")
	}
	return false
}

// endAttemptWithLoss takes in that an attempt reports a lost input, and reports whether
// that was new.
func (t *Tracker) endAttemptWithLoss(at time.Duration, r *Run, c ReportEnd) (newLoss bool) {
	if c.Lost.Generation > r.Stages[c.Lost.Stage].LostThrough {
		if !t.rerunAllowed(r, c) {
			t.failItem(at, r, c.Stage, c.Item, "no rule covers this end, or no rerun is left")
			return false
		}
		newLoss = t.loseOutput(r, c.Lost.Stage, c.Lost.Generation)
	}
	if r.GaveUp == nil && !maySendAgain(r.shape.Stages[c.Stage].Effect, r.Stages[c.Stage].Items[c.Item].Job.MayHaveRun) {
		t.failItem(at, r, c.Stage, c.Item, "it must never run twice")
	}
	return newLoss
}

// retryItem schedules a retry by the first rule that names the end, and reports whether
// that has a retry left.
func (t *Tracker) retryItem(at time.Duration, r *Run, c ReportEnd) bool {
	sh, it := &r.shape.Stages[c.Stage], &r.Stages[c.Stage].Items[c.Item]
	for i := range sh.Retries {
		q := &sh.Retries[i]
		if !slices.Contains(q.On, c.End) {
			continue
		}
		if it.RetriesUsed == nil {
			it.RetriesUsed = make([]int, len(sh.Retries))
		}
		if it.RetriesUsed[i] >= q.MaxRetries {
			return false
		}
		it.Job.NotBefore = at + q.delay(r.Seed, c.Stage, c.Item, it.Job.Attempt, it.RetriesUsed[i])
		it.RetriesUsed[i]++
		if it.RetryPlace = q.Where; it.Job.NotBefore >= r.Deadline {
			t.failItemLate(at, r, c.Stage, c.Item)
		}
		return true
	}
	return false
}

// succeedItem takes in the result of an item.
func (t *Tracker) succeedItem(at time.Duration, r *Run, c ReportEnd) {
	it := &r.Stages[c.Stage].Items[c.Item]
	it.Job.State, it.Job.End, it.Result = Succeeded, plan.Done, c.Result
	r.Bytes += len(c.Result)
	t.completeIfDone(at, r, c.Stage)
}

// lateSuccess takes in that the last attempt at an item has succeeded after all. It is
// ignored for a stage that has gone on, and for an item that is being undone.
func (t *Tracker) lateSuccess(at time.Duration, r *Run, c ReportEnd) bool {
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
	t.succeedItem(at, r, c)
	return true
}

// failItem marks an item as permanently failed. Its stage may succeed without it.
func (t *Tracker) failItem(at time.Duration, r *Run, stage, item int, reason string) {
	execution := &r.Stages[stage].Items[item].Job
	execution.State = PermanentlyFailed
	if !t.canStillSucceed(r, stage) {
		t.giveUp(r, stage, cmp.Or(execution.End, plan.Refused), reason)
		return
	}
	t.completeIfDone(at, r, stage)
}

// failItemLate is failItem for want of time.
func (t *Tracker) failItemLate(at time.Duration, r *Run, stage, item int) {
	r.Stages[stage].Items[item].Job.State = PermanentlyFailed
	if !t.canStillSucceed(r, stage) {
		t.giveUp(r, stage, plan.Late, "the rest could not end before the deadline")
		return
	}
	t.completeIfDone(at, r, stage)
}

// canStillSucceed reports whether enough items of a stage may still succeed.
func (t *Tracker) canStillSucceed(r *Run, stage int) bool {
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
func (t *Tracker) completeIfDone(at time.Duration, r *Run, stage int) {
	st := &r.Stages[stage]
	if st.Complete || r.GaveUp != nil {
		return
	}
	if !t.canStillSucceed(r, stage) {
		t.giveUp(r, stage, plan.Failed, "fewer items than must end well")
		return
	}
	for i := range st.Items {
		if st.Items[i].Job.State < Succeeded {
			return
		}
	}
	st.Complete = true
	t.publishOutput(at, r, stage)
}

// giveUp ends a run's progress. From here on only undos are sent.
func (t *Tracker) giveUp(r *Run, stage int, end plan.End, reason string) {
	if r.GaveUp != nil {
		return
	}
	if len(reason) > t.limits.ReasonSize {
		reason = reason[:t.limits.ReasonSize]
	}
	r.GaveUp = &GiveUp{stage, end, reason}
	t.deadlines.Remove(r.heapIndex) // at once: what falls due, and in which order, follows from the encoded state
	r.dueAt = r.Deadline + t.limits.Grace
	t.deadlines.Push(r)
	t.detachOutputs(r)
}

// endUndo takes in how an undo ended.
func (t *Tracker) endUndo(at time.Duration, r *Run, c ReportEnd) {
	u := r.shape.Stages[c.Stage].Undo
	execution := &r.Stages[c.Stage].Items[c.Item].Undo
	execution.State, execution.End, execution.NotBefore = Pending, c.End, at+u.Wait
	if !c.End.MayHaveRun() {
		execution.MayHaveRun = execution.MayHaveRunBefore
	}
	switch {
	case c.End == plan.Done:
		execution.State = Succeeded
	case !maySendAgain(u.Effect, execution.MayHaveRun) || int(execution.Attempt) >= u.MaxTries:
		execution.State = PermanentlyFailed
	}
}

// ReportEnd takes in the end of an attempt: that of the attempt in flight, whichever
// process has the run now, and a plan.Done of the last one even after that was given up, as
// long as no other was sent. All other reports are ignored.
func (t *Tracker) ReportEnd(at time.Duration, c ReportEnd) (ReportEndReply, error) {
	at = t.advanceClock(at)
	r, err := t.findRun(c.Run)
	if err != nil {
		return ReportEndReply{Answer: t.Answer(c.Run)}, err
	}
	if c.Stage < 0 || c.Stage >= len(r.Stages) || c.Item < 0 || c.Item >= len(r.Stages[c.Stage].Items) || c.Undo && r.shape.Stages[c.Stage].Undo == nil {
		return ReportEndReply{}, ErrNotFound
	}
	if len(c.Result) > t.limits.ResultBytes || r.Bytes+len(c.Result) > t.limits.RunBytes || len(c.Member) > maxNameLength {
		return ReportEndReply{}, ErrTooLarge
	}
	it := &r.Stages[c.Stage].Items[c.Item]
	execution := &it.Job
	if c.Undo {
		execution = &it.Undo
	}
	if execution.Attempt != c.Attempt || execution.Fence != c.Fence {
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
	case execution.State == InFlight && c.Undo:
		reply.Accepted = true
		t.endUndo(at, r, c)
	case execution.State == InFlight:
		reply.Accepted = true
		reply.NewLoss = t.endAttempt(at, r, c)
	case c.End == plan.Done && !c.Undo && execution.MayHaveRun && execution.End != plan.Done && execution.State != Succeeded:
		reply.Accepted = t.lateSuccess(at, r, c)
	}
	t.finishIfDone(at, r)
	reply.Answer = t.Answer(c.Run)
	return reply, nil
}
