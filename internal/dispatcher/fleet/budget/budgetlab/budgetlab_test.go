package budgetlab

import (
	"flag"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/budget"

	"github.com/stretchr/testify/require"
)

var study = flag.Bool("study", false, "also simulate fleets of 300 and 3000 holders")

// TestStudy measures how much of the total each policy uses when one holder has half the
// traffic and another holder becomes that one every 10 s, and how soon the total is divided
// again after a change.
func TestStudy(t *testing.T) {
	names, fleets := []string{"equal", "proportional", "loan", "max-min"}, []int{30}
	if *study {
		fleets = []int{30, 300, 3000}
	}
	for _, n := range fleets {
		f := Fleet{Holders: n, Rate: 100, Burst: time.Second / 2, HeavyShare: 0.5, Lease: 3 * time.Second, NetworkDelay: 20 * time.Millisecond, Seed: 1}
		for k, policy := range []budget.DivisionPolicy{budget.Equal, budget.Proportional, budget.Loan, budget.MaxMin} {
			for _, f.Offered = range []float64{1, 1.5} {
				f.Policy, f.MoveInterval = policy, 10*time.Second
				r, err := Run(f, 10*time.Second, 60*time.Second)
				require.NoError(t, err)
				t.Logf("%4d holders, offered %.1f, %-12s: %.3f used; %.3f of the light holders' traffic admitted; per second and holder %.2f renewals, %.0f bytes",
					n, f.Offered, names[k], r.Utilization, r.LightAdmitted, r.Renewals, r.Bytes)
				require.True(t, k < 3 || r.Utilization >= 0.9, "max-min uses %v", r.Utilization)
				require.True(t, k > 0 || r.Utilization < 0.8, "an equal split uses %v", r.Utilization)
			}
		}
		f.MoveInterval = 0
		times, err := Change(f, 10*time.Second)
		require.NoError(t, err)
		t.Logf("%4d holders, max-min: %+v", n, times)
		require.Less(t, times.Join, f.Lease)
		require.Less(t, times.Leave, f.Lease)
		require.Less(t, times.Kill, 2*f.Lease)
	}
}
