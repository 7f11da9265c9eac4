package policy_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// TestSlowStartUnderHundredsOfDispatchers runs several hundred dispatchers with one cold worker, uneven
// traffic and lists up to four seconds late. In every window, what all of them send together must stay
// within the limit of the rule for cold workers.
//
//nolint:funlen // a simulation whose steps share their state
func TestSlowStartUnderHundredsOfDispatchers(t *testing.T) {
	const n = 300
	start := time.Minute
	rng := rand.New(rand.NewPCG(1, 2))
	fixtures := make([]*fixture, n)
	listedAt, rate := make([]time.Duration, n), make([]float64, n)
	s := settings()
	s.Instances, s.Limits.Probes = n, false
	for i := range fixtures {
		s.Rank, s.Seed = i, uint64(i)
		fixtures[i] = newFixture(t, s, 0)
		listedAt[i] = start + time.Duration(rng.IntN(4000))*ms
		rate[i] = rng.ExpFloat64() * rng.ExpFloat64() * 4 // jobs a second
	}
	cold := member(1, "a")
	cold.StartedAt = start
	type load struct {
		at   time.Duration
		cost float64
	}
	var sent []load
	due := make(map[time.Duration][]func())
	total := 0.0
	for now := start; now < start+s.Rules.WarmupTime; now += 20 * ms {
		for len(due[now]) > 0 { // runs as long as its hint: otherwise jobs would be learned to be short
			due[now][0]()
			due[now] = due[now][1:]
		}
		for i, b := range fixtures {
			b.now = now
			if now >= listedAt[i] && now-20*ms < listedAt[i] {
				b.HandleMembers(now, policy.ListSnapshot, []policy.Member{cold})
			}
			b.HandleTimer(now, "tick")
			if rng.Float64() > rate[i]/50 {
				continue
			}
			id, hint := fmt.Sprint("r", now), time.Duration(20+rng.IntN(300))*ms
			b.request(id, "safe", hint)
			if b.sends[id] == 0 {
				b.HandleClientGone(now, id)
				continue
			}
			end := now + hint.Round(20*ms)
			due[end] = append(due[end], func() { b.now = end; b.endAttempt(id, policy.OK) })
			sent = append(sent, load{now, hint.Seconds()})
			total += hint.Seconds()
		}
	}
	for i, first := range sent {
		sum := 0.0
		for _, l := range sent[i:] {
			if l.at < first.at+s.Rules.ColdOverloadWindow {
				sum += l.cost
			}
		}
		share := s.Rules.ColdCapacity + (1-s.Rules.ColdCapacity)*float64(first.at-start)/float64(s.Rules.WarmupTime)
		if most := s.Rules.ColdOverloadMultiple * share * s.Rules.ColdOverloadWindow.Seconds(); sum > most {
			t.Fatalf("%v after its start: %.2f s of work in a window, %.2f s allowed", first.at-start, sum, most)
		}
	}
	if total < 2 {
		t.Errorf("the cold worker got %.2f s of work while it warmed up: it is left idle", total)
	}
}

// fleet starts one of several dispatchers, twice as many as there are workers, and sends it two jobs a
// second.
func fleet(t *testing.T, workers, rank int) *fixture {
	s := settings()
	s.Instances, s.Rank = 2*workers, rank
	b := newFixture(t, s, workers)
	for i := range 40 {
		id := fmt.Sprint("r", i)
		b.request(id, "safe", 100*ms)
		for j := len(b.acts) - 1; j >= 0 && b.sends[id] == 0; j-- {
			var w uint32
			if n, _ := fmt.Sscanf(b.acts[j], "probe %d", &w); n == 1 {
				b.HandleProbeResult(b.now, freeSlotsReport(w, 2))
			}
		}
		if b.advance(100 * ms); b.sends[id] > 0 {
			b.endAttempt(id, policy.OK)
		}
		b.advance(400 * ms)
	}
	return b
}

