package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// spanKind tells what happened to a process during a span.
type spanKind string

// Planned work, and trouble that nobody planned.
const (
	planned   spanKind = "planned"
	unplanned spanKind = "unplanned"
)

// span is a time during which something happened. The zero until: it has not ended.
type span struct {
	kind        spanKind
	target      string // address of the process, or the runner's ID
	what        string
	from, until time.Time
}

// Timeline is what happened to a deployment. Its methods may be called concurrently.
type Timeline struct {
	// Contact is how long trouble is near after it has ended.
	Contact time.Duration

	mu      sync.Mutex
	started time.Time
	spans   []*span
	stalls  []span // times at which the run itself was not served by the machine
}

func newTimeline(contact time.Duration) *Timeline {
	return &Timeline{Contact: contact, started: time.Now()}
}

// begin notes that something happens from now on, and returns the function that notes its end.
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

// isCalm tells whether nothing unplanned happened anywhere from Contact before a time until another.
func (t *Timeline) isCalm(from, until time.Time) bool {
	return !t.has(from, until, func(s *span) bool { return s.kind == unplanned })
}

// isInTouch tells whether it was calm, and nothing happened to one process either.
func (t *Timeline) isInTouch(target string, from, until time.Time) bool {
	return !t.has(from, until, func(s *span) bool { return s.kind == unplanned || s.target == target })
}

func (t *Timeline) has(from, until time.Time, matches func(*span) bool) bool {
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
	// stallTime is well below lossSlack, which it is there to guard.
	stallTime = 100 * time.Millisecond
)

// watchStalls notes, until the context ends, when this process had no processor time: what it saw last then
// may be much older.
func (t *Timeline) watchStalls(ctx context.Context) {
	for last := time.Now(); pass(ctx, stallInterval); last = time.Now() {
		if time.Since(last) > stallTime {
			t.noteStall(last, time.Now())
		}
	}
}

func (t *Timeline) noteStall(from, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stalls = append(t.stalls, span{from: from, until: until})
}

// hasStalled tells whether this process stalled between two times.
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

// near lists what happened from Contact before a time until another.
func (t *Timeline) near(from, until time.Time) string {
	var listed []string
	t.has(from, until, func(s *span) bool {
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

// at returns a time as seconds since the start, as in near.
func (t *Timeline) at(when time.Time) string {
	return fmt.Sprintf("%.2f", when.Sub(t.started).Seconds())
}
