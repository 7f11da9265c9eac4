package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["idlegang"] = idleGang }

// idleGang: one of 24 jobs can never be done: its runs fail by its own fault. Afterwards a gang of four comes, for
// which both runners of the service are free. It has to run.
func idleGang(l *lab) (string, error) {
	const (
		host, prefix = "tours.example", "/previews/"
		retries      = 4
		finish       = 14 * time.Second // finish_s
		still        = 3 * time.Second  // for which nothing runs, by the rule
		jobs         = 22               // plain ones, before the hopeless one and the gang
	)
	kinds := map[string]string{}
	l.world.plan = func(task string, _ int) work {
		id, _, _ := strings.Cut(task, ".")
		switch kinds[id] {
		case "hopeless":
			return work{took: 150 * time.Millisecond, fails: true}
		case "gang":
			return work{took: 300 * time.Millisecond, gang: 4}
		}
		return work{took: 200 * time.Millisecond}
	}
	for n := 1; n <= 2; n++ {
		if _, err := l.world.newRunner(fmt.Sprintf("i-%d", n), "studio", fmt.Sprintf("%s.%d", l.net, 100+n), "a", "r1-1"); err != nil {
			return "", err
		}
	}
	if err := l.startAll(); err != nil {
		return "", err
	}
	if !l.configure(0, configuration(3, []map[string]any{service("studio")}, route("previews", host, prefix, "studio", retries))) {
		return "", fmt.Errorf("the configuration was not acknowledged")
	}
	submit := func(kind string, stage map[string]any) (string, error) {
		id := newID()
		l.world.mu.Lock()
		kinds[id] = kind
		l.world.mu.Unlock()
		if !l.submit(host, prefix+id, map[string]any{"spec": kind, "stages": []any{stage}}) {
			return id, fmt.Errorf("the job %s was not accepted", kind)
		}
		return id, nil
	}
	for range jobs {
		id, err := submit("plain", map[string]any{"count": 2, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 200})
		if err != nil {
			return "", err
		}
		if state, ok := l.awaitState(host, prefix+id, 15*time.Second, "completed"); !ok {
			return "", fmt.Errorf("a plain job is %q", state)
		}
	}
	if l.trouble {
		id, err := submit("hopeless", map[string]any{"count": 4, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 200})
		if err != nil {
			return "", err
		}
		if state, ok := l.awaitState(host, prefix+id, 20*time.Second, "failed"); !ok {
			return "", fmt.Errorf("the hopeless job is %q", state)
		}
	}
	gang, err := submit("gang", map[string]any{"count": 4, "cpu": 2000, "mem_mb": 1024, "gpu": 1, "estimate_ms": 300, "gang": true})
	if err != nil {
		return "", err
	}
	l.record.add("the traffic ends")
	state, done := l.awaitState(host, prefix+gang, finish+still, "completed")
	if done {
		return "", nil
	}
	// The rest only shows for how long the gang goes on waiting.
	later, _ := l.awaitState(host, prefix+gang, 30*time.Second, "completed")
	starts := 0
	for _, e := range l.world.snapshot() {
		if e.start && strings.HasPrefix(e.task, gang) {
			starts++
		}
	}
	l.record.add("the gang is %q %v after the traffic, %q %v later; %d of its runs were started", state, finish+still, later, 30*time.Second, starts)
	return fmt.Sprintf("LOST: the gang is %q %v after the end of the traffic, with both runners idle, and %q 30 s later; %d runs of it were started", state, finish+still, later, starts), nil
}