func TestWorkPerJobDoesNotGrowWithTheFleet(t *testing.T) {
	small, large := fleet(t, 40, 3), fleet(t, 400, 3)
	if small.count("send") != 40 || large.count("send") != 40 {
		t.Fatalf("%d and %d of 40 jobs sent", small.count("send"), large.count("send"))
	}
	events := func(b *fixture) int { return len(b.acts) + b.fired }
	if events(large) > events(small)*3/2 {
		t.Errorf("with ten times the workers, 40 jobs take %d actions and timers instead of %d", events(large), events(small))
	}
	fired := large.fired
	large.advance(time.Minute)
	if large.fired-fired > 3 {
		t.Errorf("%d timers in an idle minute", large.fired-fired)
	}
}

func TestSubsetIsSmallAndEvenOverRanks(t *testing.T) {
	used := make(map[string]int)
	for rank := range 200 {
		own := make(map[string]bool)
		for _, a := range fleet(t, 100, rank).acts {
			if strings.HasPrefix(a, "probe ") {
				own[a] = true
			}
		}
		if len(own) > 20 {
			t.Fatalf("rank %d works with %d of 100 workers for two jobs a second", rank, len(own))
		}
		for a := range own {
			used[a]++
		}
	}
	if len(used) < 95 {
		t.Errorf("only %d of 100 workers have a dispatcher", len(used))
	}
	for a, n := range used {
		if n > 50 {
			t.Errorf("%s: %d of 200 dispatchers share it", a, n)
		}
	}
}

func TestFirstCallsForTheListAreSpread(t *testing.T) {
	s := settings()
	s.PullsMembership, s.Instances, s.Rules.MembershipMaxAge = true, 300, 10*time.Second
	early := 0
	for rank := range 300 {
		s.Rank, s.Seed = rank, uint64(rank)
		b := newFixture(t, s, 1)
		b.advance(500 * ms)
		early += b.count("watch true")
		b.advance(5 * time.Second)
		if b.count("watch true") != 1 {
			t.Fatalf("rank %d: %d calls", rank, b.count("watch true"))
		}
	}
	if early > 60 {
		t.Errorf("%d of 300 dispatchers call for the list within half a second of a common start", early)
	}
}

func TestWorkerThatFailsAllDrawsNoWork(t *testing.T) {
	b := newFixture(t, settings(), 2)
	b.request("r", "unsafe", 50*ms)
	bad := b.sentTo("r")
	b.endAttempt("r", policy.Error)
	for i := range 4 {
		id := fmt.Sprint("n", i)
		b.request(id, "unsafe", 20*ms)
		if b.sends[id] > 0 && b.sentTo(id) == bad {
			t.Errorf("%s went to the worker that has just failed a job", id)
		}
	}
}

func TestEmptyAndSmallFleets(t *testing.T) {
	s := settings()
	s.Instances, s.Rank, s.CrossZonePrice = 200, 7, 0.05
	for name, list := range map[string][]policy.Member{
		"one worker": {member(1, "a")}, "own zone empty": {member(1, "b"), member(2, "c")},
	} {
		b := newFixture(t, s, 0)
		b.request("none", "safe", 50*ms)
		b.advance(2 * time.Second)
		if !b.has("refuse none") {
			t.Errorf("%s: no answer without workers", name)
		}
		b.HandleMembers(b.now, policy.ListSnapshot, list)
		b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{member(8, "b")}) // replaces every worker
		b.request("r", "safe", 50*ms)
		b.advance(200 * ms)
		if b.sends["r"] != 1 || b.sentTo("r") != 8 {
			t.Errorf("%s: %v", name, b.acts)
		}
	}
}

