package policy_test

import (
	"fmt"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// TestRequestsThatFailEverywhereSuspectNoWorker guards against each error of such a request making its
// worker suspect, and against the request being tried at one worker after the other.
func TestRequestsThatFailEverywhereSuspectNoWorker(t *testing.T) {
	b := newFixture(t, settings(), 6)
	queued, again := 0, 0
	for i := range 200 {
		id := fmt.Sprint("r", i)
		b.request(id, "safe", 50*ms)
		if b.sends[id] == 0 {
			queued++
			continue
		}
		if i%3 == 0 {
			b.advance(3 * ms)
			b.endAttempt(id, policy.Error)
			if i >= 50 && b.sends[id] > 1 {
				again++
			}
			for k := 0; b.sends[id] > 1 && k < 3 && !b.has("refuse "+id); k++ {
				b.endAttempt(id, policy.Error)
			}
			continue
		}
		b.advance(50 * ms)
		b.endAttempt(id, policy.OK)
	}
	if queued > 0 || again > 8 || len(b.logs) > 25 {
		t.Errorf("%d queued, %d sent again, %d log lines on suspected workers", queued, again, len(b.logs))
	}
}

// TestWorkerThatFailsWhereOthersServeIsSuspected is the opposite case: the errors of a worker that fails all
// jobs are attributed to the worker, even while some requests fail everywhere.
func TestWorkerThatFailsWhereOthersServeIsSuspected(t *testing.T) {
	b := newFixture(t, settings(), 6)
	sent := 0
	for i := range 300 {
		id := fmt.Sprint("r", i)
		b.request(id, "unsafe", 50*ms)
		b.advance(10 * ms)
		switch {
		case b.sends[id] == 0:
		case b.sentTo(id) == 1:
			if i > 50 {
				sent++
			}
			b.endAttempt(id, policy.Error)
		case i%4 == 0:
			b.endAttempt(id, policy.Error)
		default:
			b.advance(40 * ms)
			b.endAttempt(id, policy.OK)
		}
	}
	if sent > 10 { // of 250, where an equal share is 40
		t.Errorf("%d jobs to the one worker that serves none", sent)
	}
}

// TestImpatientClientsAreServed guards against a near deadline counting as a sign of a retry although
// clients mark their retries. Marked retries, and all requests where none are marked, are timed from their
// first try.
func TestImpatientClientsAreServed(t *testing.T) {
	for _, marked := range []bool{false, true} {
		s := settings()
		s.ClientsMarkRetries = marked
		b := newFixture(t, s, 2)
		b.request("usual", "safe", 100*ms)
		b.endAttempt("usual", policy.OK)
		b.HandleRequest(b.now, policy.Request{ID: "hasty", Class: "safe", Hint: 100 * ms, Deadline: b.now + 300*ms})
		if served := b.sends["hasty"] == 1; served != marked {
			t.Errorf("marked %v: a first try with little time left: %v", marked, b.acts)
		}
		b.HandleRequest(b.now, policy.Request{ID: "late", Class: "safe", Hint: 100 * ms, Retry: marked,
			Deadline: b.now + 4*time.Second})
		if b.sends["late"] != 0 || !b.has("refuse late") {
			t.Errorf("marked %v: a retry a second after its first try is served late", marked)
		}
	}
}

// TestWaitingJobsAreDroppedAtOnce checks that a job that no worker starts is refused as soon as it can't be
// in time any more, not at its deadline. Its attempts are cancelled, and the client gets a retry delay.
func TestWaitingJobsAreDroppedAtOnce(t *testing.T) {
	s := hedgingSettings()
	s.Limits.RetryAfter, s.Limits.MaxRetryAfter = true, 2*time.Second
	b := newFixture(t, s, 3)
	b.request("r", "safe", 100*ms)
	b.advance(700 * ms)
	if !b.has("refuse r") || b.count("cancel r") != b.sends["r"] || b.after["r"] != 2*time.Second {
		t.Errorf("700 ms after arrival, with a target of 600 ms: %v, %v", b.acts, b.after)
	}
	c := newFixture(t, s, 1)
	c.request("r", "safe", 100*ms)
	c.advance(600 * ms)
	c.endAttempt("r", policy.Reset)
	if !c.has("refuse r") {
		t.Errorf("a job dropped at the end of an attempt is not answered in that event: %v", c.acts)
	}
}

// widelySharedSettings returns settings under which many dispatchers share each worker and starts are reported.
func widelySharedSettings() policy.Settings {
	s := settings()
	s.ReportsStart, s.Limits.ConcurrentAttempts, s.Instances = true, false, 40
	return s
}

// TestWorkerWhereAJobWaitsHasNoCapacity checks that, where many dispatchers share a worker, a waiting job
// of this dispatcher outweighs a report of free slots. A worker that starts its jobs still counts as having
// capacity, and so does one that few dispatchers share.
func TestWorkerWhereAJobWaitsHasNoCapacity(t *testing.T) {
	for _, instances := range []int{2, 40} {
		s := widelySharedSettings()
		s.Instances = instances
		b := newFixture(t, s, 1)
		b.HandleProbeResult(b.now, freeSlotsReport(1, 9))
		b.request("r", "safe", 100*ms)
		b.advance(30 * ms)
		b.HandleProbeResult(b.now, freeSlotsReport(1, 9))
		b.request("n", "safe", 100*ms)
		if b.sends["r"] != 1 || (b.sends["n"] == 0) != (instances == 40) {
			t.Fatalf("%d dispatchers: %v", instances, b.acts)
		}
		b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: "r", Worker: 1, Kind: policy.UpdateStarted})
		b.advance(40 * ms)
		b.HandleProbeResult(b.now, freeSlotsReport(1, 9))
		if b.sends["n"] != 1 {
			t.Errorf("%d dispatchers, after its job started: %v", instances, b.acts)
		}
	}
}

