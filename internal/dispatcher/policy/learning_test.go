package policy_test

import (
	"fmt"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// TestNewWorkerStartsAtThePaceOfItsKind checks that the pace of a kind is learned: otherwise, of two new
// workers, the one of the slow kind would be chosen as often as the other.
func TestNewWorkerStartsAtThePaceOfItsKind(t *testing.T) {
	s := settings()
	s.Kinds = []string{"k", "slow"}
	b := newFixture(t, s, 0)
	wrong := 0
	for round := range uint32(60) {
		slow := member(2*round+2, "a")
		slow.Kind = "slow"
		b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{member(2*round+1, "a"), slow})
		for i := range 2 { // one job for each
			b.request(fmt.Sprint("r", round, "-", i), "safe", 200*ms)
		}
		first, second := fmt.Sprint("r", round, "-0"), fmt.Sprint("r", round, "-1")
		if round >= 40 && b.sentTo(first) == slow.Number {
			wrong++
		}
		for _, wait := range []time.Duration{150 * ms, 250 * ms} {
			b.now += wait
			for _, id := range []string{first, second} {
				if b.sends[id] == 1 && (b.sentTo(id) == slow.Number) == (wait == 250*ms) {
					b.endAttempt(id, policy.OK)
				}
			}
		}
	}
	if wrong > 3 {
		t.Errorf("%d of 20 first jobs went to a new worker of the slow kind", wrong)
	}
}

// TestFleetSlowdownAppliesToEveryClass checks that a slowdown of the fleet is learned: otherwise a job of
// a class that was not seen during the slowdown would be accepted and served late.
func TestFleetSlowdownAppliesToEveryClass(t *testing.T) {
	s := settings()
	s.Classes[2].TargetPerWork = 1.5
	b := newFixture(t, s, 4)
	b.request("before", "unsafe", 2*time.Second)
	if b.sends["before"] != 1 {
		t.Fatalf("not sent: %v", b.acts)
	}
	b.now += 2 * time.Second
	b.endAttempt("before", policy.OK)
	for i := range 25 {
		id := fmt.Sprint("slow", i)
		b.request(id, "safe", 200*ms)
		if b.sends[id] == 1 {
			b.now += 800 * ms
			b.endAttempt(id, policy.OK)
		}
	}
	b.request("n", "unsafe", 2*time.Second)
	if b.sends["n"] != 0 || !b.has("refuse n") {
		t.Errorf("accepted although all workers are four times slower: %v", b.acts[len(b.acts)-1])
	}
}

// TestIdleFleetServesJobsWithoutHints guards against attributing the run times of jobs without hints,
// which are unknown at first, to a slowdown of the fleet. The jobs' targets, which grow with their work,
// would then look too short to meet, and idle workers would get no jobs.
func TestIdleFleetServesJobsWithoutHints(t *testing.T) {
	for name, kinds := range map[string][]string{"one kind": {"k"}, "two kinds": {"k", "twin"}} {
		t.Run(name, func(t *testing.T) {
			s := settings()
			s.Kinds, s.ReportX0, s.ReportsStart, s.Limits.ConcurrentAttempts = kinds, "", true, false
			runs := []time.Duration{700 * ms, 900 * ms, 1100 * ms} // the first estimate is half a latency target
			for i := range s.Classes {
				s.Classes[i].LatencyTarget, s.Classes[i].TargetPerWork, s.Classes[i].ClientTimeout = 300*ms, 1, 12*time.Second
			}
			b := newFixture(t, s, 0)
			var list []policy.Member
			for i := range uint32(6) {
				m := member(i+1, "a")
				m.Kind = kinds[int(i)%len(kinds)]
				list = append(list, m)
			}
			b.HandleMembers(b.now, policy.ListSnapshot, list)
			sent := 0
			for round := range 50 {
				ids := make([]string, 0, 3)
				for at := range 3 {
					id := fmt.Sprint("r", round, "-", at)
					b.HandleRequest(b.now, policy.Request{ID: id, Class: s.Classes[at].Name, Deadline: b.now + 12*time.Second})
					if b.sends[id] > 0 {
						b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: id, Worker: b.sentTo(id), Kind: policy.UpdateStarted})
						sent++
						ids = append(ids, id)
					}
				}
				before := b.now
				for at, id := range ids { // they run concurrently, with varying run times
					b.advance(max(0, before+runs[at]*time.Duration(60+(round*37)%81)/100-b.now))
					b.endAttempt(id, policy.OK)
				}
				b.advance(200 * ms)
			}
			if sent < 148 {
				t.Errorf("%d of 150 jobs were sent, although the fleet was idle each time", sent)
			}
		})
	}
}

// keepSaturated has worker 1 alone serve n jobs, which are all reported to start at once, and returns the
// maximum number in flight.
func keepSaturated(t *testing.T, n int) (b *fixture, most int) {
	s := settings()
	s.ReportX0, s.ReportsStart = "", true
	s.Classes[0].LatencyTarget, s.Classes[0].ClientTimeout = time.Hour, time.Hour // none is dropped
	b = newFixture(t, s, 2)
	b.HandleMembers(b.now, policy.ListDelta, []policy.Member{{Number: 2, Kind: "k", Zone: "a", State: policy.Draining}})
	for i := range n {
		b.HandleRequest(b.now, policy.Request{ID: fmt.Sprint("r", i), Class: "safe", Hint: 100 * ms, Deadline: b.now + time.Hour})
	}
	for i := 0; i < n; {
		sent := i
		for ; sent < n && b.sends[fmt.Sprint("r", sent)] > 0; sent++ {
			b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: fmt.Sprint("r", sent), Worker: 1, Kind: policy.UpdateStarted})
		}
		if sent == i {
			t.Fatalf("%d of %d jobs were never sent", n-i, n)
		}
		most = max(most, sent-i)
		b.advance(100 * ms)
		for ; i < sent; i++ {
			b.endAttempt(fmt.Sprint("r", i), policy.OK)
		}
	}
	return b, most
}

// TestGrownBudgetDoesNotAttractAllJobs guards against headroom being an absolute cost: a worker that has
// served more jobs has the larger budget, and would get a job while another worker is idle.
func TestGrownBudgetDoesNotAttractAllJobs(t *testing.T) {
	b, _ := keepSaturated(t, 60)
	b.HandleMembers(b.now, policy.ListDelta, []policy.Member{member(2, "a")})
	b.request("one", "safe", 100*ms)
	b.request("two", "safe", 100*ms)
	if b.sentTo("one") == b.sentTo("two") {
		t.Errorf("two jobs for two idle workers went to worker %d alone", b.sentTo("one"))
	}
}

// TestReportedStartsDoNotInflateBudgets guards against budgets growing faster where starts are reported:
// in overload a worker's queue would fill with jobs that are all late.
func TestReportedStartsDoNotInflateBudgets(t *testing.T) {
	if _, most := keepSaturated(t, 200); most > 8 {
		t.Errorf("%d jobs were in flight at once at a worker that served 200", most)
	}
}
