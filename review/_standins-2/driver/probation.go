package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// probationCase: two of 41 jobs can never be done. They fall due shortly before a gang does, some time after
// the traffic has ended. Nothing else runs, and the runners have room for the gang many times over.
func probationCase(rec *record, trouble bool) (broken string) {
	const finish = 14 * time.Second // finish_s
	c := newCluster(rec, 3, 2)
	defer c.close()
	list := &laggingList{rec: rec, reads: map[string]time.Time{}}
	seen := &runs{rec: rec, active: map[string]map[string]int{}, started: map[string]int{}}
	server := list.serveNow()
	defer server.Close()
	c.platforms = map[string]string{}
	for _, m := range c.cores {
		c.platforms[m.name] = strings.TrimPrefix(server.URL, "http://")
	}
	for _, id := range []string{"i-a", "i-b"} {
		w := newWorker(id, 300*time.Millisecond, seen)
		list.set(w.address, id)
	}
	c.startAll()
	trafficEnd := time.Now().Add(12 * time.Second)
	small := map[string]any{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 300}
	wide := map[string]any{"count": 6, "anti_affinity": 3, "cpu": 1000, "mem_mb": 256, "estimate_ms": 300}
	gang := map[string]any{"count": 4, "cpu": 2000, "mem_mb": 256, "estimate_ms": 300, "gang": true}
	spec := "(text)"
	if trouble {
		spec = hopeless
	}
	c.handIn("first wide job", spec, trafficEnd.Add(8800*time.Millisecond), wide)
	c.handIn("second wide job", spec, trafficEnd.Add(9100*time.Millisecond), wide)
	due := trafficEnd.Add(10700 * time.Millisecond)
	id := c.handIn("gang", "(text)", due, gang)
	for range 37 {
		c.handIn("small job", "(text)", time.Time{}, small)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(trafficEnd))
	c.handIn("the last small job", "(text)", time.Time{}, small)
	rec.line("the traffic has ended")
	trafficEnd = time.Now()
	if time.Until(due) < 9*time.Second || time.Until(due) > 11*time.Second {
		panic(couldNotRun{fmt.Errorf("the traffic took too long")})
	}
	time.Sleep(time.Until(due))
	rec.line("the gang falls due")
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	status, answer := c.job(c.edges[0], "GET", id, nil)
	waited := time.Since(due)
	started, atWork := seen.of(id), seen.running()
	rec.line("finish_s after the traffic: the gang's state is %d %s; %v after it fell due %d of its tasks have been started; %d tasks run on all runners", status, answer, waited, started, atWork)
	time.Sleep(8 * time.Second)
	status, answer = c.job(c.edges[0], "GET", id, nil)
	rec.line("8 s later: %d %s, %d starts", status, answer, seen.of(id))
	if waited > 3*time.Second && started == 0 && atWork == 0 {
		return fmt.Sprintf("LOST: for %v the gang has had nothing running on idle runners", waited)
	}
	return ""
}

// handIn hands in a job of one step, at once or with a time, and returns its ID.
func (c *cluster) handIn(name, spec string, due time.Time, stage map[string]any) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	job := map[string]any{"spec": spec, "stages": []map[string]any{stage}}
	if !due.IsZero() {
		job["repeats"], job["start_at_ms"], job["interval_ms"] = 1, due.UnixMilli(), 1000
	}
	body, err := json.Marshal(job)
	must(err)
	for try := range 10 {
		if status, _ := c.job(c.edges[try%len(c.edges)], "POST", id, body); status == http.StatusOK {
			c.rec.line("%s accepted: %s", name, id)
			return id
		}
		time.Sleep(200 * time.Millisecond)
	}
	panic(couldNotRun{fmt.Errorf("%s was not accepted", name)})
}
