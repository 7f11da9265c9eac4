package lab

import (
	"math/rand/v2"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"

	"github.com/stretchr/testify/require"
)

// TestArrivals checks for each kind of arrivals that the requests in each tenth of a long run
// match the rate, and that a trace is emitted with its times divided by the load.
func TestArrivals(t *testing.T) {
	const length, rate = 1000 * time.Second, 50.0
	for name, c := range map[string]struct {
		a    Arrivals
		want [10]float64 // factor on the rate, in each tenth
	}{
		"poisson": {Arrivals{}, [10]float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}},
		"ramp":    {Arrivals{Kind: "ramp", From: 0, To: 2}, [10]float64{.1, .3, .5, .7, .9, 1.1, 1.3, 1.5, 1.7, 1.9}},
		"bursts":  {Arrivals{Kind: "bursts", On: 100 * time.Second, Off: 100 * time.Second, High: 2}, [10]float64{2, 0, 2, 0, 2, 0, 2, 0, 2, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			random, counts := rand.New(rand.NewPCG(1, 2)), [10]float64{}
			for at, emitted := time.Duration(0), true; emitted; {
				emitted = false
				c.a.next(random, rate, at, length, func(after, work time.Duration) {
					require.Zero(t, work)
					if at += after; at < length {
						counts[at*10/length]++
						emitted = true
					}
				})
			}
			for i, n := range counts {
				require.InDelta(t, c.want[i], n/(rate*length.Seconds()/10), 0.06, "tenth %d", i)
			}
		})
	}
	trace := arrivalsOf(settings.Arrivals{Kind: "trace", Trace: []settings.Arrival{{At: time.Second, Work: 1}, {At: 4 * time.Second, Work: 2}}}, 2)
	var got []time.Duration
	trace.next(nil, rate, 0, length, func(after, work time.Duration) { got = append(got, after, work) })
	require.Equal(t, []time.Duration{time.Second / 2, 1, 2 * time.Second, 2}, got)
}

// closedLoopExperiment returns an experiment with a closed loop of clients in front of one
// member whose jobs slow each other down.
func closedLoopExperiment(clients int, capacity time.Duration) *Experiment {
	light, heavy := class("light", policy.Idempotent, 19, 10*time.Millisecond, "exp"), class("heavy", policy.Idempotent, 1, time.Second, "exp")
	for _, c := range []*Class{&light, &heavy} {
		c.LatencyTarget, c.ClientTimeout = time.Minute, 2*time.Minute
	}
	x := &Experiment{
		Length: 300 * time.Second, Dispatchers: 1, Classes: []Class{light, heavy}, Clients: clients, ThinkTime: 3 * time.Second, Capacity: capacity,
		Kinds: []MemberKind{{Name: "std", Count: 1, Cores: 1, Slots: 1 << 20, Queue: 1 << 20, Speed: 1, Crowding: 0.02, CrowdFrom: 10}},
	}
	x.Settings = fleetSettings(1, light, heavy)
	x.Settings.Limits.MaxAttempts = 1
	return x
}

func mean(c ClassResult) float64 { return c.Took.Seconds() / float64(max(1, c.Served)) }

// TestClosedLoop checks the closed loop against Little's law: clients = throughput ×
// (response time + think time).
func TestClosedLoop(t *testing.T) {
	for _, clients := range []int{10, 40, 120} {
		r := simulate(t, closedLoopExperiment(clients, time.Second), "gate fifo", 1)
		served, took := 0, time.Duration(0)
		for _, c := range r.Classes {
			served, took = served+c.Served, took+c.Took
		}
		perS := float64(served) / 300
		require.InEpsilon(t, float64(clients), perS*(took.Seconds()/float64(served)+3), 0.05)
		require.Empty(t, r.Violations)
	}
}

// TestGate reproduces the results of the paper qualitatively. More clients than the member can
// serve slow it down without a gate. With a gate it keeps its throughput; light requests are
// far faster if they are admitted in the order of expected time; and a larger limit on the
// overtaking of heavy requests moves the result from the order of arrival to that order.
func TestGate(t *testing.T) {
	type totals struct{ perS, light, heavy float64 }
	results := make(map[string]*totals)
	policies := []string{"least outstanding", "gate fifo", "gate wait 1", "gate wait 5", "gate shortest"}
	for _, policy := range policies {
		results[policy] = &totals{}
		for seed := range uint64(3) {
			r := simulate(t, closedLoopExperiment(120, 20*time.Second), policy, seed)
			require.Empty(t, r.Violations, policy)
			results[policy].perS += float64(r.Classes[0].Served+r.Classes[1].Served) / 300
			results[policy].light += mean(r.Classes[0])
			results[policy].heavy += mean(r.Classes[1])
		}
	}
	require.Greater(t, results["gate fifo"].perS, 1.1*results["least outstanding"].perS)
	require.Less(t, results["gate shortest"].light, results["gate fifo"].light/5)
	for i := 2; i < len(policies); i++ { // the more overtaking is allowed, the longer heavy requests wait
		require.Greater(t, results[policies[i]].heavy, results[policies[i-1]].heavy, policies[i])
	}
}

// TestPartitionsAndLosses checks that the product's policy breaks no rule while members are
// unreachable or messages are lost, and that it serves requests in time again afterwards.
func TestPartitionsAndLosses(t *testing.T) {
	hold, ticket := class("hold", policy.Deduplicated, 30, 100*time.Millisecond, "exp"), class("ticket", policy.AtMostOnce, 5, 200*time.Millisecond, "exp")
	for _, fault := range []Fault{
		{Kind: "cut", At: 5 * time.Second, For: 5 * time.Second, Part: 0.5},
		{Kind: "lost", At: 5 * time.Second, For: 5 * time.Second, Part: 0.2},
	} {
		x := &Experiment{
			Length: 30 * time.Second, Dispatchers: 2, Classes: []Class{hold, ticket}, NetworkDelay: 200 * time.Microsecond, DiscoveryDelay: time.Second, Retries: 2, Backoff: 100 * time.Millisecond,
			Kinds:  []MemberKind{{Name: "std", Count: 8, Cores: 2, Slots: 2, Queue: 14, Speed: 1, Cells: 2, Connections: 12, Handshake: time.Millisecond}},
			Faults: []Fault{fault}, SampleMembers: true,
		}
		x.Settings = fleetSettings(2, hold, ticket)
		r := simulate(t, x, "module", 5)
		require.Empty(t, r.Violations, fault.Kind)
		require.Greater(t, r.Goodput(), 0.7, fault.Kind)
		afterFault := r.Seconds[20:30]
		asked, inTime := 0, 0
		for _, s := range afterFault {
			asked, inTime = asked+s.Asked, inTime+s.InTime
		}
		require.Greater(t, float64(inTime), 0.9*float64(asked), fault.Kind)
		require.GreaterOrEqual(t, len(r.Members), 30)
		require.Len(t, r.Members[0], 8)
	}
}

// TestConnectionLimit checks that attempts beyond a member's limit of connections fail to
// connect: at three times the member's capacity, two thirds of the requests are refused.
func TestConnectionLimit(t *testing.T) {
	x := queueExperiment(1, "fixed", 3)
	x.Length, x.Kinds[0].Connections = 5*time.Second, 4
	x.Classes[0].ClientTimeout = time.Second
	r := simulate(t, x, "least outstanding", 1)
	require.Empty(t, r.Violations)
	require.InDelta(t, 2.0/3, float64(r.Refused)/float64(r.Requests), 0.05)
}
