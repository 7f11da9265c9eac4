package sets

import (
	"math"
	"time"
)

// Job is a job of the Faktory front. The front sets the exported fields before it pushes the
// job; afterwards only this package changes them, except MayHaveRun. A hundred thousand jobs
// may wait, so rarely used fields are in Options to save memory.
type Job struct {
	ID, Type, Queue       string // jobs of the same type or queue should share these strings
	Client                string // the client that pushed it, for the limits per client; shared likewise
	Body                  []byte // the JSON as it was pushed
	*Options                     // nil: none is set
	Failure               *Failure
	Attachment            any    // data of the front, not used by this package
	Retries               int32  // how many retries a failed job gets before it is dead; below 0 it is discarded
	ConsecutiveRejections uint16 // rejections by the engine since it last ran
	MayHaveRun            bool   // an attempt may have taken effect, and jobs of its class must not run twice
	IsRetry               bool   // it was submitted before

	enqueuedAt unixNanos // when it entered its queue
	orderedBy  unixNanos // the time by which its set orders it
	set        *Set      // nil: it is in none
	heapIndex  int       // its index in the heap of its set
	queue      *Queue    // nil: it is in none
	prev, next *Job      // its neighbours in its queue
}

// Options are the fields that few jobs need.
type Options struct {
	NotBefore    time.Time     // zero: it is due at once
	ExpiresAt    time.Time     // it must not be dequeued from this time on; zero: it never expires
	UniqueKey    uint64        // key of the lock that it needs; 0: none
	ReleaseOn    LockRelease   // when the lock is released
	UniqueTTL    time.Duration // how long the lock is held at most
	Batch        string        // the batch that it belongs to; empty: none
	CallbackOf   string        // the batch whose callback it is; empty: it is no callback
	CallbackKind string        // which callback of that batch it is
}

// options returns the job's options, or empty ones if it has none.
func (j *Job) options() *Options {
	if j.Options == nil {
		return &noOptions
	}
	return j.Options
}

// noOptions is what options returns for a job without options.
var noOptions Options

// unixNanos is a time in nanoseconds since 1970. It takes a third of the memory of a time.Time; its
// range ends in the year 2262.
type unixNanos int64

// maxUnixNanos also represents all later times.
const maxUnixNanos = unixNanos(math.MaxInt64)

// unixNanosOf converts a time in 1970 or later.
func unixNanosOf(t time.Time) unixNanos {
	if t.After(maxUnixNanos.time()) {
		return maxUnixNanos
	}
	return unixNanos(t.UnixNano())
}

func (s unixNanos) time() time.Time { return time.Unix(0, int64(s)) }

func (s unixNanos) after(o unixNanos) bool { return s > o }

// Failure describes a job's last failure.
type Failure struct {
	RetryCount int // the number of failures minus one
	Remaining  int // how many retries are left
	FailedAt   time.Time
	NextAt     time.Time // time of the next attempt; zero: none
	ErrorType  string
	Message    string
	Backtrace  []string
}

// jobOverheadBytes is the approximate memory of a job without its body, id and names.
const jobOverheadBytes = 450

// size returns the approximate memory of the job, in bytes.
func (j *Job) size() int {
	return len(j.Body) + len(j.ID) + len(j.Type) + len(j.Queue) + jobOverheadBytes
}

// Location returns where a job is: the name of a set, InQueue, or "" for neither.
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

// OrderTime returns the time by which the job's set orders it: when it is due, or when it was
// moved to the dead set.
func (j *Job) OrderTime() time.Time { return j.orderedBy.time() }
