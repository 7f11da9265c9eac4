package engine

import (
	"time"

	"basaltloft/internal/shared/indexedheap"
)

// timers is a queue of functions by the time at which they are due, and by the order in which they
// were scheduled.
type timers struct {
	queue indexedheap.Heap[*timer]
	seq   uint64
}

// timer is a function that runs at a time.
type timer struct {
	at    time.Time
	seq   uint64
	run   func()
	index int // in the queue; below 0: it is not in it
}

// newTimers returns an empty queue.
func newTimers() timers {
	return timers{queue: indexedheap.New(func(a, b *timer) bool {
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.seq < b.seq
	}, func(t *timer, at int) { t.index = at })}
}

// schedule adds a function that runs at a time.
func (t *timers) schedule(at time.Time, run func()) *timer {
	t.seq++
	added := &timer{at: at, seq: t.seq, run: run}
	t.queue.Push(added)
	return added
}

// cancel takes a timer out that is not wanted any more, with all that it holds on
// to: at thousands of jobs a second those that wait for far deadlines add up.
func (t *timers) cancel(one *timer) {
	if one != nil && one.index >= 0 {
		t.queue.Remove(one.index)
	}
}

// popDue takes out the first timer that is due, or returns nil.
func (t *timers) popDue(now time.Time) func() {
	if t.queue.Len() == 0 || t.queue.All()[0].at.After(now) {
		return nil
	}
	return t.queue.Pop().run
}

// untilNext is how long nothing is due.
func (t *timers) untilNext(now time.Time) time.Duration {
	if t.queue.Len() == 0 {
		return time.Hour
	}
	return max(0, t.queue.All()[0].at.Sub(now))
}
