// Package batch keeps the Faktory front's batches: jobs that are pushed together. A batch has a
// call-back job that is pushed once all of its jobs have run, or one that is pushed once all have
// succeeded, or both; each is pushed exactly once. Batches nest: a parent waits for its children.
//
// It does no I/O and reads no clock. The caller pushes the call-backs that the methods return, and
// must not use a Store concurrently.
package batch

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the kind of a call-back, by the protocol's name.
type Kind string

// Call-backs.
const (
	Complete Kind = "complete" // each job has run, whether it succeeded or not
	Success  Kind = "success"  // each job has succeeded
)

// State is the state of a call-back, by the protocol's value.
type State string

// States of call-backs.
const (
	NotDue   State = ""
	Enqueued State = "1" // it is returned to the caller, which pushes it
	Done     State = "2" // it has succeeded, or there is none
)

// Errors of the methods.
var (
	// ErrUnknownBatch is returned for a bid that no unfinished batch has.
	ErrUnknownBatch = errors.New("no such batch")
	// ErrCommitted is returned when a batch that has been committed is committed again, or a job is
	// to be added to it.
	ErrCommitted = errors.New("the batch has been committed")
	// ErrFinished is returned when a batch one of whose call-backs is due is opened again, or is to
	// get a child.
	ErrFinished = errors.New("the batch is over")
	// ErrNoCallback is returned for a definition without a call-back.
	ErrNoCallback = errors.New("a batch has a success or a complete call-back")
	// ErrFull is returned when a new batch would exceed the limits.
	ErrFull = errors.New("there are too many batches")
)

// Definition is what BATCH NEW defines.
type Definition struct {
	Parent, Description string          // Parent: its bid; empty: none
	Callbacks           map[Kind][]byte // jobs as JSON; at least one
}

// Callback is a call-back job that is due now.
type Callback struct {
	Batch string // its bid
	Kind  Kind
	Job   []byte // JSON
}

// Batch is one batch; callers must not change it. A job is pending until it has succeeded; one that has
// failed at least once and not succeeded since counts as failed as well.
type Batch struct {
	ID          string
	Definition  Definition
	Created     time.Time
	Committed   bool // no job is added any more, unless it is opened again
	Total       int
	Pending     int
	failedJobs  map[string]bool // pending ones that have run
	pendingJobs map[string]bool // all that are pending
	children    map[string]bool // by bid: batches whose parent it is; true: complete
	States      map[Kind]State
}

// overheadBytes is about what a batch takes in memory in addition to its id and its definition.
const overheadBytes = 400

// size returns about what the batch takes in memory, in bytes, without its jobs, which the caller
// counts where they wait.
func (b *Batch) size() int {
	size := overheadBytes + len(b.ID) + len(b.Definition.Parent) + len(b.Definition.Description)
	for _, job := range b.Definition.Callbacks {
		size += len(job)
	}
	return size
}

// Failed returns how many pending jobs have failed.
func (b *Batch) Failed() int { return len(b.failedJobs) }

// Limits bound a Store.
type Limits struct {
	Batches int // that are not finished
	Bytes   int // of these, as Batch.size counts them
}

// Store holds all batches that are not finished.
type Store struct {
	limits  Limits
	batches map[string]*Batch
	bytes   int // the sum of the batches' sizes
}

// NewStore returns an empty store.
func NewStore(limits Limits) *Store {
	return &Store{limits: limits, batches: make(map[string]*Batch)}
}

// Find returns a batch by its bid, or nil.
func (s *Store) Find(id string) *Batch { return s.batches[id] }

// Len returns how many batches are not finished.
func (s *Store) Len() int { return len(s.batches) }

// New adds a batch with a new bid. It returns ErrNoCallback, ErrFull, or, for its parent,
// ErrUnknownBatch or ErrFinished.
func (s *Store) New(now time.Time, id string, d Definition) error {
	if len(d.Callbacks[Complete]) == 0 && len(d.Callbacks[Success]) == 0 {
		return ErrNoCallback
	}
	batch := &Batch{
		ID: id, Definition: d, Created: now, failedJobs: make(map[string]bool), pendingJobs: make(map[string]bool), children: make(map[string]bool),
		States: make(map[Kind]State),
	}
	if len(s.batches) >= s.limits.Batches || s.bytes+batch.size() > s.limits.Bytes {
		return ErrFull
	}
	if s.batches[id] != nil {
		return fmt.Errorf("batch %s is there already", id)
	}
	if d.Parent != "" {
		parent := s.batches[d.Parent]
		if parent == nil {
			return fmt.Errorf("parent %s: %w", d.Parent, ErrUnknownBatch)
		}
		if parent.States[Success] != NotDue || parent.States[Complete] != NotDue {
			return fmt.Errorf("parent %s: %w", d.Parent, ErrFinished)
		}
		parent.children[id] = false
	}
	s.batches[id] = batch
	s.bytes += batch.size()
	return nil
}

