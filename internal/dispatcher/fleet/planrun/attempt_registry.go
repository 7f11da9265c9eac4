package planrun

import (
	"errors"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
)

// AttemptRegistry is what one incarnation of a process remembers of the runs that it
// drives: the part that is not replicated. It ensures that an attempt is sent at most once
// for its SendAttempt, whatever replies were lost, and never after the process's lease has
// expired. It does no I/O; its user sends commands, evaluates expressions and submits jobs.
// It is not safe for concurrent use, and must not be kept over a new incarnation.
type AttemptRegistry struct {
	Estimator RuntimeEstimator
	grace     time.Duration
	runs      map[string]*drivenRun
}

// drivenRun is a run under a fencing number of this process.
type drivenRun struct {
	fence    uint64
	attempts map[AttemptID]attemptState
}

// AttemptID names one attempt of a run.
type AttemptID struct {
	Stage, Item int
	Undo        bool
	Attempt     uint32
}

// attemptState is what this process has done about an attempt.
type attemptState struct {
	commandPending bool // a command about it is on its way
	consumed       bool // it was sent, or reported as unsent: it is never sent from here on
}

// NewAttemptRegistry returns an empty registry. Grace is Limits.Grace.
func NewAttemptRegistry(grace time.Duration) *AttemptRegistry {
	return &AttemptRegistry{grace: grace, runs: make(map[string]*drivenRun)}
}

// Drive adds a run that a Start or Claim assigned to this process, with its fencing number.
func (c *AttemptRegistry) Drive(run string, fence uint64) {
	if d := c.runs[run]; d == nil || d.fence != fence {
		c.runs[run] = &drivenRun{fence, make(map[AttemptID]attemptState)}
	}
}

// Drop forgets a run: it has ended, or another process has it.
func (c *AttemptRegistry) Drop(run string) { delete(c.runs, run) }

// Drives reports whether this process drives a run.
func (c *AttemptRegistry) Drives(run string) bool { return c.runs[run] != nil }

// Task is something to do for a run now.
type Task struct {
	Action
	ID      AttemptID
	Open    *Open        // to be completed with the evaluated key and items, and sent
	Sending *SendAttempt // to be sent, once the retry budget allows if SpendsRetryBudget
	Ended   *ReportEnd   // to be sent until there is a reply: an attempt in flight that nobody sends any more
}

// Tasks returns what is to be done for a run now, and when to call it again; what is
// already on its way is left out. A view with another fencing number drops the run. Each
// task must be answered once by Answered or, for a SendAttempt, by Accepted.
func (c *AttemptRegistry) Tasks(at time.Duration, v View) (list []Task, wake time.Duration) {
	d := c.runs[v.Run.ID]
	if d == nil || v.Run.Fence != d.fence || v.Run.Orphan {
		c.Drop(v.Run.ID)
		return nil, 0
	}
	var remaining time.Duration
	for _, a := range Next(at, c.grace, v) {
		if a.Kind == WaitUntil {
			wake = a.At
			continue
		}
		id := AttemptID{a.Stage, a.Item, a.Undo, a.Attempt}
		m, t := d.attempts[id], Task{Action: a, ID: id}
		if m.commandPending || a.Kind == AwaitEnd && m.consumed {
			continue
		}
		switch a.Kind {
		case OpenStage:
			t.Open = &Open{Run: v.Run.ID, Fence: d.fence, Stage: a.Stage}
		case AwaitEnd: // its Sending was let, the reply lost: time has passed, so it is not sent
			m.consumed = true
			t.Ended = &ReportEnd{Run: v.Run.ID, Fence: d.fence, Stage: a.Stage, Item: a.Item, Undo: a.Undo, Attempt: a.Attempt, End: plan.Unsent}
		default:
			if remaining == 0 {
				remaining = c.Estimator.RemainingTime(at, v)
			}
			t.Sending = &SendAttempt{
				Run: v.Run.ID, Fence: d.fence, Stage: a.Stage, Item: a.Item, Undo: a.Undo, Generation: a.Generation,
				Inputs: a.Inputs, Attempt: a.Attempt, RemainingTime: remaining,
			}
		}
		m.commandPending = true
		d.attempts[id] = m
		list = append(list, t)
	}
	return list, wake
}

// Answered takes in that a task is done: there was a reply, or none in time.
func (c *AttemptRegistry) Answered(run string, id AttemptID) {
	if d := c.runs[run]; d != nil {
		m := d.attempts[id]
		if m.commandPending = false; m == (attemptState{}) {
			delete(d.attempts, id)
			return
		}
		d.attempts[id] = m
	}
}

// Accepted is Answered for a SendAttempt, and reports whether the attempt is to be sent
// now. The argument leased says that this process's own lease is valid at this moment; the
// send must follow at once. A caller that gave up on the reply passes an error, and doesn't
// call again when the reply arrives after all.
func (c *AttemptRegistry) Accepted(s SendAttempt, id AttemptID, err error, leased bool) bool {
	d := c.runs[s.Run]
	if d == nil || d.fence != s.Fence {
		return false
	}
	m := d.attempts[id]
	send := err == nil && leased && !m.consumed
	m.consumed = m.consumed || send
	d.attempts[id] = m
	if c.Answered(s.Run, id); errors.Is(err, ErrFenced) || errors.Is(err, ErrEnded) {
		c.Drop(s.Run)
	}
	return send
}

// EndReport makes the command that reports how this attempt ended. It is sent until there
// is a reply, even after the run was dropped: it counts once.
func (s SendAttempt) EndReport(end plan.End, result []byte, member string, lost *LostInput) ReportEnd {
	return ReportEnd{
		Run: s.Run, Fence: s.Fence, Stage: s.Stage, Item: s.Item, Undo: s.Undo, Attempt: s.Attempt,
		End: end, Result: result, Member: member, Lost: lost,
	}
}
