// Package capacity has only benchmarks, which measure the unit costs from which docs/CAPACITY.md is computed.
//
//	go test -bench . -benchmem ./internal/cluster/capacity
package capacity

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"basaltloft/coord/replica"
	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
)

var schedulerConfig = scheduler.Config{MaxLease: 6 * time.Second, RemoteSlowdown: 1.5, StatusRetention: 2 * time.Minute}

// cluster is a scheduler with its store, and simulated runners that respond at once.
type cluster struct {
	store     *job.Store
	scheduler *scheduler.Scheduler
	now       time.Duration
	serial    int
	clockMs   int64
	waiting   []scheduler.Order // renewals with a wait that have no response yet
	runs      map[string][]scheduler.ReportedRun
	started   int // number of runs
}

// newCluster returns a cluster with the given number of runners, all of which have responded.
func newCluster(runners int) *cluster {
	c := &cluster{store: job.NewStore(), now: time.Hour, clockMs: 1, runs: map[string][]scheduler.ReportedRun{}}
	c.scheduler = scheduler.New(c.store, 1, schedulerConfig, c.now, 0, slog.New(slog.DiscardHandler))
	var list []scheduler.Runner
	for i := range runners {
		list = append(list, scheduler.Runner{ID: fmt.Sprint("i-", i), Service: "desk", Address: fmt.Sprint("10.0.0.1:", i),
			Labels: []string{"a", fmt.Sprint("r-", i/8)}, Capacity: job.Resources{CPU: 32000, MemMB: 128000, GPU: 2}})
	}
	c.scheduler.UpdateRunners(c.now, list)
	c.step(50 * time.Millisecond)
	return c
}

// step advances the time by span, commits the scheduler's commands, and responds to its starts and to renewals
// without a wait.
func (c *cluster) step(span time.Duration) {
	c.now += span
	c.clockMs += span.Milliseconds()
	c.scheduler.Tick(c.now, c.now.Milliseconds())
	out := c.scheduler.TakeOutput(c.now, true)
	for len(out.Commands)+len(out.Orders) > 0 {
		c.apply(out.Commands)
		if len(out.Commands) > 0 {
			c.scheduler.Committed(c.now, out.Batch)
		}
		for _, order := range out.Orders {
			switch order.Kind {
			case scheduler.OrderRenewLease:
				if order.WaitMs > 0 {
					c.waiting = append(c.waiting, order)
				} else {
					c.scheduler.LeaseReplied(c.now, order, scheduler.LeaseRenewed, scheduler.RunnerReport{ClockMs: c.clockMs})
				}
			case scheduler.OrderStart:
				c.scheduler.StartReplied(c.now, order, scheduler.StartAccepted, c.clockMs)
				c.started++
				c.runs[order.Runner] = append(c.runs[order.Runner], scheduler.ReportedRun{Task: order.Task, Attempt: order.Attempt, Percent: 50})
			}
		}
		out = c.scheduler.TakeOutput(c.now, true)
	}
}

// answerRenewals responds to the renewals with a wait, as runners do at the end of the wait.
func (c *cluster) answerRenewals() {
	renewals := c.waiting
	c.waiting = nil
	for _, order := range renewals {
		c.scheduler.LeaseReplied(c.now, order, scheduler.LeaseRenewed, scheduler.RunnerReport{ClockMs: c.clockMs, Running: c.runs[order.Runner]})
	}
	c.waiting = append(c.waiting, c.scheduler.TakeOutput(c.now, false).Orders...)
}

// apply applies committed commands.
func (c *cluster) apply(commands []job.Command) {
	for _, command := range commands {
		c.scheduler.Applied(c.now, command, c.store.Apply(command))
	}
}

// submit accepts a job with the given number of tasks.
func (c *cluster) submit(tasks int) {
	c.serial++
	c.apply([]job.Command{{Kind: job.AcceptJob, Submission: &job.Submission{ID: fmt.Sprintf("%016x", c.serial), Queue: "h/q/", Service: "desk", Retries: 3,
		Spec: job.Spec{Text: strings.Repeat("x", 200), Steps: []job.Step{{Count: tasks, EstimateMs: 3000, Resources: job.Resources{CPU: 100, MemMB: 100}}}}}}})
}

