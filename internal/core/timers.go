package core

import (
	"container/heap"
	"time"
)

// timers holds what is due at a time, in the order of time and of being set.
type timers struct {
	queue timerQueue
	seq   uint64
}

type timer struct {
	at  time.Time
	seq uint64
	do  func()
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, k int) bool {
	if !q[i].at.Equal(q[k].at) {
		return q[i].at.Before(q[k].at)
	}
	return q[i].seq < q[k].seq
}
func (q timerQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = timer{} // what it holds on to must not outlive it
	*q = (*q)[:last]
	return t
}

func (t *timers) add(at time.Time, do func()) {
	t.seq++
	heap.Push(&t.queue, timer{at, t.seq, do})
}

// due takes out the first timer that is due, or returns nil.
func (t *timers) due(now time.Time) func() {
	if len(t.queue) == 0 || t.queue[0].at.After(now) {
		return nil
	}
	return heap.Pop(&t.queue).(timer).do
}

// wait is how long nothing is due.
func (t *timers) wait(now time.Time) time.Duration {
	if len(t.queue) == 0 {
		return time.Hour
	}
	return max(0, t.queue[0].at.Sub(now))
}