// TestWarmingWorkerGetsNoJobItWouldFinishLate checks that the slowdown of a cold worker is learned: it does
// not count as fast as a warm one if jobs ran longer there, nor as slow as the rule allows if they did not.
func TestWarmingWorkerGetsNoJobItWouldFinishLate(t *testing.T) {
	for slow, sent := range map[time.Duration]int{1: 1, 3: 0} {
		s := settings()
		s.Instances, s.Rules.ColdOverloadMultiple = 1, 50
		s.Classes[0].LatencyTarget, s.Classes[0].TargetPerWork = 100*ms, 1.2
		b := newFixture(t, s, 0)
		m := member(1, "a")
		m.StartedAt = b.now
		b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{m})
		for i := range 15 {
			id := fmt.Sprint("l", i)
			b.request(id, "safe", 50*ms)
			b.advance(50 * ms * slow)
			b.endAttempt(id, policy.OK)
		}
		b.advance(2500*ms - 15*50*ms*slow)
		b.request("r", "safe", 400*ms) // 0.58 s are left, and by the rule the worker may have half its capacity
		b.request("s", "safe", 40*ms)
		if b.sends["r"] != sent || sent == 0 && b.sends["s"] != 1 {
			t.Errorf("%d times as slow: %v", slow, b.acts)
		}
	}
}

// TestRecheckDelayShrinksGradually checks that one successful job does not reset the recheck delay of a worker
// that fails and recovers in turns.
func TestRecheckDelayShrinksGradually(t *testing.T) {
	b := newFixture(t, settings(), 2)
	job := func(id string, s policy.Status) {
		b.HandleProbeResult(b.now, freeSlotsReport(2, 0)) // so that only worker 1 has capacity
		b.request(id, "keyed", 10*ms)
		if b.sentTo(id) != 1 {
			t.Fatalf("%s: %v", id, b.acts)
		}
		b.endAttempt(id, s)
		b.HandleClientGone(b.now, id) // a failed job would wait for worker 2
	}
	job("a", policy.Error)
	b.advance(320 * ms)
	job("b", policy.Error)
	b.advance(650 * ms)
	job("c", policy.OK)
	job("d", policy.Error)
	b.advance(330 * ms)
	b.HandleProbeResult(b.now, freeSlotsReport(2, 0))
	b.request("e", "keyed", 10*ms)
	if b.sends["e"] != 0 {
		t.Error("one successful job resets the recheck delay")
	}
	b.advance(330 * ms)
	if b.HandleProbeResult(b.now, freeSlotsReport(2, 0)); b.sends["e"] != 1 {
		t.Error("the worker is no longer rechecked")
	}
}

