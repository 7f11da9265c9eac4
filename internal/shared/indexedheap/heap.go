// Package indexedheap is container/heap for one type of things, which are told where
// they stand, so that any of them can be taken out.
package indexedheap

import "container/heap"

// Heap holds things, the least of them first. Use New.
type Heap[T any] struct{ q queue[T] }

// New returns an empty heap. moved is told each thing's place whenever it changes,
// and -1 once it is out; nil where nobody needs to know.
func New[T any](less func(a, b T) bool, moved func(x T, at int)) Heap[T] {
	if moved == nil {
		moved = func(T, int) {}
	}
	return Heap[T]{queue[T]{less: less, moved: moved}}
}

// Len is how many things it holds.
func (h *Heap[T]) Len() int { return len(h.q.all) }

// All are the things in no order but that the least is the first. The slice is
// the heap's own: it is good until the next change, and not to be changed.
func (h *Heap[T]) All() []T { return h.q.all }

// Push takes a thing in.
func (h *Heap[T]) Push(x T) { heap.Push(&h.q, x) }

// Pop takes the least thing out. There must be one.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.q).(T) }

// Remove takes out the thing at a place.
func (h *Heap[T]) Remove(at int) { heap.Remove(&h.q, at) }

// queue implements heap.Interface.
type queue[T any] struct {
	all   []T
	less  func(a, b T) bool
	moved func(x T, at int)
}

func (q *queue[T]) Len() int           { return len(q.all) }
func (q *queue[T]) Less(i, k int) bool { return q.less(q.all[i], q.all[k]) }
func (q *queue[T]) Swap(i, k int) {
	q.all[i], q.all[k] = q.all[k], q.all[i]
	q.moved(q.all[i], i)
	q.moved(q.all[k], k)
}
func (q *queue[T]) Push(x any) {
	q.all = append(q.all, x.(T))
	q.moved(x.(T), len(q.all)-1)
}
func (q *queue[T]) Pop() any {
	last := len(q.all) - 1
	x := q.all[last]
	var none T
	q.all[last] = none // what it holds on to must not outlive it
	q.all = q.all[:last]
	q.moved(x, -1)
	return x
}
