package budgetlab

import (
	"flag"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/budget"

	"github.com/stretchr/testify/require"
)

var whole = flag.Bool("study", false, "the study at 300 and 3000 holders too")

// TestStudy: how well the whole is used by each way when one holder has half the traffic
// and another every 10 s, and how soon what changes is divided anew.
func TestStudy(t *testing.T) {
	ways, fleets := []string{"equal", "proportional", "loan", "max-min"}, []int{30}
	if *whole {
		fleets = []int{30, 300, 3000}
	}
	for _, n := range fleets {
		f := Fleet{Holders: n, Rate: 100, Burst: time.Second / 2, HeavyShare: 0.5, Lease: 3 * time.Second, NetworkDelay: 20 * time.Millisecond, Seed: 1}
		for k, way := range []budget.DivisionPolicy{budget.Equal, budget.Proportional, budget.Loan, budget.MaxMin} {
			for _, f.Offered = range []float64{1, 1.5} {
				f.Policy, f.MoveInterval = way, 10*time.Second
				r, err := Run(f, 10*time.Second, 60*time.Second)
				require.NoError(t, err)
				t.Logf("%4d holders, offered %.1f, %-12s: %.3f used; %.3f of the others' let in; a second and holder %.2f renewals, %.0f bytes",
					n, f.Offered, ways[k], r.Utilization, r.LightAdmitted, r.Renewals, r.Bytes)
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
