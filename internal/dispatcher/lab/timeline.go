// Package lab is a discrete-event simulation of a fleet behind dispatchers, in virtual time:
// pool members with cores, slots, queues and slow starts, clients with deadlines and
// retries, delayed discovery, and faults. Each simulated dispatcher runs its own instance of
// the product's policy (package policy) or of a baseline policy, so that designs can be
// compared at sizes that are out of reach for tests over sockets. A run uses one goroutine
// and one seed: the same seed gives the same result on every machine.
//
// A Study runs an Experiment with some policies and seeds; a World is one of these runs.
package lab

import (
	"time"

	"basaltloft/internal/shared/indexedheap"
)

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration
	seq uint64 // orders events of the same time: first scheduled, first run
	do  func()
}

// timeline is the virtual clock and the queue of future events.
type timeline struct {
	now       time.Duration
	seq       uint64
	queue     indexedheap.Heap[event]
	processed int // events that have run
}

func newTimeline(now time.Duration) timeline {
	return timeline{now: now, queue: indexedheap.New(func(a, b event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }, nil)}
}

// schedule schedules an event for a time; an event for a past time is scheduled for now.
// Events of the same time run in the order in which they were scheduled.
func (t *timeline) schedule(when time.Duration, do func()) {
	t.seq++
	t.queue.Push(event{max(when, t.now), t.seq, do})
}

// after schedules an event for a span from now.
func (t *timeline) after(span time.Duration, do func()) { t.schedule(t.now+span, do) }

// runUntil runs the events up to and including a time, and advances the clock to it.
func (t *timeline) runUntil(until time.Duration) {
	for t.queue.Len() > 0 && t.queue.All()[0].at <= until {
		e := t.queue.Pop()
		t.now = e.at
		t.processed++
		e.do()
	}
	t.now = max(t.now, until)
}
