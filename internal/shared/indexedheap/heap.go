// Package indexedheap has a generic heap that reports the index of each item to the caller, so that any item
// can be removed.
package indexedheap

import "container/heap"

// Heap is a min-heap. Create it with New. It is not safe for concurrent use.
type Heap[T any] struct{ q queue[T] }

// New returns an empty heap. The heap calls moved with an item and its index whenever that index changes, and
// with -1 when the item is removed. moved may be nil.
func New[T any](less func(a, b T) bool, moved func(x T, at int)) Heap[T] {
	if moved == nil {
		moved = func(T, int) {}
	}
	return Heap[T]{queue[T]{less: less, moved: moved}}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.q.all) }

// All returns the items, the least first and the others in no particular order. The slice belongs to the
// heap: it is valid until the next change of the heap, and the caller must not change it.
func (h *Heap[T]) All() []T { return h.q.all }

// Push adds an item.
func (h *Heap[T]) Push(x T) { heap.Push(&h.q, x) }

// Pop removes and returns the least item. It panics if the heap is empty.
func (h *Heap[T]) Pop() T { return heap.Pop(&h.q).(T) }

// Remove removes the item at an index.
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
	q.all[last] = none // so that the item can be garbage-collected
	q.all = q.all[:last]
	q.moved(x, -1)
	return x
}
