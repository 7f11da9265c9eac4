package lab

import (
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/saturating"
)

const (
	connectTimeout     = 250 * time.Millisecond // after which a connection that is not established has failed
	callbackRetryDelay = 500 * time.Millisecond // after which a member resends a lost callback
	maxCallbackRetries = 10
)

// networkDelay draws the one-way delay of a message.
func (w *World) networkDelay() time.Duration {
	return saturating.Duration(float64(w.experiment.NetworkDelay) * max(0.2, 1+float64(w.experiment.NetworkJitter*w.random.NormFloat64())))
}

// losesMessage draws whether a message is lost.
func (w *World) losesMessage() bool { return w.lossRate > 0 && w.random.Float64() < w.lossRate }

// callbackDelay draws the delay of a callback from a member to its dispatcher, with the
// resends of lost callbacks.
func (w *World) callbackDelay(from *member) time.Duration {
	delay := max(0, from.partitionedUntil-w.now) + w.networkDelay()
	for n := 0; n < maxCallbackRetries && w.losesMessage(); n++ {
		delay += callbackRetryDelay
	}
	return delay
}

// reportStart records the time that an attempt waited before it began to run, and reports the
// start to the dispatcher if the settings have ReportsStart.
func (w *World) reportStart(a *attempt) {
	_ = w.Result.Wait.RecordValue(max(1, int64((w.now-a.sentAt)/time.Microsecond)))
	if !w.experiment.Settings.ReportsStart {
		return
	}
	epoch := a.dispatcher.epoch
	w.after(w.callbackDelay(a.member), func() {
		if a.dispatcher.epoch == epoch && a.inFlight {
			a.dispatcher.handle(func() {
				a.dispatcher.policy.HandleAttemptUpdate(w.now, policy.AttemptUpdate{Request: a.request.id, Attempt: a.number, Worker: a.member.number, Kind: policy.UpdateStarted})
			})
		}
	})
}

// reply sends the result of an attempt from its member to its dispatcher.
func (w *World) reply(a *attempt, s policy.Status) {
	w.after(w.callbackDelay(a.member), func() { w.endAttempt(a, s) })
}

// endAttempt ends an attempt at its dispatcher, with its result. Later results of it are ignored.
func (w *World) endAttempt(a *attempt, s policy.Status) {
	if !a.inFlight {
		return
	}
	a.inFlight = false
	d, r := a.dispatcher, a.request
	w.checker.attemptEnded(a, s)
	if d.open[r.id] != r { // the dispatcher restarted, or the request has its answer
		if !r.answered {
			return
		}
	}
	if s == policy.OK && !r.answered {
		w.answer(r, s, false)
	}
	d.handle(func() {
		d.policy.HandleAttemptResult(w.now, policy.AttemptResult{
			Request: r.id, Attempt: a.number, Worker: a.member.number, Status: s, Final: r.answered, Latency: w.now - a.sentAt,
		})
	})
	d.removeIfDone(r)
}
