package engine

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/policy"
)

// minRetryDelay is the shortest retry delay that a dispatcher states while it is overloaded itself.
const minRetryDelay = time.Second

// Submit submits a transaction. Its client gets exactly one final answer, unless it leaves first.
func (e *Engine) Submit(t *Transaction) {
	e.unanswered.Add(1)
	e.post(func() { e.submit(t) })
}

func (e *Engine) submit(t *Transaction) {
	e.stages.RecordAccepted(t, e.now)
	t.class = e.classNamed(t.Class)
	if t.class.Effect == policy.Deduplicated && t.Key == "" {
		t.class.Effect = policy.AtMostOnce // members can't recognise a repeat without a key
	}
	// The first client has left, but its ClientLeft event has not arrived yet.
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

// answerDuplicate returns the answer to a transaction whose id is that of another one that is open or was
// closed early, or nil if the id is not in use. The policy would ignore such a transaction, and its attempt
// could run at the same time as the other's. If the other was closed early and running twice is harmless,
// the answer is a refusal, with a retry once the other is cancelled; otherwise the transaction is denied.
func (e *Engine) answerDuplicate(t *Transaction) *Answer {
	first, closed := e.closedEarly[t.ID]
	if closed = closed && e.now.Before(first.until); e.open[t.ID] == nil && !closed {
		return nil
	}
	if t.mayHaveRunSince = first.mayHaveRunSince; closed && e.mayRunAgain(t) {
		back := e.now.Add(e.settings.Limits.MaxRetryAfter)
		if back.After(first.until) {
			back = first.until
		}
		return &Answer{Verdict: Refused, Reason: accounting.Declined, RetryAt: back}
	}
	const text = "this id is in hand already\n"
	return &Answer{Verdict: Denied, Reason: accounting.DuplicateID, Body: []byte(text)}
}

// classNamed returns the current settings of a class.
func (e *Engine) classNamed(name string) policy.Class {
	for _, class := range e.settings.Classes {
		if class.Name == name {
			return class
		}
	}
	// A reload has removed the class since the transaction was accepted: assume the strictest effect.
	return policy.Class{Effect: policy.AtMostOnce}
}

// policyRequest returns the policy's request for a transaction, with its deadline on the policy's clock.
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
