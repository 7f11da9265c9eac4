package policy_test

import (
	"fmt"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// claims are settings under which lists may be wrong.
func claims() policy.Settings {
	s := settings()
	s.Rules.RemovedMayServe = true
	return s
}

func in(m policy.Member, state policy.MemberState) policy.Member {
	m.State = state
	return m
}

// TestWorkersListedAsRemovedServeOn fails where a list that shrinks, or is empty, is taken at its word.
func TestWorkersListedAsRemovedServeOn(t *testing.T) {
	for name, tell := range map[string]func(b *bench){
		"shrink": func(b *bench) {
			b.HandleMembers(b.now, policy.ListDelta, []policy.Member{in(member(1, "a"), policy.Removed), in(member(2, "a"), policy.Removed)})
		},
		"empty": func(b *bench) { b.HandleMembers(b.now, policy.ListSnapshot, nil) },
	} {
		for _, binds := range []bool{false, true} {
			s := claims()
			s.Rules.RemovedMayServe = !binds
			b := newBench(t, s, 2)
			tell(b)
			b.pass(400 * ms)
			b.request("r", "safe", 50*ms)
			if served := b.sends["r"] > 0; served == binds {
				t.Errorf("%s, gone binds %v: %v", name, binds, b.acts)
			}
		}
	}
}

// TestWorkerListedAsRemovedIsRecheckedFirst: one that gave no sign of life of late gets a probe before any job, while
// another serves; one that has just served is left alone.
func TestWorkerListedAsRemovedIsRecheckedFirst(t *testing.T) {
	b := newBench(t, claims(), 2)
	b.request("r", "safe", 50*ms)
	served := b.sentTo("r")
	b.now += 50 * ms
	b.outcome("r", policy.OK)
	b.HandleMembers(b.now, policy.ListSnapshot, nil)
	for i := range 4 {
		id := fmt.Sprint("n", i)
		b.request(id, "safe", 10*ms)
		if b.sentTo(id) != served {
			t.Errorf("%s went to a worker called gone that shows no life", id)
		}
		b.outcome(id, policy.OK)
	}
	b.pass(300 * ms)
	if b.count(fmt.Sprint("probe ", 3-served)) == 0 {
		t.Errorf("it is not tried: %v", b.acts)
	}
	b.HandleProbeResult(b.now, policy.ProbeResult{Worker: 3 - served, Status: policy.ConnectFailed})
	b.pass(time.Second)
	b.request("m", "safe", 10*ms)
	if b.sentTo("m") != served {
		t.Error("a worker that is gone indeed gets a job")
	}
}

// TestNewlyListedIsRecheckedFirst fails where a name on a list is taken for a worker.
func TestNewlyListedIsRecheckedFirst(t *testing.T) {
	b := newBench(t, claims(), 1)
	b.HandleMembers(b.now, policy.ListDelta, []policy.Member{member(7, "a")})
	for i := range 6 {
		id := fmt.Sprint("r", i)
		b.request(id, "safe", 10*ms)
		if b.sentTo(id) != 1 {
			t.Errorf("a job for a worker that nobody has seen: %v", b.acts)
		}
		b.outcome(id, policy.OK)
	}
	b.pass(300 * ms)
	if !b.has("probe 7") {
		t.Fatal("it is not tried")
	}
	b.HandleProbeResult(b.now, full(7, 9))
	b.HandleProbeResult(b.now, full(1, 0))
	b.request("n", "safe", 10*ms)
	if b.sentTo("n") != 7 {
		t.Error("it answers and gets nothing")
	}
}

// TestOldListBringsNoDrainBack fails where an earlier list reopens a worker that was seen draining, or makes
// a warm time of a late start.
func TestOldListBringsNoDrainBack(t *testing.T) {
	b := newBench(t, claims(), 2)
	b.HandleMembers(b.now, policy.ListDelta, []policy.Member{in(member(1, "a"), policy.Draining)})
	b.HandleMembers(b.now, policy.ListDelta, []policy.Member{in(member(1, "a"), policy.Removed)})
	b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{member(2, "a")})
	b.now += 20 * time.Second
	b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{member(1, "a"), member(2, "a")}) // as it was
	b.pass(300 * ms)
	b.HandleProbeResult(b.now, full(1, 4))
	b.HandleProbeResult(b.now, full(2, 0))
	for i := range 6 {
		id := fmt.Sprint("r", i)
		b.request(id, "safe", 10*ms)
		b.pass(20 * ms)
		if b.sends[id] > 0 && b.sentTo(id) == 1 {
			t.Fatal("sent to a worker that was seen draining")
		}
		if b.sends[id] > 0 {
			b.outcome(id, policy.OK)
		}
	}
	fresh := member(1, "a")
	fresh.StartedAt = b.now
	b.HandleMembers(b.now, policy.ListDelta, []policy.Member{fresh})
	b.pass(300 * ms)
	b.HandleProbeResult(b.now, full(1, 1))
	b.HandleProbeResult(b.now, full(2, 0))
	old := []policy.Member{member(1, "a"), member(2, "a")}
	b.HandleMembers(b.now, policy.ListSnapshot, old)
	sent := 0
	for i := range 100 {
		id := fmt.Sprint("c", i)
		b.request(id, "safe", 100*ms)
		if b.sends[id] > 0 && b.sentTo(id) == 1 {
			sent++
			b.outcome(id, policy.OK)
		}
	}
	if sent > 7 { // half of 2.5 x 0.3 x one slot x 2 s, in jobs of 100 ms
		t.Errorf("%d jobs at once to a cold worker that an old list calls warm", sent)
	}
}

