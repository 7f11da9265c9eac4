package sets

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits bound a Book.
type Limits struct {
	Jobs, Bytes             int // over all queues and sets, the dead apart
	QueueJobs, QueueBytes   int // of one queue
	ClientJobs, ClientBytes int // of one client; 0: no bound of its own
	Queues                  int
	Dead, DeadBytes         int           // beyond these the oldest go
	DeadRetention           time.Duration // and after this
	BackoffUnit             time.Duration // what a second of the backoff lasts; 0: a second
}

// Errors of a push.
var (
	ErrNotUnique   = errors.New("NOTUNIQUE")
	ErrDuplicateID = errors.New("this jid is waiting already")
	ErrExpired     = errors.New("the job has expired")
)

// FullError says which bound a job would break. It is an ErrFull.
type FullError struct{ Limit string }

func (f FullError) Error() string { return "no room: " + f.Limit }
func (f FullError) Unwrap() error { return ErrFull }

// uniqueLock is held by a unique job.
type uniqueLock struct {
	jobID     string
	expiresAt time.Time
}

// Store is all that waits.
type Store struct {
	limits        Limits
	jitter        *rand.Rand
	queues        map[string]*Queue
	jobs          map[string]*Job // all that wait, the dead included
	locks         map[uint64]uniqueLock
	nextLockSweep time.Time
	Scheduled     *Set
	Retries       *Set
	Dead          *Set
	clients       map[string]*usage
	pendingBytes  int // of what waits, the dead apart
	pendingJobs   int
	DeadDropped   int    // of the dead, those that went for want of room or time
	Expired       int    // jobs that waited too long
	Promoted      [2]int // scheduled and retried jobs that came due
	lastNow       time.Time
}

// usage is what waits of one client.
type usage struct{ jobs, bytes int }

// NewStore returns an empty one. Seed is that of the jitter.
func NewStore(l Limits, seed uint64) *Store {
	return &Store{
		limits: l, jitter: rand.New(rand.NewPCG(seed, 23)), queues: make(map[string]*Queue), jobs: make(map[string]*Job),
		locks: make(map[uint64]uniqueLock), clients: make(map[string]*usage), Scheduled: newSet("scheduled"), Retries: newSet("retries"), Dead: newSet("dead"),
	}
}

// monotonic is the present; it never runs backward, so that what is due stays due
// when a clock is set back.
func (b *Store) monotonic(now time.Time) time.Time {
	if now.Before(b.lastNow) {
		return b.lastNow
	}
	b.lastNow = now
	return now
}

// Find returns a job that waits, or nil.
func (b *Store) Find(id string) *Job { return b.jobs[id] }

// Len is how many jobs wait, the dead apart, and Bytes what they take.
func (b *Store) Len() int   { return b.pendingJobs }
func (b *Store) Bytes() int { return b.pendingBytes }

// Push takes a job in: into its queue, or, if it is not to run yet, into the
// scheduled ones. It takes the lock of a unique one.
func (b *Store) Push(now time.Time, j *Job) error {
	now = b.monotonic(now)
	if known := b.jobs[j.ID]; known != nil && known.set != b.Dead {
		return ErrDuplicateID
	}
	if at := j.options().ExpiresAt; !at.IsZero() && !at.After(now) {
		return ErrExpired
	}
	if err := b.checkCapacity(j); err != nil {
		return err
	}
	if err := b.Lock(now, j); err != nil {
		return err
	}
	if dead := b.jobs[j.ID]; dead != nil {
		b.remove(dead)
	}
	if at := j.options().NotBefore; at.After(now) {
		b.track(j)
		b.Scheduled.Add(j, at)
		return nil
	}
	b.enqueue(now, j, false)
	return nil
}

// Lock takes the lock of a unique job that does not wait here, such as one that
// goes straight on.
func (b *Store) Lock(now time.Time, j *Job) error {
	now = b.monotonic(now)
	key := j.options().UniqueKey
	if key == 0 {
		return nil
	}
	if held, ok := b.locks[key]; ok && held.jobID != j.ID && now.Before(held.expiresAt) {
		return ErrNotUnique
	}
	if len(b.locks) >= b.limits.Jobs {
		if b.sweepLocks(now); len(b.locks) >= b.limits.Jobs {
			return FullError{"locks of unique jobs"}
		}
	}
	b.locks[key] = uniqueLock{j.ID, now.Add(j.UniqueTTL)}
	return nil
}

func (b *Store) sweepLocks(now time.Time) {
	if now.Before(b.nextLockSweep) { // a walk over all is done once a second at most
		return
	}
	b.nextLockSweep = now.Add(time.Second)
	for key, held := range b.locks {
		if !now.Before(held.expiresAt) {
			delete(b.locks, key)
		}
	}
}

