package planrun

import (
	"basaltloft/internal/dispatcher/fleet/plan"
	"errors"
	"time"
)

// Command is one entry of the log: at most one of its fields is set; none is an Advance. It
// is sent by the field names in its tags.
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

// LeaseExpired says that the lease of a process's incarnation has ended; see
// Tracker.LeaseExpired.
type LeaseExpired struct {
	Process     string
	Incarnation uint64
}

// Reply answers a Command: the field of its kind, or why it was refused.
type Reply struct {
	Started *StartReply       `cbor:",omitempty"`
	Claimed []Claimed         `cbor:",omitempty"`
	Sent    *SendAttemptReply `cbor:",omitempty"`
	Counted *ReportEndReply   `cbor:",omitempty"`
	Answer  *Answer           `cbor:",omitempty"`
	Refusal string            `cbor:",omitempty"` // what Err reads
	Kind    int               `cbor:",omitempty"` // of the refusal: 1 + its place among kinds
}

// Err returns why the command was refused, or nil. The error wraps one of this package's.
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

// Apply carries out an entry of the log at its fleet time, after what has become due by
// then.
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

// Start starts a run. If the run is known, it continues, or is answered.
type Start struct {
	Run, Plan   string
	Tenant      string
	Digest      uint64
	Shape       Shape
	Input       []byte
	Seed        uint64        // of the retries' jitter
	Before      time.Duration // deadline, if that is earlier than Shape.Timeout allows; a Start that arrives later has no effect
	Process     string
	Incarnation uint64
}

// StartReply answers a Start.
type StartReply struct {
	Known  bool    // the run existed before
	Fence  uint64  // with which the caller coordinates it; 0: another process does, or it has ended
	Answer *Answer // nil: it has not ended
}

// Claim takes over runs that have lost their coordinator.
type Claim struct {
	Process     string
	Incarnation uint64
	MaxRuns     int      `cbor:"Most"`
	Plans       []uint64 // digests of the plans that the process knows; none: any
}

// Claimed is a run that was taken over.
type Claimed struct {
	Run   string
	Fence uint64
}

// Open fixes the items of a stage, once, and the key of a shared one.
type Open struct {
	Run   string
	Fence uint64
	Stage int
	Key   string
	Items [][]byte // values of the list as JSON; a stage without a list has one item, nil
}

// SendAttempt announces that an attempt is about to be sent: it may run from here on.
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

// SendAttemptReply answers an accepted SendAttempt. Again says that it was accepted before:
// whoever gets this reply sends the attempt, unless it has sent it already.
type SendAttemptReply struct{ Again bool }

// ReportEnd reports how an attempt ended.
type ReportEnd struct {
	Run     string
	Fence   uint64 // with which it was sent
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

// ReportEndReply answers a ReportEnd.
type ReportEndReply struct {
	Accepted bool    `cbor:"Once"`  // this report was the one that counted
	NewLoss  bool    `cbor:"Fresh"` // the loss it reports was not known: the output is made again
	Answer   *Answer // nil: the run has not ended
}

// Abandon gives a run up: its coordinator can't evaluate an expression.
type Abandon struct {
	Run    string
	Fence  uint64
	Stage  int // -1: the run as a whole
	End    plan.End
	Reason string
}

// Finish asks for a run's final answer.
type Finish struct{ Run string }