// TestGrowingFleetSetsFewTimers guards against setting a timer for each worker that a list adds: when a fleet
// grew fivefold, that took most of the decision time. Only new workers that join the subset are rechecked.
func TestGrowingFleetSetsFewTimers(t *testing.T) {
	s := unreliableListSettings()
	s.Instances = 400
	b := newFixture(t, s, 40)
	before := len(b.timers)
	var more []policy.Member
	for id := range uint32(2000) {
		more = append(more, member(3000-id, "a"))
	}
	b.HandleMembers(b.now, policy.ListDelta, more)
	if n := len(b.timers) - before; n > 20 {
		t.Errorf("%d timers for 2000 new workers", n)
	}
	for i := range 200 {
		b.request(fmt.Sprint("r", i), "safe", 100*ms)
	}
	b.advance(300 * ms)
	tried := 0
	for id := uint32(1001); id <= 3000; id++ {
		tried += b.count(fmt.Sprint("probe ", id))
	}
	if tried == 0 {
		t.Error("no new worker is rechecked, however many jobs arrive")
	}
}

// newStartReportFixture returns one of 80 dispatchers, with workers that report nothing but starts.
func newStartReportFixture(t *testing.T, rank, workers int) *fixture {
	s := settings()
	s.Instances, s.Rank, s.Seed, s.ReportsStart, s.ReportX0 = 80, rank, uint64(rank), true, ""
	s.Limits.ConcurrentAttempts = false
	return newFixture(t, s, workers)
}

// runJob sends a job, reports its start after the wait and its end, and returns its worker.
func (b *fixture) runJob(id string, wait time.Duration) uint32 {
	b.request(id, "unsafe", 100*ms)
	w := b.sentTo(id)
	b.advance(wait)
	b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: id, Worker: w, Kind: policy.UpdateStarted})
	b.advance(100 * ms)
	b.endAttempt(id, policy.OK)
	return w
}

// TestStaysWithAWorkerThatHasCapacity checks that, where only starts show capacity, a dispatcher stays with a
// worker that starts its jobs at once and leaves one at which a job waits. When dispatchers decided by their
// own sums alone, all of them chose the same workers: a quarter of the jobs waited while 37 of 60 workers had
// capacity.
func TestStaysWithAWorkerThatHasCapacity(t *testing.T) {
	used := make(map[uint32]int)
	for rank := range 80 {
		b := newStartReportFixture(t, rank, 20)
		first := b.runJob("r0", 5*ms)
		used[first]++
		same := 0
		for i := range 20 {
			if b.runJob(fmt.Sprint("s", i), 5*ms) == first {
				same++
			}
		}
		if same < 15 {
			t.Errorf("rank %d: %d of 20 jobs at the worker that started the first one at once", rank, same)
		}
		if b.runJob("w", 150*ms) == b.runJob("l", 5*ms) {
			t.Errorf("rank %d: a job goes to a worker where one has just waited", rank)
		}
	}
	for w, n := range used {
		if n > 16 {
			t.Errorf("%d of 80 dispatchers begin at worker %d of 20", n, w)
		}
	}
}

// TestWarmingWorkersAreNotLeftIdle checks the case that half of the fleet is replaced at once while jobs wait
// at the other half. What the dispatchers together send to the new workers grows as those warm up. When each
// dispatcher could send only in its turn, its few jobs seldom arrived in that time, and the new workers were
// idle during their whole warm-up.
func TestWarmingWorkersAreNotLeftIdle(t *testing.T) {
	t.Run("starts", func(t *testing.T) { coldHalf(t, "") })
	t.Run("reports", func(t *testing.T) { coldHalf(t, policy.FreeSlots) })
}

