package planrun

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
)

// endAttempt records the end of the attempt in flight. It reports whether that end reports
// a loss that was not known before, so that the output is produced again.
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
	if it.Generation != st.Generation || st.Complete { // its inputs have been replaced since, or another run has produced the output
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

// endAttemptWithLoss records the end of an attempt that reports a lost input. It reports
// whether the loss was not known before.
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

// retryItem schedules a retry by the first rule that names the end. It reports whether there
// is such a rule and it has a retry left.
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

// succeedItem records that an item has succeeded, with its result.
func (t *Tracker) succeedItem(at time.Duration, r *Run, c ReportEnd) {
	it := &r.Stages[c.Stage].Items[c.Item]
	it.Job.State, it.Job.End, it.Result = Succeeded, plan.Done, c.Result
	r.Bytes += len(c.Result)
	t.completeIfDone(at, r, c.Stage)
}

// lateSuccess records that the last attempt at an item has succeeded, though it was given up
// before. It does nothing for a stage that is complete or has a newer generation, and for an
// item whose undo has begun. It reports whether it recorded the success.
func (t *Tracker) lateSuccess(at time.Duration, r *Run, c ReportEnd) bool {
	st := &r.Stages[c.Stage]
	it := &st.Items[c.Item]
	if it.Generation != st.Generation || st.Complete || it.Undo.Attempt > 0 {
		return false
	}
	if r.GaveUp != nil { // the result is recorded; the decision to give up stands
		it.Job.State, it.Job.End, it.Result = Succeeded, plan.Done, c.Result
		r.Bytes += len(c.Result)
		return true
	}
	t.succeedItem(at, r, c)
	return true
}

// failItem marks an item as permanently failed. The run gives up unless the stage can still
// succeed without the item.
func (t *Tracker) failItem(at time.Duration, r *Run, stage, item int, reason string) {
	execution := &r.Stages[stage].Items[item].Job
	execution.State = PermanentlyFailed
	if !t.canStillSucceed(r, stage) {
		t.giveUp(r, stage, cmp.Or(execution.End, plan.Refused), reason)
		return
	}
	t.completeIfDone(at, r, stage)
}

// failItemLate is failItem for an item that can't end before the run's deadline.
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

// completeIfDone completes a stage once every item has succeeded or failed permanently, and
// not before: the results of a generation never change.
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

// giveUp records why a run gives up. From then on only undos are sent. The reason is part of
// the replicated state: with a changed text, replicas of different versions would differ.
func (t *Tracker) giveUp(r *Run, stage int, end plan.End, reason string) {
	if r.GaveUp != nil {
		return
	}
	if len(reason) > t.limits.ReasonSize {
		reason = reason[:t.limits.ReasonSize]
	}
	r.GaveUp = &GiveUp{stage, end, reason}
	t.deadlines.Remove(r.heapIndex) // at once: what is due, and in which order, must follow from the encoded state
	r.dueAt = r.Deadline + t.limits.Grace
	t.deadlines.Push(r)
	t.detachOutputs(r)
}

// endUndo records the end of an undo's attempt.
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

// ReportEnd records the end of an attempt. It accepts the end of the attempt in flight,
// whichever process coordinates the run now. It also accepts a plan.Done of the last attempt
// after another end of it was recorded, as long as no further attempt was sent. It ignores
// all other reports.
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
