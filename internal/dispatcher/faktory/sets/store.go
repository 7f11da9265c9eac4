package sets

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits are the limits of a Store. Sizes are in bytes, as Job.size counts them.
type Limits struct {
	Jobs, Bytes             int           // of all queues and sets except the dead set
	QueueJobs, QueueBytes   int           // of one queue
	ClientJobs, ClientBytes int           // of one client; 0: no limit per client
	Queues                  int           // number of queues, including empty ones
	Dead, DeadBytes         int           // of the dead set; the oldest jobs beyond them are dropped
	DeadRetention           time.Duration // after which a dead job is dropped
	BackoffUnit             time.Duration // duration of one second of the backoff formula; 0: a second
}

// Errors that Push returns.
var (
	ErrNotUnique   = errors.New("NOTUNIQUE")                   // another job holds the lock
	ErrDuplicateID = errors.New("this jid is waiting already") // a job that is not dead has this jid
	ErrExpired     = errors.New("the job has expired")         // its ExpiresAt has passed
	ErrFull        = errors.New("no room")                     // a limit is reached; see FullError
)

// FullError describes the limit that a job would exceed. It wraps ErrFull.
type FullError struct{ Limit string }

// Error implements error.
func (f FullError) Error() string { return "no room: " + f.Limit }

// Unwrap returns ErrFull.
func (f FullError) Unwrap() error { return ErrFull }

// Store holds all waiting and dead jobs. Create it with NewStore.
type Store struct {
	Scheduled *Set // pushed jobs that are not due yet
	Retries   *Set // jobs that wait for their next attempt
	Dead      *Set // failed jobs that are not retried; operators may requeue them

	// Counts since the start.
	DeadDropped int    // dead jobs dropped because of a limit or their age
	Expired     int    // jobs that expired before they were dequeued
	Promoted    [2]int // jobs moved into their queues when due, from Scheduled and from Retries

	limits        Limits
	jitter        *rand.Rand
	queues        map[string]*Queue
	jobs          map[string]*Job // by jid: all jobs in a queue or a set, including dead ones
	clients       map[string]*usage
	pendingJobs   int // of all clients, without dead jobs
	pendingBytes  int
	locks         map[uint64]uniqueLock
	nextLockSweep time.Time
	lastNow       time.Time // the latest time that a caller has passed
}

// usage counts the waiting jobs of one client and their bytes.
type usage struct{ jobs, bytes int }

// NewStore returns an empty store. The seed is for the jitter of the retries.
func NewStore(l Limits, seed uint64) *Store {
	return &Store{
		limits: l, jitter: rand.New(rand.NewPCG(seed, 23)), queues: make(map[string]*Queue), jobs: make(map[string]*Job),
		locks: make(map[uint64]uniqueLock), clients: make(map[string]*usage),
		Scheduled: newSet("scheduled"), Retries: newSet("retries"), Dead: newSet("dead"),
	}
}

// monotonic returns the latest time that was passed to it, so that a job that was due stays due
// when the clock is set back.
func (s *Store) monotonic(now time.Time) time.Time {
	if now.Before(s.lastNow) {
		return s.lastNow
	}
	s.lastNow = now
	return now
}

// Find returns the waiting or dead job with the given jid, or nil.
func (s *Store) Find(id string) *Job { return s.jobs[id] }

// Len returns the number of waiting jobs, without dead ones.
func (s *Store) Len() int { return s.pendingJobs }

// Bytes returns the size of the waiting jobs, without dead ones.
func (s *Store) Bytes() int { return s.pendingBytes }

// Push puts a job into its queue or, if it is not due yet, into the scheduled set, and takes
// the lock of a unique one. It drops a dead job with the same jid. If it returns
// ErrDuplicateID, ErrExpired, ErrNotUnique or a FullError, no job or lock has changed.
func (s *Store) Push(now time.Time, j *Job) error {
	now = s.monotonic(now)
	if known := s.jobs[j.ID]; known != nil && known.set != s.Dead {
		return ErrDuplicateID
	}
	if at := j.options().ExpiresAt; !at.IsZero() && !at.After(now) {
		return ErrExpired
	}
	if err := s.checkCapacity(j); err != nil {
		return err
	}
	if err := s.Lock(now, j); err != nil {
		return err
	}
	if dead := s.jobs[j.ID]; dead != nil {
		s.remove(dead)
	}
	if at := j.options().NotBefore; at.After(now) {
		s.track(j)
		s.Scheduled.Add(j, at)
		return nil
	}
	s.enqueue(now, j)
	return nil
}

