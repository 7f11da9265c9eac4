package engine

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/policy"
)

// minRetryDelay is the least delay that clients are told by a dispatcher that is overloaded itself.
const minRetryDelay = time.Second

// Submit takes a transaction. Its client is told exactly one final answer, or leaves first.
func (e *Engine) Submit(t *Transaction) {
	e.unanswered.Add(1)
	e.post(func() { e.submit(t) })
}

func (e *Engine) submit(t *Transaction) {
	e.stages.RecordAccepted(t, e.now)
	t.class = e.classNamed(t.Class)
	if t.class.Effect == policy.Deduplicated && t.Key == "" {
		t.class.Effect = policy.AtMostOnce // members know no repeat of it
	}
	// Its ClientLeft event is yet to come.
	if first := e.open[t.ID]; first != nil && first.Gone() {
		e.clientLeft(first)
	}
	if a := e.answerDuplicate(t); a != nil {
		e.unanswered.Add(-1)
		e.stages.RecordEnd(t, *a, e.now)
		t.Client.Answer(*a)
		return
	}
	e.open[t.ID] = t
	e.load.Open++
	e.load.Bytes += len(t.Body)
	load := e.load
	if e.delay.Overloaded() {
		load.RetryDelay = e.delay.RetryDelay(minRetryDelay)
	}
	if a := e.stages.Admit(t, load, e.now); a != nil {
		e.answer(t, *a)
		return
	}
	if e.closed || e.arrivedLate(t) && e.now.Add(t.Hint).After(e.stopsAt) {
		e.answer(t, Answer{Verdict: Refused, Reason: accounting.ShuttingDown, RetryAt: e.now})
		return
	}
	t.deadlineTimer = e.timers.schedule(t.Deadline.Add(answerGrace), func() { e.expire(t) })
	e.decisions.HandleRequest(e.clock(e.now), e.policyRequest(t))
}

// answerDuplicate returns the answer to a transaction whose id is that of another that is open, or
// was closed early: the policy would ignore it, and its attempt could run beside the other's. It may
// come again once the other is cancelled, where running twice is harmless; else it is denied. Nil: its
// id is its own.
func (e *Engine) answerDuplicate(t *Transaction) *Answer {
	first, left := e.closedEarly[t.ID]
	if left = left && e.now.Before(first.until); e.open[t.ID] == nil && !left {
		return nil
	}
	if t.mayHaveRunSince = first.mayHaveRunSince; left && e.mayRunAgain(t) {
		back := e.now.Add(e.settings.Limits.MaxRetryAfter)
		if back.After(first.until) {
			back = first.until
		}
		return &Answer{Verdict: Refused, Reason: accounting.Declined, RetryAt: back}
	}
	const text = "this id is in hand already\n"
	return &Answer{Verdict: Denied, Reason: accounting.DuplicateID, Body: []byte(text)}
}

// classNamed returns a class as the settings have it now.
func (e *Engine) classNamed(name string) policy.Class {
	for _, class := range e.settings.Classes {
		if class.Name == name {
			return class
		}
	}
	// Gone with a reload since the transaction was taken in: nothing is promised of it.
	return policy.Class{Effect: policy.AtMostOnce}
}

// policyRequest is what the policy is told of a transaction, on its clock.
func (e *Engine) policyRequest(t *Transaction) policy.Request {
	r := e.stages.Route(t)
	r.Deadline, r.NoDedupKey = e.clock(t.Deadline), t.Key == ""
	if m := e.members[t.ExcludedMember]; m != nil {
		if r.ExcludedWorker = m.number; t.ExcludeItsZone {
			r.ExcludedZone = m.Zone
		}
	}
	return r
}
