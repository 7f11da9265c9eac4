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
	Deadline    time.Time // the flow is abandoned then
	// LatestSend is the time by which a repeat of a deduplicated request must have reached its member
	// whole: afterwards members may have forgotten its key, and would run it again. A transport that
	// is too late does not send the request and ends the flow as NotSent. Zero: no limit.
	LatestSend     time.Time
	TransportState any // used by the flow's transport only
	// Load is the load report in the answer that ended the flow. It is owned by Run's goroutine.
	Load policy.Report

	ended         bool
	reservation   Reservation // nil: none to release
	deadlineTimer *timer
}

// TooLate reports whether LatestSend has passed.
func (f *Flow) TooLate(now time.Time) bool {
	return !f.LatestSend.IsZero() && !now.Before(f.LatestSend)
}

// Transport sends flows to the members that use one wire protocol. Run's goroutine calls its methods,
// which must not block. The transport ends each flow that was started with Engine.EndFlow or
// Engine.EndFlowWithLoad; ending a flow again has no effect.
type Transport interface {
	// Start sends a flow to its member.
	Start(*Flow)
	// Abandon drops a flow whose result is not needed any more.
	Abandon(*Flow)
	// Recall cancels a flow whose transaction is to be sent to another member. It ends the flow only
	// once the member has confirmed the cancellation: a second attempt before that could run at the
	// same time. If the member can't be reached, the flow stays live.
	Recall(*Flow)
	// EndedOutOfBand is called when the member has reported the end of a flow by another way than the
	// flow's own connection. The transport releases the flow's resources.
	EndedOutOfBand(*Flow)
	// Probe checks whether a member is alive, and reports the result with Engine.EndProbe.
	Probe(*Member)
}

// EndFlow ends a flow with a status; result is the body of the member's answer. Only the first end of a
// flow counts.
func (e *Engine) EndFlow(f *Flow, s policy.Status, result []byte) {
	e.post(func() { e.endFlow(f, s, result) })
}

// EndFlowWithLoad ends a flow as EndFlow does, without a result and with the load report of the answer
// that ended it.
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

// UpdateFlow passes an update of a flow that has not ended to the policy; share is the part of the work
// that is done, 0 to 1.
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

// JobUpdate is a member's report about a job by its id, outside the flow's own connection. One of Started,
// Running and Ended is set.
type JobUpdate struct {
	ID, Member string
	Started    bool
	Running    bool
	Progress   float64 // Running: the part of the work that is done, 0 to 1
	Ended      bool
	Status     policy.Status // Ended: how the job ended
	Result     []byte
	Load       policy.Report // Ended: the member's load report, if it sent one
}

// HandleJobUpdate applies an update to the live flow of its transaction if that flow is at the update's
// member. An update of an ended flow or from another member is ignored. HandleJobUpdate returns once the
// update has been handled, so that a flood of updates queues at its callers, not in the engine. It reports
// whether a transaction of that id is open here or was closed early; if not, the update may belong to
// another process of this dispatcher.
func (e *Engine) HandleJobUpdate(n JobUpdate) (here bool) {
	e.Do(func() { here = e.handleJobUpdate(n) })
	return here
}

func (e *Engine) handleJobUpdate(n JobUpdate) bool {
	t := e.open[n.ID]
	if t == nil {
		_, closed := e.closedEarly[n.ID]
		return closed
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

// EndProbe passes the result of a probe of a member to the policy, with the load report of the member's
// answer (empty if there was none).
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