// checkCapacity returns a FullError if a job would exceed a limit.
func (s *Store) checkCapacity(j *Job) error {
	q, size := s.queues[j.Queue], j.size()
	var client usage
	if used := s.clients[j.Client]; used != nil {
		client = *used
	}
	switch {
	case s.limits.ClientJobs > 0 && client.jobs >= s.limits.ClientJobs:
		return FullError{fmt.Sprintf("%d jobs of this client wait", client.jobs)}
	case s.limits.ClientBytes > 0 && client.bytes+size > s.limits.ClientBytes:
		return FullError{fmt.Sprintf("%d bytes of this client wait", client.bytes)}
	case s.pendingJobs >= s.limits.Jobs:
		return FullError{fmt.Sprintf("%d jobs wait", s.pendingJobs)}
	case s.pendingBytes+size > s.limits.Bytes:
		return FullError{fmt.Sprintf("%d bytes wait", s.pendingBytes)}
	case q == nil && len(s.queues) >= s.limits.Queues:
		return FullError{fmt.Sprintf("there are %d queues", len(s.queues))}
	case q != nil && q.count >= s.limits.QueueJobs:
		return FullError{fmt.Sprintf("%d jobs wait in queue %s", q.count, q.Name)}
	case q != nil && q.bytes+size > s.limits.QueueBytes:
		return FullError{fmt.Sprintf("%d bytes wait in queue %s", q.bytes, q.Name)}
	}
	return nil
}

// track records a job that is about to enter a queue or a set other than the dead set.
func (s *Store) track(j *Job) {
	s.jobs[j.ID] = j
	s.addUsage(j, 1)
}

// addUsage adds a job to the usage counts (sign 1) or subtracts it (sign -1).
func (s *Store) addUsage(j *Job, sign int) {
	size := sign * j.size()
	s.pendingJobs += sign
	s.pendingBytes += size
	client := s.clients[j.Client]
	if client == nil {
		client = new(usage)
		s.clients[j.Client] = client
	}
	client.jobs += sign
	if client.bytes += size; client.jobs == 0 {
		delete(s.clients, j.Client)
	}
}

// enqueue puts a job at the end of its queue.
func (s *Store) enqueue(now time.Time, j *Job) {
	s.track(j)
	j.enqueuedAt = unixNanosOf(now)
	s.Queue(j.Queue).push(j)
}

// remove takes a job out of its queue or set. It has no effect if the store does not hold the job.
func (s *Store) remove(j *Job) {
	if s.jobs[j.ID] != j {
		return
	}
	delete(s.jobs, j.ID)
	if j.set == s.Dead {
		s.Dead.Remove(j)
		return
	}
	s.addUsage(j, -1)
	if j.set != nil {
		j.set.Remove(j)
	} else if j.queue != nil {
		j.queue.remove(j)
	}
}

// Dequeue removes and returns the first job of a queue, or nil if the queue is empty or paused.
// It also removes the expired jobs before that one, and returns them as expired.
func (s *Store) Dequeue(now time.Time, name string) (j *Job, expired []*Job) {
	return s.DequeueIf(now, name, func(*Job) bool { return true })
}

// DequeueIf is like Dequeue, but if accept returns false for the job, the job stays in the queue
// and j is nil.
func (s *Store) DequeueIf(now time.Time, name string, accept func(*Job) bool) (j *Job, expired []*Job) {
	now = s.monotonic(now)
	q := s.queues[name]
	if q == nil || q.Paused {
		return nil, nil
	}
	for q.first != nil {
		j = q.first
		at := j.options().ExpiresAt
		live := at.IsZero() || at.After(now)
		if live && !accept(j) {
			return nil, expired
		}
		s.remove(j)
		if live {
			return j, expired
		}
		s.Expired++
		s.Unlock(j)
		expired = append(expired, j)
	}
	return nil, expired
}

// PromoteDue moves at most limit scheduled and retried jobs that are due into their queues, and
// drops dead jobs that are too old. It returns the names of the queues that received jobs, and
// when it should be called again: now if the limit was reached, zero if no job is scheduled or
// waits for a retry.
func (s *Store) PromoteDue(now time.Time, limit int) (queues []string, nextDue time.Time) {
	now = s.monotonic(now)
	for i, set := range []*Set{s.Scheduled, s.Retries} {
		for j := set.Earliest(); j != nil && !j.orderedBy.after(unixNanosOf(now)); j = set.Earliest() {
			if limit--; limit < 0 {
				return queues, now
			}
			s.remove(j)
			s.enqueue(now, j)
			s.Promoted[i]++
			if !slices.Contains(queues, j.Queue) {
				queues = append(queues, j.Queue)
			}
		}
		if j := set.Earliest(); j != nil && (nextDue.IsZero() || j.OrderTime().Before(nextDue)) {
			nextDue = j.OrderTime()
		}
	}
	for j := s.Dead.Earliest(); j != nil && now.Sub(j.OrderTime()) > s.limits.DeadRetention; j = s.Dead.Earliest() {
		s.remove(j)
		s.DeadDropped++
	}
	return queues, nextDue
}

// Flush drops all jobs and locks, and returns the jobs. Paused queues stay paused; the other
// queues are removed.
func (s *Store) Flush() (dropped []*Job) {
	for _, j := range s.jobs {
		dropped = append(dropped, j)
	}
	for _, j := range dropped {
		s.remove(j)
	}
	clear(s.locks)
	for name, q := range s.queues {
		if !q.Paused {
			delete(s.queues, name)
		}
	}
	return dropped
}