// BenchmarkStart measures one task from the acceptance of its job to the response to its start order: the
// decision, the command and the accounting. Its sub-benchmarks are named by the number of runners.
func BenchmarkStart(b *testing.B) {
	for _, runners := range []int{100, 1000, 6200} {
		b.Run(fmt.Sprint(runners), func(b *testing.B) {
			c := newCluster(runners)
			b.ResetTimer()
			for submitted := 0; submitted < b.N; submitted += 10 {
				c.submit(10)
				c.step(4 * time.Millisecond)
			}
			if c.started == 0 {
				b.Fatal("nothing was started")
			}
		})
	}
}

// startAll advances the time until this many tasks have been started.
func (c *cluster) startAll(b *testing.B, tasks int) {
	b.Helper()
	const maxSteps = 10_000
	for range maxSteps {
		if c.started >= tasks {
			return
		}
		c.step(4 * time.Millisecond)
	}
	b.Fatalf("%d of %d tasks were started", c.started, tasks)
}

// BenchmarkTick measures one tick of a scheduler. Its sub-benchmarks are named by the number of busy runners.
func BenchmarkTick(b *testing.B) {
	for _, runners := range []int{100, 1000, 6200} {
		b.Run(fmt.Sprint(runners), func(b *testing.B) {
			c := newCluster(runners)
			const tasksEach = 15
			for range runners {
				c.submit(tasksEach)
			}
			c.startAll(b, runners*tasksEach)
			b.ResetTimer()
			for n := range b.N {
				c.now += 40 * time.Millisecond
				c.clockMs += 40
				c.scheduler.Tick(c.now, c.now.Milliseconds())
				if n%15 == 0 {
					b.StopTimer()
					c.answerRenewals()
					b.StartTimer()
				}
			}
		})
	}
}

// storeWithRuns returns a store of jobs with the given number of tasks, all of them running.
func storeWithRuns(tasks int) *job.Store {
	s := job.NewStore()
	const tasksEach = 14
	for at := 0; at < tasks/tasksEach; at++ {
		id := fmt.Sprintf("%016x", at)
		s.Apply(job.Command{Kind: job.AcceptJob, Submission: &job.Submission{ID: id, Queue: "h/q/", Service: "desk", Retries: 3,
			Spec: job.Spec{Text: strings.Repeat("x", 1000), Steps: []job.Step{{Count: tasksEach, EstimateMs: 3000, Resources: job.Resources{CPU: 100}}}}}})
		for index := range tasksEach {
			s.Apply(job.Command{Kind: job.StartRun, Task: job.TaskRef{Job: id, Index: index}, Attempt: 1, Runner: "i-5a55c8aeb7", Address: "10.128.0.9:8080"})
		}
	}
	return s
}

// BenchmarkSnapshot measures a whole snapshot of a store. Its sub-benchmarks are named by the number of running
// tasks.
func BenchmarkSnapshot(b *testing.B) {
	for _, tasks := range []int{1000, 10_000, 92_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			s := storeWithRuns(tasks)
			size := 0
			b.ResetTimer()
			for range b.N {
				content, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(content)
			}
			b.ReportMetric(float64(size)/float64(tasks), "bytes/task")
		})
	}
}

