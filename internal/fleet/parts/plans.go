package parts

import (
	"errors"
	"fmt"
	"io"
	"time"

	"basaltloft/internal/fleet/codec"
	"basaltloft/internal/fleet/planrun"
	"basaltloft/internal/fleet/state"
)

// PlansName is the part of plans under way.
const PlansName = "plans"

// Kinds of commands and queries of plans. Each command is the planrun type of that
// name, and is answered with a PlanReply.
const (
	PlansStart   state.Kind = "plans/start"
	PlansClaim   state.Kind = "plans/claim"
	PlansOpen    state.Kind = "plans/open"
	PlansSending state.Kind = "plans/sending"
	PlansEnded   state.Kind = "plans/ended"
	PlansAbandon state.Kind = "plans/abandon"
	PlansOrphans state.Kind = "plans/orphans" // a query: how many runs nobody drives
	PlansLook    state.Kind = "plans/look"    // a query with a run's id, answered with a PlanReply
)

// PlanReply answers a command or a query of plans.
type PlanReply struct {
	Index   uint64        // of the state that it tells; a lower one is older
	At      time.Duration // fleet time
	No      string        // why the command was not carried out; the run may have gone on all the same
	Started *planrun.Started
	Claimed []planrun.Claimed
	Sent    *planrun.Sent
	Counted *planrun.Counted
	Run     *planrun.Run // as it is now, unless it has ended; its shape is known to who drives it
	Makes   uint64       // see planrun.View
	Answer  *planrun.Answer
}

// Plans is the part of plans under way.
type Plans struct{ book *planrun.Book }

// NewPlans returns a part without plans.
func NewPlans() *Plans { return &Plans{planrun.NewBook(planrun.DefaultLimits())} }

// Name implements state.Part.
func (*Plans) Name() string { return PlansName }

// Check implements state.Part: plans have no settings of the fleet's.
func (*Plans) Check([]byte) error { return errors.New("plans are not set for the fleet") }

// Set implements state.Part.
func (p *Plans) Set(_ time.Duration, settings []byte) error { return p.Check(settings) }

// Apply implements state.Part. What the book refuses is told in the reply, beside the
// run as it is: a refusal may have made it give up.
func (p *Plans) Apply(c state.Command, index uint64) ([]byte, error) {
	r := PlanReply{Index: index, At: c.At}
	run, err := p.carryOut(c, &r)
	if errors.Is(err, state.ErrBad) {
		return nil, err
	}
	if err != nil {
		r.No = err.Error()
	}
	p.tell(run, &r)
	return codec.Encode(r)
}

// read takes a command's body.
func read[T any](c state.Command) (v T, err error) {
	if err := codec.Decode(c.Body, &v); err != nil {
		return v, fmt.Errorf("%w: %w", state.ErrBad, err)
	}
	return v, nil
}

// carryOut hands a command to the book. Who it comes from is known from the command's
// own session, which the state has checked.
func (p *Plans) carryOut(c state.Command, r *PlanReply) (run string, err error) {
	switch c.Kind {
	case PlansStart:
		b, err := read[planrun.Start](c)
		if err != nil {
			return "", err
		}
		b.Process, b.Incarnation = c.Process, c.Incarnation
		s, err := p.book.Start(c.At, b)
		r.Started = &s
		return b.Run, err
	case PlansClaim:
		b, err := read[planrun.Claim](c)
		if err != nil {
			return "", err
		}
		b.Process, b.Incarnation = c.Process, c.Incarnation
		r.Claimed = p.book.Claim(c.At, b)
		return "", nil
	case PlansOpen:
		b, err := read[planrun.Open](c)
		if err != nil {
			return "", err
		}
		return b.Run, p.book.Open(c.At, b)
	case PlansSending:
		b, err := read[planrun.Sending](c)
		if err != nil {
			return "", err
		}
		s, err := p.book.Sending(c.At, b)
		r.Sent = &s
		return b.Run, err
	case PlansEnded:
		b, err := read[planrun.Ended](c)
		if err != nil {
			return "", err
		}
		n, err := p.book.Ended(c.At, b)
		r.Counted = &n
		return b.Run, err
	case PlansAbandon:
		b, err := read[planrun.Abandon](c)
		if err != nil {
			return "", err
		}
		return b.Run, p.book.Abandon(c.At, b)
	}
	return "", fmt.Errorf("%w: no plan command %q", state.ErrBad, c.Kind)
}

// tell puts a run, or its answer, into a reply.
func (p *Plans) tell(run string, r *PlanReply) {
	if run == "" {
		return
	}
	if v, err := p.book.View(run); err == nil {
		r.Run, r.Makes = v.Run, v.Makes
	}
	r.Answer = p.book.Answer(run)
}

// Renewed implements state.Part: a renewal says nothing to this part.
func (*Plans) Renewed(state.Command, []byte) ([]byte, error) {
	return nil, errors.New("plans are not renewed")
}

// Gone implements state.Part: the runs that an incarnation drove wait for another.
func (p *Plans) Gone(at time.Duration, process string, incarnation uint64, _ state.Going) {
	p.book.Lost(at, process, incarnation)
}

// Advance implements state.Part.
func (p *Plans) Advance(at time.Duration) { p.book.Advance(at) }

// Ask implements state.Asked.
func (p *Plans) Ask(kind state.Kind, body []byte) ([]byte, error) {
	switch kind {
	case PlansOrphans:
		return codec.Encode(p.book.Orphans())
	case PlansLook:
		var run string
		if err := codec.Decode(body, &run); err != nil {
			return nil, err
		}
		var r PlanReply
		p.tell(run, &r)
		return codec.Encode(r)
	}
	return nil, fmt.Errorf("no plan query %q", kind)
}

// Freeze implements state.Part.
func (p *Plans) Freeze() (func(io.Writer) error, error) { return encoded(p.book.Encode()) }

// Thaw implements state.Part.
func (p *Plans) Thaw(r io.Reader) error { return decoded(r, p.book.Decode) }

// Digest implements state.Part.
func (p *Plans) Digest() (uint64, error) { return p.book.Digest() }