// Unlock gives the lock of a job back.
func (b *Store) Unlock(j *Job) {
	key := j.options().UniqueKey
	if held, ok := b.locks[key]; ok && held.jobID == j.ID {
		delete(b.locks, key)
	}
}

// Started tells that a job has begun to run.
func (b *Store) Started(j *Job) {
	if j.options().ReleaseOn == ReleaseOnStart {
		b.Unlock(j)
	}
}

// checkCapacity says whether a job fits.
func (b *Store) checkCapacity(j *Job) error {
	q, size := b.queues[j.Queue], j.size()
	var client usage
	if used := b.clients[j.Client]; used != nil {
		client = *used
	}
	switch {
	case b.limits.ClientJobs > 0 && client.jobs >= b.limits.ClientJobs:
		return FullError{fmt.Sprintf("%d jobs of this client wait", client.jobs)}
	case b.limits.ClientBytes > 0 && client.bytes+size > b.limits.ClientBytes:
		return FullError{fmt.Sprintf("%d bytes of this client wait", client.bytes)}
	case b.pendingJobs >= b.limits.Jobs:
		return FullError{fmt.Sprintf("%d jobs wait", b.pendingJobs)}
	case b.pendingBytes+size > b.limits.Bytes:
		return FullError{fmt.Sprintf("%d bytes wait", b.pendingBytes)}
	case q == nil && len(b.queues) >= b.limits.Queues:
		return FullError{fmt.Sprintf("there are %d queues", len(b.queues))}
	case q != nil && q.count >= b.limits.QueueJobs:
		return FullError{fmt.Sprintf("%d jobs wait in queue %s", q.count, q.Name)}
	case q != nil && q.bytes+size > b.limits.QueueBytes:
		return FullError{fmt.Sprintf("%d bytes wait in queue %s", q.bytes, q.Name)}
	}
	return nil
}

func (b *Store) track(j *Job) {
	b.jobs[j.ID] = j
	b.addUsage(j, 1)
}

// addUsage counts a job in or out.
func (b *Store) addUsage(j *Job, sign int) {
	size := sign * j.size()
	b.pendingJobs += sign
	b.pendingBytes += size
	client := b.clients[j.Client]
	if client == nil {
		client = new(usage)
		b.clients[j.Client] = client
	}
	client.jobs += sign
	if client.bytes += size; client.jobs == 0 {
		delete(b.clients, j.Client)
	}
}

func (b *Store) enqueue(now time.Time, j *Job, atFront bool) {
	b.track(j)
	j.enqueuedAt = unixNanosOf(now)
	b.Queue(j.Queue).push(j, atFront)
}

// Queue returns a queue by name, and makes it if there is none.
func (b *Store) Queue(name string) *Queue {
	q := b.queues[name]
	if q == nil {
		q = &Queue{Name: name}
		b.queues[name] = q
	}
	return q
}

// FindQueue returns a queue by name, or nil.
func (b *Store) FindQueue(name string) *Queue { return b.queues[name] }

// remove takes a job out of wherever it is.
func (b *Store) remove(j *Job) {
	if b.jobs[j.ID] != j {
		return
	}
	delete(b.jobs, j.ID)
	if j.set == b.Dead {
		b.Dead.Remove(j)
		return
	}
	b.addUsage(j, -1)
	if j.set != nil {
		j.set.Remove(j)
	} else if j.queue != nil {
		j.queue.remove(j)
	}
}

// Dequeue takes the first job of a queue that is not paused, or returns nil. What
// has expired goes, and is returned beside.
func (b *Store) Dequeue(now time.Time, name string) (j *Job, expired []*Job) {
	return b.DequeueIf(now, name, func(*Job) bool { return true })
}

// DequeueIf is Take, of a first job that may go; one that may not stays the first.
func (b *Store) DequeueIf(now time.Time, name string, accept func(*Job) bool) (j *Job, expired []*Job) {
	now = b.monotonic(now)
	q := b.queues[name]
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
		b.remove(j)
		if live {
			return j, expired
		}
		b.Expired++
		b.Unlock(j)
		expired = append(expired, j)
	}
	return nil, expired
}

// Return puts a job back that was taken and has not run, at the front.
func (b *Store) Return(now time.Time, j *Job) { b.enqueue(b.monotonic(now), j, true) }

