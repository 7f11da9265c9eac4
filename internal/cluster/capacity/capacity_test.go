// Package capacity measures the slopes from which docs/CAPACITY.md is drawn up:
// go test -bench . -benchmem ./internal/cluster/capacity
package capacity

import (
	"context"
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

var bounds = scheduler.Config{MaxLease: 6 * time.Second, RemoteSlowdown: 1.5, StatusRetention: 2 * time.Minute}

// fleet is an owner with so many runners in touch, and its store.
type fleet struct {
	store  *job.Store
	owner  *scheduler.Scheduler
	now    time.Duration
	serial int
	clock  int64
	held   []scheduler.Order
	runs   map[string][]scheduler.ReportedRun
}

func newFleet(runners int) *fleet {
	f := &fleet{store: job.NewStore(), now: time.Hour, clock: 1, runs: map[string][]scheduler.ReportedRun{}}
	f.owner = scheduler.New(f.store, 1, bounds, f.now, 0, slog.New(slog.DiscardHandler))
	var list []scheduler.Runner
	for i := range runners {
		list = append(list, scheduler.Runner{ID: fmt.Sprint("i-", i), Service: "desk", Address: fmt.Sprint("10.0.0.1:", i),
			Labels: []string{"a", fmt.Sprint("r-", i/8)}, Capacity: job.Resources{CPU: 32000, MemMB: 128000, GPU: 2}})
	}
	f.owner.UpdateRunners(f.now, list)
	f.step(50 * time.Millisecond)
	return f
}

// step lets time pass; holds and starts are answered at once, and commands are committed.
func (f *fleet) step(span time.Duration) (orders int) {
	f.now += span
	f.clock += span.Milliseconds()
	f.owner.Tick(f.now, f.now.Milliseconds())
	out := f.owner.TakeOutput(f.now, true)
	for len(out.Commands)+len(out.Orders) > 0 {
		f.apply(out.Commands)
		if len(out.Commands) > 0 {
			f.owner.Committed(f.now, out.Batch)
		}
		for _, order := range out.Orders {
			orders++
			switch order.Kind {
			case scheduler.OrderRenewLease:
				if order.WaitMs > 0 {
					f.held = append(f.held, order)
				} else {
					f.owner.LeaseReplied(f.now, order, scheduler.LeaseRenewed, scheduler.RunnerReport{ClockMs: f.clock})
				}
			case scheduler.OrderStart:
				f.owner.StartReplied(f.now, order, scheduler.StartAccepted, f.clock)
				f.runs[order.Runner] = append(f.runs[order.Runner], scheduler.ReportedRun{Task: order.Task, Attempt: order.Attempt, Percent: 50})
			}
		}
		out = f.owner.TakeOutput(f.now, true)
	}
	return orders
}

// answerHolds answers each hold that is out, as runners do when their wait is over.
func (f *fleet) answerHolds() {
	held := f.held
	f.held = nil
	for _, order := range held {
		f.owner.LeaseReplied(f.now, order, scheduler.LeaseRenewed, scheduler.RunnerReport{ClockMs: f.clock, Running: f.runs[order.Runner]})
	}
	f.held = append(f.held, f.owner.TakeOutput(f.now, false).Orders...)
}

func (f *fleet) apply(commands []job.Command) {
	for _, c := range commands {
		f.owner.Applied(f.now, c, f.store.Apply(c))
	}
}

func (f *fleet) submit(tasks int) {
	f.serial++
	f.apply([]job.Command{{Kind: job.AcceptJob, Submission: &job.Submission{ID: fmt.Sprintf("%016x", f.serial), Queue: "h/q/", Service: "desk", Retries: 3,
		Spec: job.Spec{Text: strings.Repeat("x", 200), Steps: []job.Step{{Count: tasks, EstimateMs: 3000, Resources: job.Resources{CPU: 100, MemMB: 100}}}}}}})
}

// BenchmarkStart is one task from its job's acceptance to the answer to its order, at an
// owner with so many runners: its decision, its command and its books.
func BenchmarkStart(b *testing.B) {
	for _, runners := range []int{100, 1000, 6200} {
		b.Run(fmt.Sprint(runners), func(b *testing.B) {
			f := newFleet(runners)
			b.ResetTimer()
			for started := 0; started < b.N; started += 10 {
				f.submit(10)
				f.step(4 * time.Millisecond)
			}
		})
	}
}

// BenchmarkTick is one look of the owner over all its runners.
func BenchmarkTick(b *testing.B) {
	for _, runners := range []int{100, 1000, 6200} {
		b.Run(fmt.Sprint(runners), func(b *testing.B) {
			f := newFleet(runners)
			for range runners {
				f.submit(15)
			}
			f.step(4 * time.Millisecond)
			b.ResetTimer()
			for n := range b.N {
				f.now += 40 * time.Millisecond
				f.clock += 40
				f.owner.Tick(f.now, f.now.Milliseconds())
				if n%15 == 0 {
					b.StopTimer()
					f.answerHolds()
					b.StartTimer()
				}
			}
		})
	}
}

// running fills a store with jobs of which all tasks run.
func running(tasks int) *job.Store {
	s := job.NewStore()
	const each = 14
	for at := 0; at < tasks/each; at++ {
		id := fmt.Sprintf("%016x", at)
		s.Apply(job.Command{Kind: job.AcceptJob, Submission: &job.Submission{ID: id, Queue: "h/q/", Service: "desk", Retries: 3,
			Spec: job.Spec{Text: strings.Repeat("x", 1000), Steps: []job.Step{{Count: each, EstimateMs: 3000, Resources: job.Resources{CPU: 100}}}}}})
		for index := range each {
			s.Apply(job.Command{Kind: job.StartRun, Task: job.TaskRef{Job: id, Index: index}, Attempt: 1, Runner: "i-5a55c8aeb7", Address: "10.128.0.9:8080"})
		}
	}
	return s
}

// BenchmarkSnapshot is a whole snapshot of a store in which so many tasks run.
func BenchmarkSnapshot(b *testing.B) {
	for _, tasks := range []int{1000, 10_000, 92_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			s := running(tasks)
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

// BenchmarkCommand is a start and an end through the log: encoded, decoded and applied.
func BenchmarkCommand(b *testing.B) {
	s := running(14)
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

// answerer answers feeds as an owner of the configuration does that has nothing new.
type answerer struct{}

func (answerer) HandleCall(any) any {
	return protocol.WatchResponse{Leads: true, Leader: "10.0.0.1:7660", Version: 7, Cores: []string{"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"}, Owners: make([]string, protocol.ShardCount)}
}
func (answerer) HandleOneWay(any) {}

// BenchmarkFeed is one renewal of a dispatcher's lease, both ends together.
func BenchmarkFeed(b *testing.B) {
	mux := http.NewServeMux()
	mux.Handle(rpc.Path, rpc.NewServer(answerer{}))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := rpc.NewClient(strings.TrimPrefix(server.URL, "http://"))
	defer client.Close()
	for range b.N {
		if _, err := client.Call(context.Background(), protocol.WatchRequest{Node: "edge-1", Have: 7}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReplication is one entry of a batch through a leader and two followers, without
// disk and network.
func BenchmarkReplication(b *testing.B) {
	timing := replica.Timing{HeartbeatInterval: 100 * time.Millisecond, LeaseDuration: 420 * time.Millisecond, MinElectionTimeout: 520 * time.Millisecond, ElectionJitter: 260 * time.Millisecond}
	voters := []replica.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	first := replica.PersistedState{HardState: replica.HardState{Term: 1}, Snapshot: replica.Snapshot{Index: 1, Term: 1, Membership: replica.Membership{Voters: voters}}}
	machines := map[string]*replica.Node{}
	for at, voter := range voters {
		machines[voter.ID] = replica.NewNode(voter.ID, "g", timing, first, uint64(at), 0)
	}
	now := time.Duration(0)
	deliver := func(id string) {
		for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
			m := machines[queue[0]]
			out := m.Ready()
			if n := len(out.Entries); n > 0 {
				m.Persisted(now, out.Entries[n-1].Index, out.Entries[n-1].Term)
			}
			for _, message := range append(out.Messages, out.MessagesAfterSync...) {
				machines[message.To].Step(now, message)
				queue = append(queue, message.To)
			}
		}
	}
	for now = 0; now < 5*time.Second; now += 10 * time.Millisecond {
		for _, voter := range voters {
			machines[voter.ID].Tick(now)
			deliver(voter.ID)
		}
	}
	content := make([]byte, 2000)
	b.ResetTimer()
	for n := range b.N {
		now += time.Millisecond
		for _, voter := range voters {
			if _, _, ok := machines[voter.ID].Propose(now, content); ok {
				deliver(voter.ID)
				deliver(voter.ID)
			}
			if n%1000 == 999 {
				machines[voter.ID].Compact(machines[voter.ID].AppliedSnapshot(), replica.LogRetention{Entries: 100, Bytes: 1 << 20})
			}
		}
	}
}

// BenchmarkMemory is what an owner and its store hold in memory for each task that runs.
func BenchmarkMemory(b *testing.B) {
	for _, tasks := range []int{10_000, 92_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				f := newFleet(tasks / 15)
				for range tasks / 10 {
					f.submit(10)
				}
				for range 20 {
					f.step(4 * time.Millisecond)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tasks), "bytes/task")
				b.ReportMetric(float64(len(f.runs)), "busy-runners")
				runtime.KeepAlive(f)
			}
		})
	}
}