// BenchmarkCommand measures the commands of an end and a start: encoding, decoding and applying them.
func BenchmarkCommand(b *testing.B) {
	s := storeWithRuns(14)
	size := 0
	for n := range b.N {
		task := job.TaskRef{Job: fmt.Sprintf("%016x", 0), Index: n % 14}
		batch := job.Batch{Commands: []job.Command{
			{Kind: job.EndRun, Task: task, Attempt: 1 + n/14, Runner: "i-5a55c8aeb7", EndReason: job.EndLost},
			{Kind: job.StartRun, Task: task, Attempt: 2 + n/14, Runner: "i-5a55c8aeb7", Address: "10.128.0.9:8080"},
		}}
		content := batch.Encode()
		size = len(content)
		decoded, err := job.DecodeBatch(content)
		if err != nil {
			b.Fatal(err)
		}
		for _, c := range decoded.Commands {
			s.Apply(c)
		}
	}
	b.ReportMetric(float64(size)/2, "bytes/command")
}

// configLeader responds to watch requests as the leader of the configuration group does if nothing has changed.
type configLeader struct{}

// HandleCall implements rpc.Handler.
func (configLeader) HandleCall(any) any {
	return protocol.WatchResponse{Leads: true, Leader: "10.0.0.1:7660", Version: 7, Cores: []string{"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"}, Owners: make([]string, protocol.ShardCount)}
}

// HandleOneWay implements rpc.Handler.
func (configLeader) HandleOneWay(any) {}

// BenchmarkFeed measures one watch request of a dispatcher, client and server together.
func BenchmarkFeed(b *testing.B) {
	mux := http.NewServeMux()
	mux.Handle(rpc.Path, rpc.NewServer(configLeader{}))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := rpc.NewClient(strings.TrimPrefix(server.URL, "http://"))
	defer client.Close()
	for range b.N {
		if _, err := client.Call(b.Context(), protocol.WatchRequest{Node: "edge-1", Have: 7}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReplication measures the replication of one log entry with a batch of 2000 bytes by a leader and two
// followers, without disk and network.
func BenchmarkReplication(b *testing.B) {
	timing := replica.Timing{HeartbeatInterval: 100 * time.Millisecond, LeaseDuration: 420 * time.Millisecond, MinElectionTimeout: 520 * time.Millisecond, ElectionJitter: 260 * time.Millisecond}
	voters := []replica.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	first := replica.PersistedState{HardState: replica.HardState{Term: 1}, Snapshot: replica.Snapshot{Index: 1, Term: 1, Membership: replica.Membership{Voters: voters}}}
	nodes := map[string]*replica.Node{}
	for at, voter := range voters {
		nodes[voter.ID] = replica.NewNode(voter.ID, "g", timing, first, uint64(at), 0)
	}
	now := time.Duration(0)
	deliver := func(id string) {
		for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
			node := nodes[queue[0]]
			out := node.Ready()
			if n := len(out.Entries); n > 0 {
				node.Persisted(now, out.Entries[n-1].Index, out.Entries[n-1].Term)
			}
			for _, message := range append(out.Messages, out.MessagesAfterSync...) {
				nodes[message.To].Step(now, message)
				queue = append(queue, message.To)
			}
		}
	}
	for now = 0; now < 5*time.Second; now += 10 * time.Millisecond {
		for _, voter := range voters {
			nodes[voter.ID].Tick(now)
			deliver(voter.ID)
		}
	}
	content := make([]byte, 2000)
	b.ResetTimer()
	for n := range b.N {
		now += time.Millisecond
		for _, voter := range voters {
			if _, _, ok := nodes[voter.ID].Propose(now, content); ok {
				deliver(voter.ID)
				deliver(voter.ID)
			}
			if n%1000 == 999 {
				nodes[voter.ID].Compact(nodes[voter.ID].AppliedSnapshot(), replica.LogRetention{Entries: 100, Bytes: 1 << 20})
			}
		}
	}
}

// BenchmarkMemory measures the memory of a scheduler and its store per running task.
func BenchmarkMemory(b *testing.B) {
	for _, tasks := range []int{10_000, 92_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				c := newCluster(tasks / 15)
				for range tasks / 10 {
					c.submit(10)
				}
				c.startAll(b, tasks/10*10)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tasks), "bytes/task")
				b.ReportMetric(float64(len(c.runs)), "busy-runners")
				runtime.KeepAlive(c)
			}
		})
	}
}
