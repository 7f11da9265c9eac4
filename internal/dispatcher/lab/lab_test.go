package lab

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// fleetSettings returns policy settings as in production, for the given number of dispatchers.
func fleetSettings(dispatchers int, classes ...Class) policy.Settings {
	s := policy.Settings{
		Instances: dispatchers, ValueByWork: true, ReportsStart: true, Kinds: []string{"std"},
		Limits: policy.Limits{MaxAttempts: 3, Cancel: true, Probes: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second},
		Rules: policy.Rules{
			AnswerGrace: 8 * time.Millisecond, MembershipMaxAge: 10 * time.Second, ColdCapacity: 0.12, WarmupTime: 24 * time.Second, ColdOverloadMultiple: 4, ColdOverloadWindow: 3 * time.Second,
		},
	}
	for _, c := range classes {
		s.Classes = append(s.Classes, c.Class)
	}
	return s
}

func class(name string, effect policy.Effect, rate float64, work time.Duration, shape string) Class {
	return Class{
		Class: policy.Class{Name: name, Effect: effect, DedupWindow: 15 * time.Second, DedupScope: policy.DedupCell, LatencyTarget: 400 * time.Millisecond,
			TargetPerWork: 2.5, ClientTimeout: 10 * time.Second, Value: 10, Kind: -1},
		Rate: rate, MeanWork: work, WorkDistribution: shape, WorkCV: 2,
	}
}

func simulate(t testing.TB, x *Experiment, policy string, seed uint64) *Result {
	m, err := PolicyByName(policy)
	require.NoError(t, err)
	w, err := NewWorld(x, m, seed)
	require.NoError(t, err)
	return w.Run()
}

// queueExperiment returns an experiment with one dispatcher and one member, and no network
// delay between them: a queue of queueing theory, whose mean wait a formula gives.
func queueExperiment(cores int, shape string, load float64) *Experiment {
	c := class("job", policy.Idempotent, load*float64(cores)*100, 10*time.Millisecond, shape)
	c.ClientTimeout, c.LatencyTarget = time.Hour, time.Hour
	x := &Experiment{
		Length: formulaSeconds * time.Second, Dispatchers: 1, Classes: []Class{c},
		Kinds: []MemberKind{{Name: "std", Count: 1, Cores: cores, Slots: cores, Queue: 1 << 20, Speed: 1}},
	}
	x.Settings = fleetSettings(1, c)
	x.Settings.Limits.MaxAttempts = 1
	return x
}

// TestFormulas checks the simulation against the formulas for M/M/1, M/M/c and M/D/1 queues:
// the mean wait over some seeds is within 2% of the formula (under the race detector, with
// shorter runs, within 8%).
func TestFormulas(t *testing.T) {
	erlangC := func(c int, load float64) float64 {
		a := load * float64(c)
		sum, term := 0.0, 1.0
		for k := 0; k < c; k++ {
			if k > 0 {
				term *= a / float64(k)
			}
			sum += term
		}
		last := term * a / float64(c) / (1 - load)
		return last / (sum + last)
	}
	const service = 0.010
	for name, q := range map[string]struct {
		cores int
		shape string
		load  float64
		wait  float64 // seconds
	}{
		"M/M/1 at 0.5": {1, "exp", 0.5, service * 0.5 / (1 - 0.5)},
		"M/M/1 at 0.7": {1, "exp", 0.7, service * 0.7 / (1 - 0.7)},
		"M/M/4 at 0.7": {4, "exp", 0.7, erlangC(4, 0.7) * service / (4 * (1 - 0.7))},
		"M/D/1 at 0.7": {1, "fixed", 0.7, 0.7 * service / (2 * (1 - 0.7))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sum := 0.0
			const seeds = 4
			for seed := range uint64(seeds) {
				r := simulate(t, queueExperiment(q.cores, q.shape, q.load), "random", seed)
				require.Empty(t, r.Violations)
				require.InDelta(t, q.load, r.Utilization, 0.02)
				sum += r.Wait.Mean() / 1e6
			}
			require.InEpsilon(t, q.wait, sum/seeds, formulaTolerance)
		})
	}
}

// fleetExperiment returns an experiment with a fleet as in production and the given faults.
func fleetExperiment(faults ...Fault) *Experiment {
	hold := class("place-hold", policy.Deduplicated, 18, 700*time.Millisecond, "lognormal")
	ticket := class("group-ticket", policy.AtMostOnce, 3, 3*time.Second, "lognormal")
	ticket.LatencyTarget, ticket.ClientTimeout, ticket.Value = time.Second, 25*time.Second, 2
	hold.HintError, ticket.HintError = 0.5, 0.5
	x := &Experiment{
		Length: 60 * time.Second, Dispatchers: 4, Classes: []Class{hold, ticket}, NetworkDelay: 200 * time.Microsecond, NetworkJitter: 0.2,
		Kinds:          []MemberKind{{Name: "std", Count: 12, Cores: 4, Slots: 4, Queue: 28, Speed: 1, SpeedCV: 0.2, Cells: 2, InitialSpeed: 0.15, WarmupTime: 20 * time.Second}},
		DiscoveryDelay: time.Second, Retries: 2, Backoff: 100 * time.Millisecond, Faults: faults,
	}
	x.Settings = fleetSettings(4, hold, ticket)
	return x
}

