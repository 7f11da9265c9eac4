package engine

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/policy"
)

// answerGrace is how long after the deadline the engine answers for the policy.
const answerGrace = 10 * time.Millisecond

// Unanswered returns how many transactions were taken and have no final answer.
func (e *Engine) Unanswered() int { return int(e.unanswered.Load()) }

// OpenCounts counts the open transactions by front and class, from the table of open transactions
// alone, and the flows that have not ended. It may be called by Run's goroutine only, such as in Do.
func (e *Engine) OpenCounts() (open accounting.OpenCounts, flows int64) {
	open = make(accounting.OpenCounts)
	for _, t := range e.open {
		if !t.answered {
			open[[2]string{t.Front, t.Class}]++
		}
	}
	return open, e.flowsOut
}

// mayRunAgain reports whether a client may retry a transaction that has no result: no attempt may have
// run, or its class lets it run twice. Such a one is refused, not failed, as the policy itself does.
func (e *Engine) mayRunAgain(t *Transaction) bool {
	since := t.mayHaveRunSince
	if since.IsZero() && t.liveFlow != nil {
		since = t.liveFlow.SentAt
	}
	switch {
	case since.IsZero(), t.class.Effect == policy.Idempotent:
		return true
	case t.class.Effect == policy.Deduplicated && t.class.DedupScope == policy.DedupAll:
		// If the key is still known when it comes again.
		return e.now.Add(e.settings.Limits.MaxRetryAfter).Before(since.Add(t.class.DedupWindow))
	}
	return false
}

// ClientLeft tells that the client of a transaction has gone: it is owed no answer.
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

// expire answers for the policy a transaction that has none after the deadline: an answer too late
// would break the rule, and a lost one would leave the client waiting.
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

// answer gives a transaction its one final answer.
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

// closeTransaction marks a transaction as done with its client.
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

// rememberClosed keeps the id of a transaction that is closed, by an answer or as its client has left,
// while a flow is live, or after an attempt that must not be repeated. The flow ends here at once, and
// its member learns of it later: a client that sends the same id again on another connection
// meanwhile, as one does whose connection was closed, would have two attempts at once, or one too
// many.
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

// abandonDelay is how long a member may take to learn that a flow is abandoned.
const abandonDelay = 2 * time.Second

// closedTransaction is what is remembered of a transaction that was closed early.
type closedTransaction struct {
	until           time.Time // it is forgotten then
	mayHaveRunSince time.Time // the send of its first attempt that may have run
}

// dedupMargin is by how much sooner than the window of its key ends a repeat has to be with its
// member: the way there may take longer than the first one's did.
const dedupMargin = 50 * time.Millisecond

// latestSend is when the next flow of a transaction must have reached its member; zero: no matter. The
// window of a key counts from the first flow that may have run, at the soonest from its send.
func (t *Transaction) latestSend() time.Time {
	if t.class.Effect != policy.Deduplicated || t.mayHaveRunSince.IsZero() {
		return time.Time{}
	}
	return t.mayHaveRunSince.Add(t.class.DedupWindow - dedupMargin)
}
