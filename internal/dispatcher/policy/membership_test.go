package policy_test

import (
	"fmt"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// unreliableListSettings returns settings under which worker lists may be wrong.
func unreliableListSettings() policy.Settings {
	s := settings()
	s.Rules.RemovedMayServe = true
	return s
}

// inState returns the member with another state.
func inState(m policy.Member, state policy.MemberState) policy.Member {
	m.State = state
	return m
}

// TestWorkersListedAsRemovedServeOn checks that workers that a shrunken or empty list leaves out still get
// jobs exactly if lists may be wrong.
func TestWorkersListedAsRemovedServeOn(t *testing.T) {
	for name, deliver := range map[string]func(b *fixture){
		"shrink": func(b *fixture) {
			b.HandleMembers(b.now, policy.ListDelta, []policy.Member{inState(member(1, "a"), policy.Removed), inState(member(2, "a"), policy.Removed)})
		},
		"empty": func(b *fixture) { b.HandleMembers(b.now, policy.ListSnapshot, nil) },
	} {
		for _, binds := range []bool{false, true} {
			s := unreliableListSettings()
			s.Rules.RemovedMayServe = !binds
			b := newFixture(t, s, 2)
			deliver(b)
			b.advance(400 * ms)
			b.request("r", "safe", 50*ms)
			if served := b.sends["r"] > 0; served == binds {
				t.Errorf("%s, removal is binding %v: %v", name, binds, b.acts)
			}
		}
	}
}

// TestWorkerListedAsRemovedIsRecheckedFirst checks that a removed worker that has not responded recently
// is probed before it gets any job, while another one serves; a removed worker that has just served a
// job is not rechecked.
func TestWorkerListedAsRemovedIsRecheckedFirst(t *testing.T) {
	b := newFixture(t, unreliableListSettings(), 2)
	b.request("r", "safe", 50*ms)
	served := b.sentTo("r")
	b.now += 50 * ms
	b.endAttempt("r", policy.OK)
	b.HandleMembers(b.now, policy.ListSnapshot, nil)
	for i := range 4 {
		id := fmt.Sprint("n", i)
		b.request(id, "safe", 10*ms)
		if b.sentTo(id) != served {
			t.Errorf("%s went to a removed worker that has not responded recently", id)
		}
		b.endAttempt(id, policy.OK)
	}
	b.advance(300 * ms)
	if b.count(fmt.Sprint("probe ", 3-served)) == 0 {
		t.Errorf("it is not rechecked: %v", b.acts)
	}
	b.HandleProbeResult(b.now, policy.ProbeResult{Worker: 3 - served, Status: policy.ConnectFailed})
	b.advance(time.Second)
	b.request("m", "safe", 10*ms)
	if b.sentTo("m") != served {
		t.Error("a worker that can't be reached gets a job")
	}
}

// TestNewlyListedIsRecheckedFirst checks that a newly listed worker, which may not exist, gets no job before
// it was rechecked.
func TestNewlyListedIsRecheckedFirst(t *testing.T) {
	b := newFixture(t, unreliableListSettings(), 1)
	b.HandleMembers(b.now, policy.ListDelta, []policy.Member{member(7, "a")})
	for i := range 6 {
		id := fmt.Sprint("r", i)
		b.request(id, "safe", 10*ms)
		if b.sentTo(id) != 1 {
			t.Errorf("a job went to a worker that has never responded: %v", b.acts)
		}
		b.endAttempt(id, policy.OK)
	}
	b.advance(300 * ms)
	if !b.has("probe 7") {
		t.Fatal("it is not rechecked")
	}
	b.HandleProbeResult(b.now, freeSlotsReport(7, 9))
	b.HandleProbeResult(b.now, freeSlotsReport(1, 0))
	b.request("n", "safe", 10*ms)
	if b.sentTo("n") != 7 {
		t.Error("it answers the probe and gets no job")
	}
}

// TestOldListDoesNotUndoADrain guards against an old list ending the drain of a worker, or replacing its
// start time with an earlier one, so that it counts as warm.
func TestOldListDoesNotUndoADrain(t *testing.T) {
	b := newFixture(t, unreliableListSettings(), 2)
	b.HandleMembers(b.now, policy.ListDelta, []policy.Member{inState(member(1, "a"), policy.Draining)})
	b.HandleMembers(b.now, policy.ListDelta, []policy.Member{inState(member(1, "a"), policy.Removed)})
	b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{member(2, "a")})
	b.now += 20 * time.Second
	b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{member(1, "a"), member(2, "a")}) // an old list
	b.advance(300 * ms)
	b.HandleProbeResult(b.now, freeSlotsReport(1, 4))
	b.HandleProbeResult(b.now, freeSlotsReport(2, 0))
	for i := range 6 {
		id := fmt.Sprint("r", i)
		b.request(id, "safe", 10*ms)
		b.advance(20 * ms)
		if b.sends[id] > 0 && b.sentTo(id) == 1 {
			t.Fatal("sent to a worker that was seen draining")
		}
		if b.sends[id] > 0 {
			b.endAttempt(id, policy.OK)
		}
	}
	fresh := member(1, "a")
	fresh.StartedAt = b.now
	b.HandleMembers(b.now, policy.ListDelta, []policy.Member{fresh})
	b.advance(300 * ms)
	b.HandleProbeResult(b.now, freeSlotsReport(1, 1))
	b.HandleProbeResult(b.now, freeSlotsReport(2, 0))
	old := []policy.Member{member(1, "a"), member(2, "a")}
	b.HandleMembers(b.now, policy.ListSnapshot, old)
	sent := 0
	for i := range 100 {
		id := fmt.Sprint("c", i)
		b.request(id, "safe", 100*ms)
		if b.sends[id] > 0 && b.sentTo(id) == 1 {
			sent++
			b.endAttempt(id, policy.OK)
		}
	}
	if sent > 7 { // half of 2.5 x 0.3 x one slot x 2 s, in jobs of 100 ms
		t.Errorf("%d jobs at once to a cold worker that is warm by an old list", sent)
	}
}

