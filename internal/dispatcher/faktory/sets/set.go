package sets

import (
	"cmp"
	"slices"
	"time"

	"basaltloft/internal/shared/indexedheap"
)

// Set holds jobs ordered by a time, each once.
type Set struct {
	Name  string // scheduled, retries or dead
	heap  indexedheap.Heap[*Job]
	bytes int // the sum of the jobs' sizes
}

// Len returns how many jobs the set holds.
func (s *Set) Len() int { return s.heap.Len() }

// Add puts a job that is in no set into this one, ordered by a time.
func (s *Set) Add(j *Job, at time.Time) {
	j.set, j.orderedBy = s, unixNanosOf(at)
	s.bytes += j.size()
	s.heap.Push(j)
}

// Remove takes out a job that this set holds.
func (s *Set) Remove(j *Job) {
	s.heap.Remove(j.heapIndex)
	s.bytes -= j.size()
	j.set = nil
}

// Earliest returns the job with the earliest time, or nil.
func (s *Set) Earliest() *Job {
	if s.heap.Len() == 0 {
		return nil
	}
	return s.heap.All()[0]
}

// Sorted returns all jobs, the earliest first.
func (s *Set) Sorted() []*Job {
	all := slices.Clone(s.heap.All())
	slices.SortFunc(all, compareByTime)
	return all
}

// compareByTime orders jobs by their times, then by their ids.
func compareByTime(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.orderedBy, b.orderedBy), cmp.Compare(a.ID, b.ID))
}

func newSet(name string) *Set {
	less := func(a, b *Job) bool { return compareByTime(a, b) < 0 }
	moved := func(j *Job, index int) { j.heapIndex = index }
	return &Set{Name: name, heap: indexedheap.New(less, moved)}
}
