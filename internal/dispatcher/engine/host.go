package engine

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/policy"
)

// host is the module's side of the core. The module calls it while it handles
// an event; nothing here calls back into it before that is done.
type host struct{ c *Engine }

// Send implements basaltloft.Host. The module's spans become points in time here, and
// nowhere else.
func (h host) Send(id string, worker uint32, timeout time.Duration) {
	c := h.c
	t, m := c.open[id], c.numbers[worker]
	if t == nil || m == nil || t.answered || t.live != nil {
		// The ledger's guard on "never two at once": what may not go out is
		// told as never sent, which is what the simulator does.
		c.log.WithField("transaction", id).Error("a send that the ledger does not allow")
		h.unsent(t, worker)
		return
	}
	if t.Gone() { // and Leave is still under way
		c.later = append(c.later, func() { c.leave(t) })
		h.unsent(t, worker)
		return
	}
	latest := t.latest()
	if !latest.IsZero() && !c.now.Before(latest) { // its key may be forgotten by the time that it is there
		h.unsent(t, worker)
		return
	}
	until := t.Deadline
	if timeout != 0 {
		until = c.now.Add(timeout)
	}
	var place Reservation
	if c.spending != nil {
		var ok bool
		if place, ok = c.spending.Reserve(m.Kind, until); !ok { // its share went since the decisions looked
			h.unsent(t, worker)
			return
		}
	}
	f := c.stages.NewFlow(t, m, t.sends, c.now, until)
	f.LatestSend = latest
	t.sends++
	t.live, t.at, f.place = f, m.ID, place
	if c.trails {
		t.went = append(t.went, m.ID)
	}
	c.flowing++
	f.due = c.timers.add(f.Deadline, func() {
		if !f.ended {
			m.Transport.Abandon(f)
			c.end(f, policy.TimedOut, nil)
		}
	})
	c.trace("sent", f.fields)
	m.Transport.Start(f)
}

// unsent tells the decisions that a send did not go out.
func (h host) unsent(t *Transaction, worker uint32) {
	if t == nil {
		return
	}
	c, n := h.c, t.sends
	t.sends++
	c.later = append(c.later, func() {
		c.decisions.HandleAttemptResult(c.clock(c.now), policy.AttemptResult{Request: t.ID, Attempt: n, Worker: worker, Status: policy.NotSent, Final: t.answered})
	})
}

// purse notes on a transaction that another attempt was not to be had.
type purse struct {
	c *Engine
	SharedBudget
}

// TakeRetry implements basaltloft.Purse.
func (p purse) TakeRetry(id, class string) bool {
	ok := p.SharedBudget.TakeRetry(id, class)
	if t := p.c.open[id]; t != nil {
		t.short = !ok
	}
	return ok
}

// Refuse implements basaltloft.Host.
func (h host) Refuse(id string, retryAfter time.Duration) {
	if t := h.c.open[id]; t != nil {
		a := Answer{Verdict: Refused, Reason: accounting.Declined, Ran: t.sends > 0 && t.last == policy.Error}
		if retryAfter > 0 {
			a.RetryAt = h.c.now.Add(retryAfter)
		}
		if t.short {
			a.Reason, a.RetryAt = accounting.BudgetSpent, h.c.spending.RetryTime(t.Class, h.c.now)
		}
		h.c.answer(t, a)
	}
}

// Fail implements basaltloft.Host.
func (h host) Fail(id string) {
	if t := h.c.open[id]; t != nil {
		a := Answer{Verdict: Failed, Reason: accounting.GivenUp}
		switch {
		case !h.c.now.Before(t.Deadline):
			a.Reason = accounting.DeadlinePassed
		case t.sends > 0 && t.last == policy.Error:
			a.Reason = accounting.MemberError
		}
		h.c.answer(t, a)
	}
}

// Cancel implements basaltloft.Host.
func (h host) Cancel(id string, number int) {
	c := h.c
	t := c.open[id]
	if t == nil || t.live == nil || t.live.Number != number {
		return
	}
	f := t.live
	if !t.answered {
		f.Member.Transport.Recall(f)
		return
	}
	f.Member.Transport.Abandon(f)
	c.later = append(c.later, func() { c.end(f, policy.Cancelled, nil) })
}

// Probe implements basaltloft.Host.
func (h host) Probe(worker uint32) {
	if m := h.c.numbers[worker]; m != nil {
		h.c.trace("probed", m.fields)
		m.Transport.Probe(m)
	}
}

// together is how many flows are out when the module's timers begin to be told
// together.
const together = 64

// Timer implements basaltloft.Host. Where many flows are out, timers of one token
// that are due within the same millisecond are told once: each makes the module
// look at all that is out, and there are several for each send, so that told one
// by one they took all the time there was with some hundred members (without this,
// with the module's sampled search, 512 members still had 2% served). With few out
// each is told at its own time.
func (h host) Timer(in time.Duration, token string) {
	c := h.c
	if c.flowing < together {
		c.timers.add(time.Now().Add(in), func() { c.decisions.HandleTimer(c.clock(c.now), token) })
		return
	}
	due := moment{time.Now().Add(in+time.Millisecond-1).Sub(c.base) / time.Millisecond, token}
	if c.asked[due] {
		return
	}
	c.asked[due] = true
	c.timers.add(c.base.Add(due.at*time.Millisecond), func() {
		delete(c.asked, due)
		c.decisions.HandleTimer(c.clock(c.now), token)
	})
}

// moment is a timer of the module's: milliseconds since the core's start, and
// its token.
type moment struct {
	at    time.Duration
	token string
}

// Watch implements basaltloft.Host.
func (h host) Watch(on bool) { h.c.lister.Watch(on) }

// Fetch implements basaltloft.Host.
func (h host) Fetch() { h.c.lister.Fetch() }

// Log implements basaltloft.Host.
func (h host) Log(text string) { h.c.log.Info(text) }
