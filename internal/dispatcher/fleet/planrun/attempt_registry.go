package planrun

import (
	"errors"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
)

// AttemptRegistry holds the state, not replicated, that one incarnation of a process keeps
// for the runs that it drives. It ensures that an attempt is sent at most once for its
// SendAttempt, whichever replies are lost, and never after the process's lease has expired.
// It does no I/O: its user sends commands, evaluates expressions and submits jobs. It is not
// safe for concurrent use, and a new incarnation must begin with an empty one.
type AttemptRegistry struct {
	Estimator RuntimeEstimator
	grace     time.Duration
	runs      map[string]*drivenRun
}

// drivenRun is a run that this process drives, with its fencing number.
type drivenRun struct {
	fence    uint64
	attempts map[AttemptID]attemptState
}

// AttemptID identifies one attempt of a run.
type AttemptID struct {
	Stage, Item int
	Undo        bool
	Attempt     uint32
}

// attemptState is the state of an attempt in this process.
type attemptState struct {
	commandPending bool // a command for it was sent and has no reply yet
	consumed       bool // it was sent, or reported as unsent, and must not be sent any more
}

// NewAttemptRegistry returns an empty registry. Grace is Limits.Grace.
func NewAttemptRegistry(grace time.Duration) *AttemptRegistry {
	return &AttemptRegistry{grace: grace, runs: make(map[string]*drivenRun)}
}

// Drive adds a run that a Start or Claim has assigned to this process, with its fencing
// number.
func (c *AttemptRegistry) Drive(run string, fence uint64) {
	if d := c.runs[run]; d == nil || d.fence != fence {
		c.runs[run] = &drivenRun{fence, make(map[AttemptID]attemptState)}
	}
}

// Drop removes a run that has ended, or that another process drives.
func (c *AttemptRegistry) Drop(run string) { delete(c.runs, run) }

// Drives reports whether this process drives a run.
func (c *AttemptRegistry) Drives(run string) bool { return c.runs[run] != nil }

// Task is an action that is due for a run, with the command that it needs.
type Task struct {
	Action
	ID      AttemptID
	Open    *Open        // to be completed with the evaluated key and items, and sent
	Sending *SendAttempt // to be sent, once the retry budget allows if SpendsRetryBudget
	Ended   *ReportEnd   // to be sent until there is a reply: the attempt is in flight for the Tracker, but won't be sent
}

// Tasks returns the tasks that are due for a run, without those whose command has no reply
// yet, and when to call it again. If the view has another fencing number, Tasks drops the
// run. The caller must call Answered once for each task or, for a SendAttempt, Accepted.
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
		case AwaitEnd: // its SendAttempt was accepted but the reply was lost: it is not sent so late
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

// Answered records that a task's command has its reply, or that none came in time.
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

// Accepted is Answered for a SendAttempt. It reports whether the attempt is to be sent now;
// if so, the caller must send it at once. The argument leased is whether this process's own
// lease is valid at this moment. A caller that stopped waiting for the reply passes an error,
// and must not call Accepted again when the reply arrives later.
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

// EndReport returns the command that reports the end of this attempt. It is to be sent until
// there is a reply, even after the run was dropped: it is accepted at most once.
func (s SendAttempt) EndReport(end plan.End, result []byte, member string, lost *LostInput) ReportEnd {
	return ReportEnd{
		Run: s.Run, Fence: s.Fence, Stage: s.Stage, Item: s.Item, Undo: s.Undo, Attempt: s.Attempt,
		End: end, Result: result, Member: member, Lost: lost,
	}
}
