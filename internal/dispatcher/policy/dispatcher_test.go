package policy_test

import (
	"fmt"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

const ms = time.Millisecond

type timer struct {
	at    time.Duration
	token string
}

// recorder is a host that records its calls.
type recorder struct {
	acts   []string // all but timers and logs
	logs   []string
	now    time.Duration
	timers []timer // set and not due yet
	fired  int
	sends  map[string]int
	after  map[string]time.Duration // retry delay of each refusal
}

func (r *recorder) act(format string, args ...any) {
	r.acts = append(r.acts, fmt.Sprintf(format, args...))
}
func (r *recorder) Send(id string, w uint32, _ time.Duration) {
	r.sends[id]++
	r.act("send %s %d", id, w)
}
func (r *recorder) Refuse(id string, after time.Duration) {
	r.after[id] = after
	r.act("refuse %s", id)
}
func (r *recorder) Fail(id string)          { r.act("fail %s", id) }
func (r *recorder) Cancel(id string, n int) { r.act("cancel %s %d", id, n) }
func (r *recorder) Probe(w uint32)          { r.act("probe %d", w) }
func (r *recorder) Timer(in time.Duration, token string) {
	r.timers = append(r.timers, timer{r.now + in, token})
}
func (r *recorder) Watch(on bool)       { r.act("watch %v", on) }
func (r *recorder) Fetch()              { r.act("fetch") }
func (r *recorder) Log(text string)     { r.logs = append(r.logs, text) }
func (r *recorder) has(act string) bool { return slices.Contains(r.acts, act) }
func (r *recorder) count(prefix string) (n int) {
	for _, a := range r.acts {
		if strings.HasPrefix(a, prefix) {
			n++
		}
	}
	return n
}

// fixture is a dispatcher with a recording host and a manual clock.
type fixture struct {
	*policy.Dispatcher
	*recorder
	t *testing.T
}

func settings() policy.Settings {
	return policy.Settings{
		Seed: 1, Instances: 2, Zone: "a", Kinds: []string{"k"}, ValueByWork: true,
		ReportX0: policy.FreeSlots, ReportX1: policy.FreeMemory,
		Classes: []policy.Class{
			{Name: "safe", Effect: policy.Idempotent, LatencyTarget: 400 * ms, TargetPerWork: 2, ClientTimeout: 5 * time.Second, Value: 1, Kind: -1},
			{Name: "keyed", Effect: policy.Deduplicated, DedupScope: policy.DedupZone, DedupWindow: 3 * time.Second, LatencyTarget: 400 * ms,
				TargetPerWork: 2, ClientTimeout: 5 * time.Second, Value: 8, Kind: -1},
			{Name: "unsafe", Effect: policy.AtMostOnce, LatencyTarget: 400 * ms, TargetPerWork: 2, ClientTimeout: 5 * time.Second, Value: 10, Kind: -1},
		},
		Limits: policy.Limits{MaxAttempts: 3, Cancel: true, Probes: true, ConcurrentAttempts: true},
		Rules: policy.Rules{AnswerGrace: 20 * ms, ColdCapacity: 0.3, WarmupTime: 8 * time.Second, ColdOverloadMultiple: 2.5,
			ColdOverloadWindow: 2 * time.Second},
	}
}

func member(id uint32, zone string) policy.Member {
	return policy.Member{Number: id, Kind: "k", Zone: zone, State: policy.Ready, Weight: 1}
}

// newFixture returns a dispatcher with workers 1 to n in zone a.
func newFixture(t *testing.T, s policy.Settings, n int) *fixture {
	t.Helper()
	r := &recorder{sends: make(map[string]int), after: make(map[string]time.Duration), now: time.Minute}
	d, err := policy.New(s, r)
	if err != nil {
		t.Fatal(err)
	}
	b := &fixture{Dispatcher: d, recorder: r, t: t}
	var list []policy.Member
	for i := range n {
		list = append(list, member(uint32(i+1), "a"))
	}
	b.HandleMembers(b.now, policy.ListRestored, list)
	return b
}

// advance moves the clock forward and fires the timers that come due.
func (b *fixture) advance(by time.Duration) {
	end := b.now + by
	for {
		next := -1
		for i, e := range b.timers {
			if e.at <= end && (next < 0 || e.at < b.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			b.now = end
			return
		}
		e := b.timers[next]
		b.timers = slices.Delete(b.timers, next, next+1)
		b.now = max(b.now, e.at)
		b.fired++
		b.HandleTimer(b.now, e.token)
	}
}

func (b *fixture) request(id, class string, hint time.Duration) {
	b.HandleRequest(b.now, policy.Request{ID: id, Class: class, Hint: hint, Deadline: b.now + 5*time.Second})
}

// sentTo returns the worker that the request was last sent to.
func (b *fixture) sentTo(id string) uint32 {
	for i := len(b.acts) - 1; i >= 0; i-- {
		var w uint32
		if n, _ := fmt.Sscanf(b.acts[i], "send "+id+" %d", &w); n == 1 {
			return w
		}
	}
	b.t.Fatalf("%s was not sent: %v", id, b.acts)
	return 0
}

// endAttempt ends the request's last attempt.
func (b *fixture) endAttempt(id string, s policy.Status) {
	b.HandleAttemptResult(b.now, policy.AttemptResult{Request: id, Attempt: b.sends[id] - 1, Worker: b.sentTo(id), Status: s, Final: s == policy.OK})
}

// freeSlotsReport returns a probe result that reports free slots.
func freeSlotsReport(w uint32, free float64) policy.ProbeResult {
	return policy.ProbeResult{Worker: w, Report: policy.Report{Has: policy.HasX0, X0: free}}
}

func TestQueuesUntilCostFits(t *testing.T) {
	b := newFixture(t, settings(), 1)
	for i := range 6 {
		b.request(fmt.Sprint("r", i), "safe", 300*ms)
	}
	if n := b.count("send"); n == 0 || n >= 6 {
		t.Fatalf("%d of 6 jobs were sent at once to one worker", n)
	}
	before := b.count("send")
	b.now += 300 * ms
	b.endAttempt("r0", policy.OK)
	if b.count("send") != before+1 {
		t.Error("a job that ended did not free capacity for the next")
	}
}

func TestShortestFirstWithAging(t *testing.T) {
	b := newFixture(t, settings(), 1)
	b.request("first", "safe", time.Second)
	b.HandleProbeResult(b.now, freeSlotsReport(1, 0))
	b.request("long", "safe", 900*ms)
	b.request("short", "safe", 200*ms)
	b.now += 200 * ms // a report is now later than the send by more than reportLag
	b.HandleProbeResult(b.now, freeSlotsReport(1, 1))
	if !b.has("send short 1") || b.has("send long 1") {
		t.Errorf("the shortest job does not go first: %v", b.acts)
	}
	b.advance(800 * ms) // long has aged by now
	b.request("late", "safe", 100*ms)
	b.endAttempt("first", policy.OK)
	if !b.has("send long 1") || b.has("send late 1") {
		t.Errorf("an aged job is passed by a shorter one: %v", b.acts)
	}
}

func TestIdleWorkerTakesAnyJob(t *testing.T) {
	b := newFixture(t, settings(), 1)
	for i := range 20 {
		b.request(fmt.Sprint("r", i), "safe", 50*ms)
		b.endAttempt(fmt.Sprint("r", i), policy.OK)
	}
	b.request("huge", "safe", 20*time.Second/10)
	if !b.has("send huge 1") {
		t.Error("an idle worker did not take a job above its budget")
	}
}

func TestOwnZoneFirstWhereCrossingHasAPrice(t *testing.T) {
	s := settings()
	s.CrossZonePrice = 0.05
	b := newFixture(t, s, 0)
	b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{member(1, "b"), member(2, "a"), member(3, "b")})
	b.request("r", "safe", 100*ms)
	if w := b.sentTo("r"); w != 2 {
		t.Errorf("sent to worker %d of another zone", w)
	}
}

func TestRefusesAtOnceWhatCannotBeInTime(t *testing.T) {
	b := newFixture(t, settings(), 1)
	b.request("out", "safe", time.Second)
	b.HandleProbeResult(b.now, freeSlotsReport(1, 0))
	b.request("held", "unsafe", 200*ms)
	b.advance(time.Second)
	if !b.has("refuse held") {
		t.Fatalf("a queued job that can't be in time is not refused: %v", b.acts)
	}
}

func TestAtMostOnceIsNeverSentTwice(t *testing.T) {
	for _, s := range []policy.Status{policy.Error, policy.TimedOut, policy.Reset, policy.Cancelled} {
		b := newFixture(t, settings(), 3)
		b.request("r", "unsafe", 100*ms)
		b.endAttempt("r", s)
		if b.sends["r"] != 1 || b.has("refuse r") || !b.has("fail r") {
			t.Errorf("status %d: %v", s, b.acts)
		}
	}
	for _, s := range []policy.Status{policy.Rejected, policy.ConnectFailed} {
		b := newFixture(t, settings(), 3)
		b.request("r", "unsafe", 100*ms)
		b.endAttempt("r", s)
		if b.sends["r"] != 2 {
			t.Errorf("status %d proves that it never ran, but it was not sent again: %v", s, b.acts)
		}
	}
}

func TestDeduplicatedStaysInItsScopeAndWindow(t *testing.T) {
	b := newFixture(t, settings(), 0)
	b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{member(1, "a"), member(2, "b"), member(3, "b"), member(4, "b")})
	b.request("r", "keyed", 100*ms)
	first := b.sentTo("r")
	b.endAttempt("r", policy.Reset)
	if b.sends["r"] == 2 && (first == 1) != (b.sentTo("r") == 1) {
		t.Errorf("resent outside its zone: %v", b.acts)
	}
	if b.has("refuse r") {
		t.Error("refused though it may have run")
	}

	s := settings()
	s.Classes[1].LatencyTarget = 4 * time.Second
	b = newFixture(t, s, 3)
	b.request("late", "keyed", 100*ms)
	b.now += 3100 * ms // past the deduplication window, within the latency target
	b.endAttempt("late", policy.Reset)
	if b.sends["late"] != 1 {
		t.Error("resent after the deduplication window")
	}
}

