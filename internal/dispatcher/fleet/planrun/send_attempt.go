package planrun

import (
	"slices"
	"time"
)

// SendAttempt accepts or refuses an attempt. If the run has no attempts left for it, or not
// enough time before its deadline, the item fails permanently, and the run gives up if it
// can't succeed without that item.
func (t *Tracker) SendAttempt(at time.Duration, c SendAttempt) (SendAttemptReply, error) {
	at = t.advanceClock(at)
	r, err := t.ownedRun(c.Run, c.Fence)
	if err != nil {
		return SendAttemptReply{}, err
	}
	if c.Stage < 0 || c.Stage >= len(r.Stages) || c.Item < 0 || c.Item >= len(r.Stages[c.Stage].Items) {
		return SendAttemptReply{}, ErrNotFound
	}
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	it := &st.Items[c.Item]
	execution, effect := &it.Job, sh.Effect
	if c.Undo {
		if sh.Undo == nil {
			return SendAttemptReply{}, ErrNotFound
		}
		execution, effect = &it.Undo, sh.Undo.Effect
	}
	switch {
	case execution.State == InFlight && execution.Fence == c.Fence && execution.Attempt == c.Attempt:
		return SendAttemptReply{Again: true}, nil
	case execution.State == InFlight:
		return SendAttemptReply{}, ErrInFlight
	case !maySendAgain(effect, execution.MayHaveRun):
		return SendAttemptReply{}, ErrAtMostOnce
	case execution.State != Pending:
		return SendAttemptReply{}, ErrSettled
	case c.Attempt != execution.Attempt+1:
		return SendAttemptReply{}, ErrWrongAttempt
	case at < execution.NotBefore:
		return SendAttemptReply{}, ErrTooEarly
	}
	if c.Undo {
		if r.GaveUp == nil || r.hasJobsInFlight() || r.nextUndoStage(r.shape) != c.Stage || !sh.needsUndo(it) {
			return SendAttemptReply{}, ErrStale
		}
	} else if err := t.checkSend(at, r, c); err != nil {
		t.finishIfDone(at, r)
		return SendAttemptReply{}, err
	}
	r.AttemptsUsed++
	*execution = Execution{State: InFlight, Attempt: c.Attempt, Fence: c.Fence, SentAt: at, End: execution.End, MayHaveRun: true, MayHaveRunBefore: execution.MayHaveRun}
	if !c.Undo {
		it.Generation, it.Inputs = st.Generation, slices.Clone(c.Inputs)
	}
	return SendAttemptReply{}, nil
}

// checkSend checks an attempt at a stage against the current inputs, the number of attempts
// and the deadline of the run. An item that is out of attempts or time fails permanently.
func (t *Tracker) checkSend(at time.Duration, r *Run, c SendAttempt) error {
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	switch o := t.outputs[st.SharedKey]; {
	case r.GaveUp != nil:
		return ErrGivenUp
	case !st.Opened || !r.inputsReady(r.shape, c.Stage) || c.Generation != st.Generation || !slices.Equal(c.Inputs, r.inputGenerations(r.shape, c.Stage)):
		return ErrStale
	case sh.Shared && (o == nil || !o.isOwnedBy(r, c.Stage)):
		return ErrProducedElsewhere
	case st.Complete:
		return ErrSettled
	}
	own := 1
	if sh.Undo != nil && !sh.Shared && !st.Items[c.Item].Job.MayHaveRun {
		own += sh.Undo.MaxTries
	}
	switch {
	case r.AttemptsUsed+own+r.reservedUndoAttempts(r.shape) > r.shape.MaxAttempts:
		t.failItem(at, r, c.Stage, c.Item, "no attempts left")
		return ErrSettled
	case at+max(c.RemainingTime, 0) >= r.Deadline:
		t.failItemLate(at, r, c.Stage, c.Item)
		return ErrSettled
	}
	return nil
}
