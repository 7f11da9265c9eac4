package planrun

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"basaltloft/internal/dispatcher/fleet/plan"
	"basaltloft/internal/shared/indexedheap"
)

// Tracker holds the progress of all runs and the answers of those that have ended. All times
// are fleet time, which comes with the commands. It is not safe for concurrent use.
type Tracker struct {
	limits               Limits
	now                  time.Duration
	lastFence            uint64 // last fencing number that was assigned
	lastSharedGeneration uint64 // highest generation of any shared output so far
	shapes               map[uint64]*internedShape
	runs                 map[string]*Run
	answers              map[string]*Answer
	answersByEnd         []*Answer // in the order in which their runs ended
	firstWithResults     int       // index in answersByEnd of the first answer that has kept its results
	outputs              map[string]*Output
	orphans              []string // runs without a coordinator, sorted
	deadlines            indexedheap.Heap[*Run]
}

// NewTracker returns an empty tracker.
func NewTracker(l Limits) *Tracker {
	t := &Tracker{limits: l}
	t.reset()
	return t
}

func (t *Tracker) reset() {
	t.shapes, t.runs, t.answers, t.outputs = map[uint64]*internedShape{}, map[string]*Run{}, map[string]*Answer{}, map[string]*Output{}
	t.answersByEnd, t.firstWithResults, t.orphans = nil, 0, nil
	t.deadlines = indexedheap.New(func(x, y *Run) bool { return cmp.Or(cmp.Compare(x.dueAt, y.dueAt), cmp.Compare(x.ID, y.ID)) < 0 }, func(r *Run, at int) { r.heapIndex = at })
}

// advanceClock advances the fleet time to the time of a command and returns it. The fleet
// time never decreases.
func (t *Tracker) advanceClock(at time.Duration) time.Duration {
	t.now = max(t.now, at)
	return t.now
}

// Counts returns how many runs are in progress, and how many have ended and still have their
// answer.
func (t *Tracker) Counts() (running, ended int) { return len(t.runs), len(t.answers) }

// View returns a copy of a run in progress. Its errors wrap ErrUnknownRun or ErrEnded.
func (t *Tracker) View(id string) (View, error) {
	r, err := t.findRun(id)
	if err != nil {
		return View{}, err
	}
	v := View{Shape: r.shape, Run: r.clone()}
	for i := range r.Stages {
		if o := t.outputs[r.Stages[i].SharedKey]; o != nil && r.Stages[i].SharedKey != "" && o.isOwnedBy(r, i) {
			v.Producing |= 1 << i
		}
	}
	return v, nil
}

// Answer returns a run's final answer, or nil.
func (t *Tracker) Answer(id string) *Answer {
	if a := t.answers[id]; a != nil {
		c := *a
		return &c
	}
	return nil
}

func (t *Tracker) findRun(id string) (*Run, error) {
	if r := t.runs[id]; r != nil {
		return r, nil
	}
	if t.answers[id] != nil {
		return nil, ErrEnded
	}
	return nil, ErrUnknownRun
}

// ownedRun returns a run if fence is that of its present coordinator.
func (t *Tracker) ownedRun(id string, fence uint64) (*Run, error) {
	r, err := t.findRun(id)
	if err == nil && (r.Orphan || r.Fence != fence) {
		return nil, ErrFenced
	}
	return r, err
}

