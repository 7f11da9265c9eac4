package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	bookingInterval = 500 * time.Millisecond // between the begins of two plans
	seatsPerPlan    = 42
)

// Outcomes of a plan run.
const (
	outcomeUnderWay = "under way" // before its final answer
	outcomeServed   = "served"
	outcomeRefused  = "refused"
)

// errNotBegun is returned when a process has not acknowledged a plan run. The run may have begun all the
// same; beginning it again under the same id, at this or another process, is safe.
var errNotBegun = errors.New("not acknowledged")

// booking is one run of the plan, which books one group.
type booking struct {
	run   string // the run's id
	node  *node  // the process that was first asked to begin it
	begun bool   // a process has acknowledged it
}

// bookPlans begins a plan at intervals until the context ends.
func (f *fleet) bookPlans(ctx context.Context) {
	for {
		f.bookPlan()
		select {
		case <-ctx.Done():
			return
		case <-time.After(bookingInterval):
		}
	}
}

// bookPlan begins a plan; successive calls use the processes in turn. Only one goroutine at a time may
// call it.
func (f *fleet) bookPlan() {
	i := len(f.booked())
	b := &booking{run: fmt.Sprintf("coach-%d", i), node: f.nodes[i%len(f.nodes)]}
	b.begun = f.beginPlan(b.node, b.run) == nil
	f.mu.Lock()
	f.bookings = append(f.bookings, b)
	f.mu.Unlock()
}

// bookUntilServed waits until a plan has been served. If all plans have been answered and none of them
// was served, it begins another one. It fails after Patience.Load.
func (f *fleet) bookUntilServed(ctx context.Context) error {
	for deadline, answered := time.Now().Add(f.Patience.Load), 0; ; {
		for _, b := range f.booked()[answered:] {
			if outcome, err := f.waitOutcome(ctx, b); err != nil || outcome == outcomeServed {
				return err
			}
			answered++
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d plans were answered and none of them served", answered)
		}
		f.bookPlan()
	}
}

// beginPlan begins a run of the plan at a process; it also succeeds if that run had already begun.
// If the process does not acknowledge the run, the error wraps errNotBegun.
func (f *fleet) beginPlan(at *node, run string) error {
	seats := make([]int, seatsPerPlan)
	for i := range seats {
		seats[i] = i + 1
	}
	input, err := json.Marshal(map[string]any{"booking": run, "tour": "east gate", "seats": seats, "email": "group@tours.example"})
	if err != nil {
		return err
	}
	url := "http://" + at.admin + "/plans/coach?run=" + run + "&tenant=" + Tenants[1]
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(string(input)))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w by %s: %w", errNotBegun, at.name, err)
	}
	text, err := io.ReadAll(resp.Body)
	err = errors.Join(err, resp.Body.Close())
	if err != nil {
		return fmt.Errorf("%w by %s: %w", errNotBegun, at.name, err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusAccepted {
		return fmt.Errorf("%w by %s: %s: %s", errNotBegun, at.name, resp.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// booked returns the plan runs that were begun, or may have been.
func (f *fleet) booked() []*booking {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.bookings)
}

// nodesFrom returns all processes in their order, rotated so that first comes first.
func (f *fleet) nodesFrom(first *node) []*node {
	i := slices.Index(f.nodes, first)
	return slices.Concat(f.nodes[i:], f.nodes[:i])
}

// fleetTimer measures a wait by the fleet's clock, which the fleet also uses for its deadlines. On a
// machine that is short of processor time the Raft nodes may have no leader for minutes: the fleet
// then makes no progress, and its clock stands still.
type fleetTimer struct {
	fleet *fleet
	start time.Duration // on the fleet's clock
	began time.Time     // on this machine's clock
}

// startTimer starts a fleetTimer.
func (f *fleet) startTimer() fleetTimer { return fleetTimer{f, f.time(), time.Now()} }

// expired reports whether the wait has taken Patience.Answer, or Patience.Standstill by this
// machine's clock.
func (t fleetTimer) expired() bool {
	patience := &t.fleet.Patience
	return t.fleet.time()-t.start > patience.Answer || time.Since(t.began) > patience.Standstill
}

// time returns the fleet's clock: the latest value that any process reports.
func (f *fleet) time() (latest time.Duration) {
	for _, n := range f.nodes {
		var status struct {
			Raft struct {
				AtMS int64 `json:"at_ms"`
			} `json:"keeper"`
		}
		if getJSON(n.admin, "/fleet", &status) == nil {
			latest = max(latest, time.Duration(status.Raft.AtMS)*time.Millisecond)
		}
	}
	return latest
}

// waitOutcome waits for the outcome of a plan run and returns it. It first begins the run again if no process
// has acknowledged it.
func (f *fleet) waitOutcome(ctx context.Context, b *booking) (string, error) {
	if err := f.ensureBegun(ctx, b); err != nil {
		return "", err
	}
	for timer := f.startTimer(); ; time.Sleep(pollInterval) {
		if outcome := f.outcome(b); outcome != "" {
			return outcome, nil
		}
		if ctx.Err() != nil || timer.expired() {
			return "", errors.Join(ctx.Err(), fmt.Errorf("plan %s has no answer", b.run))
		}
	}
}

// ensureBegun tries to begin a plan run, at one process after the other, until one has acknowledged it.
func (f *fleet) ensureBegun(ctx context.Context, b *booking) (err error) {
	nodes := f.nodesFrom(b.node)
	timer := f.startTimer()
	for i := 0; !b.begun; i++ {
		if err = f.beginPlan(nodes[i%len(nodes)], b.run); err == nil {
			b.begun = true
			return nil
		}
		if ctx.Err() != nil || timer.expired() {
			return errors.Join(ctx.Err(), fmt.Errorf("plan %s could not be begun: %w", b.run, err))
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// outcome returns the outcome of a plan run, or "" if it has none yet. Any process that is currently in
// the fleet can report it.
func (f *fleet) outcome(b *booking) string {
	for _, n := range f.nodesFrom(b.node) {
		var answer struct{ Outcome string }
		if getJSON(n.admin, "/runs/"+b.run, &answer) == nil && answer.Outcome != "" {
			if answer.Outcome == outcomeUnderWay {
				return ""
			}
			return answer.Outcome
		}
	}
	return ""
}
