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
// before it is pushed; later only this package changes it. A hundred thousand of
// them may wait: what few jobs have is in Rare.
type Job struct {
	ID, Type, Queue string // the latter two should be shared by the jobs of one name
	Owner           string // the client that pushed it, shared likewise
	Body            []byte // as it was pushed
	*Rare                  // nil: nothing of it
	Failure         *Failure
	Data            any    // the front's own
	Retries         int32  // how often it may be tried again; 0: then it is dead; below 0: then it is gone
	Refusals        uint16 // in a row, by the decisions
	MayHaveRun      bool   // an attempt of it may have had its effect
	Again           bool   // it was tried before: its next try is one of the same ask

	queued stamp // since when it waits in its queue
	when   stamp // what its set is ordered by
	in     *Set  // nil: in no set
	index  int   // in the heap of its set
	prev   *Job  // in its queue
	next   *Job
	at     *Queue
}

// Rare is what few jobs have.
type Rare struct {
	At          time.Time // not before this
	ExpiresAt   time.Time // not run after this; zero: never too late
	Unique      uint64    // the lock it holds; 0: none
	UniqueUntil Until
	UniqueFor   time.Duration
	Batch       string // it belongs to
	CallbackOf  string // it is a call-back of this batch
	Callback    string // which one
}

// rare is the job's, or one with nothing in it.
func (j *Job) rare() *Rare {
	if j.Rare == nil {
		return &nothing
	}
	return j.Rare
}

var nothing Rare

// stamp is a time in nanoseconds since 1970: a third of the size of one.
type stamp int64

func stampOf(t time.Time) stamp    { return stamp(t.UnixNano()) }
func (s stamp) time() time.Time    { return time.Unix(0, int64(s)) }
func (s stamp) after(o stamp) bool { return s > o }

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
const overhead = 450

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
func (j *Job) When() time.Time { return j.when.time() }
