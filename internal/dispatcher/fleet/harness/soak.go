package harness

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/demo"

	"github.com/stretchr/testify/require"
)

// Soak configures a soak test: load with injected faults, for a time.
type Soak struct {
	Settings
	FaultKinds []string                          // kinds of faults; none: all
	Background []func(context.Context, *Cluster) // run beside the clients until their context ends
	Checks     []SoakCheck
}

// SoakCheck is something that a soak counts at its end.
type SoakCheck struct {
	Name       string
	MustBeZero bool                             // the soak fails if anything is found
	Find       func(*Cluster) ([]string, error) // nil: it is reported as not counted
}

// SoakChecks returns the checks of a soak. Those that only some fleets support are reported as
// not counted unless more has a function under their name.
func SoakChecks(more map[string]func(*Cluster) ([]string, error)) []SoakCheck {
	all := []SoakCheck{
		{"overspends", true, nil},
		{"plans ended once", false, nil},
		{"plans ended never or otherwise", true, nil},
		{"tickets run twice", true, func(r *Cluster) ([]string, error) {
			return append(RunTwice(r.RunLog.Arrivals(), demo.AtMostOnce), r.RunLog.RunTwice()...), nil
		}},
		{"answers unfounded", true, func(r *Cluster) ([]string, error) {
			return UnfoundedAnswers(r.Calls(), r.RunLog.Arrivals(), demo.AtMostOnce), nil
		}},
		{"calls lost", true, func(r *Cluster) ([]string, error) { return r.LostCalls(), nil }},
		{"processes that ended by themselves", true, func(r *Cluster) (exits []string, _ error) {
			for _, p := range r.Processes {
				exits = append(exits, p.UnexpectedExits()...)
			}
			return exits, nil
		}},
		{"records missing", true, nil},
		{"extra", true, nil},
		{"resurrected", true, nil},
		{"digests that differed", true, nil},
	}
	for i := range all {
		if find := more[all[i].Name]; find != nil {
			all[i].Find = find
		}
	}
	return all
}

// AdmissionSpans returns the times within which each attempt of a tenant was admitted:
// after its client sent it, and before a member received it.
func (c *Cluster) AdmissionSpans(tenant string) (all []Span) {
	first := make(map[string]time.Time)
	for _, a := range c.RunLog.Arrivals() {
		if at, ok := first[a.ID]; !ok || a.ArrivedAt.Before(at) {
			first[a.ID] = a.ArrivedAt
		}
	}
	for _, call := range c.Calls() {
		if at, ok := first[call.ID]; ok && call.Tenant == tenant {
			all = append(all, Span{call.Sent, at})
		}
	}
	return all
}

// Run runs load with faults that end within length, and returns a summary. It fails the test
// for each check that must be zero and isn't.
func (s Soak) Run(t testing.TB, length time.Duration) string {
	t.Helper()
	plan := RandomFaults(s.Load.Seed, s.Processes, int(length/(100*time.Millisecond)), s.FaultKinds...)
	plan = slices.DeleteFunc(plan, func(f Fault) bool { return f.Start+f.Duration > length })
	t.Logf("the plan of seed %d:\n%v", s.Load.Seed, plan)
	r := New(t, s.Settings)
	r.Start()
	r.StartClients()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, background := range s.Background {
		r.clients.Go(func() { background(ctx, r) })
	}
	require.NoError(t, r.Inject(ctx, plan))
	stop()
	r.StopClients()
	require.NotZero(t, r.Answers.Served.Load())
	line := []string{fmt.Sprintf("soak of %v, seed %d: faults %d, calls %d, served %d", length, s.Load.Seed, len(plan), len(r.Calls()), r.Answers.Served.Load())}
	for _, c := range s.Checks {
		if c.Find == nil {
			line = append(line, c.Name+" not counted")
			continue
		}
		found, err := c.Find(r)
		require.NoError(t, err, c.Name)
		line = append(line, fmt.Sprintf("%s %d", c.Name, len(found)))
		if c.MustBeZero && len(found) > 0 {
			t.Errorf("%s: %v", c.Name, found)
		}
	}
	return strings.Join(line, ", ")
}

// hadOutage reports whether a process went out of service within a time after a moment.
func (c *Cluster) hadOutage(addr string, at time.Time, within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.outages, func(o outage) bool {
		return o.addr == addr && o.Start.Before(at.Add(within)) && (o.End.IsZero() || o.End.After(at))
	})
}
