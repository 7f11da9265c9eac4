package engine

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/policy"
)

// answerGrace is how long after the deadline the engine answers a transaction that the policy has not.
const answerGrace = 10 * time.Millisecond

// Unanswered returns how many submitted transactions have no final answer.
func (e *Engine) Unanswered() int { return int(e.unanswered.Load()) }

// OpenCounts returns the number of open transactions by front and class, counted from the table of open
// transactions, and the number of flows that have not ended. It may be called by Run's goroutine only,
// such as in Do.
func (e *Engine) OpenCounts() (open accounting.OpenCounts, flows int64) {
	open = make(accounting.OpenCounts)
	for _, t := range e.open {
		if !t.answered {
			open[[2]string{t.Front, t.Class}]++
		}
	}
	return open, e.flowsOut
}

// mayRunAgain reports whether a client may retry a transaction that has no result: either no attempt can
// have run, or its class allows it to run twice. Such a transaction is refused, not failed, as the policy
// does itself.
func (e *Engine) mayRunAgain(t *Transaction) bool {
	since := t.mayHaveRunSince
	if since.IsZero() && t.liveFlow != nil {
		since = t.liveFlow.SentAt
	}
	switch {
	case since.IsZero(), t.class.Effect == policy.Idempotent:
		return true
	case t.class.Effect == policy.Deduplicated && t.class.DedupScope == policy.DedupAll:
		// The retry must arrive while members still remember the key.
		return e.now.Add(e.settings.Limits.MaxRetryAfter).Before(since.Add(t.class.DedupWindow))
	}
	return false
}

// ClientLeft closes a transaction whose client has disconnected. The transaction gets no answer.
func (e *Engine) ClientLeft(t *Transaction) {
	e.post(func() { e.clientLeft(t) })
}

func (e *Engine) clientLeft(t *Transaction) {
	if t.answered || e.open[t.ID] != t {
		return
	}
	e.rememberClosed(t)
	e.closeTransaction(t)
	e.stages.RecordEnd(t, Answer{Verdict: Failed, Reason: accounting.ClientLeft}, e.now)
	e.decisions.HandleClientGone(e.clock(e.now), t.ID)
}

// expire answers a transaction that the policy has not answered by its deadline. A late answer would break
// the platform's rule, and without an answer the client would keep waiting.
func (e *Engine) expire(t *Transaction) {
	if t.answered {
		return
	}
	e.log.Error("no final answer by the deadline", "transaction", t.ID)
	a := Answer{Verdict: Failed, Reason: accounting.DeadlinePassed}
	if e.mayRunAgain(t) {
		a = Answer{Verdict: Refused, Reason: accounting.Declined, RetryAt: e.now}
	}
	e.answer(t, a)
	e.decisions.HandleClientGone(e.clock(e.now), t.ID)
}

// answer sends a transaction its one final answer.
func (e *Engine) answer(t *Transaction, a Answer) {
	if t.answered {
		return
	}
	a.Attempts, a.MayHaveRun = t.attempts, !t.mayHaveRunSince.IsZero() || t.liveFlow != nil
	a.LastStatus, a.LastMember, a.MemberError = t.lastStatus, t.lastMember, t.memberError
	a.MembersTried = t.membersTried
	if t.liveFlow != nil {
		e.rememberClosed(t)
	}
	e.closeTransaction(t)
	e.stages.RecordEnd(t, a, e.now)
	t.Client.Answer(a)
}

// closeTransaction marks a transaction as answered, or as needing no answer.
func (e *Engine) closeTransaction(t *Transaction) {
	t.answered = true
	e.timers.cancel(t.deadlineTimer)
	e.load.Open--
	e.load.Bytes -= len(t.Body)
	e.unanswered.Add(-1)
	e.forgetIfDone(t)
}

// forgetIfDone drops a transaction that is answered and has no live flow.
func (e *Engine) forgetIfDone(t *Transaction) {
	if t.answered && t.liveFlow == nil && e.open[t.ID] == t {
		delete(e.open, t.ID)
	}
}

// rememberClosed keeps the id of a transaction that is closed, by an answer or because its client has left,
// while a flow is live or after an attempt that must not be repeated. The flow ends in the engine at once,
// but its member is informed later. If a client whose connection was closed sent the same id on another
// connection in that time, two attempts could run at once, or an attempt could be repeated that must not be.
func (e *Engine) rememberClosed(t *Transaction) {
	if t.liveFlow == nil && e.mayRunAgain(t) {
		return
	}
	since := t.mayHaveRunSince
	if since.IsZero() {
		since = t.liveFlow.SentAt
	}
	id, until := t.ID, e.now.Add(abandonDelay)
	e.closedEarly[id] = closedTransaction{until, since}
	e.timers.schedule(until, func() {
		if !e.now.Before(e.closedEarly[id].until) {
			delete(e.closedEarly, id)
		}
	})
}

// abandonDelay is the longest time until a member is informed that a flow is abandoned.
const abandonDelay = 2 * time.Second

// closedTransaction is the record of a transaction that was closed early; see rememberClosed.
type closedTransaction struct {
	until           time.Time // when the record is dropped
	mayHaveRunSince time.Time // when its first attempt that may have run was sent
}

// dedupMargin is how long before the end of its key's window a repeat must have reached its member: it may
// take longer on the network than the first attempt did.
const dedupMargin = 50 * time.Millisecond

// latestSend returns the time by which the next flow of a transaction must have reached its member; zero:
// no limit. The window of a key begins with the first flow that may have run, at the earliest when that
// flow was sent.
func (t *Transaction) latestSend() time.Time {
	if t.class.Effect != policy.Deduplicated || t.mayHaveRunSince.IsZero() {
		return time.Time{}
	}
	return t.mayHaveRunSince.Add(t.class.DedupWindow - dedupMargin)
}
