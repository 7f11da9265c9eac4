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

// PlansName is the name of the partition of the plan runs.
const PlansName = "plans"

// Commands and queries of the plan runs.
const (
	PlansCommand      state.Kind = "plans/do"      // a planrun.Command, answered with a PlanReply
	PlansCountOrphans state.Kind = "plans/orphans" // a query, answered with the number of runs without a coordinator
	PlansRun          state.Kind = "plans/look"    // a query with a run's id, answered with a PlanReply
)

// PlanReply answers a command or a query of plan runs. It is sent under its field names, or
// the names in their tags.
type PlanReply struct {
	planrun.Reply
	Index       uint64          // log index of the state that it describes
	At          time.Duration   // fleet time of that state
	Run         *planrun.Run    // the run as of Index, unless it has ended; without its shape, which the coordinator has
	Producing   uint64          `cbor:"Makes"` // see planrun.View
	FinalAnswer *planrun.Answer `cbor:"Ended"` // nil: the run has not ended
}

// Plans is the partition of the plan runs.
type Plans struct{ tracker *planrun.Tracker }

// NewPlans returns a partition without runs.
func NewPlans() *Plans { return &Plans{planrun.NewTracker(planrun.DefaultLimits())} }

// Name implements state.Partition.
func (*Plans) Name() string { return PlansName }

// Check implements state.Partition: plan runs have no settings.
func (*Plans) Check([]byte) error { return errors.New("plans are not set for the fleet") }

// Set implements state.Partition.
func (p *Plans) Set(_ time.Duration, settings []byte) error { return p.Check(settings) }

// Apply implements state.Partition. A refusal by the tracker is returned in the reply together
// with the run, since the tracker may have given the run up on it. The issuing process is that
// of the session, which the state has checked.
func (p *Plans) Apply(c state.Command, index uint64) ([]byte, error) {
	var command planrun.Command
	if err := codec.Decode(c.Body, &command); err != nil || c.Kind != PlansCommand || command.LeaseExpired != nil {
		return nil, fmt.Errorf("%w: no plan command %q", state.ErrBad, c.Kind)
	}
	run := ""
	switch {
	case command.Start != nil:
		command.Start.Process, command.Start.Incarnation, run = c.Process, c.Incarnation, command.Start.Run
	case command.Claim != nil:
		command.Claim.Process, command.Claim.Incarnation = c.Process, c.Incarnation
	case command.Open != nil:
		run = command.Open.Run
	case command.SendAttempt != nil:
		run = command.SendAttempt.Run
	case command.ReportEnd != nil:
		run = command.ReportEnd.Run
	case command.Abandon != nil:
		run = command.Abandon.Run
	case command.Finish != nil:
		run = command.Finish.Run
	}
	r := PlanReply{Reply: p.tracker.Apply(c.At, command), Index: index, At: c.At}
	p.describeRun(run, &r)
	return codec.Encode(r)
}

// describeRun adds a run, or its final answer, to a reply.
func (p *Plans) describeRun(run string, r *PlanReply) {
	if run == "" {
		return
	}
	if v, err := p.tracker.View(run); err == nil {
		r.Run, r.Producing = v.Run, v.Producing
	}
	r.FinalAnswer = p.tracker.Answer(run)
}

// Renew implements state.Partition: a renewal has no message for this partition.
func (*Plans) Renew(state.Command, []byte) ([]byte, error) {
	return nil, errors.New("plans are not renewed")
}

// IncarnationEnded implements state.Partition: the runs of an ended incarnation can be claimed
// by another coordinator.
func (p *Plans) IncarnationEnded(at time.Duration, process string, incarnation uint64, _ state.EndCause) {
	p.tracker.LeaseExpired(at, process, incarnation)
}

// Advance implements state.Partition.
func (p *Plans) Advance(at time.Duration) { p.tracker.Advance(at) }

// Query implements state.Queryable.
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

// Snapshot implements state.Partition.
func (p *Plans) Snapshot() (state.Snapshot, error) { return snapshotOf(p.tracker.Encode()) }

// Restore implements state.Partition.
func (p *Plans) Restore(r io.Reader) error { return restoreWith(r, p.tracker.Decode) }

// Digest implements state.Partition.
func (p *Plans) Digest() (uint64, error) { return p.tracker.Digest() }
