package policy

import "time"

// Host carries out a dispatcher's actions. Its methods are called while an event is handled and
// must not call back into the dispatcher.
type Host interface {
	// Send starts the next attempt of a request. Attempts are numbered 0, 1, 2 ... in the order of
	// their sends. A timeout of 0 means until the client's deadline.
	Send(request string, worker uint32, timeout time.Duration)
	// Refuse answers that the request did not run and may be retried.
	Refuse(request string, retryAfter time.Duration)
	// Fail answers that the request failed, with no promise that it never ran.
	Fail(request string)
	// Cancel cancels an attempt, whose end is told by HandleAttemptResult as any other.
	Cancel(request string, attempt int)
	// Probe asks a worker for a sign of life and its load report.
	Probe(worker uint32)
	// Timer asks for a call of HandleTimer with the token after a delay.
	Timer(in time.Duration, token string)
	// Watch subscribes to changes of the worker list, or ends that.
	Watch(on bool)
	// Fetch asks for the whole worker list once.
	Fetch()
	// Log writes a line for the staff on call.
	Log(text string)
}

// SharedBudget is this dispatcher's part of the budgets that all dispatchers share. Its methods are
// called while an event is handled, answer at once and do not call back.
type SharedBudget interface {
	// TakeRetry takes one attempt beyond a request's first from the retry budget of its class;
	// false: there is none left.
	TakeRetry(request, class string) bool
	// HasHeadroom reports whether one more job may be under way at workers of a kind.
	HasHeadroom(kind string) bool
	// TakeProbe takes one probe.
	TakeProbe() bool
	// ColdShare is this dispatcher's part (0 to 1) of what all may send to a cold worker; false: it
	// is not divided, and the dispatcher goes by its rank.
	ColdShare() (part float64, divided bool)
}
