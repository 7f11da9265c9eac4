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
	ID, Type, Queue       string // the latter two should be shared by the jobs of one name
	Client                string // the client that pushed it, shared likewise
	Body                  []byte // as it was pushed
	*Options                     // nil: nothing of it
	Failure               *Failure
	Attachment            any    // the front's own
	Retries               int32  // how often it may be tried again; 0: then it is dead; below 0: then it is gone
	ConsecutiveRejections uint16 // in a row, by the decisions
	MayHaveRun            bool   // an attempt of it may have had its effect
	IsRetry               bool   // it was tried before: its next try is one of the same ask

	enqueuedAt unixNanos // since when it waits in its queue
	orderedBy  unixNanos // what its set is ordered by
	set        *Set      // nil: in no set
	heapIndex  int       // in the heap of its set
	prev       *Job      // in its queue
	next       *Job
	queue      *Queue
}

// Options is what few jobs have.
type Options struct {
	NotBefore    time.Time // not before this
	ExpiresAt    time.Time // not run after this; zero: never too late
	UniqueKey    uint64    // the lock it holds; 0: none
	ReleaseOn    LockRelease
	UniqueTTL    time.Duration
	Batch        string // it belongs to
	CallbackOf   string // it is a call-back of this batch
	CallbackKind string // which one
}

// options is the job's, or one with nothing in it.
func (j *Job) options() *Options {
	if j.Options == nil {
		return &noOptions
	}
	return j.Options
}

var noOptions Options

// unixNanos is a time in nanoseconds since 1970: a third of the size of one.
type unixNanos int64

func unixNanosOf(t time.Time) unixNanos    { return unixNanos(t.UnixNano()) }
func (s unixNanos) time() time.Time        { return time.Unix(0, int64(s)) }
func (s unixNanos) after(o unixNanos) bool { return s > o }

// Failure is how a job failed last.
type Failure struct {
	RetryCount int // how often it has been tried again
	Remaining  int
	FailedAt   time.Time
	NextAt     time.Time
	ErrorType  string
	Message    string
	Backtrace  []string
}

// LockRelease is what ends a unique job's lock beside its time.
type LockRelease uint8

// Ends of a lock.
const (
	ReleaseOnSuccess LockRelease = iota
	ReleaseOnStart
)

// jobOverheadBytes is roughly what a job takes beside its body.
const jobOverheadBytes = 450

func (j *Job) size() int {
	return len(j.Body) + len(j.ID) + len(j.Type) + len(j.Queue) + jobOverheadBytes
}

// Location tells where a job is: the name of a set, Queued, or "" for none.
func (j *Job) Location() string {
	switch {
	case j.set != nil:
		return j.set.Name
	case j.queue != nil:
		return InQueue
	}
	return ""
}

// InQueue is where a job is that waits in its queue.
const InQueue = "queue"

// OrderTime is the time that its set orders it by.
func (j *Job) OrderTime() time.Time { return j.orderedBy.time() }
