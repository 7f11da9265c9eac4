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
	at    time.Time
	seq   uint64
	do    func()
	index int // in the queue; below 0: not in it
}

type timerQueue []*timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, k int) bool {
	if !q[i].at.Equal(q[k].at) {
		return q[i].at.Before(q[k].at)
	}
	return q[i].seq < q[k].seq
}
func (q timerQueue) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].index, q[k].index = i, k
}
func (q *timerQueue) Push(x any) {
	t := x.(*timer)
	t.index = len(*q)
	*q = append(*q, t)
}
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil // what it holds on to must not outlive it
	*q = (*q)[:last]
	t.index = -1
	return t
}

func (t *timers) add(at time.Time, do func()) *timer {
	t.seq++
	one := &timer{at: at, seq: t.seq, do: do}
	heap.Push(&t.queue, one)
	return one
}

// drop takes a timer out that is not wanted any more, with all that it holds on
// to: at thousands of jobs a second those that wait for far deadlines add up.
func (t *timers) drop(one *timer) {
	if one != nil && one.index >= 0 {
		heap.Remove(&t.queue, one.index)
	}
}

// due takes out the first timer that is due, or returns nil.
func (t *timers) due(now time.Time) func() {
	if len(t.queue) == 0 || t.queue[0].at.After(now) {
		return nil
	}
	return heap.Pop(&t.queue).(*timer).do
}

// wait is how long nothing is due.
func (t *timers) wait(now time.Time) time.Duration {
	if len(t.queue) == 0 {
		return time.Hour
	}
	return max(0, t.queue[0].at.Sub(now))
}
