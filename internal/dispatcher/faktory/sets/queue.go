package sets

import (
	"slices"
	"time"
)

// Queue holds the jobs of one queue in the order in which they entered it.
type Queue struct {
	Name        string
	Paused      bool // no job is dequeued
	first, last *Job
	count       int
	bytes       int // the sum of the jobs' sizes
}

// Len returns how many jobs wait.
func (q *Queue) Len() int { return q.count }

// push puts a job at the end.
func (q *Queue) push(j *Job) {
	j.queue, j.prev, j.next = q, q.last, nil
	if q.last == nil {
		q.first = j
	} else {
		q.last.next = j
	}
	q.last = j
	q.count++
	q.bytes += j.size()
}

// remove takes out a job that this queue holds.
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

// latency returns how long the first job has waited, or 0 for an empty queue.
func (q *Queue) latency(now time.Time) time.Duration {
	if q.first == nil {
		return 0
	}
	return max(0, now.Sub(q.first.enqueuedAt.time()))
}

// Queue returns a queue by name, and creates it if it does not exist.
func (s *Store) Queue(name string) *Queue {
	q := s.queues[name]
	if q == nil {
		q = &Queue{Name: name}
		s.queues[name] = q
	}
	return q
}

// FindQueue returns a queue by name, or nil if it does not exist.
func (s *Store) FindQueue(name string) *Queue { return s.queues[name] }

// resolveNames returns the names unchanged or, if one of them is *, the sorted names of all queues.
func (s *Store) resolveNames(names []string) []string {
	if !slices.Contains(names, "*") {
		return names
	}
	var all []string
	for name := range s.queues {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// Pause pauses queues or resumes them, and returns their names. The name * stands for all queues
// that exist. A queue to pause that does not exist is created, unless the limit of queues is reached.
func (s *Store) Pause(names []string, paused bool) []string {
	names = s.resolveNames(names)
	for _, name := range names {
		if q := s.queues[name]; q != nil || paused && len(s.queues) < s.limits.Queues {
			s.Queue(name).Paused = paused
		}
	}
	return names
}

// Remove drops queues and all of their jobs, and returns these jobs.
func (s *Store) Remove(names []string) (dropped []*Job) {
	for _, name := range s.resolveNames(names) {
		q := s.queues[name]
		if q == nil {
			continue
		}
		for q.first != nil {
			j := q.first
			s.remove(j)
			s.Unlock(j)
			dropped = append(dropped, j)
		}
		delete(s.queues, name)
	}
	return dropped
}

// QueueInfo describes a queue.
type QueueInfo struct {
	Name    string
	Len     int
	Bytes   int
	Paused  bool
	Latency time.Duration // how long its first job has waited
}

// Info describes the queues of the given names or, without names, all queues sorted by name.
func (s *Store) Info(now time.Time, names ...string) (infos []QueueInfo) {
	if len(names) == 0 {
		names = []string{"*"}
	}
	now = s.monotonic(now)
	for _, name := range s.resolveNames(names) {
		i := QueueInfo{Name: name}
		if q := s.queues[name]; q != nil {
			i = QueueInfo{name, q.count, q.bytes, q.Paused, q.latency(now)}
		}
		infos = append(infos, i)
	}
	return infos
}