// TestDedupScopeIsThatOfTheSend checks that the scope of a deduplication key is the zone in which the
// worker was listed at the first send. If the worker is listed in another zone later, a repeat goes to
// the zone of the first send or nowhere.
func TestDedupScopeIsThatOfTheSend(t *testing.T) {
	for _, stays := range []bool{false, true} {
		b := newFixture(t, settings(), 0)
		b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{member(1, "a"), member(2, "b")})
		b.request("r", "keyed", 100*ms)
		first := b.sentTo("r")
		zones := map[uint32]string{1: "a", 2: "b"}
		list := []policy.Member{member(first, zones[3-first]), member(3-first, zones[3-first])}
		if stays { // another worker is now listed in its former zone
			list = append(list, member(3, zones[first]))
		}
		b.HandleMembers(b.now, policy.ListSnapshot, list)
		b.endAttempt("r", policy.Reset)
		if stays && (b.sends["r"] != 2 || b.sentTo("r") != 3) {
			t.Errorf("worker 3 of its zone did not get the repeat: %v", b.acts)
		}
		if !stays && b.sends["r"] != 1 {
			t.Errorf("resent outside the zone it was sent to: %v", b.acts)
		}
	}
}

// TestDeduplicatedWithoutAKey checks that a job of a deduplicated class without a key, whose repeats
// no worker can detect, is sent again only if it never ran, and is otherwise failed, not refused.
func TestDeduplicatedWithoutAKey(t *testing.T) {
	for _, c := range []struct {
		unkeyed bool
		status  policy.Status
		sends   int
	}{{true, policy.Reset, 1}, {true, policy.Error, 1}, {true, policy.ConnectFailed, 2}, {false, policy.Reset, 2}} {
		s := settings()
		s.Classes[1].DedupScope = policy.DedupAll
		b := newFixture(t, s, 3)
		b.HandleRequest(b.now, policy.Request{ID: "r", Class: "keyed", NoDedupKey: c.unkeyed, Hint: 100 * ms, Deadline: b.now + 5*time.Second})
		b.endAttempt("r", c.status)
		if b.sends["r"] != c.sends || c.sends == 1 && (b.has("refuse r") || !b.has("fail r")) {
			t.Errorf("unkeyed %t, status %d: %v", c.unkeyed, c.status, b.acts)
		}
	}
}

