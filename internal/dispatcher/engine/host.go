package engine

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/policy"
)

// host is the module's side of the core. The module calls it while it handles
// an event; nothing here calls back into it before that is done.
type host struct{ engine *Engine }

// Send implements basaltloft.Host. The module's spans become points in time here, and
// nowhere else.
func (h host) Send(id string, worker uint32, timeout time.Duration) {
	c := h.engine
	t, m := c.open[id], c.membersByNumber[worker]
	if t == nil || m == nil || t.answered || t.liveFlow != nil {
		// The ledger's guard on "never two at once": what may not go out is
		// told as never sent, which is what the simulator does.
		c.log.WithField("transaction", id).Error("a send that the ledger does not allow")
		h.reportNotSent(t, worker)
		return
	}
	if t.Gone() { // and Leave is still under way
		c.deferred = append(c.deferred, func() { c.clientLeft(t) })
		h.reportNotSent(t, worker)
		return
	}
	latest := t.latestSend()
	if !latest.IsZero() && !c.now.Before(latest) { // its key may be forgotten by the time that it is there
		h.reportNotSent(t, worker)
		return
	}
	until := t.Deadline
	if timeout != 0 {
		until = c.now.Add(timeout)
	}
	var place Reservation
	if c.sharedBudget != nil {
		var ok bool
		if place, ok = c.sharedBudget.Reserve(m.Kind, until); !ok { // its share went since the decisions looked
			h.reportNotSent(t, worker)
			return
		}
	}
	f := c.stages.NewFlow(t, m, t.attempts, c.now, until)
	f.LatestSend = latest
	t.attempts++
	t.liveFlow, t.lastMember, f.reservation = f, m.ID, place
	if c.recordMembers {
		t.membersTried = append(t.membersTried, m.ID)
	}
	c.flowsOut++
	f.deadlineTimer = c.timers.schedule(f.Deadline, func() {
		if !f.ended {
			m.Transport.Abandon(f)
			c.endFlow(f, policy.TimedOut, nil)
		}
	})
	c.trace("sent", f.fields)
	m.Transport.Start(f)
}

// reportNotSent tells the decisions that a send did not go out.
func (h host) reportNotSent(t *Transaction, worker uint32) {
	if t == nil {
		return
	}
	c, n := h.engine, t.attempts
	t.attempts++
	c.deferred = append(c.deferred, func() {
		c.decisions.HandleAttemptResult(c.clock(c.now), policy.AttemptResult{Request: t.ID, Attempt: n, Worker: worker, Status: policy.NotSent, Final: t.answered})
	})
}

// budgetRecorder notes on a transaction that another attempt was not to be had.
type budgetRecorder struct {
	engine *Engine
	SharedBudget
}

// TakeRetry implements basaltloft.Purse.
func (p budgetRecorder) TakeRetry(id, class string) bool {
	ok := p.SharedBudget.TakeRetry(id, class)
	if t := p.engine.open[id]; t != nil {
		t.budgetSpent = !ok
	}
	return ok
}

// Refuse implements basaltloft.Host.
func (h host) Refuse(id string, retryAfter time.Duration) {
	if t := h.engine.open[id]; t != nil {
		a := Answer{Verdict: Refused, Reason: accounting.Declined, Ran: t.attempts > 0 && t.lastStatus == policy.Error}
		if retryAfter > 0 {
			a.RetryAt = h.engine.now.Add(retryAfter)
		}
		if t.budgetSpent {
			a.Reason, a.RetryAt = accounting.BudgetSpent, h.engine.sharedBudget.RetryTime(t.Class, h.engine.now)
		}
		h.engine.answer(t, a)
	}
}

// Fail implements basaltloft.Host.
func (h host) Fail(id string) {
	if t := h.engine.open[id]; t != nil {
		a := Answer{Verdict: Failed, Reason: accounting.GivenUp}
		switch {
		case !h.engine.now.Before(t.Deadline):
			a.Reason = accounting.DeadlinePassed
		case t.attempts > 0 && t.lastStatus == policy.Error:
			a.Reason = accounting.MemberError
		}
		h.engine.answer(t, a)
	}
}

// Cancel implements basaltloft.Host.
func (h host) Cancel(id string, number int) {
	c := h.engine
	t := c.open[id]
	if t == nil || t.liveFlow == nil || t.liveFlow.Number != number {
		return
	}
	f := t.liveFlow
	if !t.answered {
		f.Member.Transport.Recall(f)
		return
	}
	f.Member.Transport.Abandon(f)
	c.deferred = append(c.deferred, func() { c.endFlow(f, policy.Cancelled, nil) })
}

// Probe implements basaltloft.Host.
func (h host) Probe(worker uint32) {
	if m := h.engine.membersByNumber[worker]; m != nil {
		h.engine.trace("probed", m.fields)
		m.Transport.Probe(m)
	}
}

// coalesceFrom is how many flows are out when the module's timers begin to be told
// together.
const coalesceFrom = 64

// Timer implements basaltloft.Host. Where many flows are out, timers of one token
// that are due within the same millisecond are told once: each makes the module
// look at all that is out, and there are several for each send, so that told one
// by one they took all the time there was with some hundred members (without this,
// with the module's sampled search, 512 members still had 2% served). With few out
// each is told at its own time.
func (h host) Timer(in time.Duration, token string) {
	c := h.engine
	if c.flowsOut < coalesceFrom {
		c.timers.schedule(time.Now().Add(in), func() { c.decisions.HandleTimer(c.clock(c.now), token) })
		return
	}
	due := timerKey{time.Now().Add(in+time.Millisecond-1).Sub(c.base) / time.Millisecond, token}
	if c.pendingTimers[due] {
		return
	}
	c.pendingTimers[due] = true
	c.timers.schedule(c.base.Add(due.dueMS*time.Millisecond), func() {
		delete(c.pendingTimers, due)
		c.decisions.HandleTimer(c.clock(c.now), token)
	})
}

// timerKey is a timer of the module's: milliseconds since the core's start, and
// its token.
type timerKey struct {
	dueMS time.Duration
	token string
}

// Watch implements basaltloft.Host.
func (h host) Watch(on bool) { h.engine.lister.Watch(on) }

// Fetch implements basaltloft.Host.
func (h host) Fetch() { h.engine.lister.Fetch() }

// Log implements basaltloft.Host.
func (h host) Log(text string) { h.engine.log.Info(text) }