// TestDispatcherKeepsRules checks that the product's policy breaks no rule of the protocol
// under each fault.
func TestDispatcherKeepsRules(t *testing.T) {
	for name, faults := range map[string][]Fault{
		"calm": nil, "crash": {{Kind: "crash", At: 20 * time.Second, For: 10 * time.Second, Part: 0.25}},
		"pause":   {{Kind: "pause", At: 20 * time.Second, For: 300 * time.Millisecond, Part: 0.4}},
		"deploy":  {{Kind: "deploy", At: 10 * time.Second, For: 30 * time.Second, Part: 0.9}},
		"restart": {{Kind: "restart", At: 10 * time.Second, For: 10 * time.Second, Part: 0.9}},
		"slow":    {{Kind: "slow", At: 10 * time.Second, For: 20 * time.Second, Part: 0.2, Size: 0.1}},
		"all": {{Kind: "deploy", At: 10 * time.Second, For: 30 * time.Second, Part: 0.9}, {Kind: "restart", At: 12 * time.Second, For: 10 * time.Second, Part: 0.9},
			{Kind: "crash", At: 20 * time.Second, For: 10 * time.Second, Part: 0.25}, {Kind: "pause", At: 25 * time.Second, For: 300 * time.Millisecond, Part: 0.4}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				r := simulate(t, fleetExperiment(faults...), "module", seed)
				require.Empty(t, r.Violations)
				require.NotZero(t, r.InTime)
				require.Equal(t, r.Requests, r.InTime+r.Late+r.Refused+r.Failed, "every request ends exactly once")
			}
		})
	}
}

// TestSameSeedSameRun checks that the same seed gives the same run, and another seed another run.
func TestSameSeedSameRun(t *testing.T) {
	x := fleetExperiment(Fault{Kind: "deploy", At: 10 * time.Second, For: 30 * time.Second, Part: 0.9})
	for _, policy := range PolicyNames() {
		a, b := simulate(t, x, policy, 3), simulate(t, x, policy, 3)
		require.Equal(t, a.Events, b.Events, policy)
		require.Equal(t, a.Goodput(), b.Goodput(), policy)
		require.NotEqual(t, a.Events, simulate(t, x, policy, 4).Events, policy)
	}
}

// TestBaselines checks without faults that policies with more information have no worse
// goodput: "best of two" and "module" are above "random", and "true state" is at most 0.02
// below "module".
func TestBaselines(t *testing.T) {
	mean := func(policy string) float64 {
		sum := 0.0
		for seed := range uint64(4) {
			x := fleetExperiment()
			for i := range x.Classes {
				x.Classes[i].Rate *= 1.6
			}
			r := simulate(t, x, policy, seed)
			require.Empty(t, r.Violations, policy)
			sum += r.Goodput() / 4
		}
		return sum
	}
	random, two, truth, module := mean("random"), mean("best of two"), mean("true state"), mean("module")
	t.Logf("random %.3f, best of two %.3f, module %.3f, true state %.3f", random, two, module, truth)
	require.Greater(t, two, random)
	require.Greater(t, module, random)
	require.GreaterOrEqual(t, truth, module-0.02)
}

// ruleBreaker is a policy that deliberately breaks one rule of the protocol.
type ruleBreaker struct {
	Policy
	host      policy.Host
	onRequest func(b *ruleBreaker, r policy.Request)
	members   []policy.Member
	unready   uint32 // the latest member that was not ready; 0: none
}

func (b *ruleBreaker) HandleRequest(_ time.Duration, r policy.Request)         { b.onRequest(b, r) }
func (b *ruleBreaker) HandleAttemptResult(time.Duration, policy.AttemptResult) {}
func (b *ruleBreaker) HandleMembers(_ time.Duration, k policy.ListKind, all []policy.Member) {
	if k != policy.ListDelta {
		b.members = all
	}
	for _, m := range all {
		if m.State != policy.Ready {
			b.unready = m.Number
		}
	}
}