// TestReportsAreIgnoredAfterALateStart checks that after a job has waited for its start, reports are ignored
// for as long as it waited.
func TestReportsAreIgnoredAfterALateStart(t *testing.T) {
	b := newFixture(t, widelySharedSettings(), 1)
	b.HandleProbeResult(b.now, freeSlotsReport(1, 9))
	b.request("r", "safe", 300*ms)
	b.advance(200 * ms)
	b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: "r", Worker: 1, Kind: policy.UpdateStarted})
	b.request("n", "safe", 300*ms)
	b.advance(100 * ms)
	b.HandleProbeResult(b.now, freeSlotsReport(1, 9))
	if b.sends["r"] != 1 || b.sends["n"] != 0 {
		t.Errorf("the report is used at once: %v", b.acts)
	}
	b.advance(150 * ms)
	b.HandleProbeResult(b.now, freeSlotsReport(1, 9))
	if b.sends["n"] != 1 {
		t.Errorf("reports are still ignored: %v", b.acts)
	}
}

// TestInvalidRequestsSuspectNoWorker guards against an invalid request being sent to further workers or
// making its worker suspect: one client's bad input would eject one worker after the other.
func TestInvalidRequestsSuspectNoWorker(t *testing.T) {
	b := newFixture(t, settings(), 3)
	for i := range 60 {
		for _, class := range []string{"safe", "keyed", "unsafe"} {
			id := fmt.Sprint(class, i)
			b.request(id, class, 50*ms)
			b.advance(3 * ms)
			b.endAttempt(id, policy.InvalidRequest)
			if b.sends[id] != 1 || !b.has("fail "+id) && !b.has("refuse "+id) {
				t.Fatalf("%s was sent %d times, or not answered: %v", id, b.sends[id], b.acts)
			}
		}
	}
	if len(b.logs) > 0 {
		t.Errorf("workers were suspected: %v", b.logs)
	}
}

// TestResetAloneStartsNoWarmup guards against one broken connection making a worker that answers at once
// count as a new process, which gets very few jobs while it is cold.
func TestResetAloneStartsNoWarmup(t *testing.T) {
	b := newFixture(t, settings(), 1)
	b.request("broken", "unsafe", 100*ms)
	b.endAttempt("broken", policy.Reset)
	b.HandleProbeResult(b.now, policy.ProbeResult{Worker: 1, Status: policy.OK})
	for i := range 100 {
		id := fmt.Sprint("r", i)
		if b.request(id, "safe", 100*ms); b.sends[id] == 0 {
			t.Fatalf("job %d is queued: %v", i, b.logs)
		}
		b.endAttempt(id, policy.OK)
	}
}

// TestFirstTryNearItsDeadline checks that a request known to be a first try is not taken for a retry because
// its deadline is near, as that of a late stage of a plan may be.
func TestFirstTryNearItsDeadline(t *testing.T) {
	for _, first := range []bool{false, true} {
		b := newFixture(t, settings(), 4)
		b.request("patient", "safe", 100*ms) // it shows how long clients of the class wait
		b.HandleRequest(b.now, policy.Request{ID: "late", Class: "safe", Hint: 100 * ms, Deadline: b.now + 2*time.Second, KnownFirst: first})
		if got := b.sends["late"] == 1; got != first {
			t.Errorf("first %v: sent %v, %v", first, got, b.acts)
		}
	}
}
