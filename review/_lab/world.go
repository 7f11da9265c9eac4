// Command review-lab plays the scripts of the review: it starts the programs of the deploy file as processes on
// loopback addresses, with small stand-ins of the platform, the runners, the operator and the clients, and checks
// one rule. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

func (r *record) seconds() float64 { return time.Since(r.started).Seconds() }

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", r.seconds(), fmt.Sprintf(format, values...))
}

// event is the start or the end of a run at a runner.
type event struct {
	at      float64 // seconds since the start of the record
	start   bool
	runner  *runner
	task    string
	attempt int
	spec    string
	how     string // of an end
	number  uint64 // of an end at its runner
}

// work is what a run of a task does.
type work struct {
	took  time.Duration // from its start; of a gang: from when all members are there
	fails bool
	gang  int // members of its gang; 0: none
}

// world is shared by the stand-ins.
type world struct {
	record *record
	gangMs time.Duration
	stopMs time.Duration
	plan   func(task string, attempt int) work

	mu      sync.Mutex
	events  []event
	gangs   map[string]map[string]*run // members that run, by job, time, step and attempt, and by task
	runners []*runner
}

func newWorld(r *record) *world {
	return &world{record: r, gangMs: 3 * time.Second, stopMs: 100 * time.Millisecond, gangs: map[string]map[string]*run{}}
}

// run is a run at a runner.
type run struct {
	runner  *runner
	task    string
	attempt int
	gang    string
	began   time.Time
	working bool
	over    bool
}

// runner is a stand-in for a runner, as PROTOCOL.md describes it.
type runner struct {
	world    *world
	id       string
	service  string
	address  string
	cpu      int
	memMB    int
	gpu      int
	labels   []string
	born     time.Time
	listener net.Listener

	// All below is guarded by world.mu.
	shedding bool // it answers orders to start with 429, having done nothing
	fence    uint64
	deadline int64
	running  map[string]*run
	ended    map[string]int // by task: the highest attempt that was stopped or ended here
	finished []finished
	ends     uint64
	lastSeen uint64
	changed  chan struct{}
	rejected int
}

type finished struct {
	number  uint64
	task    string
	attempt int
	how     string
}

func (w *world) newRunner(id, service, ip string, labels ...string) (*runner, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{world: w, id: id, service: service, address: listener.Addr().String(), cpu: 64000, memMB: 131072, gpu: 8, labels: labels,
		born: time.Now().Add(-time.Hour), listener: listener, running: map[string]*run{}, ended: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {}) // always 200
	mux.HandleFunc("POST /-/run-start", r.start)
	mux.HandleFunc("POST /-/run-stop", r.stop)
	mux.HandleFunc("POST /-/hold", r.hold)
	go func() { _ = http.Serve(listener, mux) }()
	go r.expire()
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	return r, nil
}

func (r *runner) clockMs() int64 { return time.Since(r.born).Milliseconds() }

// order has the fields of all orders.
type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FenceToken   uint64 `json:"fence_token"`
	LastSeen     uint64 `json:"last_seen"`
	WaitMs       int64  `json:"wait_ms"`
	Checkpointed string `json:"checkpointed"`
}

// receive reads an order and checks its life and its fence. If it returns false, it has answered.
func (r *runner) receive(w http.ResponseWriter, request *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(request.Body).Decode(&o) != nil {
		r.answer(w, http.StatusBadRequest, "")
		return o, false
	}
	if life := request.Header.Get("Expect-Instance"); life != "" && life != r.id {
		r.answer(w, http.StatusMisdirectedRequest, "")
		return o, false
	}
	if o.FenceToken < r.fence {
		r.answer(w, http.StatusConflict, "fence")
		return o, false
	}
	r.fence = o.FenceToken
	return o, true
}

func (r *runner) answer(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := map[string]any{"clock_ms": r.clockMs()}
	if reason != "" {
		body["reason"] = reason
	}
	_ = json.NewEncoder(w).Encode(body)
}

// extend extends the time for which everything is held: at most 6 s from now, and it never shortens.
func (r *runner) extend(deadline int64) {
	if deadline > 0 {
		r.deadline = max(r.deadline, min(deadline, r.clockMs()+6000))
	}
}

func (r *runner) start(w http.ResponseWriter, request *http.Request) {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	o, ok := r.receive(w, request)
	if !ok {
		return
	}
	if r.shedding {
		r.rejected++
		r.world.record.add("%s answers 429 to the start of %s run %d", r.id, o.Task, o.Attempt)
		r.answer(w, http.StatusTooManyRequests, "")
		return
	}
	now := r.clockMs()
	present := r.running[o.Task]
	switch {
	case present != nil && present.attempt == o.Attempt:
		r.extend(o.DeadlineMs)
		r.answer(w, http.StatusOK, "")
		return
	case o.DeadlineMs < now:
		r.answer(w, http.StatusConflict, "late")
		return
	case present != nil || o.Attempt <= r.ended[o.Task]:
		r.extend(o.DeadlineMs)
		r.answer(w, http.StatusConflict, "old")
		return
	}
	r.extend(o.DeadlineMs)
	r.begin(o)
	r.answer(w, http.StatusOK, "")
}

