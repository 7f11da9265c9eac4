package policy

import "time"

// Host carries out a dispatcher's actions. Its methods are called while an event is handled and
// must not call back into the dispatcher.
type Host interface {
	// Send starts the next attempt of a request. Attempts are numbered 0, 1, 2 ... in the order of
	// their sends. A timeout of 0 means until the client's deadline.
	Send(request string, worker uint32, timeout time.Duration)
	// Refuse answers that the request may be retried: it did not run, or a repeat is harmless.
	Refuse(request string, retryAfter time.Duration)
	// Fail answers that the request failed, with no promise that it never ran.
	Fail(request string)
	// Cancel cancels an attempt. Its end is reported through HandleAttemptResult, like any other.
	Cancel(request string, attempt int)
	// Probe checks that a worker responds and asks for its load report.
	Probe(worker uint32)
	// Timer asks for a call of HandleTimer with the token after a delay.
	Timer(in time.Duration, token string)
	// Watch subscribes to changes of the worker list, or ends the subscription.
	Watch(on bool)
	// Fetch asks for the whole worker list once.
	Fetch()
	// Log writes a line to the operators' log.
	Log(text string)
}

// SharedBudget is this dispatcher's share of the budgets of all dispatchers together. Its methods are
// called while an event is handled; they return at once and do not call back.
type SharedBudget interface {
	// TakeRetry takes one attempt beyond a request's first from the retry budget of its class. It
	// returns false if the budget is exhausted.
	TakeRetry(request, class string) bool
	// HasHeadroom reports whether one more job may be in progress at workers of a kind.
	HasHeadroom(kind string) bool
	// TakeProbe takes one probe from the probe budget. It returns false if the budget is exhausted.
	TakeProbe() bool
	// ColdShare returns this dispatcher's part (0 to 1) of what all dispatchers together may send to
	// a cold worker. If divided is false, there are no such parts, and the dispatcher limits itself
	// by its rank and the number of instances.
	ColdShare() (part float64, divided bool)
}