// PromoteDue moves the jobs whose time has come into their queues, so many at the
// most. It returns the names of the queues that got some, and when to look
// again, zero for never.
func (b *Store) PromoteDue(now time.Time, limit int) (queues []string, nextDue time.Time) {
	now = b.monotonic(now)
	for i, s := range []*Set{b.Scheduled, b.Retries} {
		for j := s.Earliest(); j != nil && !j.orderedBy.after(unixNanosOf(now)); j = s.Earliest() {
			if limit--; limit < 0 {
				return queues, now
			}
			b.remove(j)
			b.enqueue(now, j, false)
			b.Promoted[i]++
			if !slices.Contains(queues, j.Queue) {
				queues = append(queues, j.Queue)
			}
		}
		if j := s.Earliest(); j != nil && (nextDue.IsZero() || j.OrderTime().Before(nextDue)) {
			nextDue = j.OrderTime()
		}
	}
	for j := b.Dead.Earliest(); j != nil && now.Sub(j.OrderTime()) > b.limits.DeadRetention; j = b.Dead.Earliest() {
		b.remove(j)
		b.DeadDropped++
	}
	return queues, nextDue
}

// Disposition is what becomes of a job that did not succeed.
type Disposition uint8

// Fates.
const (
	WillRetry   Disposition = iota // it waits for another try
	MovedToDead                    // it is among the dead, where an operator may look at it
	Discarded                      // it asked for no more
)

const maxConsecutiveRejections = 25 // in a row; then a refusal counts as a failure

// Failed decides what becomes of a job that failed: it is tried again if its
// class lets it, and it has tries left.
func (b *Store) Failed(now time.Time, j *Job, idempotent bool, errorType, message string, backtrace []string) Disposition {
	now = b.monotonic(now)
	if j.Failure == nil {
		j.Failure = new(Failure)
	} else {
		j.Failure.RetryCount++
	}
	f := j.Failure
	f.FailedAt, f.ErrorType, f.Message, f.Backtrace = now, errorType, message, backtrace
	f.Remaining = max(0, int(j.Retries)-f.RetryCount)
	j.ConsecutiveRejections = 0
	switch {
	case j.Retries < 0:
		b.Unlock(j)
		return Discarded
	case !idempotent || f.Remaining == 0 || b.pendingJobs >= b.limits.Jobs || b.pendingBytes+j.size() > b.limits.Bytes:
		b.MoveToDead(now, j)
		return MovedToDead
	}
	f.NextAt = now.Add(time.Duration(float64(Backoff(f.RetryCount, b.jitter)) * cmp.Or(b.limits.BackoffUnit, time.Second).Seconds()))
	j.IsRetry = true
	b.track(j)
	b.Retries.Add(j, f.NextAt)
	return WillRetry
}

// Rejected decides what becomes of a job that the decisions turned away: it has
// not run, and waits until they said to come back, or longer each time.
func (b *Store) Rejected(now time.Time, j *Job, retryAt time.Time) Disposition {
	now = b.monotonic(now)
	if j.ConsecutiveRejections++; j.ConsecutiveRejections > maxConsecutiveRejections {
		return b.Failed(now, j, true, "Refused", "the decisions refused it each time", nil)
	}
	backoff := cmp.Or(b.limits.BackoffUnit, time.Second) << min(j.ConsecutiveRejections-1, 6)
	if retryAt.Before(now.Add(backoff)) {
		retryAt = now.Add(backoff)
	}
	j.IsRetry = true
	b.track(j) // it had its room a moment ago
	b.Retries.Add(j, retryAt)
	return WillRetry
}

// MoveToDead puts a job among the dead. The oldest make room.
func (b *Store) MoveToDead(now time.Time, j *Job) {
	now = b.monotonic(now)
	b.Unlock(j)
	if known := b.jobs[j.ID]; known != nil {
		b.remove(known)
	}
	b.jobs[j.ID] = j
	b.Dead.Add(j, now)
	for b.Dead.Len() > b.limits.Dead || b.Dead.bytes > b.limits.DeadBytes {
		b.remove(b.Dead.Earliest())
		b.DeadDropped++
	}
}

// Backoff is the protocol's: the fourth power of how often it was tried again,
// 15 s, and up to half a minute by chance for each time.
func Backoff(count int, random *rand.Rand) time.Duration {
	n := min(count, 100)
	return time.Duration(n*n*n*n+15+random.IntN(30)*(n+1)) * time.Second
}

// Flush drops all that waits.
func (b *Store) Flush() (dropped []*Job) {
	for _, j := range b.jobs {
		dropped = append(dropped, j)
	}
	for _, j := range dropped {
		b.remove(j)
	}
	clear(b.locks)
	for name, q := range b.queues {
		if !q.Paused {
			delete(b.queues, name)
		}
	}
	return dropped
}
