package sets

import (
	"math"
	"time"
)

// Job is a job as the front keeps it. The front sets the exported fields before it pushes the
// job; afterwards only this package changes them, MayHaveRun apart. A hundred thousand jobs
// may wait, so the fields that few of them need are in Options.
type Job struct {
	ID, Type, Queue       string // jobs of the same type or queue should share these strings
	Client                string // who pushed it, for the limits on one client; shared likewise
	Body                  []byte // the JSON as it was pushed
	*Options                     // nil: none is set
	Failure               *Failure
	Attachment            any    // belongs to the front
	Retries               int32  // after so many retries a failed job is dead; below 0 it is discarded
	ConsecutiveRejections uint16 // by the engine, since it last ran
	MayHaveRun            bool   // an attempt may have taken effect, and its class must not run twice
	IsRetry               bool   // it was submitted before

	enqueuedAt unixNanos // when it entered its queue
	orderedBy  unixNanos // the key of its set
	set        *Set      // nil: it is in none
	heapIndex  int       // in the heap of its set
	queue      *Queue    // nil: it is in none
	prev, next *Job      // in its queue
}

// Options are the fields that few jobs need.
type Options struct {
	NotBefore    time.Time   // zero: it is due at once
	ExpiresAt    time.Time   // it must not be dequeued later; zero: never too late
	UniqueKey    uint64      // of the lock that it holds; 0: none
	ReleaseOn    LockRelease // when the lock is released
	UniqueTTL    time.Duration
	Batch        string // that it belongs to; empty: none
	CallbackOf   string // the batch that it is a call-back of; empty: it is none
	CallbackKind string // which call-back of that batch
}

// options are the job's, or empty ones.
func (j *Job) options() *Options {
	if j.Options == nil {
		return &noOptions
	}
	return j.Options
}

// noOptions stands for the options of a job that has none.
var noOptions Options

// unixNanos is a time in nanoseconds since 1970, at a third of the size of a time.Time. It ends in
// the year 2262.
type unixNanos int64

// maxUnixNanos stands for all times from it on.
const maxUnixNanos = unixNanos(math.MaxInt64)

// unixNanosOf converts a time since 1970.
func unixNanosOf(t time.Time) unixNanos {
	if t.After(maxUnixNanos.time()) {
		return maxUnixNanos
	}
	return unixNanos(t.UnixNano())
}

func (s unixNanos) time() time.Time { return time.Unix(0, int64(s)) }

func (s unixNanos) after(o unixNanos) bool { return s > o }

// Failure is the account of a job's last failure.
type Failure struct {
	RetryCount int // how often it has failed, less one
	Remaining  int // how many retries are left
	FailedAt   time.Time
	NextAt     time.Time // of the next attempt; zero: none
	ErrorType  string
	Message    string
	Backtrace  []string
}

// jobOverheadBytes is about what a job takes in memory beside its body and names.
const jobOverheadBytes = 450

// size is about what the job takes in memory, in bytes.
func (j *Job) size() int {
	return len(j.Body) + len(j.ID) + len(j.Type) + len(j.Queue) + jobOverheadBytes
}

// Location tells where a job is: the name of a set, InQueue, or "" for nowhere.
func (j *Job) Location() string {
	switch {
	case j.set != nil:
		return j.set.Name
	case j.queue != nil:
		return InQueue
	}
	return ""
}

// InQueue is the Location of a job that waits in its queue.
const InQueue = "queue"

// OrderTime is the time that the job's set orders it by: when it is due, or when it died.
func (j *Job) OrderTime() time.Time { return j.orderedBy.time() }
