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
	Jobs, Bytes           int // over all queues and sets, the dead apart
	QueueJobs, QueueBytes int // of one queue
	OwnerJobs, OwnerBytes int // of one client; 0: no bound of its own
	Queues                int
	Dead, DeadBytes       int           // beyond these the oldest go
	DeadFor               time.Duration // and after this
	Unit                  time.Duration // what a second of the backoff lasts; 0: a second
}

// Errors of a push.
var (
	ErrNotUnique = errors.New("NOTUNIQUE")
	ErrKnown     = errors.New("this jid is waiting already")
	ErrExpired   = errors.New("the job has expired")
)

// Full says which bound a job would break. It is an ErrFull.
type Full struct{ What string }

func (f Full) Error() string { return "no room: " + f.What }
func (f Full) Unwrap() error { return ErrFull }

// lock is held by a unique job.
type lock struct {
	job   string
	until time.Time
}

// Book is all that waits.
type Book struct {
	limits     Limits
	random     *rand.Rand
	queues     map[string]*Queue
	jobs       map[string]*Job // all that wait, the dead included
	locks      map[uint64]lock
	sweep      time.Time
	Scheduled  *Set
	Retries    *Set
	Dead       *Set
	owners     map[string]*tally
	bytes      int // of what waits, the dead apart
	count      int
	DeadGone   int    // of the dead, those that went for want of room or time
	Expired    int    // jobs that waited too long
	Enqueued   [2]int // scheduled and retried jobs that came due
	lastMoment time.Time
}

// tally is what waits of one client.
type tally struct{ jobs, bytes int }

// NewBook returns an empty one. Seed is that of the jitter.
func NewBook(l Limits, seed uint64) *Book {
	return &Book{
		limits: l, random: rand.New(rand.NewPCG(seed, 23)), queues: make(map[string]*Queue), jobs: make(map[string]*Job),
		locks: make(map[uint64]lock), owners: make(map[string]*tally), Scheduled: newSet("scheduled"), Retries: newSet("retries"), Dead: newSet("dead"),
	}
}

// moment is the present; it never runs backward, so that what is due stays due
// when a clock is set back.
func (b *Book) moment(now time.Time) time.Time {
	if now.Before(b.lastMoment) {
		return b.lastMoment
	}
	b.lastMoment = now
	return now
}

// Find returns a job that waits, or nil.
func (b *Book) Find(id string) *Job { return b.jobs[id] }

// Len is how many jobs wait, the dead apart, and Bytes what they take.
func (b *Book) Len() int   { return b.count }
func (b *Book) Bytes() int { return b.bytes }

// Push takes a job in: into its queue, or, if it is not to run yet, into the
// scheduled ones. It takes the lock of a unique one.
func (b *Book) Push(now time.Time, j *Job) error {
	now = b.moment(now)
	if known := b.jobs[j.ID]; known != nil && known.in != b.Dead {
		return ErrKnown
	}
	if at := j.rare().ExpiresAt; !at.IsZero() && !at.After(now) {
		return ErrExpired
	}
	if err := b.room(j); err != nil {
		return err
	}
	if err := b.Lock(now, j); err != nil {
		return err
	}
	if dead := b.jobs[j.ID]; dead != nil {
		b.forget(dead)
	}
	if at := j.rare().At; at.After(now) {
		b.enter(j)
		b.Scheduled.Add(j, at)
		return nil
	}
	b.enqueue(now, j, false)
	return nil
}

// Lock takes the lock of a unique job that does not wait here, such as one that
// goes straight on.
func (b *Book) Lock(now time.Time, j *Job) error {
	now = b.moment(now)
	key := j.rare().Unique
	if key == 0 {
		return nil
	}
	if held, ok := b.locks[key]; ok && held.job != j.ID && now.Before(held.until) {
		return ErrNotUnique
	}
	if len(b.locks) >= b.limits.Jobs {
		if b.sweepLocks(now); len(b.locks) >= b.limits.Jobs {
			return Full{"locks of unique jobs"}
		}
	}
	b.locks[key] = lock{j.ID, now.Add(j.UniqueFor)}
	return nil
}

func (b *Book) sweepLocks(now time.Time) {
	if now.Before(b.sweep) { // a walk over all is done once a second at most
		return
	}
	b.sweep = now.Add(time.Second)
	for key, held := range b.locks {
		if !now.Before(held.until) {
			delete(b.locks, key)
		}
	}
}