// coldHalf runs 80 dispatchers with 20 workers, half of them cold, and checks the share of jobs that the cold
// half gets.
func coldHalf(t *testing.T, report string) {
	cold, all := 0, 0
	for rank := range 80 {
		s := settings()
		s.Instances, s.Rank, s.Seed, s.ReportsStart, s.ReportX0 = 80, rank, uint64(rank), report == "", report
		s.Limits.ConcurrentAttempts = false
		b := newFixture(t, s, 20)
		var list []policy.Member
		for id := range uint32(20) {
			m := member(id+1, "a")
			if id < 10 {
				m.StartedAt = b.now
			}
			list = append(list, m)
		}
		b.HandleMembers(b.now, policy.ListSnapshot, list)
		for i := range 12 {
			id := fmt.Sprint("r", i)
			b.request(id, "unsafe", 100*ms)
			for k := len(b.acts) - 1; k < len(b.acts) && b.sends[id] == 0; k++ {
				var w uint32
				if n, _ := fmt.Sscanf(b.acts[k], "probe %d", &w); n == 1 {
					b.HandleProbeResult(b.now, freeSlotsReport(w, 2))
				}
				if k == len(b.acts)-1 {
					b.advance(20 * ms)
				}
			}
			if b.sends[id] == 0 {
				b.advance(200 * ms)
			}
			w := b.sentTo(id)
			if all++; w <= 10 {
				cold++
				b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: id, Worker: w, Kind: policy.UpdateStarted})
			}
			b.advance(100 * ms) // as long as its hint: a longer run would exceed what the rule allows
			b.endAttempt(id, policy.OK)
			b.advance(400 * ms)
		}
	}
	if cold < all/4 || cold > all*3/4 {
		t.Errorf("%d of %d jobs go to the cold half", cold, all)
	}
}

// TestFewWorkersWhereOnlyStartsShowCapacity checks that a dispatcher with little traffic uses few workers. For
// each worker that it learns to be full, one of its jobs has to wait; with the former subset of ten workers it
// sent each worker one job in ten seconds.
func TestFewWorkersWhereOnlyStartsShowCapacity(t *testing.T) {
	all := make(map[uint32]bool)
	for rank := range 80 {
		b, used := newStartReportFixture(t, rank, 60), make(map[uint32]bool)
		for i := range 40 {
			w := b.runJob(fmt.Sprint("r", i), 150*ms)
			used[w], all[w] = true, true
		}
		if len(used) > 6 {
			t.Errorf("rank %d uses %d workers of 60 for a job at a time", rank, len(used))
		}
	}
	if len(all) != 60 {
		t.Errorf("the fleet uses %d workers of 60", len(all))
	}
}

// TestWideJobsKeepToAPart checks that all dispatchers prefer the same part of the workers for jobs of several
// slots. A worker serves its queue in order, so such a job, which waits until all its slots are free, delays
// the jobs behind it.
func TestWideJobsKeepToAPart(t *testing.T) {
	sent := [2]map[uint32]int{{}, {}} // narrow, wide
	for rank := range 80 {
		b := newStartReportFixture(t, rank, 60)
		for i := range 20 {
			id := fmt.Sprint("r", i)
			b.HandleRequest(b.now, policy.Request{ID: id, Class: "unsafe", Hint: 100 * ms, Slots: float64(1 + 3*(i%2)), Deadline: b.now + 5*time.Second})
			w := b.sentTo(id)
			sent[i%2][w]++
			b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: id, Worker: w, Kind: policy.UpdateStarted})
			b.advance(100 * ms)
			b.endAttempt(id, policy.OK)
		}
	}
	mixed := 0
	for w, n := range sent[0] {
		mixed += min(n, sent[1][w])
	}
	if mixed > 800/5 {
		t.Errorf("%d of 800 wide jobs share their worker with as many narrow ones", mixed)
	}
}

// TestProbesStayWithinOneARequest limits the probes to one per request: each probe is work for a worker, and
// reports come with answers too.
func TestProbesStayWithinOneARequest(t *testing.T) {
	for _, workers := range []int{40, 80} {
		if b := fleet(t, workers, 1); b.count("probe ") > 40 {
			t.Errorf("%d workers: %d probes for 40 jobs", workers, b.count("probe "))
		}
	}
}