// TestChecker checks that the checker finds the violation of each rule, by a part of its
// message.
func TestChecker(t *testing.T) {
	first := func(b *ruleBreaker) uint32 { return b.members[0].Number }
	for want, c := range map[string]struct {
		x         *Experiment
		breakRule func(b *ruleBreaker, r policy.Request)
	}{
		"no final answer": {fleetExperiment(), func(*ruleBreaker, policy.Request) {}},
		"second final answer": {fleetExperiment(), func(b *ruleBreaker, r policy.Request) {
			b.host.Send(r.ID, first(b), 0)
			b.host.Fail(r.ID)
			b.host.Refuse(r.ID, 0)
		}},
		"two attempts at once": {fleetExperiment(), func(b *ruleBreaker, r policy.Request) { b.host.Send(r.ID, first(b), 0); b.host.Send(r.ID, first(b), 0) }},
		"must not run twice":   {fleetExperiment(), func(b *ruleBreaker, r policy.Request) { b.host.Send(r.ID, first(b), 0); b.host.Send(r.ID, first(b), 0) }},
		"outside of its group": {fleetExperiment(), func(b *ruleBreaker, r policy.Request) {
			for _, m := range b.members[:6] {
				b.host.Send(r.ID, m.Number, 0)
			}
		}},
		"for the 4th time": {fleetExperiment(), func(b *ruleBreaker, r policy.Request) {
			for range 4 {
				b.host.Send(r.ID, first(b), 0)
			}
		}},
		"sent after its final": {fleetExperiment(), func(b *ruleBreaker, r policy.Request) {
			b.host.Send(r.ID, first(b), 0)
			b.host.Fail(r.ID)
			b.host.Send(r.ID, first(b), 0)
		}},
		"though it may have": {fleetExperiment(), func(b *ruleBreaker, r policy.Request) { b.host.Send(r.ID, first(b), 0); b.host.Refuse(r.ID, 0) }},
		"draining or gone": {fleetExperiment(Fault{Kind: "crash", At: time.Second, For: 50 * time.Second, Part: 0.3}), func(b *ruleBreaker, r policy.Request) {
			if b.unready != 0 {
				b.host.Send(r.ID, b.unready, 0)
			}
		}},
		"what it can do": {fleetExperiment(Fault{Kind: "crash", At: time.Second, For: time.Second, Part: 0.01}), func(b *ruleBreaker, r policy.Request) {
			if b.unready != 0 {
				b.host.Send(r.ID, b.unready, 0)
			}
		}},
		"after its deadline": {fleetExperiment(), func(b *ruleBreaker, r policy.Request) {
			b.host.(*dispatcher).world.after(30*time.Second, func() { b.host.Fail(r.ID) })
		}},
	} {
		t.Run(want, func(t *testing.T) {
			w, err := NewWorld(c.x, func(_ *World, h policy.Host, _ int, _ uint64) (Policy, error) {
				return &ruleBreaker{host: h, Policy: &basicPolicy{}, onRequest: c.breakRule}, nil
			}, 1)
			require.NoError(t, err)
			violations := w.Run().Violations
			found := slices.ContainsFunc(violations, func(v string) bool { return strings.Contains(v, want) })
			require.True(t, found, "%v", violations)
		})
	}
}

// TestSlowStart checks that the speed of a restarted member rises linearly over its warm-up.
func TestSlowStart(t *testing.T) {
	x := fleetExperiment()
	w, err := NewWorld(x, PolicyMakers["random"], 1)
	require.NoError(t, err)
	m := w.members[0]
	m.restart()
	require.InDelta(t, 0.15, m.warmupFactor(), 1e-9)
	w.runUntil(w.now + 10*time.Second)
	require.InDelta(t, 0.575, m.warmupFactor(), 1e-6)
	w.runUntil(w.now + 10*time.Second)
	require.Equal(t, 1.0, m.warmupFactor())
	require.False(t, math.IsNaN(m.remainingTime()))
}

// BenchmarkSize simulates one second of a fleet of 10,000 members and 1,000 dispatchers.
func BenchmarkSize(b *testing.B) {
	for range b.N {
		hold := class("place-hold", policy.Deduplicated, 20000, 500*time.Millisecond, "lognormal")
		x := &Experiment{
			Length: time.Second, Dispatchers: 1000, Classes: []Class{hold}, NetworkDelay: 200 * time.Microsecond, NetworkJitter: 0.2,
			Kinds: []MemberKind{{Name: "std", Count: 10000, Cores: 4, Slots: 4, Queue: 28, Speed: 1, SpeedCV: 0.2, Cells: 1000}}, DiscoveryDelay: time.Second,
		}
		x.Settings = fleetSettings(1000, hold)
		start := time.Now()
		r := simulate(b, x, "module", 1)
		b.ReportMetric(float64(r.Events)/time.Since(start).Seconds(), "events/s")
		b.ReportMetric(r.Goodput(), "goodput")
	}
}
