package policy_test

import (
	"fmt"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// startReportSettings returns settings for workers that report starts and progress, but no load.
func startReportSettings() policy.Settings {
	s := settings()
	s.ReportX0, s.ReportX1, s.ReportsStart, s.Limits.ConcurrentAttempts = "", "", true, false
	return s
}

func (b *fixture) update(id string, kind policy.UpdateKind) {
	b.HandleAttemptUpdate(b.now, policy.AttemptUpdate{Request: id, Attempt: b.sends[id] - 1, Worker: b.sentTo(id), Kind: kind})
}

// TestJobThatDoesNotStartIsMovedInTime guards against a job waiting at a busy worker until it is late
// while another worker could serve it in time. A job that has started stays, and so does one that must
// not run twice.
func TestJobThatDoesNotStartIsMovedInTime(t *testing.T) {
	for class, want := range map[string]int{"keyed": 1, "unsafe": 0} {
		b := newFixture(t, startReportSettings(), 2)
		b.request("r", class, time.Second) // due within 2.4 s
		first := b.sentTo("r")
		b.advance(900 * ms)
		if b.count("cancel") > 0 {
			t.Fatalf("%s: moved too soon: %v", class, b.acts)
		}
		b.advance(140 * ms)
		if b.count("cancel") != want {
			t.Fatalf("%s: cancelled %d times, not %d: %v", class, b.count("cancel"), want, b.acts)
		}
		if want == 0 {
			continue
		}
		b.endAttempt("r", policy.Cancelled)
		if b.sends["r"] != 2 || b.sentTo("r") == first {
			t.Errorf("not sent to the other worker: %v", b.acts)
		}
		b.request("next", class, 200*ms)
		if b.sends["next"] > 0 && b.sentTo("next") == first {
			t.Error("the next job goes where the last one did not start")
		}
		b.update("r", policy.UpdateStarted)
		b.advance(900 * ms)
		if b.count("cancel r") != want {
			t.Error("cancelled after it had started")
		}
	}
}

// TestWorkerThatFailsManyIsOnProbation guards against one successful job ending the probation of a
// worker that fails every other job: the worker looks idle and fast, and would go on attracting jobs
// that can't be sent again.
func TestWorkerThatFailsManyIsOnProbation(t *testing.T) {
	b := newFixture(t, startReportSettings(), 4)
	seen, lost, unserved := 0, 0, 0
	for i := range 300 {
		id, class := fmt.Sprint("r", i), "keyed"
		if i%3 == 0 {
			class = "unsafe"
		}
		b.request(id, class, 100*ms)
		for range 3 {
			if b.sends[id] == 0 || b.has("fail "+id) {
				break
			}
			b.update(id, policy.UpdateStarted)
			if b.sentTo(id) == 1 {
				if seen++; seen%2 == 1 {
					b.advance(10 * ms)
					b.endAttempt(id, policy.Error)
					continue
				}
			}
			b.advance(100 * ms)
			b.endAttempt(id, policy.OK)
			break
		}
		if b.has("fail " + id) {
			unserved++
			if class == "unsafe" {
				lost++
			}
		}
	}
	if lost > 6 || unserved > lost {
		t.Errorf("%d at-most-once jobs lost, %d of all not served", lost, unserved)
	}
	if seen < 5 {
		t.Errorf("the worker got only %d jobs: it is never rechecked", seen)
	}
}
