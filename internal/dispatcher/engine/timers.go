package engine

import (
	"time"

	"basaltloft/internal/shared/indexedheap"
)

// timers is a priority queue of functions, ordered by the time at which they are due and then by the order
// in which they were scheduled.
type timers struct {
	queue indexedheap.Heap[*timer]
	seq   uint64
}

// timer is a function that is scheduled for a time.
type timer struct {
	at    time.Time
	seq   uint64
	run   func()
	index int // position in the queue; below 0: not queued
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

// schedule adds a function that is to run at the given time.
func (t *timers) schedule(at time.Time, run func()) *timer {
	t.seq++
	added := &timer{at: at, seq: t.seq, run: run}
	t.queue.Push(added)
	return added
}

// cancel removes a timer from the queue, so that the memory it refers to can be freed: at thousands of jobs
// a second, cancelled timers with distant deadlines would add up. A nil timer is ignored.
func (t *timers) cancel(one *timer) {
	if one != nil && one.index >= 0 {
		t.queue.Remove(one.index)
	}
}

// popDue removes the first timer that is due and returns its function, or nil if none is due.
func (t *timers) popDue(now time.Time) func() {
	if t.queue.Len() == 0 || t.queue.All()[0].at.After(now) {
		return nil
	}
	return t.queue.Pop().run
}

// untilNext returns the time until the next timer is due, or an hour if there is none.
func (t *timers) untilNext(now time.Time) time.Duration {
	if t.queue.Len() == 0 {
		return time.Hour
	}
	return max(0, t.queue.All()[0].at.Sub(now))
}
