package planrun

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// internedShape is a shape with its encoding and the number of runs that use it.
type internedShape struct {
	shape *Shape
	text  []byte
	runs  int
}

// internShape returns the stored copy of a shape and its key, and counts one more run that
// uses it. The key is the shape's digest or, if another shape has that key, the next free
// number.
func (t *Tracker) internShape(s Shape) (uint64, *Shape, error) {
	text, err := codec.Encode(s)
	if err != nil {
		return 0, nil, fmt.Errorf("encoding a shape: %w", err)
	}
	key := codec.Digest(text)
	for ; t.shapes[key] != nil; key++ {
		if k := t.shapes[key]; bytes.Equal(k.text, text) {
			k.runs++
			return key, k.shape, nil
		}
	}
	if err := s.resolve(); err != nil {
		return 0, nil, err
	}
	t.shapes[key] = &internedShape{&s, text, 1}
	return key, &s, nil
}

func (t *Tracker) releaseShape(key uint64) {
	if k := t.shapes[key]; k.runs > 1 {
		k.runs--
	} else {
		delete(t.shapes, key)
	}
}

// stateVersion is the version of the encoded state.
const stateVersion = 1

// envelope is the outer encoding, which any version can read.
type envelope struct {
	Version int
	State   []byte
}

// storedState is the form in which a Tracker is encoded, by the field names in its tags.
type storedState struct {
	Limits               Limits
	Now                  time.Duration
	Fence                uint64
	LastSharedGeneration uint64           `cbor:"Newest"`
	Shapes               map[uint64]Shape // encoded in the order of keys
	Runs                 []*Run           // sorted by id
	Answers              []*Answer
	FirstWithResults     int       `cbor:"Whole"`
	Outputs              []*Output `cbor:"Shared"` // by key
}

// Encode encodes the whole state. Replicas that have applied the same commands get the same
// bytes.
func (t *Tracker) Encode() ([]byte, error) {
	s := storedState{Limits: t.limits, Now: t.now, Fence: t.lastFence, LastSharedGeneration: t.lastSharedGeneration, Shapes: map[uint64]Shape{}, Answers: t.answersByEnd, FirstWithResults: t.firstWithResults}
	for key, k := range t.shapes {
		s.Shapes[key] = *k.shape
	}
	for _, id := range sortedKeys(t.runs) {
		s.Runs = append(s.Runs, t.runs[id])
	}
	for _, key := range sortedKeys(t.outputs) {
		s.Outputs = append(s.Outputs, t.outputs[key])
	}
	text, err := codec.Encode(s)
	if err != nil {
		return nil, err
	}
	return codec.Encode(envelope{stateVersion, text})
}

// Digest returns the digest of the encoded state.
func (t *Tracker) Digest() (uint64, error) {
	text, err := t.Encode()
	if err != nil {
		return 0, err
	}
	return codec.Digest(text), nil
}

// ErrInvalidState is returned for data that is not the encoded state of a Tracker.
var ErrInvalidState = errors.New("not the encoded state of plan runs")

// Decode replaces the state by an encoded one. On an error the state is unchanged.
func (t *Tracker) Decode(text []byte) error {
	var f envelope
	if err := codec.Decode(text, &f); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidState, err)
	}
	if f.Version != stateVersion {
		return fmt.Errorf("%w: it has version %d; this program reads %d", ErrInvalidState, f.Version, stateVersion)
	}
	var s storedState
	if err := codec.Decode(f.State, &s); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidState, err)
	}
	n := NewTracker(s.Limits)
	n.now, n.lastFence, n.lastSharedGeneration, n.answersByEnd, n.firstWithResults = s.Now, s.Fence, s.LastSharedGeneration, s.Answers, s.FirstWithResults
	if n.firstWithResults < 0 || n.firstWithResults > len(n.answersByEnd) {
		return ErrInvalidState
	}
	for key, sh := range s.Shapes {
		text, err := codec.Encode(sh)
		if err != nil {
			return fmt.Errorf("encoding a shape: %w", err)
		}
		if err := sh.resolve(); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidState, err)
		}
		n.shapes[key] = &internedShape{&sh, text, 0}
	}
	for _, a := range s.Answers {
		if a == nil || n.answers[a.Run] != nil || a.Outcome > Unknown {
			return ErrInvalidState
		}
		n.answers[a.Run] = a
	}
	for _, r := range s.Runs {
		if err := n.addDecodedRun(r); err != nil {
			return err
		}
	}
	for _, o := range s.Outputs {
		if o == nil || n.outputs[o.Key] != nil || o.Producer != nil && !n.isUser(o, *o.Producer) {
			return ErrInvalidState
		}
		for _, u := range o.Users {
			if !n.isUser(o, u) {
				return ErrInvalidState
			}
		}
		n.outputs[o.Key] = o
	}
	for _, k := range n.shapes {
		if k.runs == 0 {
			return ErrInvalidState
		}
	}
	*t = *n
	return nil
}

// addDecodedRun adds a decoded run. It checks the run for all that the Tracker relies on.
func (t *Tracker) addDecodedRun(r *Run) error {
	if r == nil || t.runs[r.ID] != nil || t.answers[r.ID] != nil || t.shapes[r.Shape] == nil {
		return ErrInvalidState
	}
	k := t.shapes[r.Shape]
	r.shape = k.shape
	k.runs++
	if len(r.Stages) != len(r.shape.Stages) {
		return ErrInvalidState
	}
	for i := range r.Stages {
		sh := &r.shape.Stages[i]
		for n := range r.Stages[i].Items {
			it := &r.Stages[i].Items[n]
			if it.Job.State > PermanentlyFailed || it.Undo.State > PermanentlyFailed || it.RetriesUsed != nil && len(it.RetriesUsed) != len(sh.Retries) ||
				it.Job.Attempt > 0 && len(it.Inputs) != len(r.shape.Upstream(i)) || sh.Undo == nil && (it.Undo.Attempt > 0 || it.Undo.State != Pending) {
				return ErrInvalidState
			}
		}
	}
	if g := r.GaveUp; g != nil && (g.Stage < -1 || g.Stage >= len(r.Stages)) {
		return ErrInvalidState
	}
	if r.dueAt = r.Deadline; r.GaveUp != nil {
		r.dueAt += t.limits.Grace
	}
	t.runs[r.ID] = r
	t.deadlines.Push(r)
	if r.Orphan {
		i, _ := slices.BinarySearch(t.orphans, r.ID)
		t.orphans = slices.Insert(t.orphans, i, r.ID)
	}
	return nil
}

// isUser reports whether a stage of a run uses an output.
func (t *Tracker) isUser(o *Output, u OutputUser) bool {
	r := t.runs[u.Run]
	return r != nil && u.Stage >= 0 && u.Stage < len(r.Stages) && r.Stages[u.Stage].SharedKey == o.Key
}