// TestDedupWindowIncludesConnectTime checks that a repeat that could reach its worker after the key's
// window is not sent, and that a job whose key may have expired before its client retries is failed,
// not refused.
func TestDedupWindowIncludesConnectTime(t *testing.T) {
	for name, c := range map[string]struct {
		after, dial time.Duration
		sends       int
		end         string
	}{
		"in time with the connect time":       {500 * ms, time.Second, 2, ""},
		"late by the connect time":            {2500 * ms, time.Second, 1, "fail r"},
		"in time with a shorter connect time": {2500 * ms, 400 * ms, 2, ""},
		"key known at the client's retry":     {900 * ms, 3 * time.Second, 1, "refuse r"},
		"key expired at the client's retry":   {1100 * ms, 3 * time.Second, 1, "fail r"},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings()
			s.Classes[1].LatencyTarget, s.Classes[1].DedupScope = 4*time.Second, policy.DedupAll
			s.Limits.ConnectTimeout, s.Limits.RetryAfter, s.Limits.MaxRetryAfter = c.dial, true, 2*time.Second
			b := newFixture(t, s, 3)
			b.request("r", "keyed", 100*ms)
			b.now += c.after
			b.endAttempt("r", policy.Reset)
			if b.sends["r"] != c.sends || c.end != "" && !b.has(c.end) {
				t.Errorf("%d sends: %v", b.sends["r"], b.acts)
			}
		})
	}
}