// TestSlowStartBudgetOfAllTogether runs 300 dispatchers that all have one cold worker listed, and whose jobs
// fit no other worker, with several mixes of classes. What they send together in any window of the rule must
// stay under N + 2 sqrt(N) + 2 requests of mean work, where N is the limit by the settings at that time.
//
//nolint:funlen,gocognit // a simulation whose steps share their state
func TestSlowStartBudgetOfAllTogether(t *testing.T) {
	for name, mix := range map[string]struct {
		wide   float64 // the share of jobs that are tickets, which take 3.2 s and 1, 2 or 4 slots
		report bool
	}{"holds": {0, false}, "bookings": {0.28, false}, "tickets": {1, false}, "reports": {0.28, true}} {
		t.Run(name, func(t *testing.T) {
			rng, s := rand.New(rand.NewPCG(3, 4)), settings()
			s.Instances, s.ReportsStart, s.Limits.ConcurrentAttempts, s.Limits.Probes = 300, true, false, mix.report
			s.Rules.ColdCapacity, s.Rules.WarmupTime, s.Rules.ColdOverloadMultiple, s.Rules.ColdOverloadWindow = 0.12, 24*time.Second, 4, 3*time.Second
			fixtures, rate, held := make([]*fixture, 300), make([]float64, 300), make([][]policy.Request, 300)
			cold := member(9, "a")
			for i := range fixtures { // each has learned that the kind has four slots
				s.Rank, s.Seed, rate[i] = i, uint64(i), rng.ExpFloat64()*1.3
				b := newFixture(t, s, 1)
				b.HandleProbeResult(b.now, freeSlotsReport(1, 4))
				for k := range 12 {
					id := fmt.Sprint("w", k)
					if b.request(id, "unsafe", 800*ms); b.sends[id] > 0 {
						b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: id, Worker: 1, Kind: policy.UpdateStarted})
					}
				}
				b.now += time.Second
				for k := range 12 {
					if id := fmt.Sprint("w", k); b.sends[id] > 0 {
						b.endAttempt(id, policy.OK)
					}
				}
				cold.StartedAt = b.now
				fixtures[i] = b
				b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{cold})
			}
			type load struct{ at, work float64 }
			var sent []load
			ends, requested, jobs := make(map[int][]func()), 0.0, 0.0
			for tick := range int(s.Rules.WarmupTime / (20 * ms)) {
				for _, end := range ends[tick] {
					end()
				}
				at := float64(tick) * 0.02
				for i, b := range fixtures {
					b.now = cold.StartedAt + time.Duration(tick)*20*ms
					b.HandleTimer(b.now, "tick")
					if rng.Float64() < rate[i]*0.02 {
						r := policy.Request{ID: fmt.Sprint("r", tick), Class: "unsafe", Hint: 770 * ms, Slots: 1, Deadline: b.now + 10*time.Second}
						if rng.Float64() < mix.wide {
							r.Hint, r.Slots = 3200*ms, []float64{1, 1, 1, 2, 4}[rng.IntN(5)]
						}
						requested, jobs = requested+r.Hint.Seconds()*r.Slots, jobs+1
						held[i] = append(held[i], r)
						b.HandleRequest(b.now, r)
					}
					held[i] = slices.DeleteFunc(held[i], func(r policy.Request) bool {
						if b.sends[r.ID] == 0 {
							return b.now >= r.Deadline
						}
						sent = append(sent, load{at, r.Hint.Seconds() * r.Slots})
						b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: r.ID, Worker: 9, Kind: policy.UpdateStarted})
						done := tick + int(r.Hint/(20*ms))
						ends[done] = append(ends[done], func() {
							b.now = cold.StartedAt + time.Duration(done)*20*ms
							b.endAttempt(r.ID, policy.OK)
						})
						return true
					})
				}
			}
			mean, total := requested/jobs, 0.0
			for i, last := range sent {
				sum, share := 0.0, s.Rules.ColdCapacity+(1-s.Rules.ColdCapacity)*max(0, last.at-3)/24
				for _, l := range sent[:i+1] {
					if l.at > last.at-3 {
						sum += l.work / mean
					}
				}
				n := s.Rules.ColdOverloadMultiple * share * 4 * 3 / mean
				if total += last.work; sum > n+2*math.Sqrt(n)+2 {
					t.Fatalf("%.1f s after its start: %.1f requests of mean work in a window, %.1f allowed", last.at, sum, n+2*math.Sqrt(n)+2)
				}
			}
			t.Logf("%.0f s of work sent to it, of %.0f requested", total, requested)
			if total < 18 {
				t.Errorf("the cold worker got %.1f s of work while it warmed up: it is left idle", total)
			}
		})
	}
}
