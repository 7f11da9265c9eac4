package policy_test

import (
	"fmt"
	"testing"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// purse is a host's side of shared budgets, set by hand.
type purse struct {
	again, room, probes int
	cold                float64
	asked               []string
}

func take(n *int) bool {
	*n--
	return *n >= 0
}

func (p *purse) TakeRetry(id, class string) bool {
	p.asked = append(p.asked, id+" "+class)
	return take(&p.again)
}
func (p *purse) HasHeadroom(string) bool    { return p.room > 0 }
func (p *purse) TakeProbe() bool            { return take(&p.probes) }
func (p *purse) ColdShare() (float64, bool) { return p.cold, p.cold >= 0 }

func pursed(t *testing.T, p *purse, n int) *bench {
	s := settings()
	s.SharedBudget = p
	return newBench(t, s, n)
}

func TestRetriesTakeTheSharedBudget(t *testing.T) {
	p := &purse{again: 1, room: 1, cold: -1}
	b := pursed(t, p, 4)
	for i := range 2 {
		b.request(fmt.Sprint("j", i), "safe", 100*ms)
		b.outcome(fmt.Sprint("j", i), policy.ConnectFailed)
	}
	require.Equal(t, []string{"j0 safe", "j1 safe"}, p.asked)
	require.Equal(t, map[string]int{"j0": 2, "j1": 1}, b.sends)
	require.True(t, b.has("refuse j1"), "at once, not at its deadline: %v", b.acts)
}

func TestJobsWaitForHeadroomInTheFleet(t *testing.T) {
	p := &purse{cold: -1}
	b := pursed(t, p, 4)
	b.request("j", "safe", 100*ms)
	b.pass(50 * ms)
	require.Zero(t, b.sends["j"])
	p.room = 1
	b.pass(50 * ms)
	require.Equal(t, 1, b.sends["j"], "%v", b.acts)
}

func TestProbesTakeTheSharedBudget(t *testing.T) {
	for most, want := range map[int]int{0: 0, 1: 1, 100: 3} {
		p := &purse{probes: most, room: 1, cold: -1}
		s := settings()
		s.SharedBudget, s.Instances, s.Limits.ConcurrentAttempts = p, 100, false // in a crowd jobs wait for reports
		b := newBench(t, s, 10)
		for i := range 3 {
			b.request(fmt.Sprint("j", i), "safe", 100*ms)
		}
		require.Equal(t, want, b.count("probe"), "of %d", most)
	}
}

// What a dispatcher sends to a cold worker goes by its part, where it has one, and not by its draw.
func TestSlowStartByShares(t *testing.T) {
	sent := func(part float64) int {
		p := &purse{room: 1, cold: part}
		s := settings()
		s.SharedBudget, s.Instances = p, 3
		b := newBench(t, s, 0)
		cold := member(1, "a")
		cold.StartedAt = b.now
		b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{cold})
		for i := range 40 {
			b.request(fmt.Sprint("j", i), "safe", 100*ms)
			b.pass(20 * ms)
			if b.sends[fmt.Sprint("j", i)] > 0 {
				b.outcome(fmt.Sprint("j", i), policy.OK)
			}
		}
		return b.count("send")
	}
	none, third, all := sent(0), sent(0.33), sent(1)
	require.Zero(t, none)
	require.Greater(t, third, 0)
	require.Greater(t, all, third)
}
