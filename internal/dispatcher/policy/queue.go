package policy

import (
	"container/heap"
	"slices"

	"basaltloft/internal/shared/admission"
)

// agingMultiple: shorter jobs pass a queued one until it has waited this many of its costs.
const agingMultiple = 2.0

// queue holds the waiting jobs of one kind and width as a heap. It implements heap.Interface.
type queue struct {
	jobs     []*job
	overload bool            // the order is that of overload
	key      capabilityQueue // zero: for jobs that require no capability
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.jobs) }

// Less implements heap.Interface: aged jobs first, then the shortest; in overload, where some jobs
// are lost, the most valuable by cost.
func (q *queue) Less(i, k int) bool {
	a, b := q.jobs[i], q.jobs[k]
	if q.overload && a.valuePerCost != b.valuePerCost {
		return a.valuePerCost > b.valuePerCost
	}
	return admission.Compare(a.queueRank(q.overload), b.queueRank(q.overload)) < 0
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, k int) {
	q.jobs[i], q.jobs[k] = q.jobs[k], q.jobs[i]
	q.jobs[i].index, q.jobs[k].index = i, k
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	j := x.(*job)
	j.index, j.queue = len(q.jobs), q
	q.jobs = append(q.jobs, j)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	j := q.jobs[len(q.jobs)-1]
	q.jobs = q.jobs[:len(q.jobs)-1]
	j.queue = nil
	return j
}

// queueRank is a job's place in the queue. In overload most have aged: oldest first would serve
// each one late.
func (j *job) queueRank(overload bool) admission.Rank {
	return admission.Rank{Aged: j.aged && !overload, AgedAt: j.agesAt, Cost: j.cost, Seq: j.seq}
}

// capabilityQueue names the queue of jobs that require a capability.
type capabilityQueue struct {
	capability string
	queueIndex int // in Dispatcher.queues, of those of the same kind and width that require none
}

// maxIdleQueues is how many queues of capabilities are kept though no job waits there.
const maxIdleQueues = 32

// enqueue puts a job into the queue of its kind and width: several free slots at once are rare, and
// jobs of one slot must not wait for them. Nor must other jobs wait for one whose capability no
// worker offers just now: each capability has queues of its own, while jobs wait there.
func (d *Dispatcher) enqueue(j *job) {
	at := 2*(j.class.Kind+1) + boolToInt(j.Slots > 1)
	q := d.queues[at]
	if j.Capability != "" {
		key := capabilityQueue{j.Capability, at}
		if q = d.capabilityQueues[key]; q == nil {
			q = &queue{key: key}
			d.capabilityQueues[key], d.queues = q, append(d.queues, q)
		}
	}
	j.queuedAt = d.now
	heap.Push(q, j)
}

// dequeue takes a job out of its queue, if it is in one.
func (d *Dispatcher) dequeue(j *job) {
	if j.queue != nil {
		heap.Remove(j.queue, j.index)
	}
}

// pruneQueues drops the queues of capabilities for which no job waits, once there are many.
func (d *Dispatcher) pruneQueues() {
	if len(d.capabilityQueues) < maxIdleQueues {
		return
	}
	d.queues = slices.DeleteFunc(d.queues, func(q *queue) bool {
		idle := q.key.capability != "" && len(q.jobs) == 0
		if idle {
			delete(d.capabilityQueues, q.key)
		}
		return idle
	})
}

// dispatchQueued sends queued jobs as long as the head of a queue fits a worker.
func (d *Dispatcher) dispatchQueued() {
	overload := d.lastLossAt != 0 && d.now-d.lastLossAt < overloadHold
	for _, q := range d.queues {
		if overload != q.overload {
			q.overload = overload
			heap.Init(q)
		}
		for len(q.jobs) > 0 {
			j := q.jobs[0]
			if d.dropIfHopeless(j) {
				continue
			}
			w := d.selectWorker(j)
			if w == nil {
				break
			}
			heap.Pop(q)
			d.send(j, w)
		}
	}
	d.armTick()
}

// ageQueue marks jobs that no shorter one may pass any more and gives up those that can't be in
// time.
func (d *Dispatcher) ageQueue(q *queue) {
	for i := 0; i < len(q.jobs); i++ {
		j := q.jobs[i]
		if d.dropIfHopeless(j) {
			i = -1
		} else if !j.aged && d.now >= j.agesAt {
			j.aged = true
			heap.Fix(q, i)
		}
	}
}
