package policy

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// nopHost is a host that does nothing.
type nopHost struct{}

func (nopHost) Send(string, uint32, time.Duration) {}
func (nopHost) Refuse(string, time.Duration)       {}
func (nopHost) Fail(string)                        {}
func (nopHost) Cancel(string, int)                 {}
func (nopHost) Probe(uint32)                       {}
func (nopHost) Timer(time.Duration, string)        {}
func (nopHost) Watch(bool)                         {}
func (nopHost) Fetch()                             {}
func (nopHost) Log(string)                         {}

// TestStateDoesNotGrow serves jobs for a long time while all workers are replaced again and again, and
// counts the entries kept.
func TestStateDoesNotGrow(t *testing.T) {
	longRun(t, false, 60)
	longRun(t, true, 600) // workers listed as removed are kept for a minute: 20 rounds of five, and as many drains
}

func longRun(t *testing.T, removedMayServe bool, most int) {
	d, err := New(Settings{Instances: 2, Kinds: []string{"k"}, Limits: Limits{MaxAttempts: 2},
		Classes: []Class{{Name: "c", LatencyTarget: time.Second, ClientTimeout: 5 * time.Second, Value: 1, Kind: -1}},
		Rules:   Rules{ColdCapacity: 0.3, WarmupTime: time.Second, ColdOverloadMultiple: 3, ColdOverloadWindow: time.Second, RemovedMayServe: removedMayServe},
	}, nopHost{})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Minute
	for round := range uint32(500) {
		var list []Member
		for i := range uint32(5) {
			list = append(list, Member{Number: 5*round + i, Kind: "k", StartedAt: now})
		}
		d.HandleMembers(now, ListSnapshot, list)
		for i := range 10 {
			id := fmt.Sprint(round, "-", i)
			d.HandleRequest(now, Request{ID: id, Class: "c", Hint: 50 * time.Millisecond, Deadline: now + 5*time.Second})
			now += 300 * time.Millisecond
			for _, id := range slices.Sorted(maps.Keys(d.jobs)) { // including those queued in earlier rounds
				if j := d.jobs[id]; j.inFlight > 0 {
					d.HandleAttemptResult(now, AttemptResult{Request: id, Worker: j.attempts[0].worker.Number, Final: true})
				}
			}
			d.HandleTimer(now, tickToken)
		}
	}
	kept := len(d.workers) + len(d.byID) + len(d.subset) + len(d.busy) + len(d.jobs) + len(d.kinds)
	for _, q := range d.queues {
		kept += len(q.jobs)
	}
	for _, w := range d.workers {
		kept += len(w.attempts) + len(w.slowStartSends)
	}
	if kept > most {
		t.Errorf("%d entries kept after 5000 jobs on 2500 workers", kept)
	}
}

// TestWarmupPenaltyIsNeverNaN guards against a worker that starts with its full capacity, or with none,
// making the learned warm-up penalty NaN, and with it all averages.
func TestWarmupPenaltyIsNeverNaN(t *testing.T) {
	for _, from := range []float64{0, 1} {
		d := &Dispatcher{Settings: Settings{Rules: Rules{ColdCapacity: from, WarmupTime: time.Second}}, now: time.Minute, warmupPenalty: 0.25}
		w := &worker{warmingSince: time.Minute}
		d.learnWarmupPenalty(w, 1, 1)
		if d.warmupPenalty != d.warmupPenalty || d.warmupSlowdown(w) != d.warmupSlowdown(w) {
			t.Errorf("from %v: warm-up penalty %v, slowdown %v", from, d.warmupPenalty, d.warmupSlowdown(w))
		}
	}
}

// TestSlowStartDrawsAreEvenlySpread checks that, of the draws of n instances for a cold worker and a
// window of the rule, one lies in each of n equal parts, so that a chance of k in n is won by k of the n
// instances. The winners change from window to window.
func TestSlowStartDrawsAreEvenlySpread(t *testing.T) {
	const windows = 40
	for _, n := range []int{1, 2, 3, 5, 16, 17, 80, 300} {
		for _, id := range []uint32{1, 2, 77, 1 << 30} {
			first := make(map[int]bool) // the ranks with the smallest draw
			for window := 1; window <= windows; window++ {
				taken := make([]bool, n)
				for rank := range n {
					w := &worker{Member: Member{Number: id}, warmingSince: time.Minute}
					d := &Dispatcher{Settings: Settings{Instances: n, Rank: rank, Rules: Rules{WarmupTime: time.Hour, ColdOverloadWindow: 3 * time.Second}}}
					d.now = w.warmingSince + time.Duration((float64(window)+0.5-w.hashFraction(uint64(rank)))*float64(d.Rules.ColdOverloadWindow))
					part := int(d.slowStartDraw(w) * float64(n))
					if taken[part] {
						t.Fatalf("%d instances, worker %d, window %d: two draws in part %d", n, id, window, part)
					}
					if taken[part] = true; part == 0 {
						first[rank] = true
					}
				}
			}
			if len(first) < min(n, windows)/2 {
				t.Errorf("%d instances, worker %d: only %d of them ever have the smallest draw", n, id, len(first))
			}
		}
	}
}