// Start starts a run. An id stands for one run: a further Start with that id, from any
// process, returns the run in progress, or its answer for as long as that is kept
// (Limits.AnswerRetention). A Start that is delivered after that can't start the run again:
// an answer is kept until the Before of its Start has passed, and then the Start is refused.
func (t *Tracker) Start(at time.Duration, c Start) (StartReply, error) {
	at = t.advanceClock(at)
	if a := t.Answer(c.Run); a != nil {
		return StartReply{Known: true, Answer: a}, nil
	}
	if r := t.runs[c.Run]; r != nil {
		reply := StartReply{Known: true}
		if !r.Orphan && r.Process == c.Process && r.Incarnation == c.Incarnation {
			reply.Fence = r.Fence
		}
		return reply, nil
	}
	switch {
	case c.Before <= at || c.Before-at > t.limits.MaxTimeout:
		return StartReply{}, fmt.Errorf("starting run %s at %v: %w", c.Run, at, ErrDeadline)
	case len(t.runs) >= t.limits.Runs || len(t.runs)+len(t.answers) >= t.limits.KnownRuns:
		return StartReply{}, ErrFull
	case len(c.Input) > t.limits.RunBytes || c.Run == "" || len(c.Run) > maxNameLength || len(c.Plan) > maxNameLength || len(c.Tenant) > maxNameLength || len(c.Process) > maxNameLength:
		return StartReply{}, fmt.Errorf("starting a run of plan %.32s: %w", c.Plan, ErrTooLarge)
	}
	key, shape, err := t.internShape(c.Shape)
	if err != nil {
		return StartReply{}, err
	}
	t.lastFence++
	r := &Run{
		ID: c.Run, Plan: c.Plan, Tenant: c.Tenant, Digest: c.Digest, Shape: key, Input: c.Input, Seed: c.Seed, Started: at, StartBy: c.Before,
		Deadline: min(c.Before, at+shape.Timeout), Process: c.Process, Incarnation: c.Incarnation, Fence: t.lastFence,
		Bytes: len(c.Input), Stages: make([]Stage, len(shape.Stages)), shape: shape,
	}
	for i := range r.Stages {
		r.Stages[i].Generation = 1
		if shape.Stages[i].needsNoOpen() {
			r.Stages[i].Opened, r.Stages[i].Items = true, make([]Item, 1)
		}
	}
	r.dueAt = r.Deadline
	t.runs[r.ID] = r
	t.deadlines.Push(r)
	return StartReply{Fence: r.Fence}, nil
}

// Open sets the items of a stage. Only the first Open of a stage has an effect.
func (t *Tracker) Open(at time.Duration, c Open) error {
	at = t.advanceClock(at)
	r, err := t.ownedRun(c.Run, c.Fence)
	switch {
	case err != nil:
		return err
	case r.GaveUp != nil:
		return ErrGivenUp
	case c.Stage < 0 || c.Stage >= len(r.Stages):
		return ErrNotFound
	}
	sh, st := &r.shape.Stages[c.Stage], &r.Stages[c.Stage]
	size := len(c.Key)
	for _, v := range c.Items {
		size += len(v)
	}
	switch {
	case st.Opened:
		return nil
	case !r.inputsReady(r.shape, c.Stage):
		return ErrStale
	case !sh.Each && len(c.Items) != 1 || sh.Shared != (c.Key != ""):
		return ErrNotFound
	case sh.Each && len(c.Items) > sh.MaxItems || r.Bytes+size > t.limits.RunBytes || len(c.Key) > t.limits.KeyBytes:
		return ErrTooLarge
	case sh.Shared && t.outputs[c.Key] == nil && len(t.outputs) >= t.limits.SharedOutputs:
		return ErrFull
	}
	r.Bytes += size
	st.Opened, st.Items = true, make([]Item, len(c.Items))
	for i, v := range c.Items {
		st.Items[i].Value = v
	}
	if sh.Shared {
		st.SharedKey = c.Key
		t.attachOutput(at, r, c.Stage)
	}
	t.completeIfDone(at, r, c.Stage)
	t.finishIfDone(at, r)
	return nil
}

// Abandon gives a run up at its coordinator's request.
func (t *Tracker) Abandon(at time.Duration, c Abandon) error {
	at = t.advanceClock(at)
	r, err := t.ownedRun(c.Run, c.Fence)
	switch {
	case err != nil:
		return err
	case c.Stage < -1 || c.Stage >= len(r.Stages) || len(c.End) > maxNameLength:
		return ErrNotFound
	}
	t.giveUp(r, c.Stage, c.End, c.Reason)
	t.finishIfDone(at, r)
	return nil
}

// Finish returns a run's final answer, the same each time. It doesn't end the run: a run ends
// with the command after which nothing is left to do. Until then the error is ErrInFlight.
func (t *Tracker) Finish(at time.Duration, c Finish) (*Answer, error) {
	t.advanceClock(at)
	if _, err := t.findRun(c.Run); err == nil {
		return nil, ErrInFlight
	} else if errors.Is(err, ErrUnknownRun) {
		return nil, err
	}
	return t.Answer(c.Run), nil
}

// Advance gives up runs whose deadline has passed, ends those whose grace has passed too, and
// drops expired answers and shared outputs.
func (t *Tracker) Advance(at time.Duration) {
	at = t.advanceClock(at)
	for t.deadlines.Len() > 0 && t.deadlines.All()[0].dueAt <= at {
		r := t.deadlines.All()[0]
		if at >= r.Deadline+t.limits.Grace {
			t.giveUp(r, -1, plan.Late, "its deadline passed")
			t.finishRun(at, r)
			continue
		}
		t.giveUp(r, -1, plan.Late, "its deadline passed")
		t.finishIfDone(at, r)
	}
	t.pruneAnswers(at)
}
