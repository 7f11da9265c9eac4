package planrun

import (
	"errors"
	"time"
)

// Command is one entry of the log: one of its fields is set, or none, which is an
// Advance alone.
type Command struct {
	Start   *Start   `cbor:",omitempty"`
	Claim   *Claim   `cbor:",omitempty"`
	Open    *Open    `cbor:",omitempty"`
	Sending *Sending `cbor:",omitempty"`
	Ended   *Ended   `cbor:",omitempty"`
	Abandon *Abandon `cbor:",omitempty"`
	Finish  *Finish  `cbor:",omitempty"`
	Gone    *Gone    `cbor:",omitempty"`
}

// Gone says that the lease of a process's incarnation has ended; see Book.Lost.
type Gone struct {
	Process     string
	Incarnation uint64
}

// Reply is that to a Command: the field of its kind, and why it was refused.
type Reply struct {
	Started *Started  `cbor:",omitempty"`
	Claimed []Claimed `cbor:",omitempty"`
	Sent    *Sent     `cbor:",omitempty"`
	Counted *Counted  `cbor:",omitempty"`
	Answer  *Answer   `cbor:",omitempty"`
	Refusal string    `cbor:",omitempty"` // what Err reads
	Kind    int       `cbor:",omitempty"` // of the refusal: 1 + its place among kinds
}

// kinds are what callers tell apart by errors.Is, also over the network. The order is
// part of the form: new ones come last.
var kinds = []error{
	ErrFull, ErrBefore, ErrUnknown, ErrEnded, ErrFence, ErrGivenUp, ErrNoSuch, ErrOut, ErrSettled, ErrAttempt, ErrTwice,
	ErrStale, ErrEarly, ErrElsewhere, ErrTooLarge, ErrShape,
}

type refusal struct {
	text string
	kind error
}

func (r refusal) Error() string { return r.text }
func (r refusal) Unwrap() error { return r.kind }

// Err is why the command was refused, or nil: one of the errors of this package, as
// errors.Is has it.
func (r Reply) Err() error {
	if r.Refusal == "" {
		return nil
	}
	e := refusal{text: r.Refusal}
	if r.Kind > 0 && r.Kind <= len(kinds) {
		e.kind = kinds[r.Kind-1]
	}
	return e
}

// Apply carries out an entry of the log, at its fleet time, after what has fallen due
// by then.
func (b *Book) Apply(at time.Duration, c Command) (r Reply) {
	b.Advance(at)
	var err error
	switch {
	case c.Start != nil:
		var x Started
		x, err = b.Start(at, *c.Start)
		r.Started = &x
	case c.Claim != nil:
		r.Claimed = b.Claim(at, *c.Claim)
	case c.Open != nil:
		err = b.Open(at, *c.Open)
	case c.Sending != nil:
		var x Sent
		x, err = b.Sending(at, *c.Sending)
		r.Sent = &x
	case c.Ended != nil:
		var x Counted
		x, err = b.Ended(at, *c.Ended)
		r.Counted = &x
	case c.Abandon != nil:
		err = b.Abandon(at, *c.Abandon)
	case c.Finish != nil:
		r.Answer, err = b.Finish(at, *c.Finish)
	case c.Gone != nil:
		b.Lost(at, c.Gone.Process, c.Gone.Incarnation)
	}
	if err != nil {
		r.Refusal = err.Error()
		for i, k := range kinds {
			if errors.Is(err, k) {
				r.Kind = i + 1
				break
			}
		}
	}
	return r
}
