package planrun

import "errors"

// Errors with which a Tracker refuses commands. A refused command has no effect, except where
// its method's comment states one.
var (
	ErrFull              = errors.New("no room for another plan")
	ErrDeadline          = errors.New("the plan's deadline has passed or is too far off")
	ErrUnknownRun        = errors.New("unknown run")
	ErrEnded             = errors.New("the run has its final answer")
	ErrFenced            = errors.New("another coordinator has the run")
	ErrGivenUp           = errors.New("the run has given up")
	ErrNotFound          = errors.New("no such stage, item or rule")
	ErrInFlight          = errors.New("an attempt is still in flight, or the run has not ended yet")
	ErrSettled           = errors.New("it has ended")
	ErrWrongAttempt      = errors.New("not the next attempt")
	ErrAtMostOnce        = errors.New("it may have run, and must never run twice")
	ErrStale             = errors.New("the inputs don't exist or are of an old generation, or the undo is not next in order")
	ErrTooEarly          = errors.New("the attempt is not due yet")
	ErrProducedElsewhere = errors.New("another run produces this output")
	ErrTooLarge          = errors.New("too large")
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
