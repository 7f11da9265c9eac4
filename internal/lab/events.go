// Package lab is a model of what a dispatcher balances, in virtual time:
// members with cores, slots, queues and cold starts, clients with deadlines and
// retries, discovery that is late, and troubles. It hosts the real decision
// module, one instance a dispatcher, or yardstick policies in its place, so that
// designs can be tried at sizes that sockets don't reach. A run is one goroutine
// and a seed: the same seed gives the same result everywhere.
package lab

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, k int) bool {
	if h[i].at != h[k].at {
		return h[i].at < h[k].at
	}
	return h[i].seq < h[k].seq
}
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// timeline is virtual time with what is to happen in it.
type timeline struct {
	now   time.Duration
	seq   uint64
	queue eventHeap
	done  int // events so far
}

// at lets something happen at a time, in the order of the calls for one time.
// What is past happens now.
func (t *timeline) at(when time.Duration, do func()) {
	t.seq++
	heap.Push(&t.queue, event{max(when, t.now), t.seq, do})
}

// in lets something happen after a span.
func (t *timeline) in(span time.Duration, do func()) { t.at(t.now+span, do) }

// run lets everything happen until a time, or until nothing is left.
func (t *timeline) run(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		t.done++
		e.do()
	}
	t.now = max(t.now, until)
}