// Open lets jobs be added to a committed batch again, as its own jobs do while they run. It
// returns ErrUnknownBatch, or ErrFinished once a call-back is due.
func (s *Store) Open(id string) error {
	batch := s.batches[id]
	switch {
	case batch == nil:
		return ErrUnknownBatch
	case batch.States[Success] != NotDue || batch.States[Complete] != NotDue:
		return ErrFinished
	}
	batch.Committed = false
	return nil
}

// CheckAdd returns nil if a job may be pushed into a batch, else ErrUnknownBatch or ErrCommitted.
func (s *Store) CheckAdd(id string) error {
	switch batch := s.batches[id]; {
	case batch == nil:
		return ErrUnknownBatch
	case batch.Committed:
		return ErrCommitted
	}
	return nil
}

// Add adds a pushed job to a batch. A job that is pushed again counts once.
func (s *Store) Add(id, job string) {
	if batch := s.batches[id]; batch != nil && !batch.pendingJobs[job] {
		batch.pendingJobs[job] = true
		batch.Total++
		batch.Pending++
	}
}

// Remove removes a job whose push was not accepted after all.
func (s *Store) Remove(id, job string) {
	if batch := s.batches[id]; batch != nil && batch.pendingJobs[job] {
		delete(batch.pendingJobs, job)
		batch.Total--
		batch.Pending--
	}
}

// Commit closes a batch to further jobs. It returns the call-backs that this makes due, if the
// batch has no job or the last one has ended already; or ErrUnknownBatch or ErrCommitted.
func (s *Store) Commit(id string) ([]Callback, error) {
	batch := s.batches[id]
	switch {
	case batch == nil:
		return nil, ErrUnknownBatch
	case batch.Committed:
		return nil, ErrCommitted
	}
	batch.Committed = true
	return s.dueCallbacks(batch), nil
}

// JobRan records that a job of a batch has run, and returns the call-backs that this makes due. A
// job that has succeeded counts once.
func (s *Store) JobRan(id, job string, succeeded bool) []Callback {
	batch := s.batches[id]
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
	return s.dueCallbacks(batch)
}

// CallbackSucceeded records that a call-back has succeeded, and returns the call-backs of parents
// that this makes due. A batch whose call-backs have all succeeded is finished, and is removed.
func (s *Store) CallbackSucceeded(id string, kind Kind) []Callback {
	batch := s.batches[id]
	if batch == nil || batch.States[kind] != Enqueued {
		return nil
	}
	batch.States[kind] = Done
	return s.removeIfFinished(batch)
}

// dueCallbacks returns the call-backs of a batch, and of its parents, that are due now and were
// not before.
func (s *Store) dueCallbacks(batch *Batch) (due []Callback) {
	if !batch.Committed {
		return nil
	}
	complete, success := batch.Pending == len(batch.failedJobs), batch.Pending == 0
	for child, done := range batch.children {
		complete = complete && done
		success = success && s.batches[child] == nil
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
		if parent := s.batches[batch.Definition.Parent]; parent != nil && !parent.children[batch.ID] {
			parent.children[batch.ID] = true
			due = append(due, s.dueCallbacks(parent)...)
		}
	}
	return append(due, s.removeIfFinished(batch)...)
}

// removeIfFinished removes a batch if it is finished, and returns the parent's call-backs that this
// makes due.
func (s *Store) removeIfFinished(batch *Batch) []Callback {
	if s.batches[batch.ID] != batch || batch.States[Success] != Done || batch.States[Complete] != Done {
		return nil
	}
	delete(s.batches, batch.ID)
	s.bytes -= batch.size()
	if parent := s.batches[batch.Definition.Parent]; parent != nil {
		return s.dueCallbacks(parent)
	}
	return nil
}
