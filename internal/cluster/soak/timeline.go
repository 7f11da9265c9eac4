package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// spanKind is whether a span is a planned operation or an unplanned fault.
type spanKind string

// Kinds of spans.
const (
	planned   spanKind = "planned"
	unplanned spanKind = "unplanned"
)

// span is an operation or a fault with its begin and its end.
type span struct {
	kind        spanKind
	target      string // address of the process, or the runner's ID
	what        string
	from, until time.Time // until is zero while the span lasts
}

// Timeline records what happened to a deployment. Its methods may be called concurrently.
type Timeline struct {
	// Contact is how long after its end an operation or a fault still counts.
	Contact time.Duration

	mu      sync.Mutex
	started time.Time
	spans   []*span
	stalls  []span // times during which the test process itself did not run
}

func newTimeline(contact time.Duration) *Timeline {
	return &Timeline{Contact: contact, started: time.Now()}
}

// begin records the begin of a span, and returns the function that records its end.
func (t *Timeline) begin(kind spanKind, target, what string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begun := &span{kind: kind, target: target, what: what, from: time.Now()}
	t.spans = append(t.spans, begun)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		begun.until = time.Now()
	}
}

// isCalm reports whether there was no unplanned fault in the deployment from Contact before one time until
// another.
func (t *Timeline) isCalm(from, until time.Time) bool {
	return !t.anySpan(from, until, func(s *span) bool { return s.kind == unplanned })
}

// isUndisturbed reports whether it was calm and there was no planned operation on the target either.
func (t *Timeline) isUndisturbed(target string, from, until time.Time) bool {
	return !t.anySpan(from, until, func(s *span) bool { return s.kind == unplanned || s.target == target })
}

func (t *Timeline) anySpan(from, until time.Time, matches func(*span) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		ended := !s.until.IsZero() && s.until.Before(from.Add(-t.Contact))
		if !ended && s.from.Before(until) && matches(s) {
			return true
		}
	}
	return false
}

// Times of watchStalls.
const (
	stallInterval = 20 * time.Millisecond
	// stallTime is well below lossSlack, so that a stall that matters for lossSlack is found.
	stallTime = 100 * time.Millisecond
)

// watchStalls records, until the context ends, when this process got no processor time: an event that it
// observes after a stall may have happened much earlier.
func (t *Timeline) watchStalls(ctx context.Context) {
	for last := time.Now(); sleep(ctx, stallInterval); last = time.Now() {
		if time.Since(last) > stallTime {
			t.recordStall(last, time.Now())
		}
	}
}

func (t *Timeline) recordStall(from, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stalls = append(t.stalls, span{from: from, until: until})
}

// hasStalled reports whether this process stalled between two times.
func (t *Timeline) hasStalled(from, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.stalls, func(s span) bool { return s.from.Before(until) && s.until.After(from) })
}

// stallCount returns how often this process stalled.
func (t *Timeline) stallCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.stalls)
}

// near lists the spans from Contact before one time until another.
func (t *Timeline) near(from, until time.Time) string {
	var listed []string
	t.anySpan(from, until, func(s *span) bool {
		listed = append(listed, s.describe(t.started))
		return false
	})
	return strings.Join(listed, "; ")
}

func (s *span) describe(start time.Time) string {
	until := "now"
	if !s.until.IsZero() {
		until = fmt.Sprintf("%.2f", s.until.Sub(start).Seconds())
	}
	return fmt.Sprintf("%.2f-%s %s %s %s", s.from.Sub(start).Seconds(), until, s.kind, s.target, s.what)
}

// at formats a time as seconds since the start, as in near.
func (t *Timeline) at(when time.Time) string {
	return fmt.Sprintf("%.2f", when.Sub(t.started).Seconds())
}
