// Package systemtest runs the whole system in one process on loopback, against stand-ins of
// the platform's list and of runners. Its tests need no bench.
package systemtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Platform is a stand-in of the platform's list.
type Platform struct {
	Server *httptest.Server

	mu      sync.Mutex
	entries []map[string]any
}

// NewPlatform returns a platform that lists nothing.
func NewPlatform() *Platform {
	p := &Platform{}
	p.Server = httptest.NewServer(http.HandlerFunc(p.list))
	return p
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	page := map[string]any{"instances": p.entries, "next_token": nil}
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	_ = json.NewEncoder(w).Encode(page)
}

// AddRunner lists a runner.
func (p *Platform) AddRunner(r *Runner, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, map[string]any{
		"id": r.ID, "backend": service, "address": strings.TrimPrefix(r.Server.URL, "http://"), "state": "ready",
		"capacity": map[string]int{"cpu": 16000, "mem_mb": 32000, "gpu": 0}, "labels": []string{"a", "r1"},
	})
}

// Runner is a stand-in of a runner: its tasks end done after a while.
type Runner struct {
	ID           string
	Server       *httptest.Server
	TaskDuration time.Duration

	mu       sync.Mutex
	changed  chan struct{}
	fence    uint64
	number   uint64
	runs     map[string]int
	finished [][]any
	began    map[string]int // starts, by task
	started  time.Time
}

// NewRunner returns a runner whose tasks take so long.
func NewRunner(id string, takes time.Duration) *Runner {
	r := &Runner{ID: id, TaskDuration: takes, changed: make(chan struct{}), runs: map[string]int{}, began: map[string]int{}, started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", r.start)
	mux.HandleFunc("POST /-/run-stop", r.stop)
	mux.HandleFunc("POST /-/hold", r.hold)
	r.Server = httptest.NewServer(mux)
	return r
}

// order is what the system sends, whatever it asks.
type order struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Token   uint64 `json:"fence_token"`
	Seen    uint64 `json:"last_seen"`
	WaitMs  int64  `json:"wait_ms"`
}

// StartCounts returns how often each task began.
func (r *Runner) StartCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	starts := map[string]int{}
	for task, n := range r.began {
		starts[task] = n
	}
	return starts
}

func (r *Runner) clock() int64 { return time.Since(r.started).Milliseconds() + 1000 }

// read takes an order in; false: it was answered, being for another life or from an older owner.
func (r *Runner) read(w http.ResponseWriter, q *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		http.Error(w, "bad", http.StatusBadRequest)
		return o, false
	}
	if q.Header.Get("Expect-Instance") != r.ID {
		http.Error(w, "{}", http.StatusMisdirectedRequest)
		return o, false
	}
	if o.Token < r.fence {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprintf(w, `{"clock_ms":%d,"reason":"fence"}`, r.clock())
		return o, false
	}
	r.fence = o.Token
	return o, true
}

func (r *Runner) start(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.read(w, q)
	if !ok {
		return
	}
	if r.runs[o.Task] != o.Attempt {
		r.runs[o.Task] = o.Attempt
		r.began[o.Task]++
		time.AfterFunc(r.TaskDuration, func() { r.end(o, "done") })
	}
	fmt.Fprintf(w, `{"clock_ms":%d}`, r.clock())
}

func (r *Runner) end(o order, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[o.Task] != o.Attempt {
		return
	}
	delete(r.runs, o.Task)
	r.number++
	r.finished = append(r.finished, []any{r.number, o.Task, o.Attempt, how, ""})
	close(r.changed)
	r.changed = make(chan struct{})
}

// EndAll ends all tasks that run, as done.
func (r *Runner) EndAll() {
	r.mu.Lock()
	running := maps.Clone(r.runs)
	r.mu.Unlock()
	for task, attempt := range running {
		r.end(order{Task: task, Attempt: attempt}, "done")
	}
}

func (r *Runner) stop(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	o, ok := r.read(w, q)
	r.mu.Unlock()
	if !ok {
		return
	}
	r.end(o, "stopped")
	fmt.Fprintf(w, `{"clock_ms":%d}`, r.clock())
}

func (r *Runner) hold(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	o, ok := r.read(w, q)
	if !ok {
		r.mu.Unlock()
		return
	}
	for len(r.finished) > 0 && r.finished[0][0].(uint64) <= o.Seen {
		r.finished = r.finished[1:]
	}
	changed, wait := r.changed, len(r.finished) == 0
	r.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	running := [][]any{}
	for task, attempt := range r.runs {
		running = append(running, []any{task, attempt, "", 50})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"clock_ms": r.clock(), "running": running, "finished": r.finished})
}
