package engine

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
)

// BeginShutdown begins the shutdown of the process. Transactions that arrive after late are answered by the
// end of the shutdown: one whose estimated work does not fit before the end is refused at once, and one
// that is still open at the end is answered then. Earlier transactions keep their deadlines.
func (e *Engine) BeginShutdown(late, end time.Time) {
	e.post(func() {
		e.lateFrom, e.stopsAt = late, end
		e.timers.schedule(end, e.answerLateArrivals)
	})
}

// answerLateArrivals answers, at the end of a shutdown, the open transactions that arrived late, and logs
// the number of the other open transactions.
func (e *Engine) answerLateArrivals() {
	early, held := 0, 0
	for _, t := range e.open {
		switch {
		case t.answered:
		case e.arrivedLate(t):
			e.answerAtShutdown(t)
		default:
			early++
			if t.liveFlow == nil {
				held++
			}
		}
	}
	if early > 0 {
		e.log.Info("jobs still open at the end of the shutdown", "early", early, "held", held)
	}
}

// answerAtShutdown refuses or fails a transaction that will not be served any more.
func (e *Engine) answerAtShutdown(t *Transaction) {
	a := Answer{Verdict: Failed, Reason: accounting.Stopped}
	if e.mayRunAgain(t) {
		a = Answer{Verdict: Refused, Reason: accounting.ShuttingDown, RetryAt: e.now}
	}
	e.answer(t, a)
	e.decisions.HandleClientGone(e.clock(e.now), t.ID)
}

// arrivedLate reports whether a transaction arrived after the late time of BeginShutdown.
func (e *Engine) arrivedLate(t *Transaction) bool {
	return !e.lateFrom.IsZero() && t.Arrived.After(e.lateFrom)
}

// CloseIfIdle closes the engine if no transaction is open: the engine then refuses all further
// transactions. It reports whether the engine is closed. If so, no result is expected any more, and the
// listener on which members report results may be closed.
func (e *Engine) CloseIfIdle() (done bool) {
	done = true // the result if Run has already returned
	e.Do(func() { done = e.closeIfIdle() })
	return done
}

func (e *Engine) closeIfIdle() bool {
	e.closed = e.closed || e.load.Open == 0
	return e.closed
}

// LongestClientTimeout returns the longest client timeout of any class. It may be called by Run's
// goroutine only, such as in Do.
func (e *Engine) LongestClientTimeout() (longest time.Duration) {
	for _, class := range e.settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return longest
}
