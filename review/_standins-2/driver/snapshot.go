package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"basaltloft/coord/rpc"
)

// submitTimed hands in jobs that fall due in an hour, each with a spec of specBytes, and returns the IDs of
// those that were accepted.
func (c *cluster) submitTimed(count, specBytes int) []string {
	ids := make([]string, count)
	var next atomic.Int64
	var workers sync.WaitGroup
	due := time.Now().Add(time.Hour).UnixMilli()
	for range 48 {
		workers.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= count {
					return
				}
				id := fmt.Sprintf("%016x", rand.Uint64())
				body, err := json.Marshal(map[string]any{
					"spec": strings.Repeat("x", specBytes), "repeats": 1, "start_at_ms": due, "interval_ms": 1000,
					"stages": []map[string]any{{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}},
				})
				must(err)
				for range 20 {
					status, _ := c.job(c.edges[i%len(c.edges)], "POST", id, body)
					if status == http.StatusOK {
						ids[i] = id
						break
					}
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	workers.Wait()
	accepted := ids[:0]
	for _, id := range ids {
		if id != "" {
			accepted = append(accepted, id)
		}
	}
	return accepted
}

// freezeWhileReceiving stops a core machine as soon as a part of its group's snapshot has arrived, and
// continues it after the given time. It reports whether it did so.
func (c *cluster) freezeWhileReceiving(m *machine, freeze time.Duration) bool {
	client := rpc.NewClient(c.internal(m))
	defer client.Close()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		status, ok := c.status(client, 200*time.Millisecond)
		if !ok {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		for _, g := range status.Groups {
			if g.Name == shardGroup() && g.Receiving > 0 {
				c.signal(m, syscall.SIGSTOP)
				c.rec.line("%s had received %d bytes of the group's snapshot", m.name, g.Receiving)
				time.Sleep(freeze)
				c.signal(m, syscall.SIGCONT)
				return true
			}
		}
	}
	return false
}

// cutFor is how long the new member exchanges nothing.
const cutFor = 11500 * time.Millisecond

// snapshotCase: a core machine loses its disk, comes back, and exchanges nothing for a while as it is being
// given the state. Later the leader is stopped and started as planned; if that shows nothing, the present
// leader is lost, which the deployment must bear.
func snapshotCase(rec *record, trouble bool) (broken string) {
	c := newCluster(rec, 3, 2)
	defer c.close()
	c.addRunner("i-1", 300*time.Millisecond)
	c.addRunner("i-2", 300*time.Millisecond)
	c.startAll()
	ids := c.submitTimed(4000, 3900)
	rec.line("%d timed jobs accepted", len(ids))
	time.Sleep(2 * time.Second)

	leader := c.findLeader()
	if leader == nil {
		panic(couldNotRun{fmt.Errorf("no leader")})
	}
	lost := c.cores[0]
	if lost == leader {
		lost = c.cores[1]
	}
	c.signal(lost, syscall.SIGKILL)
	must(os.RemoveAll(c.dataDir(lost)))
	c.writeSettings(lost, false)
	rec.line("%s has lost its disk", lost.name)
	c.start(lost)
	if trouble && !c.freezeWhileReceiving(lost, cutFor) {
		panic(couldNotRun{fmt.Errorf("the transfer was not met")})
	}
	time.Sleep(9 * time.Second) // over twice catchup_s, and three times contact_ms
	if leader = c.findLeader(); leader == nil {
		panic(couldNotRun{fmt.Errorf("no leader")})
	}
	c.signal(leader, syscall.SIGTERM)
	<-leader.exited
	c.writeSettings(leader, false)
	c.start(leader)
	time.Sleep(6 * time.Second) // catchup_s and more
	if broken = c.askForAll(ids, 14*time.Second); broken != "" {
		c.findLeader()
		return broken
	}
	if leader = c.findLeader(); leader == nil {
		panic(couldNotRun{fmt.Errorf("no leader")})
	}
	c.signal(leader, syscall.SIGKILL)
	time.Sleep(4 * time.Second) // contact_ms and more
	broken = c.askForAll(ids, 14*time.Second)
	c.findLeader()
	return broken
}

// findLeader records what each core machine says, and returns the one that leads the service's group.
func (c *cluster) findLeader() (leader *machine) {
	for _, m := range c.cores {
		if m.command.ProcessState == nil && c.describe(m) {
			leader = m
		}
	}
	return leader
}

// askForAll asks for jobs, each again and again until it is answered or the time is over, and returns what
// was wrong.
func (c *cluster) askForAll(ids []string, within time.Duration) (broken string) {
	end := time.Now().Add(within)
	var unanswered, gone, known atomic.Int64
	var next atomic.Int64
	var workers sync.WaitGroup
	for worker := range 32 {
		workers.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= len(ids) {
					return
				}
				last := ""
				for try := 0; ; try++ {
					status, answer := c.job(c.edges[(worker+try)%len(c.edges)], "GET", ids[i], nil)
					last = fmt.Sprintf("%d %s", status, answer)
					if status == http.StatusOK {
						known.Add(1)
						break
					}
					if status == http.StatusGone || status == http.StatusNotFound {
						if gone.Add(1) <= 5 {
							c.rec.line("GET %s -> %s", ids[i], last)
						}
						break
					}
					if time.Now().After(end) {
						if unanswered.Add(1) <= 5 {
							c.rec.line("GET %s -> %s (last of %d tries)", ids[i], last, try+1)
						}
						break
					}
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	workers.Wait()
	c.rec.line("of %d accepted jobs %d were shown, %d were said to be unknown, %d got no answer in %v", len(ids), known.Load(), gone.Load(), unanswered.Load(), within)
	if gone.Load()+unanswered.Load() == 0 {
		return ""
	}
	return fmt.Sprintf("LOST: %d accepted jobs are unknown, %d get no answer", gone.Load(), unanswered.Load())
}
