package simworld_test

import (
	"container/heap"
	"time"
)

// event is a function call at a time. It belongs to an incarnation of a process, or to no process.
type event struct {
	at          time.Duration
	number      uint64 // events of the same time are executed in the order of their creation
	process     *process
	incarnation int
	do          func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []*event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(a, b int) bool {
	if e[a].at != e[b].at {
		return e[a].at < e[b].at
	}
	return e[a].number < e[b].number
}
func (e eventQueue) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return x
}

// schedule schedules a function call after a delay; the event belongs to no process.
func (w *world) schedule(in time.Duration, do func()) {
	w.number++
	heap.Push(&w.queue, &event{at: w.now + in, number: w.number, do: do})
}

// runUntil executes all events up to a time.
func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(*event)
		w.now = max(w.now, next.at)
		w.execute(next)
	}
	w.now = max(w.now, end)
}

// run executes all events within a span from now.
func (w *world) run(span time.Duration) { w.runUntil(w.now + span) }

// execute executes an event, unless its process has been restarted. It is deferred while its
// process is frozen.
func (w *world) execute(e *event) {
	p := e.process
	if p == nil {
		e.do()
		return
	}
	if !p.up || p.incarnation != e.incarnation {
		return
	}
	if p.frozen > 0 {
		p.deferred = append(p.deferred, e)
		return
	}
	p.runUnlessKilled(e.do)
}
