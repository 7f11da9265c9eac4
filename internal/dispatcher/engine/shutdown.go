package engine

import (
	"time"

	"basaltloft/internal/dispatcher/accounting"
)

// BeginShutdown tells that the process stops. Transactions that arrived after late are answered by the
// end: what can't be done by then is refused at once, and what is not done then is answered. What
// arrived before keeps its deadline.
func (e *Engine) BeginShutdown(late, end time.Time) {
	e.post(func() {
		e.lateFrom, e.stopsAt = late, end
		e.timers.schedule(end, e.answerLateArrivals)
	})
}

// answerLateArrivals answers at the end of a shutdown what arrived late, and logs what did not.
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

// answerAtShutdown answers a transaction that will not be served any more.
func (e *Engine) answerAtShutdown(t *Transaction) {
	a := Answer{Verdict: Failed, Reason: accounting.Stopped}
	if e.mayRunAgain(t) {
		a = Answer{Verdict: Refused, Reason: accounting.ShuttingDown, RetryAt: e.now}
	}
	e.answer(t, a)
	e.decisions.HandleClientGone(e.clock(e.now), t.ID)
}

// arrivedLate reports whether a transaction arrived after the time that BeginShutdown named.
func (e *Engine) arrivedLate(t *Transaction) bool {
	return !e.lateFrom.IsZero() && t.Arrived.After(e.lateFrom)
}

// CloseIfIdle refuses all transactions from now on if none is open in that moment, and reports whether
// that is so: no result is owed from then on, and the way on which results come may be shut.
func (e *Engine) CloseIfIdle() (done bool) {
	done = true // by Run's end, if that came before
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
