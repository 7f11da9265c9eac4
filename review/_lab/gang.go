package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["gang"] = hopelessGang }

// hopelessGang: a gang of two tasks, one of which fails by its own fault each time, is handed in while the runners of
// its service answer each start with 429. After its retries it has to be shown as failed, and no
// run may end alone.
func hopelessGang(l *lab) (string, error) {
	const (
		host, prefix = "tours.example", "/previews/"
		retries      = 3
		plainJobs    = 22
		sheddingFor  = 5 * time.Second
		contact      = 3.0 // contact_ms, in seconds
		watchFor     = 45 * time.Second
	)
	gangs := map[string]bool{}
	l.world.plan = func(task string, _ int) work {
		id, _, _ := strings.Cut(task, ".")
		if !gangs[id] {
			return work{took: 300 * time.Millisecond}
		}
		if strings.HasSuffix(task, ".0.0.0") {
			return work{took: 300 * time.Millisecond, fails: true, gang: 2}
		}
		return work{took: time.Second, gang: 2} // the other member's failure ends it before
	}
	var runners []*runner
	for n := 1; n <= 4; n++ {
		r, err := l.world.newRunner(fmt.Sprintf("i-%d", n), "studio", fmt.Sprintf("%s.%d", l.net, 100+n), "a", "r1-1")
		if err != nil {
			return "", err
		}
		runners = append(runners, r)
	}
	if err := l.startAll(); err != nil {
		return "", err
	}
	if !l.configure(0, configuration(3, []map[string]any{service("studio")}, route("previews", host, prefix, "studio", retries))) {
		return "", fmt.Errorf("the configuration was not acknowledged")
	}
	var plain []string
	for range plainJobs { // with the gang, one job in 23 can never be done
		id := newID()
		plain = append(plain, id)
		if !l.submit(host, prefix+id, map[string]any{"spec": "plain", "stages": []any{map[string]any{"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 300}}}) {
			return "", fmt.Errorf("a plain job was not accepted")
		}
	}
	for _, id := range plain {
		if state, ok := l.awaitState(host, prefix+id, 15*time.Second, "completed"); !ok {
			return "", fmt.Errorf("a plain job is %q", state)
		}
	}
	setShedding := func(shedding bool) {
		l.world.mu.Lock()
		defer l.world.mu.Unlock()
		for _, r := range runners {
			r.shedding = shedding
		}
		l.record.add("all runners shed: %t", shedding)
	}
	job := newID()
	l.world.mu.Lock()
	gangs[job] = true
	l.world.mu.Unlock()
	if l.trouble {
		setShedding(true)
		time.AfterFunc(sheddingFor, func() { setShedding(false) })
	}
	troubleEnds := l.record.seconds()
	if l.trouble {
		troubleEnds += sheddingFor.Seconds()
	}
	gang := map[string]any{"spec": "gang", "stages": []any{map[string]any{"count": 2, "cpu": 2000, "mem_mb": 1024, "gpu": 1, "estimate_ms": 400, "gang": true}}}
	if !l.submit(host, prefix+job, gang) {
		return "", fmt.Errorf("the gang was not accepted")
	}
	state, over := l.awaitState(host, prefix+job, watchFor, "failed", "completed", "canceled")
	time.Sleep(4 * time.Second) // what was started before the state was shown comes to its end
	alone, failed, starts, refused := 0, 0, 0, 0
	for _, r := range runners {
		refused += r.rejected
	}
	for _, e := range l.world.snapshot() {
		if !strings.HasPrefix(e.task, job) {
			continue
		}
		switch {
		case e.start:
			starts++
		case e.how == "failed":
			failed++
		case e.how == "alone" && e.at > troubleEnds+contact+l.world.gangMs.Seconds():
			alone++
		}
	}
	l.record.add("the gang's job is %q; starts refused %d, runs started %d, failed %d (retries %d), ended alone later than contact_ms + gang_ms after the trouble: %d", state, refused, starts, failed, retries, alone)
	switch {
	case alone > 0:
		return fmt.Sprintf("GANG: %d runs ended alone, the job is still %q after %d failed runs (retries %d)", alone, state, failed, retries), nil
	case failed > retries:
		return fmt.Sprintf("BUDGET: %d runs of a task failed with retries %d", failed, retries), nil
	case !over:
		return "", fmt.Errorf("the job is %q and no run ended alone", state)
	}
	return "", nil
}