// TestRejectedMayHaveRun guards against a rejection counting as proof that the job did not run, although
// the rules state that it is none.
func TestRejectedMayHaveRun(t *testing.T) {
	s := settings()
	s.Rules.RejectedMayHaveRun = true
	b := newFixture(t, s, 3)
	b.request("u", "unsafe", 100*ms)
	b.endAttempt("u", policy.Rejected)
	if b.sends["u"] != 1 || b.has("refuse u") || !b.has("fail u") {
		t.Errorf("an at-most-once job that may have run: %v", b.acts)
	}
	b = newFixture(t, s, 0)
	b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{member(1, "a"), member(2, "b"), member(3, "c")})
	b.request("k", "keyed", 100*ms)
	b.endAttempt("k", policy.Rejected)
	b.advance(5 * time.Second)
	if b.sends["k"] != 1 || b.has("refuse k") || !b.has("fail k") {
		t.Errorf("a deduplicated job left its zone: %v", b.acts)
	}
	b = newFixture(t, s, 3)
	b.request("s", "safe", 100*ms)
	b.endAttempt("s", policy.Rejected)
	if b.sends["s"] != 2 {
		t.Errorf("an idempotent job is not sent again: %v", b.acts)
	}
}

func TestHungWorkerGetsNoMore(t *testing.T) {
	s := settings()
	s.Classes[0].LatencyTarget = 4 * time.Second
	b := newFixture(t, s, 2)
	b.request("r", "safe", 50*ms)
	hung := b.sentTo("r")
	b.advance(time.Second)
	for i := range 5 {
		id := fmt.Sprint("n", i)
		b.request(id, "safe", 50*ms)
		if b.sends[id] > 0 && b.sentTo(id) == hung {
			t.Errorf("%s went to the hung worker", id)
		}
	}
	if b.count(fmt.Sprint("probe ", hung)) == 0 {
		t.Error("the hung worker is not rechecked")
	}
}

func TestHungWorkerThatAnswersProbesMustEndAJob(t *testing.T) {
	b := newFixture(t, settings(), 2)
	b.request("big", "unsafe", 500*ms) // raises the mean cost, so that budgets hold nothing back here
	b.now += 500 * ms
	b.endAttempt("big", policy.OK)
	b.HandleProbeResult(b.now, freeSlotsReport(1, 4))
	b.HandleProbeResult(b.now, freeSlotsReport(2, 0))
	b.request("a", "unsafe", 20*ms)
	b.request("b", "unsafe", 20*ms)
	b.advance(time.Second) // both are overdue at worker 1
	b.HandleProbeResult(b.now, freeSlotsReport(1, 4))
	b.request("n", "unsafe", 2*ms)
	if b.sends["n"] > 0 && b.sentTo("n") == 1 {
		t.Error("a probe answer clears the suspicion of a worker that ends no job")
	}
	b.endAttempt("a", policy.OK)
	if b.sends["n"] != 1 || b.sentTo("n") != 1 {
		t.Error("a job that ended does not clear the suspicion")
	}
}

