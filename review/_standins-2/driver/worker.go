package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is one life of a runner that follows PROTOCOL.md: it holds what runs, reports its progress, and
// takes no order with a lower fencing token, after its deadline, or for another life.
type worker struct {
	id       string
	takes    time.Duration
	rack     string
	farX     int
	seen     *runs
	server   *http.Server
	address  string
	started  time.Time
	mu       sync.Mutex
	fence    uint64
	heldTo   int64
	running  map[string]*workerRun
	over     map[string]int
	ended    int
	finished [][]any
	changed  chan struct{}
	dead     bool
}

type workerRun struct {
	attempt int
	since   time.Time
	fails   bool
	takes   time.Duration
}

// time returns how long a run takes here. A spec "takes MS near RACK" says how long it takes beside its data.
func (w *worker) time(spec string) time.Duration {
	ms, rack := 0, ""
	if _, err := fmt.Sscanf(spec, "takes %d near %s", &ms, &rack); err != nil {
		return w.takes
	}
	if rack != w.rack {
		ms *= w.farX
	}
	return time.Duration(ms) * time.Millisecond
}

// hopeless is the spec of a job whose runs all fail by its own fault.
const hopeless = "(can never be done)"

func newWorker(id string, takes time.Duration, seen *runs) *worker {
	w := &worker{id: id, takes: takes, seen: seen, started: time.Now().Add(-time.Second), running: map[string]*workerRun{}, over: map[string]int{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.watch()
	return w
}

func (w *worker) clock() int64 { return time.Since(w.started).Milliseconds() }

// watch ends the runs that are done, and all runs once their hold is over.
func (w *worker) watch() {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		for task, run := range w.running {
			switch {
			case w.clock() > w.heldTo:
				w.end(task, run.attempt, "lapsed")
			case time.Since(run.since) >= run.takes && run.fails:
				w.end(task, run.attempt, "failed")
			case time.Since(run.since) >= run.takes:
				w.end(task, run.attempt, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) end(task string, attempt int, how string) {
	w.over[task] = max(w.over[task], attempt)
	if run := w.running[task]; run == nil || run.attempt > attempt {
		return
	}
	delete(w.running, task)
	w.seen.RunEnded(w.id, task, attempt, how)
	w.ended++
	w.finished = append(w.finished, []any{w.ended, task, attempt, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}

// crash ends the life with all that it runs.
func (w *worker) crash() {
	w.mu.Lock()
	w.dead = true
	for task, run := range w.running {
		w.seen.RunEnded(w.id, task, run.attempt, "crashed")
	}
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Task       string `json:"task"`
		Spec       string `json:"spec"`
		Attempt    int    `json:"attempt"`
		FenceToken uint64 `json:"fence_token"`
		DeadlineMs int64  `json:"deadline_ms"`
		LastSeen   int    `json:"last_seen"`
		WaitMs     int64  `json:"wait_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	answer := func(status int, fields map[string]any) {
		fields["clock_ms"] = w.clock()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(fields)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || r.Header.Get("Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if order.FenceToken < w.fence {
		answer(http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = order.FenceToken
	late := order.DeadlineMs != 0 && order.DeadlineMs < w.clock()
	w.heldTo = max(w.heldTo, min(order.DeadlineMs, w.clock()+6000))
	switch r.URL.Path {
	case "/-/run-start":
		run := w.running[order.Task]
		switch {
		case run != nil && run.attempt == order.Attempt:
		case order.Attempt <= w.over[order.Task] || run != nil:
			answer(http.StatusConflict, map[string]any{"reason": "old"})
			return
		case late:
			answer(http.StatusConflict, map[string]any{"reason": "late"})
			return
		default:
			w.running[order.Task] = &workerRun{attempt: order.Attempt, since: time.Now(), fails: order.Spec == hopeless, takes: w.time(order.Spec)}
			w.seen.RunStarted(w.id, order.Task, order.Attempt)
		}
		answer(http.StatusOK, map[string]any{})
	case "/-/run-stop":
		w.end(order.Task, order.Attempt, "stopped")
		answer(http.StatusOK, map[string]any{})
	case "/-/hold":
		for len(w.finished) > 0 && w.finished[0][0].(int) <= order.LastSeen {
			w.finished = w.finished[1:]
		}
		if changed := w.changed; len(w.finished) == 0 && order.WaitMs > 0 {
			w.mu.Unlock()
			select {
			case <-changed:
			case <-r.Context().Done():
			case <-time.After(time.Duration(order.WaitMs) * time.Millisecond):
			}
			w.mu.Lock()
		}
		running := [][]any{}
		for task, run := range w.running {
			running = append(running, []any{task, run.attempt, "", min(99, int(100*time.Since(run.since)/run.takes))})
		}
		answer(http.StatusOK, map[string]any{"running": running, "finished": append([][]any{}, w.finished...)})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}
