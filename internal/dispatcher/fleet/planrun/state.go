package planrun

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
)

// interned is a shape that runs under way have.
type interned struct {
	shape *Shape
	text  []byte
	runs  int
}

// intern keeps each shape once. Its key is its digest, or the first free number after.
func (b *Book) intern(s Shape) (uint64, *Shape, error) {
	text, err := codec.Encode(s)
	if err != nil {
		return 0, nil, fmt.Errorf("encoding a shape: %w", err)
	}
	key := codec.Digest(text)
	for ; b.shapes[key] != nil; key++ {
		if k := b.shapes[key]; bytes.Equal(k.text, text) {
			k.runs++
			return key, k.shape, nil
		}
	}
	if err := s.link(); err != nil {
		return 0, nil, err
	}
	b.shapes[key] = &interned{&s, text, 1}
	return key, &s, nil
}

func (b *Book) release(key uint64) {
	if k := b.shapes[key]; k.runs > 1 {
		k.runs--
	} else {
		delete(b.shapes, key)
	}
}

// version of the encoded form.
const version = 1

// form is the outer one, which any version can read.
type form struct {
	Version int
	State   []byte
}

type state struct {
	Limits  Limits
	Now     time.Duration
	Fence   uint64
	Newest  uint64
	Shapes  map[uint64]Shape // encoded in the order of keys
	Runs    []*Run           // by id
	Answers []*Answer
	Whole   int
	Shared  []*Output // by key
}

// Encode writes the whole state: the same commands give the same bytes.
func (b *Book) Encode() ([]byte, error) {
	s := state{Limits: b.limits, Now: b.now, Fence: b.fence, Newest: b.newest, Shapes: map[uint64]Shape{}, Answers: b.order, Whole: b.whole}
	for key, k := range b.shapes {
		s.Shapes[key] = *k.shape
	}
	for _, id := range sorted(b.runs) {
		s.Runs = append(s.Runs, b.runs[id])
	}
	for _, key := range sorted(b.shared) {
		s.Shared = append(s.Shared, b.shared[key])
	}
	text, err := codec.Encode(s)
	if err != nil {
		return nil, err
	}
	return codec.Encode(form{version, text})
}

// Digest is a short sum of the state.
func (b *Book) Digest() (uint64, error) {
	text, err := b.Encode()
	if err != nil {
		return 0, err
	}
	return codec.Digest(text), nil
}

// ErrState says that what was to be decoded is no state of a Book.
var ErrState = errors.New("not a state of plans under way")

// Decode takes a state that was encoded. On an error nothing is changed.
func (b *Book) Decode(text []byte) error {
	var f form
	if err := codec.Decode(text, &f); err != nil {
		return fmt.Errorf("%w: %w", ErrState, err)
	}
	if f.Version != version {
		return fmt.Errorf("%w: it has version %d; this program reads %d", ErrState, f.Version, version)
	}
	var s state
	if err := codec.Decode(f.State, &s); err != nil {
		return fmt.Errorf("%w: %w", ErrState, err)
	}
	n := NewBook(s.Limits)
	n.now, n.fence, n.newest, n.order, n.whole = s.Now, s.Fence, s.Newest, s.Answers, s.Whole
	if n.whole < 0 || n.whole > len(n.order) {
		return ErrState
	}
	for key, sh := range s.Shapes {
		text, err := codec.Encode(sh)
		if err != nil {
			return fmt.Errorf("encoding a shape: %w", err)
		}
		if err := sh.link(); err != nil {
			return fmt.Errorf("%w: %w", ErrState, err)
		}
		n.shapes[key] = &interned{&sh, text, 0}
	}
	for _, a := range s.Answers {
		if a == nil || n.ended[a.Run] != nil || a.Outcome > Unknown {
			return ErrState
		}
		n.ended[a.Run] = a
	}
	for _, r := range s.Runs {
		if err := n.enter(r); err != nil {
			return err
		}
	}
	for _, o := range s.Shared {
		if o == nil || n.shared[o.Key] != nil || o.Owner != nil && !n.uses(o, *o.Owner) {
			return ErrState
		}
		for _, u := range o.Users {
			if !n.uses(o, u) {
				return ErrState
			}
		}
		n.shared[o.Key] = o
	}
	for _, k := range n.shapes {
		if k.runs == 0 {
			return ErrState
		}
	}
	*b = *n
	return nil
}

// enter takes in a decoded run, if it is one that commands could have made as far as
// the Book relies on it.
func (b *Book) enter(r *Run) error {
	if r == nil || b.runs[r.ID] != nil || b.ended[r.ID] != nil || b.shapes[r.Shape] == nil {
		return ErrState
	}
	k := b.shapes[r.Shape]
	r.shape = k.shape
	k.runs++
	if len(r.Stages) != len(r.shape.Stages) {
		return ErrState
	}
	for i := range r.Stages {
		sh := &r.shape.Stages[i]
		for n := range r.Stages[i].Items {
			it := &r.Stages[i].Items[n]
			if it.Job.State > Dead || it.Undo.State > Dead || it.Tries != nil && len(it.Tries) != len(sh.Retries) ||
				it.Job.Attempt > 0 && len(it.Inputs) != len(r.shape.Upstream(i)) || sh.Undo == nil && (it.Undo.Attempt > 0 || it.Undo.State != Idle) {
				return ErrState
			}
		}
	}
	if g := r.Gave; g != nil && (g.Stage < -1 || g.Stage >= len(r.Stages)) {
		return ErrState
	}
	if r.due = r.Deadline; r.Gave != nil {
		r.due += b.limits.Grace
	}
	b.runs[r.ID] = r
	b.due.Push(r)
	if r.Orphan {
		i, _ := slices.BinarySearch(b.orphans, r.ID)
		b.orphans = slices.Insert(b.orphans, i, r.ID)
	}
	return nil
}

func (b *Book) uses(o *Output, u User) bool {
	r := b.runs[u.Run]
	return r != nil && u.Stage >= 0 && u.Stage < len(r.Stages) && r.Stages[u.Stage].Key == o.Key
}
