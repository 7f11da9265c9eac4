package planrun

import "errors"

// Errors with which a Tracker refuses commands. A refused command has no effect, except where
// its method's comment states one. The texts are part of the replies, which are replicated and
// stored with the state of the fleet: with a changed text, replicas of different versions would
// differ.
var (
	// ErrFull is returned if there are too many runs, answers or shared outputs.
	ErrFull = errors.New("no room for another plan")
	// ErrDeadline is returned by Start if the deadline has passed or exceeds Limits.MaxTimeout.
	ErrDeadline = errors.New("the plan's deadline has passed or is too far off")
	// ErrUnknownRun is returned for a run that was never started, or whose answer was dropped.
	ErrUnknownRun = errors.New("unknown run")
	// ErrEnded is returned for a run that has ended.
	ErrEnded = errors.New("the run has its final answer")
	// ErrFenced is returned if the run has another fencing number, or no coordinator at present.
	ErrFenced = errors.New("another coordinator has the run")
	// ErrGivenUp is returned for a command that a run which has given up no longer accepts.
	ErrGivenUp = errors.New("the run has given up")
	// ErrNotFound is returned for a command that doesn't fit the shape of the run.
	ErrNotFound = errors.New("no such stage, item or rule")
	// ErrInFlight is returned by SendAttempt if another attempt at the item is in flight, and by Finish
	// for a run that has not ended yet.
	ErrInFlight = errors.New("an attempt of it is out")
	// ErrSettled is returned if the item or its undo has succeeded or failed permanently, or if the
	// stage is complete. An item also fails for want of attempts or time.
	ErrSettled = errors.New("it has ended")
	// ErrWrongAttempt is returned for an attempt number that is not the next one.
	ErrWrongAttempt = errors.New("not the next attempt")
	// ErrAtMostOnce is returned for an at-most-once job or undo that may have run.
	ErrAtMostOnce = errors.New("it may have run, and must never run twice")
	// ErrStale is returned if an input doesn't exist or has another generation than the command, and
	// for an undo that is not due yet.
	ErrStale = errors.New("what it would be given is not there, or no longer the current generation")
	// ErrTooEarly is returned before the wait that precedes an attempt is over.
	ErrTooEarly = errors.New("its time has not come")
	// ErrProducedElsewhere is returned for a shared stage whose output another run has to produce.
	ErrProducedElsewhere = errors.New("another run makes this output")
	// ErrTooLarge is returned for a command that exceeds one of the Limits.
	ErrTooLarge = errors.New("too large")
)

// refusalKinds are the errors that callers distinguish with errors.Is, also over the
// network. Their order is part of the format: new ones are appended.
var refusalKinds = []error{
	ErrFull, ErrDeadline, ErrUnknownRun, ErrEnded, ErrFenced, ErrGivenUp, ErrNotFound, ErrInFlight, ErrSettled, ErrWrongAttempt, ErrAtMostOnce,
	ErrStale, ErrTooEarly, ErrProducedElsewhere, ErrTooLarge, ErrInvalidShape,
}

// refusalError is the error of a Reply: the text that came with it, and the error of this
// package that it wraps.
type refusalError struct {
	text string
	kind error
}

func (r refusalError) Error() string { return r.text }

func (r refusalError) Unwrap() error { return r.kind }
