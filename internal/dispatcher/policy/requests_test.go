package policy_test

import (
	"fmt"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// TestRequestsThatFailAnywhereBlameNoWorker fails where each error holds its worker back, or where such a
// request is sent round.
func TestRequestsThatFailAnywhereBlameNoWorker(t *testing.T) {
	b := newBench(t, settings(), 6)
	held, again := 0, 0
	for i := range 200 {
		id := fmt.Sprint("r", i)
		b.request(id, "safe", 50*ms)
		if b.sends[id] == 0 {
			held++
			continue
		}
		if i%3 == 0 {
			b.pass(3 * ms)
			b.outcome(id, policy.Error)
			if i >= 50 && b.sends[id] > 1 {
				again++
			}
			for k := 0; b.sends[id] > 1 && k < 3 && !b.has("refuse "+id); k++ {
				b.outcome(id, policy.Error)
			}
			continue
		}
		b.pass(50 * ms)
		b.outcome(id, policy.OK)
	}
	if held > 0 || again > 8 || len(b.logs) > 25 {
		t.Errorf("%d held, %d sent round, %d suspicions", held, again, len(b.logs))
	}
}

// TestWorkerThatFailsWhereOthersServeIsBlamed is the other side: its errors are its own, even while some
// requests fail everywhere.
func TestWorkerThatFailsWhereOthersServeIsBlamed(t *testing.T) {
	b := newBench(t, settings(), 6)
	sent := 0
	for i := range 300 {
		id := fmt.Sprint("r", i)
		b.request(id, "unsafe", 50*ms)
		b.pass(10 * ms)
		switch {
		case b.sends[id] == 0:
		case b.sentTo(id) == 1:
			if i > 50 {
				sent++
			}
			b.outcome(id, policy.Error)
		case i%4 == 0:
			b.outcome(id, policy.Error)
		default:
			b.pass(40 * ms)
			b.outcome(id, policy.OK)
		}
	}
	if sent > 10 { // of 250, where a fair share is 40
		t.Errorf("%d jobs to the one worker that serves none", sent)
	}
}

// TestImpatientClientsAreServed fails where a near deadline is taken for a late retry though retries are
// marked; marked ones, and all where none are marked, are timed from their first try.
func TestImpatientClientsAreServed(t *testing.T) {
	for _, marked := range []bool{false, true} {
		s := settings()
		s.ClientsMarkRetries = marked
		b := newBench(t, s, 2)
		b.request("usual", "safe", 100*ms)
		b.outcome("usual", policy.OK)
		b.HandleRequest(b.now, policy.Request{ID: "hasty", Class: "safe", Hint: 100 * ms, Deadline: b.now + 300*ms})
		if served := b.sends["hasty"] == 1; served != marked {
			t.Errorf("marked %v: a client with little time: %v", marked, b.acts)
		}
		b.HandleRequest(b.now, policy.Request{ID: "late", Class: "safe", Hint: 100 * ms, Retry: marked,
			Deadline: b.now + 4*time.Second})
		if b.sends["late"] != 0 || !b.has("refuse late") {
			t.Errorf("marked %v: a retry a second after its first try is served late", marked)
		}
	}
}

// TestWaitingJobsAreGivenUpAtOnce: a job that no worker starts is answered when it can't be in time any
// more, with its copies called off and a time to come back, not at its deadline.
func TestWaitingJobsAreGivenUpAtOnce(t *testing.T) {
	s := tied()
	s.Limits.RetryAfter, s.Limits.MaxRetryAfter = true, 2*time.Second
	b := newBench(t, s, 3)
	b.request("r", "safe", 100*ms)
	b.pass(700 * ms)
	if !b.has("refuse r") || b.count("cancel r") != b.sends["r"] || b.after["r"] != 2*time.Second {
		t.Errorf("after 700 ms of an aim of 600: %v, %v", b.acts, b.after)
	}
	c := newBench(t, s, 1)
	c.request("r", "safe", 100*ms)
	c.pass(600 * ms)
	c.outcome("r", policy.Reset)
	if !c.has("refuse r") {
		t.Errorf("a job given up on in an outcome is not answered in that event: %v", c.acts)
	}
}

// crowdedSharing are settings under which many dispatchers share each worker, and starts are told.
func crowdedSharing() policy.Settings {
	s := settings()
	s.ReportsStart, s.Limits.ConcurrentAttempts, s.Instances = true, false, 40
	return s
}

// TestWorkerWhereAJobWaitsHasNoRoom fails where, in a crowd, a report is believed against what an own job
// meets. A worker that starts its jobs keeps its room, and so does one whose load few share.
func TestWorkerWhereAJobWaitsHasNoRoom(t *testing.T) {
	for _, instances := range []int{2, 40} {
		s := crowdedSharing()
		s.Instances = instances
		b := newBench(t, s, 1)
		b.HandleProbeResult(b.now, full(1, 9))
		b.request("r", "safe", 100*ms)
		b.pass(30 * ms)
		b.HandleProbeResult(b.now, full(1, 9))
		b.request("n", "safe", 100*ms)
		if b.sends["r"] != 1 || (b.sends["n"] == 0) != (instances == 40) {
			t.Fatalf("%d dispatchers: %v", instances, b.acts)
		}
		b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: "r", Worker: 1, Kind: policy.UpdateStarted})
		b.pass(40 * ms)
		b.HandleProbeResult(b.now, full(1, 9))
		if b.sends["n"] != 1 {
			t.Errorf("%d dispatchers, once its jobs start: %v", instances, b.acts)
		}
	}
}

