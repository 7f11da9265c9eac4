package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/shared/indexedheap"
)

// simulatedHost is a host whose workers start each job at once, run it and answer. It costs little
// compared with the decisions.
type simulatedHost struct {
	d       *policy.Dispatcher
	rng     *rand.Rand
	now     time.Duration
	due     indexedheap.Heap[event]
	seq     int
	open    map[string]*struct{ n int }
	decided int
	lost    int
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

func (f *simulatedHost) after(in time.Duration, do func()) {
	f.seq++
	f.due.Push(event{f.now + in, f.seq, do})
}

func (f *simulatedHost) step() {
	m := f.due.Pop()
	f.now = m.at
	m.do()
}

func (f *simulatedHost) Send(id string, worker uint32, _ time.Duration) {
	o := f.open[id]
	n := o.n
	o.n++
	run := time.Duration(10+f.rng.IntN(20)) * time.Millisecond
	f.after(time.Millisecond, func() {
		f.d.HandleAttemptUpdate(f.now, policy.AttemptUpdate{Request: id, Attempt: n, Worker: worker, Kind: policy.UpdateStarted})
	})
	f.after(time.Millisecond+run, func() {
		delete(f.open, id)
		f.decided++
		f.d.HandleAttemptResult(f.now, policy.AttemptResult{Request: id, Attempt: n, Worker: worker, Status: policy.OK, Latency: run, Final: true})
	})
}
func (f *simulatedHost) Refuse(id string, _ time.Duration) { delete(f.open, id); f.lost++; f.decided++ }
func (f *simulatedHost) Fail(id string)                    { delete(f.open, id); f.lost++; f.decided++ }
func (f *simulatedHost) Cancel(string, int)                {}
func (f *simulatedHost) Probe(uint32)                      {}
func (f *simulatedHost) Timer(in time.Duration, token string) {
	f.after(in, func() { f.d.HandleTimer(f.now, token) })
}
func (f *simulatedHost) Watch(bool) {}
func (f *simulatedHost) Fetch()     {}
func (f *simulatedHost) Log(string) {}

// newSimulatedHost returns a host with one dispatcher and the given number of workers. The arrival
// rate keeps the given share of them busy if each runs one job at a time.
func newSimulatedHost(b testing.TB, members int, load float64) *simulatedHost {
	f := &simulatedHost{rng: rand.New(rand.NewPCG(1, 2)), now: time.Second, due: indexedheap.New(func(a, b event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }, nil), open: make(map[string]*struct{ n int })}
	s := policy.Settings{
		Seed: 7, Instances: 1, Zone: "hall", Kinds: []string{"std"}, ReportsStart: true,
		Classes: []policy.Class{{Name: "place-hold", Effect: policy.Idempotent, ClientTimeout: 10 * time.Second, LatencyTarget: 400 * time.Millisecond, TargetPerWork: 2.5, Value: 10, Kind: -1}},
		Limits:  policy.Limits{MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second},
		Rules:   policy.Rules{ColdCapacity: 0.12, WarmupTime: 24 * time.Second, ColdOverloadMultiple: 4, ColdOverloadWindow: 3 * time.Second},
	}
	d, err := policy.New(s, f)
	if err != nil {
		b.Fatal(err)
	}
	f.d = d
	list := make([]policy.Member, members)
	for i := range list {
		list[i] = policy.Member{Number: uint32(i + 1), State: policy.Ready, Kind: "std", Zone: "hall", Cell: i / 100, Weight: 1}
	}
	d.HandleMembers(f.now, policy.ListSnapshot, list)
	every := time.Duration(float64(21*time.Millisecond) / (load * float64(members)))
	var arrive func()
	n := 0
	arrive = func() {
		f.after(time.Duration(f.rng.ExpFloat64()*float64(every)), arrive)
		n++
		id := fmt.Sprint("r", n)
		f.open[id] = &struct{ n int }{}
		d.HandleRequest(f.now, policy.Request{
			ID: id, Class: "place-hold", Hint: 20 * time.Millisecond, Slots: 1, Deadline: f.now + 10*time.Second,
		})
	}
	arrive()
	return f
}

// BenchmarkDecision measures the cost of the decisions for one job by the size of the fleet: a send,
// a reported start, a result, and the timers in between.
func BenchmarkDecision(b *testing.B) {
	for _, members := range []int{10, 64, 512, 1000, 5000, 10000} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			f := newSimulatedHost(b, members, 0.6)
			for until := f.now + time.Second; f.now < until; { // budgets are learned
				f.step()
			}
			f.lost = 0
			b.ResetTimer()
			for from := f.decided; f.decided-from < b.N; {
				f.step()
			}
			b.ReportMetric(float64(f.lost)/float64(b.N), "lost/op")
		})
	}
}
