// Package lab is a model of what a dispatcher balances, in virtual time:
// members with cores, slots, queues and cold starts, clients with deadlines and
// retries, discovery that is late, and troubles. It hosts the real decision
// module, one instance a dispatcher, or yardstick policies in its place, so that
// designs can be tried at sizes that sockets don't reach. A run is one goroutine
// and a seed: the same seed gives the same result everywhere.
package lab

import (
	"time"

	"basaltloft/internal/shared/indexedheap"
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// timeline is virtual time with what is to happen in it.
type timeline struct {
	now   time.Duration
	seq   uint64
	queue indexedheap.Heap[event]
	done  int // events so far
}

func newTimeline(now time.Duration) timeline {
	return timeline{now: now, queue: indexedheap.New(func(a, b event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }, nil)}
}

// at lets something happen at a time, in the order of the calls for one time.
// What is past happens now.
func (t *timeline) at(when time.Duration, do func()) {
	t.seq++
	t.queue.Push(event{max(when, t.now), t.seq, do})
}

// in lets something happen after a span.
func (t *timeline) in(span time.Duration, do func()) { t.at(t.now+span, do) }

// run lets everything happen until a time, or until nothing is left.
func (t *timeline) run(until time.Duration) {
	for t.queue.Len() > 0 && t.queue.All()[0].at <= until {
		e := t.queue.Pop()
		t.now = e.at
		t.done++
		e.do()
	}
	t.now = max(t.now, until)
}
