package engine

import (
	"log/slog"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/policy"
)

// Flow is a server-side flow: one attempt of a transaction at a pool member.
type Flow struct {
	Transaction *Transaction
	Member      *Member
	Number      int // of the attempt, from 0
	SentAt      time.Time
	Deadline    time.Time // it is abandoned then
	// LatestSend is when a repeat of a deduplicated request must have reached its member whole:
	// later the members may no longer know it, and would run it again. A transport that is late
	// does not send it and ends the flow as NotSent. Zero: no matter.
	LatestSend     time.Time
	TransportState any // of its transport alone
	// Load is the load report that came with the answer that ends the flow. It is owned by Run's
	// goroutine.
	Load policy.Report

	ended         bool
	reservation   Reservation // nil: none is needed
	deadlineTimer *timer
}

// TooLate reports whether it is too late to send a flow to its member.
func (f *Flow) TooLate(now time.Time) bool {
	return !f.LatestSend.IsZero() && !now.Before(f.LatestSend)
}

// Transport takes flows to the members of one wire. Its methods are called by Run's goroutine and must
// not block. It ends each flow that is started with Engine.EndFlow; ending one again does no harm.
type Transport interface {
	// Start sends a flow to its member.
	Start(*Flow)
	// Abandon drops a flow for which nobody waits any more.
	Abandon(*Flow)
	// Recall cancels a flow whose transaction is to go elsewhere, and ends it once the member has
	// confirmed that: until then a second attempt would run beside it. Where the member can't be
	// reached the flow stays.
	Recall(*Flow)
	// EndedOutOfBand tells that the member has reported the end of a flow otherwise than on the
	// flow's own connection: its resources are released.
	EndedOutOfBand(*Flow)
	// Probe asks a member for a sign of life; Engine.EndProbe takes the answer.
	Probe(*Member)
}

// EndFlow tells how a flow ended: result is the answer's body. Only the first end of a flow counts.
func (e *Engine) EndFlow(f *Flow, s policy.Status, result []byte) {
	e.post(func() { e.endFlow(f, s, result) })
}

// EndFlowWithLoad is EndFlow without a result and with the load report of the answer that ended the
// flow.
func (e *Engine) EndFlowWithLoad(f *Flow, s policy.Status, load policy.Report) {
	e.post(func() {
		if !f.ended {
			f.Load = load
			e.endFlow(f, s, nil)
		}
	})
}

func (e *Engine) endFlow(f *Flow, s policy.Status, result []byte) {
	t := f.Transaction
	if f.ended {
		return
	}
	f.ended = true
	e.trace("ended", func() []slog.Attr {
		return append(f.attrs(), slog.String("status", accounting.StatusName(s)), slog.String("after", e.now.Sub(f.SentAt).String()))
	})
	e.timers.cancel(f.deadlineTimer)
	e.releaseReservation(f, s)
	if t.lastStatus = s; t.mayHaveRunSince.IsZero() && !e.settings.Rules.ProvesNotRun(s) {
		t.mayHaveRunSince = f.SentAt
	}
	if s == policy.Error {
		t.memberError = result
	}
	e.flowsOut--
	if t.liveFlow == f {
		t.liveFlow = nil
	}
	if a := e.stages.Relay(f, s, result, e.now); a != nil {
		e.answer(t, *a)
	}
	e.decisions.HandleAttemptResult(e.clock(e.now), policy.AttemptResult{
		Request: t.ID, Attempt: f.Number, Worker: f.Member.number, Status: s, Final: t.answered,
		Latency: e.now.Sub(f.SentAt), Report: f.Load,
	})
	e.forgetIfDone(t)
}

// UpdateFlow tells news of a flow that has not ended; share is the part of the work that is done, 0 to 1.
func (e *Engine) UpdateFlow(f *Flow, kind policy.UpdateKind, share float64) {
	e.post(func() { e.updateFlow(f, kind, share) })
}

func (e *Engine) updateFlow(f *Flow, kind policy.UpdateKind, share float64) {
	if f.ended {
		return
	}
	if kind == policy.UpdateStarted {
		e.trace("started", f.attrs)
	}
	e.decisions.HandleAttemptUpdate(e.clock(e.now), policy.AttemptUpdate{
		Request: f.Transaction.ID, Attempt: f.Number, Worker: f.Member.number, Kind: kind, Value: share,
	})
}

// JobUpdate is what a member reports of a job by its id, outside any flow's own connection. One of
// Started, Running and Ended is set.
type JobUpdate struct {
	ID, Member string
	Started    bool
	Running    bool
	Progress   float64 // Running: the share done, 0 to 1
	Ended      bool
	Status     policy.Status // Ended: how
	Result     []byte
	Load       policy.Report // Ended: the member's load report, if it sent one
}

// HandleJobUpdate takes in an update. It counts for the live flow of that transaction at that member;
// one of an ended flow or from another member counts nothing. It returns once the update has been
// handled, so that a flood of updates waits outside, and reports whether a transaction of that id is
// open here: if not, the update may be owed to another process of this dispatcher.
func (e *Engine) HandleJobUpdate(n JobUpdate) (here bool) {
	e.Do(func() { here = e.handleJobUpdate(n) })
	return here
}

func (e *Engine) handleJobUpdate(n JobUpdate) bool {
	t := e.open[n.ID]
	if t == nil {
		_, left := e.closedEarly[n.ID]
		return left
	}
	if t.liveFlow == nil || t.liveFlow.Member.ID != n.Member {
		return true
	}
	switch {
	case n.Ended:
		t.liveFlow.Load = n.Load
		t.liveFlow.Member.Transport.EndedOutOfBand(t.liveFlow)
		e.endFlow(t.liveFlow, n.Status, n.Result)
	case n.Started:
		e.updateFlow(t.liveFlow, policy.UpdateStarted, 0)
	case n.Running:
		e.updateFlow(t.liveFlow, policy.UpdateProgress, n.Progress)
	}
	return true
}

// EndProbe tells how a probe of a member ended, with the load report of its answer (none: an empty
// one).
func (e *Engine) EndProbe(m *Member, s policy.Status, r policy.Report, sentAt time.Time) {
	e.post(func() {
		e.trace("probe ended", func() []slog.Attr {
			return append(m.attrs(), slog.String("status", accounting.StatusName(s)), slog.String("after", e.now.Sub(sentAt).String()))
		})
		e.decisions.HandleProbeResult(e.clock(e.now), policy.ProbeResult{
			Worker: m.number, Status: s, Latency: e.now.Sub(sentAt), Report: r,
		})
	})
}