// hedgingSettings returns settings without load reports, under which jobs wait at several workers.
func hedgingSettings() policy.Settings {
	s := settings()
	s.Limits.Probes, s.ReportsStart, s.ReportX0, s.ReportX1 = false, true, "", ""
	s.Limits.MaxAttempts = 5
	return s
}

// TestFirstAttemptToStartGoesOn checks that a job that does not start gets a second attempt, and that the
// first attempt to start cancels the other.
func TestFirstAttemptToStartGoesOn(t *testing.T) {
	b := newFixture(t, hedgingSettings(), 3)
	b.request("r", "safe", 100*ms)
	b.advance(30 * ms)
	first := b.acts[0]
	if b.sends["r"] != 2 || first == b.acts[1] {
		t.Fatalf("no second attempt elsewhere of a job that does not start: %v", b.acts)
	}
	b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: "r", Attempt: 1, Worker: b.sentTo("r"), Kind: policy.UpdateStarted})
	if !b.has("cancel r 0") || b.has("cancel r 1") {
		t.Errorf("the attempt that starts does not cancel the other: %v", b.acts)
	}
	b.advance(100 * ms)
	b.endAttempt("r", policy.OK)
	if b.sends["r"] != 2 || b.count("cancel r 1") != 0 {
		t.Errorf("further attempts of a job that runs: %v", b.acts)
	}
}

// TestNoConcurrentAttempts checks that there is no second attempt of a job that has started or must not run
// twice, nor where reports show the capacity.
func TestNoConcurrentAttempts(t *testing.T) {
	b := newFixture(t, hedgingSettings(), 3)
	b.request("u", "unsafe", 100*ms)
	b.request("s", "safe", 100*ms)
	b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: "s", Attempt: 0, Worker: b.sentTo("s"), Kind: policy.UpdateStarted})
	b.advance(90 * ms)
	s := settings()
	s.ReportsStart = true
	c := newFixture(t, s, 3)
	c.request("s", "safe", 100*ms)
	c.advance(90 * ms)
	if b.count("send") != 2 || c.count("send") != 1 {
		t.Errorf("%v, %v", b.acts, c.acts)
	}
}

// TestSlowNetworkPathSuspectsNoWorker checks the case of a zone with a slow network path, from which starts
// are reported late: the near worker is tried first, the far one takes the jobs that find no capacity
// there, and it is neither suspected nor learned to be slow.
func TestSlowNetworkPathSuspectsNoWorker(t *testing.T) {
	s := hedgingSettings()
	s.CrossZonePrice = 0.02
	b := newFixture(t, s, 0)
	b.HandleMembers(b.now, policy.ListRestored, []policy.Member{member(1, "a"), member(2, "b")})
	job := func(id string, delay time.Duration) {
		b.request(id, "safe", 100*ms)
		if b.sentTo(id) != 1 {
			t.Fatalf("%s does not go to the near worker first: %v", id, b.acts)
		}
		b.advance(40 * ms) // nothing starts there
		if b.sentTo(id) != 2 {
			t.Fatalf("%s gets no second attempt at the far worker: %v", id, b.acts)
		}
		b.advance(delay)
		b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: id, Attempt: 1, Worker: 2, Kind: policy.UpdateStarted})
		b.HandleAttemptResult(b.now, policy.AttemptResult{Request: id, Attempt: 0, Worker: 1, Status: policy.Cancelled})
		b.advance(100 * ms)
		b.HandleAttemptResult(b.now, policy.AttemptResult{Request: id, Attempt: 1, Worker: 2, Final: true})
		b.advance(time.Second)
	}
	for i := range 12 {
		job(fmt.Sprint("slow", i), 150*ms)
	}
	if len(b.logs) > 0 {
		t.Errorf("workers were suspected: %v", b.logs)
	}
	job("after", 5*ms)
}
