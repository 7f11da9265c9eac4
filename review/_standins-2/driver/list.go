package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/standin"
)

// laggingList is a platform's list of runners that several servers answer for. Each answer shows the list as
// it was some time ago, at most max_lag_ms.
type laggingList struct {
	rec    *record
	mu     sync.Mutex
	states []listState
	reads  map[string]time.Time // by server: its last read
	racks  map[string]string    // by ID; r1 where there is none
}

type listState struct {
	since   time.Time
	entries map[string]string // address to ID
}

// set makes an ID the one at an address from now on.
func (l *laggingList) set(address, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := listState{since: time.Now(), entries: map[string]string{}}
	if len(l.states) > 0 {
		for a, i := range l.states[len(l.states)-1].entries {
			next.entries[a] = i
		}
	}
	next.entries[address] = id
	l.states = append(l.states, next)
	l.rec.line("the list has %s at %s", id, address)
}

// serve starts one server of the list, with its lag in milliseconds.
func (l *laggingList) serve(name string, lagMs *atomic.Int64) *standin.Server {
	server, err := standin.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := time.Now()
		l.reads[name] = now
		state := l.states[0]
		for _, s := range l.states {
			if !s.since.After(now.Add(-time.Duration(lagMs.Load()) * time.Millisecond)) {
				state = s
			}
		}
		var instances []map[string]any
		var ids []string
		for address, id := range state.entries {
			rack := "r1"
			if l.racks[id] != "" {
				rack = l.racks[id]
			}
			instances = append(instances, map[string]any{
				"id": id, "backend": service, "address": address, "zone": "banska-hala", "version": "v1", "slots": 8, "state": "ready",
				"cold_left_ms": 0, "capacity": map[string]any{"cpu": 16000, "mem_mb": 32000, "gpu": 0}, "labels": []string{"a", rack},
			})
			ids = append(ids, id)
		}
		l.rec.detail("%s reads the list, %d ms old: %v", name, lagMs.Load(), ids)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "next_token": nil})
	}))
	must(err)
	return server
}

// serveNow starts a server of the list that doesn't lag.
func (l *laggingList) serveNow() *standin.Server { return l.serve("the reader", &atomic.Int64{}) }

// forwarder is the fixed address of a runner, whose lives listen elsewhere. Without a life it refuses
// connections as a dead port does.
type forwarder struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	conns    map[net.Conn]bool
}

func newForwarder() *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	f := &forwarder{listener: listener, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.forward(conn)
		}
	}()
	return f
}

func (f *forwarder) forward(conn net.Conn) {
	f.mu.Lock()
	target := f.target
	f.mu.Unlock()
	var life net.Conn
	err := fmt.Errorf("dead")
	if target != "" {
		life, err = net.Dial("tcp", target)
	}
	if err != nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return
	}
	f.mu.Lock()
	f.conns[conn], f.conns[life] = true, true
	f.mu.Unlock()
	go func() { _, _ = io.Copy(life, conn); _ = life.Close(); _ = conn.Close() }()
	_, _ = io.Copy(conn, life)
	_ = life.Close()
	_ = conn.Close()
}

// use makes all later connections reach a life at that address; empty: none, and the present ones end.
func (f *forwarder) use(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
	for conn := range f.conns {
		_ = conn.Close()
	}
	clear(f.conns)
}

// runs records which runs of each task have begun and ended at the runners, and finds those that ran at once.
type runs struct {
	rec     *record
	mu      sync.Mutex
	active  map[string]map[string]int // task to runner to attempt
	started map[string]int            // by runner
	ofJob   map[string]int            // starts by job
	twice   []string
}

func (r *runs) RunStarted(runner, task string, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.detail("%s starts %s attempt %d", runner, task, attempt)
	r.started[runner]++
	if r.ofJob == nil {
		r.ofJob = map[string]int{}
	}
	id, _, _ := strings.Cut(task, ".")
	r.ofJob[id]++
	for other, at := range r.active[task] {
		r.twice = append(r.twice, fmt.Sprintf("%s starts %s attempt %d while attempt %d of it runs on %s", runner, task, attempt, at, other))
		r.rec.line("TWICE: %s", r.twice[len(r.twice)-1])
	}
	if r.active[task] == nil {
		r.active[task] = map[string]int{}
	}
	r.active[task][runner] = attempt
}

