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
	NotYet   State = ""
	Enqueued State = "1"
	Done     State = "2"
)

// Errors of commands.
var (
	ErrUnknown   = errors.New("no such batch")
	ErrCommitted = errors.New("the batch has been committed")
	ErrOver      = errors.New("the batch is over")
	ErrEmpty     = errors.New("a batch has a success or a complete call-back")
	ErrFull      = errors.New("there are too many batches")
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
	ID        string
	Def       Definition
	Created   time.Time
	Committed bool
	Total     int
	Pending   int
	failed    map[string]bool // pending ones that have run
	jobs      map[string]bool // all that are pending
	children  map[string]bool // batches in it that have not succeeded; true: complete
	States    map[Kind]State
}

// Failed is how many pending jobs have failed.
func (b *Batch) Failed() int { return len(b.failed) }

// Book is all batches that are not over.
type Book struct {
	most    int
	batches map[string]*Batch
}

// NewBook returns an empty one that holds so many batches.
func NewBook(most int) *Book { return &Book{most: most, batches: make(map[string]*Batch)} }

// Find returns a batch, or nil.
func (b *Book) Find(id string) *Batch { return b.batches[id] }

// Len is how many batches are not over.
func (b *Book) Len() int { return len(b.batches) }

// New begins a batch.
func (b *Book) New(now time.Time, id string, d Definition) error {
	if len(d.Callbacks[Complete]) == 0 && len(d.Callbacks[Success]) == 0 {
		return ErrEmpty
	}
	if len(b.batches) >= b.most {
		return ErrFull
	}
	if b.batches[id] != nil {
		return fmt.Errorf("batch %s is there already", id)
	}
	if d.Parent != "" {
		p := b.batches[d.Parent]
		if p == nil {
			return fmt.Errorf("parent %s: %w", d.Parent, ErrUnknown)
		}
		if p.States[Success] != NotYet || p.States[Complete] != NotYet {
			return fmt.Errorf("parent %s: %w", d.Parent, ErrOver)
		}
		p.children[id] = false
	}
	b.batches[id] = &Batch{
		ID: id, Def: d, Created: now, failed: make(map[string]bool), jobs: make(map[string]bool), children: make(map[string]bool),
		States: make(map[Kind]State),
	}
	return nil
}

// Open lets jobs be added to a batch that was committed, which its own jobs do
// while they run.
func (b *Book) Open(id string) error {
	at := b.batches[id]
	switch {
	case at == nil:
		return ErrUnknown
	case at.States[Success] != NotYet || at.States[Complete] != NotYet:
		return ErrOver
	}
	at.Committed = false
	return nil
}

// MayAdd tells whether a job may be pushed into a batch.
func (b *Book) MayAdd(id string) error {
	switch at := b.batches[id]; {
	case at == nil:
		return ErrUnknown
	case at.Committed:
		return ErrCommitted
	}
	return nil
}

// Add takes in a job that was pushed. Pushed again, it counts once.
func (b *Book) Add(id, job string) {
	if at := b.batches[id]; at != nil && !at.jobs[job] {
		at.jobs[job] = true
		at.Total++
		at.Pending++
	}
}

// Withdraw takes back a job whose push was not taken.
func (b *Book) Withdraw(id, job string) {
	if at := b.batches[id]; at != nil && at.jobs[job] {
		delete(at.jobs, job)
		at.Total--
		at.Pending--
	}
}

// Commit closes a batch to further jobs and returns the call-backs that are due
// then: of one without jobs, or whose last job ended in the meantime.
func (b *Book) Commit(id string) ([]Callback, error) {
	at := b.batches[id]
	switch {
	case at == nil:
		return nil, ErrUnknown
	case at.Committed:
		return nil, ErrCommitted
	}
	at.Committed = true
	return b.owed(at), nil
}

// Ran takes in that a job of a batch has run, well or not, and returns the
// call-backs that are due then. A job that succeeds counts once.
func (b *Book) Ran(id, job string, well bool) []Callback {
	at := b.batches[id]
	if at == nil || !at.jobs[job] {
		return nil
	}
	if well {
		delete(at.failed, job)
		delete(at.jobs, job)
		at.Pending--
	} else {
		at.failed[job] = true
	}
	return b.owed(at)
}

// CallbackRan takes in that a call-back has succeeded. A batch with all of its
// call-backs done is over.
func (b *Book) CallbackRan(id string, kind Kind) []Callback {
	at := b.batches[id]
	if at == nil || at.States[kind] != Enqueued {
		return nil
	}
	at.States[kind] = Done
	return b.settle(at)
}

// owed returns the call-backs of a batch, and of those it is in, that are due
// now and were not before.
func (b *Book) owed(at *Batch) (due []Callback) {
	if !at.Committed {
		return nil
	}
	complete, success := at.Pending == len(at.failed), at.Pending == 0
	for child, done := range at.children {
		complete = complete && done
		success = success && b.batches[child] == nil
	}
	for _, c := range []struct {
		kind Kind
		due  bool
	}{{Complete, complete}, {Success, success}} {
		if !c.due || at.States[c.kind] != NotYet {
			continue
		}
		if at.States[c.kind] = Enqueued; len(at.Def.Callbacks[c.kind]) == 0 {
			at.States[c.kind] = Done
			continue
		}
		due = append(due, Callback{at.ID, c.kind, at.Def.Callbacks[c.kind]})
	}
	if at.States[Complete] != NotYet {
		if p := b.batches[at.Def.Parent]; p != nil && !p.children[at.ID] {
			p.children[at.ID] = true
			due = append(due, b.owed(p)...)
		}
	}
	return append(due, b.settle(at)...)
}

// settle drops a batch that is over, and looks at its parent.
func (b *Book) settle(at *Batch) []Callback {
	if b.batches[at.ID] != at || at.States[Success] != Done || at.States[Complete] != Done {
		return nil
	}
	delete(b.batches, at.ID)
	if p := b.batches[at.Def.Parent]; p != nil {
		return b.owed(p)
	}
	return nil
}
