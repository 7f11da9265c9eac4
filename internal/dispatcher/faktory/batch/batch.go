// Package batch keeps the Faktory front's batches: jobs that are pushed
// together, with a call-back once all of them have run and one once all have
// succeeded, each exactly once. Batches nest: a parent waits for its children.
// It does no I/O and keeps no clock; a Book must not be used concurrently.
package batch

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the kind of a call-back.
type Kind string

// Call-backs.
const (
	Complete Kind = "complete" // each job has run, whether it succeeded or not
	Success  Kind = "success"  // each job has succeeded
)

// State is how far a call-back is, in the protocol's words.
type State string

// States of call-backs.
const (
	NotDue   State = ""
	Enqueued State = "1"
	Done     State = "2"
)

// Errors of commands.
var (
	ErrUnknownBatch = errors.New("no such batch")
	ErrCommitted    = errors.New("the batch has been committed")
	ErrFinished     = errors.New("the batch is over")
	ErrNoCallback   = errors.New("a batch has a success or a complete call-back")
	ErrFull         = errors.New("there are too many batches")
)

// Definition is what BATCH NEW says.
type Definition struct {
	Parent, Description string
	Callbacks           map[Kind][]byte // jobs, as JSON
}

// Callback is a job that a batch owes now.
type Callback struct {
	Batch string
	Kind  Kind
	Job   []byte
}

// Batch is one batch. Its jobs are pending until they have succeeded; those that
// have failed at least once and not succeeded since are failed as well.
type Batch struct {
	ID          string
	Definition  Definition
	Created     time.Time
	Committed   bool
	Total       int
	Pending     int
	failedJobs  map[string]bool // pending ones that have run
	pendingJobs map[string]bool // all that are pending
	children    map[string]bool // batches in it that have not succeeded; true: complete
	States      map[Kind]State
}

// Failed is how many pending jobs have failed.
func (b *Batch) Failed() int { return len(b.failedJobs) }

// Store is all batches that are not over.
type Store struct {
	limit   int
	batches map[string]*Batch
}

// NewStore returns an empty one that holds so many batches.
func NewStore(limit int) *Store { return &Store{limit: limit, batches: make(map[string]*Batch)} }

// Find returns a batch, or nil.
func (b *Store) Find(id string) *Batch { return b.batches[id] }

// Len is how many batches are not over.
func (b *Store) Len() int { return len(b.batches) }

// New begins a batch.
func (b *Store) New(now time.Time, id string, d Definition) error {
	if len(d.Callbacks[Complete]) == 0 && len(d.Callbacks[Success]) == 0 {
		return ErrNoCallback
	}
	if len(b.batches) >= b.limit {
		return ErrFull
	}
	if b.batches[id] != nil {
		return fmt.Errorf("batch %s is there already", id)
	}
	if d.Parent != "" {
		parent := b.batches[d.Parent]
		if parent == nil {
			return fmt.Errorf("parent %s: %w", d.Parent, ErrUnknownBatch)
		}
		if parent.States[Success] != NotDue || parent.States[Complete] != NotDue {
			return fmt.Errorf("parent %s: %w", d.Parent, ErrFinished)
		}
		parent.children[id] = false
	}
	b.batches[id] = &Batch{
		ID: id, Definition: d, Created: now, failedJobs: make(map[string]bool), pendingJobs: make(map[string]bool), children: make(map[string]bool),
		States: make(map[Kind]State),
	}
	return nil
}

// Open lets jobs be added to a batch that was committed, which its own jobs do
// while they run.
func (b *Store) Open(id string) error {
	batch := b.batches[id]
	switch {
	case batch == nil:
		return ErrUnknownBatch
	case batch.States[Success] != NotDue || batch.States[Complete] != NotDue:
		return ErrFinished
	}
	batch.Committed = false
	return nil
}

// CheckAdd tells whether a job may be pushed into a batch.
func (b *Store) CheckAdd(id string) error {
	switch batch := b.batches[id]; {
	case batch == nil:
		return ErrUnknownBatch
	case batch.Committed:
		return ErrCommitted
	}
	return nil
}

// Add takes in a job that was pushed. Pushed again, it counts once.
func (b *Store) Add(id, job string) {
	if batch := b.batches[id]; batch != nil && !batch.pendingJobs[job] {
		batch.pendingJobs[job] = true
		batch.Total++
		batch.Pending++
	}
}

// Remove takes back a job whose push was not taken.
func (b *Store) Remove(id, job string) {
	if batch := b.batches[id]; batch != nil && batch.pendingJobs[job] {
		delete(batch.pendingJobs, job)
		batch.Total--
		batch.Pending--
	}
}

// Commit closes a batch to further jobs and returns the call-backs that are due
// then: of one without jobs, or whose last job ended in the meantime.
func (b *Store) Commit(id string) ([]Callback, error) {
	batch := b.batches[id]
	switch {
	case batch == nil:
		return nil, ErrUnknownBatch
	case batch.Committed:
		return nil, ErrCommitted
	}
	batch.Committed = true
	return b.dueCallbacks(batch), nil
}

// JobRan takes in that a job of a batch has run, well or not, and returns the
// call-backs that are due then. A job that succeeds counts once.
func (b *Store) JobRan(id, job string, succeeded bool) []Callback {
	batch := b.batches[id]
	if batch == nil || !batch.pendingJobs[job] {
		return nil
	}
	if succeeded {
		delete(batch.failedJobs, job)
		delete(batch.pendingJobs, job)
		batch.Pending--
	} else {
		batch.failedJobs[job] = true
	}
	return b.dueCallbacks(batch)
}

// CallbackSucceeded takes in that a call-back has succeeded. A batch with all of its
// call-backs done is over.
func (b *Store) CallbackSucceeded(id string, kind Kind) []Callback {
	batch := b.batches[id]
	if batch == nil || batch.States[kind] != Enqueued {
		return nil
	}
	batch.States[kind] = Done
	return b.removeIfFinished(batch)
}

// dueCallbacks returns the call-backs of a batch, and of those it is in, that are due
// now and were not before.
func (b *Store) dueCallbacks(batch *Batch) (due []Callback) {
	if !batch.Committed {
		return nil
	}
	complete, success := batch.Pending == len(batch.failedJobs), batch.Pending == 0
	for child, done := range batch.children {
		complete = complete && done
		success = success && b.batches[child] == nil
	}
	for _, c := range []struct {
		kind Kind
		due  bool
	}{{Complete, complete}, {Success, success}} {
		if !c.due || batch.States[c.kind] != NotDue {
			continue
		}
		if batch.States[c.kind] = Enqueued; len(batch.Definition.Callbacks[c.kind]) == 0 {
			batch.States[c.kind] = Done
			continue
		}
		due = append(due, Callback{batch.ID, c.kind, batch.Definition.Callbacks[c.kind]})
	}
	if batch.States[Complete] != NotDue {
		if parent := b.batches[batch.Definition.Parent]; parent != nil && !parent.children[batch.ID] {
			parent.children[batch.ID] = true
			due = append(due, b.dueCallbacks(parent)...)
		}
	}
	return append(due, b.removeIfFinished(batch)...)
}

// removeIfFinished drops a batch that is over, and looks at its parent.
func (b *Store) removeIfFinished(batch *Batch) []Callback {
	if b.batches[batch.ID] != batch || batch.States[Success] != Done || batch.States[Complete] != Done {
		return nil
	}
	delete(b.batches, batch.ID)
	if parent := b.batches[batch.Definition.Parent]; parent != nil {
		return b.dueCallbacks(parent)
	}
	return nil
}