// Unlock gives the lock of a job back.
func (b *Book) Unlock(j *Job) {
	key := j.rare().Unique
	if held, ok := b.locks[key]; ok && held.job == j.ID {
		delete(b.locks, key)
	}
}

// Started tells that a job has begun to run.
func (b *Book) Started(j *Job) {
	if j.rare().UniqueUntil == UntilStart {
		b.Unlock(j)
	}
}

// room says whether a job fits.
func (b *Book) room(j *Job) error {
	q, size := b.queues[j.Queue], j.size()
	var mine tally
	if o := b.owners[j.Owner]; o != nil {
		mine = *o
	}
	switch {
	case b.limits.OwnerJobs > 0 && mine.jobs >= b.limits.OwnerJobs:
		return Full{fmt.Sprintf("%d jobs of this client wait", mine.jobs)}
	case b.limits.OwnerBytes > 0 && mine.bytes+size > b.limits.OwnerBytes:
		return Full{fmt.Sprintf("%d bytes of this client wait", mine.bytes)}
	case b.count >= b.limits.Jobs:
		return Full{fmt.Sprintf("%d jobs wait", b.count)}
	case b.bytes+size > b.limits.Bytes:
		return Full{fmt.Sprintf("%d bytes wait", b.bytes)}
	case q == nil && len(b.queues) >= b.limits.Queues:
		return Full{fmt.Sprintf("there are %d queues", len(b.queues))}
	case q != nil && q.count >= b.limits.QueueJobs:
		return Full{fmt.Sprintf("%d jobs wait in queue %s", q.count, q.Name)}
	case q != nil && q.bytes+size > b.limits.QueueBytes:
		return Full{fmt.Sprintf("%d bytes wait in queue %s", q.bytes, q.Name)}
	}
	return nil
}

func (b *Book) enter(j *Job) {
	b.jobs[j.ID] = j
	b.tally(j, 1)
}

// tally counts a job in or out.
func (b *Book) tally(j *Job, by int) {
	size := by * j.size()
	b.count += by
	b.bytes += size
	o := b.owners[j.Owner]
	if o == nil {
		o = new(tally)
		b.owners[j.Owner] = o
	}
	o.jobs += by
	if o.bytes += size; o.jobs == 0 {
		delete(b.owners, j.Owner)
	}
}

func (b *Book) enqueue(now time.Time, j *Job, front bool) {
	b.enter(j)
	j.queued = stampOf(now)
	b.Queue(j.Queue).push(j, front)
}

// Queue returns a queue by name, and makes it if there is none.
func (b *Book) Queue(name string) *Queue {
	q := b.queues[name]
	if q == nil {
		q = &Queue{Name: name}
		b.queues[name] = q
	}
	return q
}

// Known returns a queue by name, or nil.
func (b *Book) Known(name string) *Queue { return b.queues[name] }

// forget takes a job out of wherever it is.
func (b *Book) forget(j *Job) {
	if b.jobs[j.ID] != j {
		return
	}
	delete(b.jobs, j.ID)
	if j.in == b.Dead {
		b.Dead.Remove(j)
		return
	}
	b.tally(j, -1)
	if j.in != nil {
		j.in.Remove(j)
	} else if j.at != nil {
		j.at.remove(j)
	}
}

// Take takes the first job of a queue that is not paused, or returns nil. What
// has expired goes, and is returned beside.
func (b *Book) Take(now time.Time, name string) (j *Job, expired []*Job) {
	return b.TakeIf(now, name, func(*Job) bool { return true })
}

// TakeIf is Take, of a first job that may go; one that may not stays the first.
func (b *Book) TakeIf(now time.Time, name string, may func(*Job) bool) (j *Job, expired []*Job) {
	now = b.moment(now)
	q := b.queues[name]
	if q == nil || q.Paused {
		return nil, nil
	}
	for q.first != nil {
		j = q.first
		at := j.rare().ExpiresAt
		live := at.IsZero() || at.After(now)
		if live && !may(j) {
			return nil, expired
		}
		b.forget(j)
		if live {
			return j, expired
		}
		b.Expired++
		b.Unlock(j)
		expired = append(expired, j)
	}
	return nil, expired
}

// Back puts a job back that was taken and has not run, at the front.
func (b *Book) Back(now time.Time, j *Job) { b.enqueue(b.moment(now), j, true) }