// TestSlowWorkerGetsFewerJobs checks that paces are learned: without them both workers would get the same
// number of jobs.
func TestSlowWorkerGetsFewerJobs(t *testing.T) {
	b := newFixture(t, settings(), 2)
	slow := 0
	for i := range 90 {
		id := fmt.Sprint("r", i)
		b.request(id, "safe", 500*ms)
		took := 500 * ms
		if b.sentTo(id) == 1 {
			took = 850 * ms // not slow enough to reduce a budget
		}
		if i >= 60 && b.sentTo(id) == 1 {
			slow++
		}
		b.now += took
		b.endAttempt(id, policy.OK)
	}
	if slow > 6 {
		t.Errorf("%d of 30 jobs went to the slower of two idle workers", slow)
	}
}

func TestRestartedDispatcherSendsFewJobs(t *testing.T) {
	b := newFixture(t, settings(), 3) // it knows only its last list; its old jobs may still run there
	for i := range 60 {
		b.request(fmt.Sprint("r", i), "safe", 100*ms)
	}
	if n := b.count("send"); n > 9 {
		t.Errorf("%d jobs at once to three workers right after a start", n)
	}
}

func TestOutlierWithoutHintMovesEstimatesLittle(t *testing.T) {
	b := newFixture(t, settings(), 1)
	b.request("r", "safe", 0)
	b.now += 100 * ms
	b.endAttempt("r", policy.OK)
	for i := range 30 {
		id := fmt.Sprint("r", i)
		b.request(id, "safe", 0)
		b.now += 100 * ms
		b.endAttempt(id, policy.OK)
	}
	b.request("heavy", "safe", 0)
	b.now += 430 * ms // far heavier than its class, without a hint
	b.endAttempt("heavy", policy.OK)
	b.request("n", "safe", 0)
	if b.sends["n"] != 1 {
		t.Errorf("after one heavy job its class is estimated to be always late: %v", b.acts[len(b.acts)-3:])
	}
}

func TestCutOffZoneLeavesTheRestServing(t *testing.T) {
	b := newFixture(t, settings(), 0)
	b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{member(1, "a"), member(2, "b"), member(3, "b")})
	for i := range 6 {
		id := fmt.Sprint("r", i)
		b.request(id, "unsafe", 50*ms)
		for b.sends[id] > 0 && b.sentTo(id) != 1 && !b.has("refuse "+id) {
			n := b.sends[id]
			b.endAttempt(id, policy.ConnectFailed)
			if b.sends[id] == n {
				break
			}
		}
		if b.sends[id] > 0 && b.sentTo(id) == 1 {
			b.now += 50 * ms
			b.endAttempt(id, policy.OK)
		}
	}
	b.request("n", "unsafe", 50*ms)
	if b.sends["n"] != 1 || b.sentTo("n") != 1 {
		t.Errorf("jobs are still sent to the zone that is cut off: %v", b.acts)
	}
}

func TestAllUnresponsiveKeepsServing(t *testing.T) {
	b := newFixture(t, settings(), 2)
	b.request("r", "unsafe", 50*ms)
	for range 3 {
		b.endAttempt("r", policy.ConnectFailed)
	}
	b.advance(40 * ms)
	b.request("n", "unsafe", 50*ms)
	if b.sends["n"] == 0 {
		t.Error("all workers are suspect, and nothing is served any more")
	}
}

func TestDrainStopsAtOnce(t *testing.T) {
	b := newFixture(t, settings(), 1)
	m := member(1, "a")
	m.State = policy.Draining
	b.HandleMembers(b.now, policy.ListDelta, []policy.Member{m})
	b.request("r", "safe", 50*ms)
	b.advance(300 * ms)
	if b.sends["r"] != 0 {
		t.Error("sent to a draining worker")
	}
	if !b.has("refuse r") {
		b.advance(300 * ms)
	}
	if !b.has("refuse r") {
		t.Error("no answer without workers")
	}
}