// tied are settings without reports, under which jobs wait at several workers.
func tied() policy.Settings {
	s := settings()
	s.Limits.Probes, s.ReportsStart, s.ReportX0, s.ReportX1 = false, true, "", ""
	s.Limits.MaxAttempts = 5
	return s
}

// TestFirstAttemptToStartGoesOn fails without tied copies.
func TestFirstAttemptToStartGoesOn(t *testing.T) {
	b := newBench(t, tied(), 3)
	b.request("r", "safe", 100*ms)
	b.pass(30 * ms)
	first := b.acts[0]
	if b.sends["r"] != 2 || first == b.acts[1] {
		t.Fatalf("no copy elsewhere of a job that does not start: %v", b.acts)
	}
	b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: "r", Attempt: 1, Worker: b.sentTo("r"), Kind: policy.UpdateStarted})
	if !b.has("cancel r 0") || b.has("cancel r 1") {
		t.Errorf("the copy that starts does not call off the other: %v", b.acts)
	}
	b.pass(100 * ms)
	b.outcome("r", policy.OK)
	if b.sends["r"] != 2 || b.count("cancel r 1") != 0 {
		t.Errorf("copies of a job that runs: %v", b.acts)
	}
}

// TestNoConcurrentAttempts: none of a job that has started, that must not run twice, or where reports show the room.
func TestNoConcurrentAttempts(t *testing.T) {
	b := newBench(t, tied(), 3)
	b.request("u", "unsafe", 100*ms)
	b.request("s", "safe", 100*ms)
	b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: "s", Attempt: 0, Worker: b.sentTo("s"), Kind: policy.UpdateStarted})
	b.pass(90 * ms)
	s := settings()
	s.ReportsStart = true
	c := newBench(t, s, 3)
	c.request("s", "safe", 100*ms)
	c.pass(90 * ms)
	if b.count("send") != 2 || c.count("send") != 1 {
		t.Errorf("%v, %v", b.acts, c.acts)
	}
}

// TestSlowWayBlamesNoWorker: where the way to a zone takes long and its starts are told late, the near worker
// goes first, the far one takes what finds no room there, and it is neither suspected nor thought slow.
func TestSlowWayBlamesNoWorker(t *testing.T) {
	s := tied()
	s.CrossZonePrice = 0.02
	b := newBench(t, s, 0)
	b.HandleMembers(b.now, policy.ListRestored, []policy.Member{member(1, "a"), member(2, "b")})
	job := func(id string, way time.Duration) {
		b.request(id, "safe", 100*ms)
		if b.sentTo(id) != 1 {
			t.Fatalf("%s does not go to the near worker first: %v", id, b.acts)
		}
		b.pass(40 * ms) // nothing starts there
		if b.sentTo(id) != 2 {
			t.Fatalf("%s does not go on to the far worker: %v", id, b.acts)
		}
		b.pass(way)
		b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: id, Attempt: 1, Worker: 2, Kind: policy.UpdateStarted})
		b.HandleAttemptResult(b.now, policy.AttemptResult{Request: id, Attempt: 0, Worker: 1, Status: policy.Cancelled})
		b.pass(100 * ms)
		b.HandleAttemptResult(b.now, policy.AttemptResult{Request: id, Attempt: 1, Worker: 2, Final: true})
		b.pass(time.Second)
	}
	for i := range 12 {
		job(fmt.Sprint("slow", i), 150*ms)
	}
	if len(b.logs) > 0 {
		t.Errorf("suspicions: %v", b.logs)
	}
	job("after", 5*ms)
}
