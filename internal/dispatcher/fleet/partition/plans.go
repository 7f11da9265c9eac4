package partition

import (
	"errors"
	"fmt"
	"io"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/planrun"
	"basaltloft/internal/dispatcher/fleet/state"
)

// PlansName is the part of plans under way.
const PlansName = "plans"

// Kinds of commands and queries of plans.
const (
	PlansCommand      state.Kind = "plans/do"      // a planrun.Command, answered with a PlanReply
	PlansCountOrphans state.Kind = "plans/orphans" // a query: how many runs nobody drives
	PlansRun          state.Kind = "plans/look"    // a query with a run's id, answered with a PlanReply
)

// PlanReply answers a command or a query of plans.
type PlanReply struct {
	planrun.Reply
	Index       uint64          // of the state that it tells; a lower one is older
	At          time.Duration   // fleet time
	Run         *planrun.Run    // as it is now, unless it has ended; its shape is known to who drives it
	Producing   uint64          `cbor:"Makes"` // see planrun.View
	FinalAnswer *planrun.Answer `cbor:"Ended"`
}

// Plans is the part of plans under way.
type Plans struct{ tracker *planrun.Tracker }

// NewPlans returns a part without plans.
func NewPlans() *Plans { return &Plans{planrun.NewTracker(planrun.DefaultLimits())} }

// Name implements state.Part.
func (*Plans) Name() string { return PlansName }

// Check implements state.Part: plans have no settings of the fleet's.
func (*Plans) Check([]byte) error { return errors.New("plans are not set for the fleet") }

// Set implements state.Part.
func (p *Plans) Set(_ time.Duration, settings []byte) error { return p.Check(settings) }

// Apply implements state.Part. What the book refuses is told in the reply, beside the
// run as it is: a refusal may have made it give up. Who a command comes from is known
// by its session, which the state has checked.
func (p *Plans) Apply(c state.Command, index uint64) ([]byte, error) {
	var do planrun.Command
	if err := codec.Decode(c.Body, &do); err != nil || c.Kind != PlansCommand || do.LeaseExpired != nil {
		return nil, fmt.Errorf("%w: no plan command %q", state.ErrBad, c.Kind)
	}
	run := ""
	switch {
	case do.Start != nil:
		do.Start.Process, do.Start.Incarnation, run = c.Process, c.Incarnation, do.Start.Run
	case do.Claim != nil:
		do.Claim.Process, do.Claim.Incarnation = c.Process, c.Incarnation
	case do.Open != nil:
		run = do.Open.Run
	case do.SendAttempt != nil:
		run = do.SendAttempt.Run
	case do.ReportEnd != nil:
		run = do.ReportEnd.Run
	case do.Abandon != nil:
		run = do.Abandon.Run
	case do.Finish != nil:
		run = do.Finish.Run
	}
	r := PlanReply{Reply: p.tracker.Apply(c.At, do), Index: index, At: c.At}
	p.describeRun(run, &r)
	return codec.Encode(r)
}

// describeRun puts a run, or its answer, into a reply.
func (p *Plans) describeRun(run string, r *PlanReply) {
	if run == "" {
		return
	}
	if v, err := p.tracker.View(run); err == nil {
		r.Run, r.Producing = v.Run, v.Producing
	}
	r.FinalAnswer = p.tracker.Answer(run)
}

// Renew implements state.Part: a renewal says nothing to this part.
func (*Plans) Renew(state.Command, []byte) ([]byte, error) {
	return nil, errors.New("plans are not renewed")
}

// IncarnationEnded implements state.Part: the runs that an incarnation drove wait for another.
func (p *Plans) IncarnationEnded(at time.Duration, process string, incarnation uint64, _ state.EndCause) {
	p.tracker.LeaseExpired(at, process, incarnation)
}

// Advance implements state.Part.
func (p *Plans) Advance(at time.Duration) { p.tracker.Advance(at) }

// Query implements state.Asked.
func (p *Plans) Query(kind state.Kind, body []byte) ([]byte, error) {
	switch kind {
	case PlansCountOrphans:
		return codec.Encode(p.tracker.Orphans())
	case PlansRun:
		var run string
		if err := codec.Decode(body, &run); err != nil {
			return nil, err
		}
		var r PlanReply
		p.describeRun(run, &r)
		return codec.Encode(r)
	}
	return nil, fmt.Errorf("no plan query %q", kind)
}

// Snapshot implements state.Part.
func (p *Plans) Snapshot() (state.Snapshot, error) { return snapshotOf(p.tracker.Encode()) }

// Restore implements state.Part.
func (p *Plans) Restore(r io.Reader) error { return restoreWith(r, p.tracker.Decode) }

// Digest implements state.Part.
func (p *Plans) Digest() (uint64, error) { return p.tracker.Digest() }