func TestWarmingWorkerIsNotOverloaded(t *testing.T) {
	s := settings()
	b := newFixture(t, s, 0)
	m := member(1, "a")
	m.StartedAt = b.now
	b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{m})
	sent := 0.0
	for i := range 200 {
		id := fmt.Sprint("r", i)
		b.request(id, "safe", 100*ms)
		if b.sends[id] > 0 {
			sent += 0.1
			b.endAttempt(id, policy.OK)
		}
		b.now += 5 * ms
	}
	// after one second: this instance's half of multiple x capacity x one slot x window
	most := s.Rules.ColdOverloadMultiple * (s.Rules.ColdCapacity + 0.7/8) * s.Rules.ColdOverloadWindow.Seconds() / 2
	if sent == 0 || sent > most {
		t.Errorf("a cold worker got %.1f s of work, %.2f s allowed", sent, most)
	}
}

func TestReturnedWorkerWarmsUp(t *testing.T) {
	s := settings()
	b := newFixture(t, s, 1)
	b.request("down", "unsafe", 100*ms)
	for range 3 {
		b.endAttempt("down", policy.ConnectFailed)
	}
	b.HandleProbeResult(b.now, policy.ProbeResult{Worker: 1, Status: policy.OK})
	sent := 0
	for i := range 100 {
		id := fmt.Sprint("r", i)
		b.request(id, "safe", 100*ms)
		if b.sends[id] > 0 {
			sent++
			b.endAttempt(id, policy.OK)
		}
	}
	if sent > 7 { // half of 2.5 x 0.3 x one slot x 2 s, in jobs of 100 ms
		t.Errorf("%d jobs at once to a worker that was down a moment ago", sent)
	}
}

func TestFleetSlowdownIsForgotten(t *testing.T) {
	b := newFixture(t, settings(), 4)
	run := func(id string, took time.Duration) bool {
		b.request(id, "safe", 100*ms)
		if b.sends[id] == 0 {
			return false
		}
		b.now += took
		b.endAttempt(id, policy.OK)
		return true
	}
	for i := range 40 {
		run(fmt.Sprint("slow", i), 350*ms)
	}
	for i := range 25 {
		run(fmt.Sprint("back", i), 100*ms)
	}
	for i := range 10 {
		if id := fmt.Sprint("new", i); !run(id, 100*ms) {
			t.Fatalf("%s is not served on idle workers after a slowdown", id)
		}
	}
}

func TestRejectionOutweighsOlderReports(t *testing.T) {
	b := newFixture(t, settings(), 2)
	b.request("r", "unsafe", 100*ms)
	w := b.sentTo("r")
	b.endAttempt("r", policy.Rejected)
	b.HandleProbeResult(b.now, freeSlotsReport(w, 2)) // sent before the rejection
	for i := range 4 {
		id := fmt.Sprint("n", i)
		b.request(id, "safe", 20*ms)
		if b.sends[id] > 0 && b.sentTo(id) == w {
			t.Errorf("%s went to the worker that has just rejected a job", id)
		}
	}
}

func TestWideHeadDoesNotBlockNarrowJobs(t *testing.T) {
	b := newFixture(t, settings(), 1)
	b.HandleProbeResult(b.now, freeSlotsReport(1, 1))
	b.HandleRequest(b.now, policy.Request{ID: "wide", Class: "safe", Hint: 10 * ms, Slots: 4, Deadline: b.now + 5*time.Second})
	b.request("narrow", "safe", 200*ms)
	if b.sends["wide"] != 0 || b.sends["narrow"] != 1 {
		t.Errorf("the wide job at the head blocks the narrow one: %v", b.acts)
	}
}

func TestHeavyJobDoesNotBlockAWorkerWithFreeSlots(t *testing.T) {
	b := newFixture(t, settings(), 1)
	for i := range 30 {
		b.request(fmt.Sprint("r", i), "safe", 100*ms)
		b.endAttempt(fmt.Sprint("r", i), policy.OK)
	}
	b.request("heavy", "safe", 5*time.Second)
	b.now += 200 * ms
	b.HandleProbeResult(b.now, freeSlotsReport(1, 5))
	b.request("light", "safe", 10*ms)
	if b.sends["light"] != 1 {
		t.Errorf("one heavy job blocks a worker with five free slots: %v", b.acts[len(b.acts)-4:])
	}
}