// Due moves the jobs whose time has come into their queues, so many at the
// most. It returns the names of the queues that got some, and when to look
// again, zero for never.
func (b *Book) Due(now time.Time, most int) (queues []string, again time.Time) {
	now = b.moment(now)
	for i, s := range []*Set{b.Scheduled, b.Retries} {
		for j := s.First(); j != nil && !j.when.after(stampOf(now)); j = s.First() {
			if most--; most < 0 {
				return queues, now
			}
			b.forget(j)
			b.enqueue(now, j, false)
			b.Enqueued[i]++
			if !slices.Contains(queues, j.Queue) {
				queues = append(queues, j.Queue)
			}
		}
		if j := s.First(); j != nil && (again.IsZero() || j.When().Before(again)) {
			again = j.When()
		}
	}
	for j := b.Dead.First(); j != nil && now.Sub(j.When()) > b.limits.DeadFor; j = b.Dead.First() {
		b.forget(j)
		b.DeadGone++
	}
	return queues, again
}

// Fate is what becomes of a job that did not succeed.
type Fate uint8

// Fates.
const (
	Retried Fate = iota // it waits for another try
	Died                // it is among the dead, where an operator may look at it
	Gone                // it asked for no more
)

const mostRefusals = 25 // in a row; then a refusal counts as a failure

// Failed decides what becomes of a job that failed: it is tried again if its
// class lets it, and it has tries left.
func (b *Book) Failed(now time.Time, j *Job, mayRepeat bool, kind, message string, backtrace []string) Fate {
	now = b.moment(now)
	if j.Failure == nil {
		j.Failure = new(Failure)
	} else {
		j.Failure.Count++
	}
	f := j.Failure
	f.At, f.Type, f.Message, f.Backtrace = now, kind, message, backtrace
	f.Remaining = max(0, int(j.Retries)-f.Count)
	j.Refusals = 0
	switch {
	case j.Retries < 0:
		b.Unlock(j)
		return Gone
	case !mayRepeat || f.Remaining == 0 || b.count >= b.limits.Jobs || b.bytes+j.size() > b.limits.Bytes:
		b.Bury(now, j)
		return Died
	}
	f.Next = now.Add(time.Duration(float64(Backoff(f.Count, b.random)) * cmp.Or(b.limits.Unit, time.Second).Seconds()))
	j.Again = true
	b.enter(j)
	b.Retries.Add(j, f.Next)
	return Retried
}

// Refused decides what becomes of a job that the decisions turned away: it has
// not run, and waits until they said to come back, or longer each time.
func (b *Book) Refused(now time.Time, j *Job, comeBack time.Time) Fate {
	now = b.moment(now)
	if j.Refusals++; j.Refusals > mostRefusals {
		return b.Failed(now, j, true, "Refused", "the decisions refused it each time", nil)
	}
	wait := cmp.Or(b.limits.Unit, time.Second) << min(j.Refusals-1, 6)
	if comeBack.Before(now.Add(wait)) {
		comeBack = now.Add(wait)
	}
	j.Again = true
	b.enter(j) // it had its room a moment ago
	b.Retries.Add(j, comeBack)
	return Retried
}

// Bury puts a job among the dead. The oldest make room.
func (b *Book) Bury(now time.Time, j *Job) {
	now = b.moment(now)
	b.Unlock(j)
	if old := b.jobs[j.ID]; old != nil {
		b.forget(old)
	}
	b.jobs[j.ID] = j
	b.Dead.Add(j, now)
	for b.Dead.Len() > b.limits.Dead || b.Dead.bytes > b.limits.DeadBytes {
		b.forget(b.Dead.First())
		b.DeadGone++
	}
}

// Backoff is the protocol's: the fourth power of how often it was tried again,
// 15 s, and up to half a minute by chance for each time.
func Backoff(count int, random *rand.Rand) time.Duration {
	n := min(count, 100)
	return time.Duration(n*n*n*n+15+random.IntN(30)*(n+1)) * time.Second
}

// Flush drops all that waits.
func (b *Book) Flush() (dropped []*Job) {
	for _, j := range b.jobs {
		dropped = append(dropped, j)
	}
	for _, j := range dropped {
		b.forget(j)
	}
	clear(b.locks)
	for name, q := range b.queues {
		if !q.Paused {
			delete(b.queues, name)
		}
	}
	return dropped
}