func (r *runs) RunEnded(runner, task string, attempt int, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.detail("%s ends %s attempt %d: %s", runner, task, attempt, reason)
	delete(r.active[task], runner)
}

func (r *runs) EndAcknowledged(runner, task string, attempt int, reason string) {
	r.rec.detail("%s: the end of %s attempt %d (%s) is taken note of", runner, task, attempt, reason)
}

func (r *runs) startsOn(runner string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started[runner]
}

// of returns how many runs of a job's tasks have begun.
func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ofJob[id]
}

// running returns how many runs there are on all runners.
func (r *runs) running() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.active {
		n += len(at)
	}
	return n
}

// groupLeader returns the core machine that leads a group.
func (c *cluster) groupLeader(group string) *machine {
	for _, m := range c.cores {
		client := rpc.NewClient(c.internal(m))
		status, ok := c.status(client, time.Second)
		client.Close()
		for _, g := range status.Groups {
			if ok && g.Name == group && g.Leads {
				return m
			}
		}
	}
	panic(couldNotRun{fmt.Errorf("%s has no leader", group)})
}

// submitSteadily hands in jobs of two tasks each until the context ends.
func (c *cluster) submitSteadily(ctx context.Context, every time.Duration) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		calls.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			body := []byte(`{"spec":"(text)","stages":[{"count":2,"cpu":1000,"mem_mb":256,"estimate_ms":2500}]}`)
			for try := range 4 {
				status, _ := c.job(c.edges[(i+try)%len(c.edges)], "POST", id, body)
				if status == http.StatusOK || ctx.Err() != nil {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		time.Sleep(every)
	}
}

// listCase: a runner crashes and is soon back at its address under a new ID. Just after the reader of the
// platform's list has seen that, it is stopped as planned, and another core machine reads the list, from a
// server of it that lags by at most max_lag_ms.
func listCase(rec *record, trouble bool) (broken string) {
	const lag = 760 // max_lag_ms is 800
	c := newCluster(rec, 3, 2)
	defer c.close()
	list := &laggingList{rec: rec, reads: map[string]time.Time{}}
	seen := &runs{rec: rec, active: map[string]map[string]int{}, started: map[string]int{}}
	c.platforms = map[string]string{}
	lags := map[string]*atomic.Int64{}
	for _, m := range c.cores {
		lags[m.name] = &atomic.Int64{}
		server := list.serve(m.name, lags[m.name])
		defer server.Close()
		c.platforms[m.name] = strings.TrimPrefix(server.URL, "http://")
	}
	live := func(id string) *worker { return newWorker(id, 2500*time.Millisecond, seen) }
	for _, id := range []string{"i-a", "i-b"} {
		r := live(id)
		list.set(r.address, id)
	}
	place := newForwarder()
	defer func() { _ = place.listener.Close() }()
	address := place.listener.Addr().String()
	first := live("i-c1")
	place.use(first.address)
	list.set(address, "i-c1")

	c.startAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.submitSteadily(ctx, 250*time.Millisecond)
	time.Sleep(4 * time.Second)
	reader := c.groupLeader(protocol.ConfigGroup)
	for name, ms := range lags {
		if name != reader.name {
			ms.Store(lag)
		}
	}
	rec.line("%s reads the list; the servers of the list that the others use lag by %d ms", reader.name, lag)
	time.Sleep(2 * time.Second)

	first.crash()
	place.use("")
	rec.line("i-c1 has crashed")
	time.Sleep(1500 * time.Millisecond)
	list.mu.Lock()
	last := list.reads[reader.name]
	list.mu.Unlock()
	time.Sleep(time.Until(last.Add(1750 * time.Millisecond))) // shortly before the reader's next read but one
	second := live("i-c2")
	place.use(second.address)
	list.set(address, "i-c2")
	back := time.Now()
	for seen.startsOn("i-c2") == 0 && time.Since(back) < 2*time.Second {
		time.Sleep(time.Millisecond)
	}
	rec.line("%v after it was back i-c2 has been given %d tasks", time.Since(back), seen.startsOn("i-c2"))
	if trouble {
		c.signal(reader, syscall.SIGTERM)
		<-reader.exited
		c.writeSettings(reader, false)
		c.start(reader)
	}
	time.Sleep(8 * time.Second)
	cancel()
	time.Sleep(4 * time.Second)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if len(seen.twice) > 0 {
		return fmt.Sprintf("TWICE: %d times a task was started while another run of it ran", len(seen.twice))
	}
	return ""
}
