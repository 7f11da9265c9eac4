// Package lab simulates what a dispatcher balances, in virtual time: pool members with
// cores, slots, queues and slow starts, clients with deadlines and retries, discovery with
// a delay, and faults. It runs the product's decisions (package policy), one instance a
// dispatcher, or baseline policies in their place, so that designs can be tried at sizes
// that sockets don't reach. A run is one goroutine and a seed: the same seed gives the
// same result everywhere.
//
// A Study plays an Experiment with some policies and seeds; a World is one run of it.
package lab

import (
	"time"

	"basaltloft/internal/shared/indexedheap"
)

// event happens at a virtual time.
type event struct {
	at  time.Duration
	seq uint64 // orders the events of one time by their scheduling
	do  func()
}

// timeline is virtual time and its events to come.
type timeline struct {
	now       time.Duration
	seq       uint64
	queue     indexedheap.Heap[event]
	processed int // events
}

func newTimeline(now time.Duration) timeline {
	return timeline{now: now, queue: indexedheap.New(func(a, b event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }, nil)}
}

// schedule schedules an event for a time; one for a past time happens now. Events of one
// time happen in the order of their scheduling.
func (t *timeline) schedule(when time.Duration, do func()) {
	t.seq++
	t.queue.Push(event{max(when, t.now), t.seq, do})
}

// after schedules an event for the end of a span from now.
func (t *timeline) after(span time.Duration, do func()) { t.schedule(t.now+span, do) }

// runUntil runs the events up to a time, which is then now.
func (t *timeline) runUntil(until time.Duration) {
	for t.queue.Len() > 0 && t.queue.All()[0].at <= until {
		e := t.queue.Pop()
		t.now = e.at
		t.processed++
		e.do()
	}
	t.now = max(t.now, until)
}