// TestWarmingWorkerGetsNoJobThatItEndsLate fails where a cold worker is taken to be as fast as a warm one though
// jobs were seen to run longer there, or as slow as the rule allows though they were not.
func TestWarmingWorkerGetsNoJobThatItEndsLate(t *testing.T) {
	for slow, sent := range map[time.Duration]int{1: 1, 3: 0} {
		s := settings()
		s.Instances, s.Rules.ColdOverloadMultiple = 1, 50
		s.Classes[0].LatencyTarget, s.Classes[0].TargetPerWork = 100*ms, 1.2
		b := newBench(t, s, 0)
		m := member(1, "a")
		m.StartedAt = b.now
		b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{m})
		for i := range 15 {
			id := fmt.Sprint("l", i)
			b.request(id, "safe", 50*ms)
			b.pass(50 * ms * slow)
			b.outcome(id, policy.OK)
		}
		b.pass(2500*ms - 15*50*ms*slow)
		b.request("r", "safe", 400*ms) // 0.58 s are left, and it has half its capacity, if the rule is taken at its word
		b.request("s", "safe", 40*ms)
		if b.sends["r"] != sent || sent == 0 && b.sends["s"] != 1 {
			t.Errorf("%d times as slow: %v", slow, b.acts)
		}
	}
}

// TestTrustReturnsStepByStep fails where one good job clears a worker that fails and recovers by turns.
func TestTrustReturnsStepByStep(t *testing.T) {
	b := newBench(t, settings(), 2)
	job := func(id string, s policy.Status) {
		b.HandleProbeResult(b.now, full(2, 0)) // so that only worker 1 has room
		b.request(id, "keyed", 10*ms)
		if b.sentTo(id) != 1 {
			t.Fatalf("%s: %v", id, b.acts)
		}
		b.outcome(id, s)
		b.HandleClientGone(b.now, id) // one that failed would wait for worker 2
	}
	job("a", policy.Error)
	b.pass(320 * ms)
	job("b", policy.Error)
	b.pass(650 * ms)
	job("c", policy.OK)
	job("d", policy.Error)
	b.pass(330 * ms)
	b.HandleProbeResult(b.now, full(2, 0))
	b.request("e", "keyed", 10*ms)
	if b.sends["e"] != 0 {
		t.Error("after one good job the wait for a trial starts anew")
	}
	b.pass(330 * ms)
	if b.HandleProbeResult(b.now, full(2, 0)); b.sends["e"] != 1 {
		t.Error("it is not tried any more")
	}
}

// TestWrongReportIsNotBelievedForAWhile: after a job has waited, reports count again after as long.
func TestWrongReportIsNotBelievedForAWhile(t *testing.T) {
	b := newBench(t, crowdedSharing(), 1)
	b.HandleProbeResult(b.now, full(1, 9))
	b.request("r", "safe", 300*ms)
	b.pass(200 * ms)
	b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: "r", Worker: 1, Kind: policy.UpdateStarted})
	b.request("n", "safe", 300*ms)
	b.pass(100 * ms)
	b.HandleProbeResult(b.now, full(1, 9))
	if b.sends["r"] != 1 || b.sends["n"] != 0 {
		t.Errorf("believed at once: %v", b.acts)
	}
	b.pass(150 * ms)
	b.HandleProbeResult(b.now, full(1, 9))
	if b.sends["n"] != 1 {
		t.Errorf("not believed any more: %v", b.acts)
	}
}

// TestInvalidRequestsTellNothingOfWorkers fails where a request that a worker can't use is sent round or held
// against the worker: one client's bad input would shut one after the other.
func TestInvalidRequestsTellNothingOfWorkers(t *testing.T) {
	b := newBench(t, settings(), 3)
	for i := range 60 {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			id := fmt.Sprint(class, i)
			b.request(id, class, 50*ms)
			b.pass(3 * ms)
			b.outcome(id, policy.InvalidRequest)
			if b.sends[id] != 1 || !b.has("fail "+id) && !b.has("refuse "+id) {
				t.Fatalf("%s was sent %d times, or not answered: %v", id, b.sends[id], b.acts)
			}
		}
	}
	if len(b.logs) > 0 {
		t.Errorf("suspicions: %v", b.logs)
	}
}

// TestResetAloneStartsNoWarmup fails where one broken connection makes a worker that answers at once count
// as a new process, which gets next to nothing while it is cold.
func TestResetAloneStartsNoWarmup(t *testing.T) {
	b := newBench(t, settings(), 1)
	b.request("broken", "unsafe", 100*ms)
	b.outcome("broken", policy.Reset)
	b.HandleProbeResult(b.now, policy.ProbeResult{Worker: 1, Status: policy.OK})
	for i := range 100 {
		id := fmt.Sprint("r", i)
		if b.request(id, "safe", 100*ms); b.sends[id] == 0 {
			t.Fatalf("job %d is held: %v", i, b.logs)
		}
		b.outcome(id, policy.OK)
	}
}

// TestFirstTryNearItsDeadline fails where a first try whose deadline is near, as that of a plan's late stage, is
// taken for a retry that began long ago.
func TestFirstTryNearItsDeadline(t *testing.T) {
	for _, first := range []bool{false, true} {
		b := newBench(t, settings(), 4)
		b.request("patient", "safe", 100*ms) // which shows how long clients of the class wait
		b.HandleRequest(b.now, policy.Request{ID: "late", Class: "safe", Hint: 100 * ms, Deadline: b.now + 2*time.Second, KnownFirst: first})
		if got := b.sends["late"] == 1; got != first {
			t.Errorf("first %v: sent %v, %v", first, got, b.acts)
		}
	}
}
