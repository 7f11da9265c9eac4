package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// rackCase: a job falls due whose data lies in a rack of which the only runner is at work for some seconds more.
// Three runners of the other rack are idle.
func rackCase(rec *record, trouble bool) (broken string) {
	const finish = 14 * time.Second // finish_s
	c := newCluster(rec, 3, 2)
	defer c.close()
	c.farX = "3"
	list := &laggingList{rec: rec, reads: map[string]time.Time{}, racks: map[string]string{"i-b": "r2", "i-c": "r2", "i-d": "r2"}}
	seen := &runs{rec: rec, active: map[string]map[string]int{}, started: map[string]int{}}
	server := list.serveNow()
	defer server.Close()
	c.platforms = map[string]string{}
	for _, m := range c.cores {
		c.platforms[m.name] = strings.TrimPrefix(server.URL, "http://")
	}
	for _, id := range []string{"i-a", "i-b", "i-c", "i-d"} {
		w := newWorker(id, 300*time.Millisecond, seen)
		w.rack, w.farX = "r2", 3
		if id == "i-a" {
			w.rack = "r1"
		}
		list.set(w.address, id)
	}
	c.startAll()
	trafficEnd := time.Now().Add(8 * time.Second)
	due := trafficEnd.Add(10300 * time.Millisecond)
	if trouble {
		c.handIn("the job that keeps the rack busy", "takes 9000 near r1", trafficEnd.Add(6500*time.Millisecond),
			map[string]any{"count": 1, "cpu": 15000, "mem_mb": 256, "estimate_ms": 9000, "affinity": "r1"})
	}
	id := c.handIn("the job that waits", "takes 4000 near r1", due,
		map[string]any{"count": 1, "cpu": 4000, "mem_mb": 256, "estimate_ms": 4000, "affinity": "r1"})
	for range 20 {
		c.handIn("small job", "(text)", time.Time{}, map[string]any{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 300})
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(trafficEnd))
	c.handIn("the last small job", "(text)", time.Time{}, map[string]any{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 300})
	trafficEnd = time.Now()
	if wait := time.Until(due); wait < 10*time.Second || wait > 11*time.Second {
		panic(couldNotRun{fmt.Errorf("the traffic took too long")})
	}
	time.Sleep(time.Until(due))
	rec.line("the job falls due")
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	status, answer := c.job(c.edges[0], "GET", id, nil)
	waited := time.Since(due)
	started, atWork := seen.of(id), seen.running()
	rec.line("finish_s after the traffic: its state is %d %s; %v after it fell due %d of its tasks have been started; %d tasks run on all runners", status, answer, waited, started, atWork)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if status, answer = c.job(c.edges[0], "GET", id, nil); status == http.StatusOK && strings.Contains(answer, "completed") {
			break
		}
	}
	rec.line("%v after it fell due: %d %s", time.Since(due), status, answer)
	if waited > 3*time.Second && started == 0 && atWork <= 1 {
		return fmt.Sprintf("LOST: for %v the job has had nothing running beside three idle runners", waited)
	}
	return ""
}
