package engine

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/policy"
)

// host implements policy.Host. The policy calls it while it handles an event. The methods of host don't
// call the policy back during that event: they defer such calls to after it.
type host struct{ engine *Engine }

// Send implements policy.Host.
func (h host) Send(id string, worker uint32, timeout time.Duration) {
	e := h.engine
	t, m := e.open[id], e.membersByNumber[worker]
	if t == nil || m == nil || t.answered || t.liveFlow != nil {
		// A transaction has one live flow at a time. A send that is not allowed is reported as never
		// sent, as the simulator does.
		e.log.Error("send refused: the transaction is unknown, answered or has a live flow", "transaction", id)
		h.reportNotSent(t, worker)
		return
	}
	if t.Gone() { // the client has left, but its ClientLeft event has not arrived yet
		e.deferred = append(e.deferred, func() { e.clientLeft(t) })
		h.reportNotSent(t, worker)
		return
	}
	latest := t.latestSend()
	if !latest.IsZero() && !e.now.Before(latest) { // the member may have forgotten its key when it arrives
		h.reportNotSent(t, worker)
		return
	}
	until := t.Deadline
	if timeout != 0 {
		until = e.now.Add(timeout)
	}
	var reservation Reservation
	if e.sharedBudget != nil {
		var ok bool
		if reservation, ok = e.sharedBudget.Reserve(m.Kind, until); !ok { // the budget was spent after the policy checked it
			h.reportNotSent(t, worker)
			return
		}
	}
	f := e.stages.NewFlow(t, m, t.attempts, e.now, until)
	f.LatestSend = latest
	t.attempts++
	t.liveFlow, t.lastMember, f.reservation = f, m.ID, reservation
	if e.recordMembers {
		t.membersTried = append(t.membersTried, m.ID)
	}
	e.flowsOut++
	f.deadlineTimer = e.timers.schedule(f.Deadline, func() {
		if !f.ended {
			m.Transport.Abandon(f)
			e.endFlow(f, policy.TimedOut, nil)
		}
	})
	e.trace("sent", f.attrs)
	m.Transport.Start(f)
}

// reportNotSent reports to the policy that a send did not go out.
func (h host) reportNotSent(t *Transaction, worker uint32) {
	if t == nil {
		return
	}
	e, n := h.engine, t.attempts
	t.attempts++
	e.deferred = append(e.deferred, func() {
		e.decisions.HandleAttemptResult(e.clock(e.now), policy.AttemptResult{
			Request: t.ID, Attempt: n, Worker: worker, Status: policy.NotSent, Final: t.answered,
		})
	})
}

// Refuse implements policy.Host.
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

// Fail implements policy.Host.
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

// Cancel implements policy.Host.
func (h host) Cancel(id string, number int) {
	e := h.engine
	t := e.open[id]
	if t == nil || t.liveFlow == nil || t.liveFlow.Number != number {
		return
	}
	f := t.liveFlow
	if !t.answered {
		f.Member.Transport.Recall(f)
		return
	}
	f.Member.Transport.Abandon(f)
	e.deferred = append(e.deferred, func() { e.endFlow(f, policy.Cancelled, nil) })
}

// Probe implements policy.Host.
func (h host) Probe(worker uint32) {
	if m := h.engine.membersByNumber[worker]; m != nil {
		h.engine.trace("probed", m.attrs)
		m.Transport.Probe(m)
	}
}

// coalesceFrom is the number of flows in flight from which the policy's timers are coalesced.
const coalesceFrom = 64

// Timer implements policy.Host. With many flows in flight, timers of one token that are due within the same
// millisecond fire as one. Each timer makes the policy check all flows, and there are several timers for
// each send: without coalescing they took all the processor's time with some hundred members (with 512
// members, 2% of the jobs were served). With few flows each timer fires at its own time.
func (h host) Timer(in time.Duration, token string) {
	e := h.engine
	if e.flowsOut < coalesceFrom {
		e.timers.schedule(time.Now().Add(in), func() { e.decisions.HandleTimer(e.clock(e.now), token) })
		return
	}
	key := timerKey{time.Now().Add(in+time.Millisecond-1).Sub(e.base) / time.Millisecond, token}
	if e.pendingTimers[key] {
		return
	}
	e.pendingTimers[key] = true
	e.timers.schedule(e.base.Add(key.due*time.Millisecond), func() {
		delete(e.pendingTimers, key)
		e.decisions.HandleTimer(e.clock(e.now), token)
	})
}

// timerKey identifies the policy's timers that are coalesced into one.
type timerKey struct {
	due   time.Duration // since the engine's start, in milliseconds
	token string
}

// Watch implements policy.Host.
func (h host) Watch(on bool) { h.engine.lister.Watch(on) }

// Fetch implements policy.Host.
func (h host) Fetch() { h.engine.lister.Fetch() }

// Log implements policy.Host.
func (h host) Log(text string) { h.engine.log.Info(text) }
