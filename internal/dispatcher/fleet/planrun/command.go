package planrun

import (
	"errors"
	"time"
)

// Command is one entry of the log: one of its fields is set, or none, which is an
// Advance alone.
type Command struct {
	Start        *Start        `cbor:",omitempty"`
	Claim        *Claim        `cbor:",omitempty"`
	Open         *Open         `cbor:",omitempty"`
	SendAttempt  *SendAttempt  `cbor:"Sending,omitempty"`
	ReportEnd    *ReportEnd    `cbor:"Ended,omitempty"`
	Abandon      *Abandon      `cbor:",omitempty"`
	Finish       *Finish       `cbor:",omitempty"`
	LeaseExpired *LeaseExpired `cbor:"Gone,omitempty"`
}

// LeaseExpired says that the lease of a process's incarnation has ended; see Book.Lost.
type LeaseExpired struct {
	Process     string
	Incarnation uint64
}

// Reply is that to a Command: the field of its kind, and why it was refused.
type Reply struct {
	Started *StartReply       `cbor:",omitempty"`
	Claimed []Claimed         `cbor:",omitempty"`
	Sent    *SendAttemptReply `cbor:",omitempty"`
	Counted *ReportEndReply   `cbor:",omitempty"`
	Answer  *Answer           `cbor:",omitempty"`
	Refusal string            `cbor:",omitempty"` // what Err reads
	Kind    int               `cbor:",omitempty"` // of the refusal: 1 + its place among kinds
}

// refusalKinds are what callers tell apart by errors.Is, also over the network. The order is
// part of the form: new ones come last.
var refusalKinds = []error{
	ErrFull, ErrDeadline, ErrUnknownRun, ErrEnded, ErrFenced, ErrGivenUp, ErrNotFound, ErrInFlight, ErrSettled, ErrWrongAttempt, ErrAtMostOnce,
	ErrStale, ErrTooEarly, ErrProducedElsewhere, ErrTooLarge, ErrInvalidShape,
}

type refusalError struct {
	text string
	kind error
}

func (r refusalError) Error() string { return r.text }
func (r refusalError) Unwrap() error { return r.kind }

// Err is why the command was refused, or nil: one of the errors of this package, as
// errors.Is has it.
func (r Reply) Err() error {
	if r.Refusal == "" {
		return nil
	}
	e := refusalError{text: r.Refusal}
	if r.Kind > 0 && r.Kind <= len(refusalKinds) {
		e.kind = refusalKinds[r.Kind-1]
	}
	return e
}

// Apply carries out an entry of the log, at its fleet time, after what has fallen due
// by then.
func (b *Tracker) Apply(at time.Duration, c Command) (r Reply) {
	b.Advance(at)
	var err error
	switch {
	case c.Start != nil:
		var x StartReply
		x, err = b.Start(at, *c.Start)
		r.Started = &x
	case c.Claim != nil:
		r.Claimed = b.Claim(at, *c.Claim)
	case c.Open != nil:
		err = b.Open(at, *c.Open)
	case c.SendAttempt != nil:
		var x SendAttemptReply
		x, err = b.SendAttempt(at, *c.SendAttempt)
		r.Sent = &x
	case c.ReportEnd != nil:
		var x ReportEndReply
		x, err = b.ReportEnd(at, *c.ReportEnd)
		r.Counted = &x
	case c.Abandon != nil:
		err = b.Abandon(at, *c.Abandon)
	case c.Finish != nil:
		r.Answer, err = b.Finish(at, *c.Finish)
	case c.LeaseExpired != nil:
		b.LeaseExpired(at, c.LeaseExpired.Process, c.LeaseExpired.Incarnation)
	}
	if err != nil {
		r.Refusal = err.Error()
		for i, k := range refusalKinds {
			if errors.Is(err, k) {
				r.Kind = i + 1
				break
			}
		}
	}
	return r
}
