package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["largegang"] = largeGang }

// largeGang: a large job comes, a gang of four tasks for which the two runners of the service have room twice over.
// It has to run, and so have the small jobs of a less urgent queue that come after it.
func largeGang(l *lab) (string, error) {
	const (
		host    = "tours.example"
		urgent  = "/itineraries/" // priority 1
		prefix  = "/rosters/"     // priority 2
		retries = 4
		finish  = 14 * time.Second // finish_s
		still   = 3 * time.Second  // for which nothing runs, by the rule
		before  = 10               // small jobs before the large one
		after   = 5                // and after it
	)
	large := ""
	l.world.plan = func(task string, _ int) work {
		if large != "" && strings.HasPrefix(task, large) {
			return work{took: 70 * time.Second, gang: 4}
		}
		return work{took: 200 * time.Millisecond}
	}
	for n := 1; n <= 2; n++ {
		r, err := l.world.newRunner(fmt.Sprintf("i-%d", n), "studio", fmt.Sprintf("%s.%d", l.net, 100+n), "a", "r1-1")
		if err != nil {
			return "", err
		}
		l.world.mu.Lock()
		r.cpu, r.memMB, r.gpu = 32000, 65536, 0
		l.world.mu.Unlock()
	}
	if err := l.startAll(); err != nil {
		return "", err
	}
	urgentRoute, smallRoute := route("itineraries", host, urgent, "studio", retries), route("rosters", host, prefix, "studio", retries)
	smallRoute["priority"] = 2
	if !l.configure(0, configuration(3, []map[string]any{service("studio")}, urgentRoute, smallRoute)) {
		return "", fmt.Errorf("the configuration was not acknowledged")
	}
	small := func() (string, error) {
		id := newID()
		if !l.submit(host, prefix+id, map[string]any{"spec": "small", "stages": []any{map[string]any{"count": 2, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 200}}}) {
			return id, fmt.Errorf("a small job was not accepted")
		}
		return id, nil
	}
	for range before {
		id, err := small()
		if err != nil {
			return "", err
		}
		if state, ok := l.awaitState(host, prefix+id, 15*time.Second, "completed"); !ok {
			return "", fmt.Errorf("a small job is %q", state)
		}
	}
	var waiting []string
	if l.trouble {
		id := newID()
		l.world.mu.Lock()
		large = id
		l.world.mu.Unlock()
		job := map[string]any{"spec": "large", "stages": []any{map[string]any{"count": 4, "cpu": 8000, "mem_mb": 8192, "estimate_ms": 70000, "gang": true}}}
		if !l.submit(host, urgent+id, job) {
			return "", fmt.Errorf("the large job was not accepted")
		}
		waiting = append(waiting, id)
		time.Sleep(time.Second)
	}
	for range after {
		id, err := small()
		if err != nil {
			return "", err
		}
		waiting = append(waiting, id)
	}
	l.record.add("the traffic ends")
	unstarted := func() []string {
		started := map[string]bool{}
		for _, e := range l.world.snapshot() {
			id, _, _ := strings.Cut(e.task, ".")
			started[id] = started[id] || e.start
		}
		var missing []string
		for _, id := range waiting {
			if !started[id] {
				missing = append(missing, id)
			}
		}
		return missing
	}
	time.Sleep(finish + still)
	missing := unstarted()
	if len(missing) == 0 {
		return "", nil
	}
	time.Sleep(30 * time.Second) // this only shows for how long they go on waiting
	for _, id := range missing {
		if id == large {
			l.record.add("the large job %s is %q", id, l.state(host, urgent+id))
			continue
		}
		l.record.add("the small job %s is %q", id, l.state(host, prefix+id))
	}
	return fmt.Sprintf("LOST: %d of %d jobs have had nothing running %v after the end of the traffic, %d of them 30 s later, with both runners idle", len(missing), len(waiting), finish+still, len(unstarted())), nil
}
