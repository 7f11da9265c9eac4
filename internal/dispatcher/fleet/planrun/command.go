package planrun

import (
	"basaltloft/internal/dispatcher/fleet/plan"
	"errors"
	"time"
)

// Command is one entry of the Raft log. At most one of its fields is set; if none is, the
// command only advances the time. It is encoded by the field names in its tags.
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

// LeaseExpired records that the lease of a process's incarnation has expired; see
// Tracker.LeaseExpired.
type LeaseExpired struct {
	Process     string
	Incarnation uint64
}

// Reply is the reply to a Command: the field of its kind, or why it was refused.
type Reply struct {
	Started *StartReply       `cbor:",omitempty"`
	Claimed []Claimed         `cbor:",omitempty"`
	Sent    *SendAttemptReply `cbor:",omitempty"`
	Counted *ReportEndReply   `cbor:",omitempty"`
	Answer  *Answer           `cbor:",omitempty"`
	Refusal string            `cbor:",omitempty"` // the error's text; empty: accepted
	Kind    int               `cbor:",omitempty"` // of the refusal: 1 + its index in refusalKinds; 0: none of them
}

// Err returns why the command was refused, or nil. The error wraps an error of this package.
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

// Apply applies an entry of the log at its fleet time, after Advance to that time.
func (t *Tracker) Apply(at time.Duration, c Command) (r Reply) {
	t.Advance(at)
	var err error
	switch {
	case c.Start != nil:
		var x StartReply
		x, err = t.Start(at, *c.Start)
		r.Started = &x
	case c.Claim != nil:
		r.Claimed = t.Claim(at, *c.Claim)
	case c.Open != nil:
		err = t.Open(at, *c.Open)
	case c.SendAttempt != nil:
		var x SendAttemptReply
		x, err = t.SendAttempt(at, *c.SendAttempt)
		r.Sent = &x
	case c.ReportEnd != nil:
		var x ReportEndReply
		x, err = t.ReportEnd(at, *c.ReportEnd)
		r.Counted = &x
	case c.Abandon != nil:
		err = t.Abandon(at, *c.Abandon)
	case c.Finish != nil:
		r.Answer, err = t.Finish(at, *c.Finish)
	case c.LeaseExpired != nil:
		t.LeaseExpired(at, c.LeaseExpired.Process, c.LeaseExpired.Incarnation)
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

// Start starts a run. If its id is known, it has no effect, and the reply describes the run.
type Start struct {
	Run, Plan   string
	Tenant      string
	Digest      uint64
	Shape       Shape
	Input       []byte
	Seed        uint64        // of the jitter of retries
	Before      time.Duration // the run's deadline, if earlier than that of Shape.Timeout; a Start applied later has no effect
	Process     string
	Incarnation uint64
}

// StartReply is the reply to a Start.
type StartReply struct {
	Known  bool    // the run existed before
	Fence  uint64  // fencing number with which the caller coordinates the run; 0: another process does, or it has ended
	Answer *Answer // nil: the run has not ended yet
}

// Claim assigns runs without a coordinator to a process.
type Claim struct {
	Process     string
	Incarnation uint64
	MaxRuns     int      `cbor:"Most"`
	Plans       []uint64 // digests of the plans that the process has; none: any
}

// Claimed is a run that was taken over.
type Claimed struct {
	Run   string
	Fence uint64
}

// Open sets the items of a stage, once, and the key of a shared one.
type Open struct {
	Run   string
	Fence uint64
	Stage int
	Key   string
	Items [][]byte // values of the list as JSON; a stage without a list has one item, nil
}

// SendAttempt asks for permission to send an attempt. Once it is accepted, the attempt counts
// as one that may have run.
type SendAttempt struct {
	Run           string
	Fence         uint64
	Stage         int
	Item          int
	Undo          bool
	Generation    uint64   // of the stage
	Inputs        []uint64 // generations of the stage's inputs, by Shape.Upstream
	Attempt       uint32
	RemainingTime time.Duration `cbor:"Rest"` // the shortest time that the rest of the plan needs, including this attempt
}

// SendAttemptReply is the reply to an accepted SendAttempt. Again is whether it was accepted
// before. A coordinator that gets the reply sends the attempt, unless it has already done so.
type SendAttemptReply struct{ Again bool }

// ReportEnd reports how an attempt ended.
type ReportEnd struct {
	Run     string
	Fence   uint64 // with which the attempt was sent
	Stage   int
	Item    int
	Undo    bool
	Attempt uint32
	End     plan.End
	Result  []byte
	Member  string
	Lost    *LostInput // if End is plan.Lost
}

// LostInput is an input that an attempt reports as lost.
type LostInput struct {
	Stage      int
	Generation uint64
}

// ReportEndReply is the reply to a ReportEnd.
type ReportEndReply struct {
	Accepted bool    `cbor:"Once"`  // this report was recorded as the attempt's end
	NewLoss  bool    `cbor:"Fresh"` // the loss that it reports was not known before: the output is produced again
	Answer   *Answer // nil: the run has not ended yet
}

// Abandon gives up a run whose coordinator can't evaluate an expression.
type Abandon struct {
	Run    string
	Fence  uint64
	Stage  int // -1: the run as a whole
	End    plan.End
	Reason string
}

// Finish asks for a run's final answer.
type Finish struct{ Run string }
