package sets

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"basaltloft/internal/shared/indexedheap"
)

// ErrFull says that there is no room for a job.
var ErrFull = errors.New("no room")

// Set holds jobs by a time, each once. A durable store may stand in its place:
// the Book uses nothing but its methods.
type Set struct {
	Name  string
	heap  indexedheap.Heap[*Job]
	bytes int
}

// Len is how many jobs it holds.
func (s *Set) Len() int { return s.heap.Len() }

// Add takes a job in.
func (s *Set) Add(j *Job, at time.Time) {
	j.set, j.orderedBy = s, unixNanosOf(at)
	s.bytes += j.size()
	s.heap.Push(j)
}

// Remove takes a job out that it holds.
func (s *Set) Remove(j *Job) {
	s.heap.Remove(j.heapIndex)
	s.bytes -= j.size()
	j.set = nil
}

// Earliest is the job with the earliest time, or nil.
func (s *Set) Earliest() *Job {
	if s.heap.Len() == 0 {
		return nil
	}
	return s.heap.All()[0]
}

// Sorted lists the jobs by time.
func (s *Set) Sorted() []*Job {
	all := slices.Clone(s.heap.All())
	slices.SortFunc(all, compareByTime)
	return all
}

func compareByTime(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.orderedBy, b.orderedBy), cmp.Compare(a.ID, b.ID))
}

func newSet(name string) *Set {
	return &Set{Name: name, heap: indexedheap.New(func(a, b *Job) bool { return compareByTime(a, b) < 0 }, func(j *Job, at int) { j.heapIndex = at })}
}

// Queue holds the jobs of one name in the order of their coming.
type Queue struct {
	Name        string
	Paused      bool
	first, last *Job
	count       int
	bytes       int
}

// Len is how many jobs wait.
func (q *Queue) Len() int { return q.count }

// Oldest is the job that has waited longest, or nil.
func (q *Queue) Oldest() *Job { return q.first }

// push puts a job at the end, or the front.
func (q *Queue) push(j *Job, front bool) {
	j.queue, j.prev, j.next = q, nil, nil
	switch {
	case q.first == nil:
		q.first, q.last = j, j
	case front:
		j.next, q.first.prev = q.first, j
		q.first = j
	default:
		j.prev, q.last.next = q.last, j
		q.last = j
	}
	q.count++
	q.bytes += j.size()
}

func (q *Queue) remove(j *Job) {
	if j.prev != nil {
		j.prev.next = j.next
	} else {
		q.first = j.next
	}
	if j.next != nil {
		j.next.prev = j.prev
	} else {
		q.last = j.prev
	}
	j.prev, j.next, j.queue = nil, nil, nil
	q.count--
	q.bytes -= j.size()
}

// latency is how long the first job has waited.
func (q *Queue) latency(now time.Time) time.Duration {
	if q.first == nil {
		return 0
	}
	return max(0, now.Sub(q.first.enqueuedAt.time()))
}