// begin starts a run. The caller holds world.mu.
func (r *runner) begin(o order) {
	world := r.world
	world.record.add("%s (%s) starts %s run %d spec %q", r.id, r.service, o.Task, o.Attempt, o.Spec)
	world.events = append(world.events, event{at: world.record.seconds(), start: true, runner: r, task: o.Task, attempt: o.Attempt, spec: o.Spec})
	started := &run{runner: r, task: o.Task, attempt: o.Attempt, began: time.Now()}
	r.running[o.Task] = started
	todo := world.plan(o.Task, o.Attempt)
	if todo.gang == 0 {
		started.working = true
		time.AfterFunc(todo.took, func() { world.finish(started, todo) })
		return
	}
	step := o.Task[:strings.LastIndexByte(o.Task, '.')]
	started.gang = fmt.Sprintf("%s/%d", step, o.Attempt)
	members := world.gangs[started.gang]
	if members == nil {
		members = map[string]*run{}
		world.gangs[started.gang] = members
	}
	members[o.Task] = started
	if len(members) == todo.gang {
		for _, member := range members {
			own := world.plan(member.task, member.attempt)
			member.working = true
			time.AfterFunc(own.took, func() { world.finish(member, own) })
		}
		return
	}
	time.AfterFunc(world.gangMs, func() {
		world.mu.Lock()
		defer world.mu.Unlock()
		if !started.working {
			world.end(started, "alone")
		}
	})
}

// finish ends a run by its own.
func (w *world) finish(r *run, todo work) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if todo.fails {
		w.end(r, "failed")
		return
	}
	w.end(r, "done")
}

// end ends a run, and the others of its gang with it. The caller holds mu.
func (w *world) end(r *run, how string) {
	if r.over {
		return
	}
	r.over = true
	at := r.runner
	delete(at.running, r.task)
	at.ended[r.task] = max(at.ended[r.task], r.attempt)
	at.ends++
	at.finished = append(at.finished, finished{number: at.ends, task: r.task, attempt: r.attempt, how: how})
	w.record.add("%s: %s run %d ends %s", at.id, r.task, r.attempt, how)
	w.events = append(w.events, event{at: w.record.seconds(), runner: at, task: r.task, attempt: r.attempt, how: how, number: at.ends})
	close(at.changed)
	at.changed = make(chan struct{})
	if members := w.gangs[r.gang]; r.gang != "" {
		delete(members, r.task)
		others := how
		if how != "done" {
			others = "broken"
		}
		for _, member := range members {
			if member.working {
				w.end(member, others)
			}
		}
	}
}

func (r *runner) stop(w http.ResponseWriter, request *http.Request) {
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	o, ok := r.receive(w, request)
	if !ok {
		return
	}
	r.ended[o.Task] = max(r.ended[o.Task], o.Attempt)
	if present := r.running[o.Task]; present != nil && present.attempt == o.Attempt {
		time.AfterFunc(r.world.stopMs, func() {
			r.world.mu.Lock()
			defer r.world.mu.Unlock()
			r.world.end(present, "stopped")
		})
	}
	r.answer(w, http.StatusOK, "")
}

func (r *runner) hold(w http.ResponseWriter, request *http.Request) {
	r.world.mu.Lock()
	o, ok := r.receive(w, request)
	if !ok {
		r.world.mu.Unlock()
		return
	}
	r.extend(o.DeadlineMs)
	r.lastSeen = max(r.lastSeen, o.LastSeen)
	for len(r.finished) > 0 && r.finished[0].number <= o.LastSeen {
		r.finished = r.finished[1:]
	}
	changed, wait := r.changed, len(r.finished) == 0
	r.world.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-request.Context().Done():
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
	}
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	running, ends := [][]any{}, [][]any{}
	for _, present := range r.running {
		percent := 0
		if todo := r.world.plan(present.task, present.attempt); present.working && todo.took > 0 {
			percent = min(99, int(100*time.Since(present.began)/todo.took))
		}
		running = append(running, []any{present.task, present.attempt, "", percent})
	}
	for _, f := range r.finished[:min(len(r.finished), 500)] {
		ends = append(ends, []any{f.number, f.task, f.attempt, f.how, ""})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"clock_ms": r.clockMs(), "running": running, "finished": ends})
}

// expire kills everything once the time for which it is held is over.
func (r *runner) expire() {
	for {
		time.Sleep(5 * time.Millisecond)
		r.world.mu.Lock()
		if r.clockMs() > r.deadline {
			for _, present := range r.running {
				r.world.end(present, "lapsed")
			}
		}
		r.world.mu.Unlock()
	}
}

// serveList serves the platform's list at an address.
func (w *world) serveList(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(answer http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		var list []map[string]any
		for _, r := range w.runners {
			list = append(list, map[string]any{"id": r.id, "backend": r.service, "address": r.address, "zone": "a", "version": "v1", "slots": 8, "state": "ready",
				"cold_left_ms": 0, "capacity": map[string]int{"cpu": r.cpu, "mem_mb": r.memMB, "gpu": r.gpu}, "labels": r.labels})
		}
		answer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(answer).Encode(map[string]any{"instances": list, "next_token": nil})
	})
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

// snapshot returns the events so far.
func (w *world) snapshot() []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]event(nil), w.events...)
}

// noted reports whether the end with that number at a runner is taken note of.
func (w *world) noted(e event) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return e.runner.lastSeen >= e.number
}
