package faktory

import (
	"slices"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// fetchTimeout is how long a FETCH waits for a job, as the protocol specifies it.
const fetchTimeout = 2 * time.Second

// pendingFetch is a FETCH that waits for a job.
type pendingFetch struct {
	worker    *worker
	queues    []string
	delivered chan *delivery // with a buffer of one
}

// mayFetchFrom reports whether a worker may fetch from these queues: together with those that it
// has ever fetched from they must be at most maxQueues.
func (ws *workers) mayFetchFrom(w *worker, queues []string) bool {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	total := len(w.queues)
	for _, q := range distinct(queues) {
		if !w.queues[q] {
			total++
		}
	}
	return total <= maxQueues
}

// fetch starts a FETCH, which gets a job at once or later, on the channel delivered. A worker
// joins the pool with its first FETCH, whose queues are its capabilities.
func (ws *workers) fetch(w *worker, queues []string) *pendingFetch {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	f := &pendingFetch{worker: w, queues: distinct(queues), delivered: make(chan *delivery, 1)}
	if w.quiet {
		return f
	}
	changed := !w.inPool
	for _, q := range f.queues {
		if !w.queues[q] {
			w.queues[q], changed = true, true
		}
	}
	if changed {
		w.inPool = true
		ws.updateMember(w, policy.Ready)
	}
	w.fetches = append(w.fetches, f)
	for _, q := range f.queues {
		ws.waitingFetches[q]++
	}
	ws.satisfy(f)
	return f
}

// cancelFetch ends a FETCH. It returns the job that was delivered in the meantime, or nil.
func (ws *workers) cancelFetch(f *pendingFetch) *delivery {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.removeFetch(f)
	select {
	case d := <-f.delivered:
		return d
	default:
		return nil
	}
}

// satisfy looks for a job for a FETCH that waits, in the order of its queues: one in the
// worker's mailbox, or one in the backlog, which is submitted and may be routed to this
// worker. The lock is held, here and below.
func (ws *workers) satisfy(f *pendingFetch) {
	w := f.worker
	if !slices.Contains(w.fetches, f) {
		return
	}
	for _, q := range f.queues {
		if ws.isPaused(q) {
			continue
		}
		for i, d := range w.mailbox {
			if d.queue == q && !d.flow.TooLate(time.Now()) {
				w.mailbox = slices.Delete(w.mailbox, i, i+1)
				ws.deliver(f, d)
				return
			}
		}
		if ws.backlog.unfetched[q] < ws.waitingFetches[q] {
			if id := ws.backlog.submitNext(q); id != "" {
				ws.submittedFor[id] = f
				return
			}
		}
	}
}

// satisfyAll looks for a job for each FETCH that waits for a queue.
func (ws *workers) satisfyAll(queue string) {
	for _, w := range ws.byID {
		for _, f := range slices.Clone(w.fetches) {
			if slices.Contains(f.queues, queue) {
				ws.satisfy(f)
			}
		}
	}
}

// removeFetch removes a FETCH from the waiting ones.
func (ws *workers) removeFetch(f *pendingFetch) {
	i := slices.Index(f.worker.fetches, f)
	if i < 0 {
		return
	}
	f.worker.fetches = slices.Delete(f.worker.fetches, i, i+1)
	for _, q := range f.queues {
		if ws.waitingFetches[q]--; ws.waitingFetches[q] <= 0 {
			delete(ws.waitingFetches, q)
		}
	}
}