func TestInOverloadAgedJobsDoNotGoFirst(t *testing.T) {
	b := newFixture(t, settings(), 1)
	b.request("out", "safe", 3*time.Second)
	b.HandleProbeResult(b.now, freeSlotsReport(1, 0))
	b.request("old", "safe", time.Second)
	b.advance(400 * ms)
	b.request("lost", "safe", 10*ms)
	b.advance(500 * ms) // its loss shows overload; old has aged
	b.request("short", "safe", 100*ms)
	b.HandleProbeResult(b.now, freeSlotsReport(1, 1))
	if b.sends["short"] != 1 || b.sends["old"] != 0 {
		t.Errorf("an aged job goes before a shorter one in overload: %v", b.acts)
	}
}

func TestFailedListCallIsRepeated(t *testing.T) {
	s := settings()
	s.PullsMembership = true
	b := newFixture(t, s, 1)
	b.advance(time.Second)
	if b.count("watch true") != 1 {
		t.Fatalf("the list is not watched: %v", b.acts)
	}
	b.HandleMembers(b.now, policy.ListFailed, nil)
	b.advance(time.Second)
	if b.count("watch true") != 2 {
		t.Fatalf("a failed watch is not renewed once: %v", b.acts)
	}
	b.request("r", "safe", 50*ms)
	if b.sends["r"] != 1 {
		t.Error("the old list is no longer used")
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	b := newFixture(t, settings(), 1)
	b.HandleAttemptResult(b.now, policy.AttemptResult{Request: "nobody", Worker: 99})
	b.HandleProbeResult(b.now, policy.ProbeResult{Worker: 99, Status: policy.TimedOut})
	b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: "nobody", Worker: 99, Kind: policy.UpdateStarted})
	b.HandleStreamStart(b.now, policy.StreamStart{Request: "nobody"})
	b.HandleClientGone(b.now, "nobody")
	b.HandleTimer(b.now, "other")
	b.HandleRequest(b.now, policy.Request{ID: "odd", Class: "unheard of", Deadline: b.now + time.Second})
	if !b.has("refuse odd") {
		t.Error("a request of an unknown class gets no answer")
	}
}

func TestInvalidSettings(t *testing.T) {
	for field, invalidate := range map[string]func(*policy.Settings){
		"Instances":          func(s *policy.Settings) { s.Instances = 0 },
		"Rank":               func(s *policy.Settings) { s.Rank = 2 },
		"Classes":            func(s *policy.Settings) { s.Classes = nil },
		"Classes[1]":         func(s *policy.Settings) { s.Classes[1].ClientTimeout = 0 },
		"Limits.MaxAttempts": func(s *policy.Settings) { s.Limits.MaxAttempts = 0 },
		"Rules.ColdFrom":     func(s *policy.Settings) { s.Rules.ColdCapacity = 2 },
	} {
		s := settings()
		invalidate(&s)
		if _, err := policy.New(s, &recorder{}); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// decisionFiles returns the files that deploy/balancer.toml lists as the policy.
func decisionFiles(t *testing.T) []string {
	t.Helper()
	deployFile, err := os.ReadFile("../../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deployFile)
	if list == nil {
		t.Fatal("deploy/balancer.toml lists no policy files")
	}
	var names []string
	for quoted := range strings.SplitSeq(string(list[1]), ",") {
		names = append(names, filepath.Base(strings.Trim(quoted, ` "`)))
	}
	return names
}

// TestDecisionFilesFitAScreen checks the width of the lines of the decision files.
func TestDecisionFilesFitAScreen(t *testing.T) {
	const widest = 110
	for _, name := range decisionFiles(t) {
		source, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(source)) {
			if width := len(strings.TrimRight(strings.ReplaceAll(line, "\t", "    "), "\n")); width > widest {
				t.Errorf("%s: line of %d characters: %s", name, width, line)
			}
		}
	}
}

// TestDecisionsDoNoIO checks the package's imports: all I/O is left to the host.
func TestDecisionsDoNoIO(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("no sources: %v", err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, imported := range file.Imports {
			switch first, _, _ := strings.Cut(strings.Trim(imported.Path.Value, `"`), "/"); first {
			case "os", "io", "net", "syscall", "bufio", "log", "sync":
				t.Errorf("%s imports %s: decisions do no I/O and start no goroutines", name, imported.Path.Value)
			}
		}
	}
}
