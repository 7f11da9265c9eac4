package policy

import (
	"container/heap"
	"slices"

	"basaltloft/internal/shared/admission"
)

// agingMultiple: a queued job ages, and shorter jobs no longer go first, after it has waited this
// multiple of its cost.
const agingMultiple = 2.0

// queue holds the waiting jobs of one kind and width as a heap. It implements heap.Interface.
type queue struct {
	jobs     []*job
	overload bool            // the queue is in the order for overload
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

// queueRank returns a job's rank in the queue. In overload most jobs have aged, and serving the oldest
// first would make each one late, so aging does not count then.
func (j *job) queueRank(overload bool) admission.Rank {
	return admission.Rank{Aged: j.aged && !overload, AgedAt: j.agesAt, Cost: j.cost, Seq: j.seq}
}

// capabilityQueue is the key of a queue of jobs that require a capability.
type capabilityQueue struct {
	capability string
	queueIndex int // in Dispatcher.queues, of the queue for this kind and width without a capability
}

// maxIdleQueues is the number of capability queues from which idle ones are deleted.
const maxIdleQueues = 32

// enqueue adds a job to the queue of its kind and width. Several free slots at one worker are rare,
// and jobs of one slot must not wait behind a job that needs them. Nor must other jobs wait behind
// one whose capability no worker offers at the moment, so each capability has queues of its own.
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

// dequeue removes a job from its queue, if it is in one.
func (d *Dispatcher) dequeue(j *job) {
	if j.queue != nil {
		heap.Remove(j.queue, j.index)
	}
}

// pruneQueues deletes the capability queues without jobs once there are maxIdleQueues or more.
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

// dispatchQueued sends queued jobs as long as a worker can take the head of a queue.
func (d *Dispatcher) dispatchQueued() {
	overload := d.lastLossAt != 0 && d.now-d.lastLossAt < overloadHold
	for _, q := range d.queues {
		if overload != q.overload {
			q.overload = overload
			heap.Init(q)
		}
		for len(q.jobs) > 0 {
			j := q.jobs[0]
			if d.dropIfTooLate(j) {
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

// ageQueue marks the jobs that have aged, so that no shorter one goes first any more, and drops those
// that are too late.
func (d *Dispatcher) ageQueue(q *queue) {
	for i := 0; i < len(q.jobs); i++ {
		j := q.jobs[i]
		if d.dropIfTooLate(j) {
			i = -1
		} else if !j.aged && d.now >= j.agesAt {
			j.aged = true
			heap.Fix(q, i)
		}
	}
}
