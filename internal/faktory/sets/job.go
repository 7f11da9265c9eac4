// Package sets keeps the jobs of the Faktory front that wait: in queues, or in
// the sets of scheduled, retried and dead jobs, with the locks of unique ones.
// It decides when a job is due, whether a failed one is tried again and what no
// longer fits. It does no I/O, keeps no clock and starts no goroutine; a Book
// must not be used concurrently.
package sets

import (
	"time"
)

// Job is a job as the front keeps it. What is exported is the front's to set
// before it is pushed; later only this package changes it.
type Job struct {
	ID, Type, Queue string
	Body            []byte    // as it was pushed
	At              time.Time // not before this
	Pushed          time.Time
	Retries         int // how often it may be tried again; 0: then it is dead; below 0: then it is gone
	ReserveFor      time.Duration
	ExpiresAt       time.Time // not run after this; zero: never too late
	Unique          uint64    // the lock it holds; 0: none
	UniqueUntil     Until
	UniqueFor       time.Duration
	Batch           string // it belongs to
	CallbackOf      string // it is a call-back of this batch
	Callback        string // which one
	Failure         *Failure
	MayHaveRun      bool // an attempt of it may have had its effect
	Again           bool // it was tried before: its next try is one of the same ask
	Refusals        int  // in a row, by the decisions
	Data            any  // the front's own

	queued time.Time // since when it waits in its queue
	in     *Set      // nil: in no set
	index  int       // in the heap of its set
	when   time.Time // what its set is ordered by
	prev   *Job      // in its queue
	next   *Job
	at     *Queue
}

// Failure is how a job failed last.
type Failure struct {
	Count     int // how often it has been tried again
	Remaining int
	At        time.Time
	Next      time.Time
	Type      string
	Message   string
	Backtrace []string
}

// Until is what ends a unique job's lock beside its time.
type Until uint8

// Ends of a lock.
const (
	UntilSuccess Until = iota
	UntilStart
)

// overhead is roughly what a job takes beside its body.
const overhead = 512

func (j *Job) size() int { return len(j.Body) + len(j.ID) + len(j.Type) + len(j.Queue) + overhead }

// Where tells where a job is: the name of a set, Queued, or "" for none.
func (j *Job) Where() string {
	switch {
	case j.in != nil:
		return j.in.Name
	case j.at != nil:
		return Queued
	}
	return ""
}

// Queued is where a job is that waits in its queue.
const Queued = "queue"

// When is the time that its set orders it by.
func (j *Job) When() time.Time { return j.when }
