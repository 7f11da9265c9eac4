package rig

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/demo"

	"github.com/stretchr/testify/require"
)

// Soak is faults under load for a time.
type Soak struct {
	Settings
	Kinds  []string                      // of faults; none: all
	Beside []func(context.Context, *Rig) // what runs beside the clients, until the context ends
	Counts []Count
}

// Count is what a soak counts when all has ended.
type Count struct {
	Name string
	Bad  bool                         // there must be none
	Of   func(*Rig) ([]string, error) // which; nil: nothing counts them, which is said
}

// Counts are those of a soak of any processes. What has no way to count it yet
// belongs to a part of the fleet that a test of that part adds.
func Counts() []Count {
	return []Count{
		{"overspends", true, nil},
		{"plans ended once", false, nil},
		{"plans ended never or otherwise", true, nil},
		{"tickets run twice", true, func(r *Rig) ([]string, error) {
			return append(Twice(r.Till.Arrivals(), demo.Once), r.Till.Twice()...), nil
		}},
		{"answers unfounded", true, func(r *Rig) ([]string, error) { return Unfounded(r.Calls(), r.Till.Arrivals(), demo.Once), nil }},
		{"calls lost", true, func(r *Rig) ([]string, error) { return r.Lost(), nil }},
		{"processes that ended by themselves", true, func(r *Rig) (died []string, _ error) {
			for _, p := range r.Processes {
				died = append(died, p.Died()...)
			}
			return died, nil
		}},
		{"records missing", true, nil},
		{"extra", true, nil},
		{"resurrected", true, nil},
		{"digests that differed", true, nil},
	}
}

// Run soaks for a time with faults that end within it, and returns the line of
// its counts. It fails the test for each that there must be none of.
func (s Soak) Run(t testing.TB, length time.Duration) string {
	t.Helper()
	plan := Plan(s.Load.Seed, s.Processes, int(length/(100*time.Millisecond)), s.Kinds...)
	plan = slices.DeleteFunc(plan, func(f Fault) bool { return f.At+f.For > length })
	t.Logf("the plan of seed %d:\n%v", s.Load.Seed, plan)
	r := New(t, s.Settings)
	r.Start()
	r.Begin()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, beside := range s.Beside {
		r.all.Go(func() { beside(ctx, r) })
	}
	require.NoError(t, r.Play(ctx, plan))
	stop()
	r.End()
	require.NotZero(t, r.Answers.Served.Load())
	line := []string{fmt.Sprintf("soak of %v, seed %d: faults %d, calls %d, served %d", length, s.Load.Seed, len(plan), len(r.Calls()), r.Answers.Served.Load())}
	for _, c := range s.Counts {
		if c.Of == nil {
			line = append(line, c.Name+" not counted")
			continue
		}
		found, err := c.Of(r)
		require.NoError(t, err, c.Name)
		line = append(line, fmt.Sprintf("%s %d", c.Name, len(found)))
		if c.Bad && len(found) > 0 {
			t.Errorf("%s: %v", c.Name, found)
		}
	}
	return strings.Join(line, ", ")
}
