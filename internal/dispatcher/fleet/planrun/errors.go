package planrun

import "errors"

// Errors of commands. A refused command has changed nothing, except where its method says
// so.
var (
	ErrFull              = errors.New("no room for another plan")
	ErrDeadline          = errors.New("the plan's deadline has passed or is too far off")
	ErrUnknownRun        = errors.New("unknown run")
	ErrEnded             = errors.New("the run has its final answer")
	ErrFenced            = errors.New("another coordinator has the run")
	ErrGivenUp           = errors.New("the run has given up")
	ErrNotFound          = errors.New("no such stage, item or rule")
	ErrInFlight          = errors.New("an attempt of it is out")
	ErrSettled           = errors.New("it has ended")
	ErrWrongAttempt      = errors.New("not the next attempt")
	ErrAtMostOnce        = errors.New("it may have run, and must never run twice")
	ErrStale             = errors.New("what it would be given is not there, or no longer the current generation")
	ErrTooEarly          = errors.New("its time has not come")
	ErrProducedElsewhere = errors.New("another run makes this output")
	ErrTooLarge          = errors.New("too large")
)

// refusalKinds are the errors that callers distinguish with errors.Is, also over the
// network. Their order is part of the format: new ones are appended.
var refusalKinds = []error{
	ErrFull, ErrDeadline, ErrUnknownRun, ErrEnded, ErrFenced, ErrGivenUp, ErrNotFound, ErrInFlight, ErrSettled, ErrWrongAttempt, ErrAtMostOnce,
	ErrStale, ErrTooEarly, ErrProducedElsewhere, ErrTooLarge, ErrInvalidShape,
}

// refusalError is a refusal that was received, with the error that it wraps.
type refusalError struct {
	text string
	kind error
}

func (r refusalError) Error() string { return r.text }

func (r refusalError) Unwrap() error { return r.kind }
