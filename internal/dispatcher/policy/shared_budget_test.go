package policy_test

import (
	"fmt"
	"testing"

	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// fakeSharedBudget is a SharedBudget that a test sets by hand.
type fakeSharedBudget struct {
	retries, headroom, probes int
	coldShare                 float64
	retryRequests             []string
}

// take decrements n and reports whether it was positive.
func take(n *int) bool {
	*n--
	return *n >= 0
}

func (p *fakeSharedBudget) TakeRetry(id, class string) bool {
	p.retryRequests = append(p.retryRequests, id+" "+class)
	return take(&p.retries)
}
func (p *fakeSharedBudget) HasHeadroom(string) bool    { return p.headroom > 0 }
func (p *fakeSharedBudget) TakeProbe() bool            { return take(&p.probes) }
func (p *fakeSharedBudget) ColdShare() (float64, bool) { return p.coldShare, p.coldShare >= 0 }

func newSharedBudgetFixture(t *testing.T, p *fakeSharedBudget, n int) *fixture {
	s := settings()
	s.SharedBudget = p
	return newFixture(t, s, n)
}

func TestRetriesTakeTheSharedBudget(t *testing.T) {
	p := &fakeSharedBudget{retries: 1, headroom: 1, coldShare: -1}
	b := newSharedBudgetFixture(t, p, 4)
	for i := range 2 {
		b.request(fmt.Sprint("j", i), "safe", 100*ms)
		b.endAttempt(fmt.Sprint("j", i), policy.ConnectFailed)
	}
	require.Equal(t, []string{"j0 safe", "j1 safe"}, p.retryRequests)
	require.Equal(t, map[string]int{"j0": 2, "j1": 1}, b.sends)
	require.True(t, b.has("refuse j1"), "refused at once, not at its deadline: %v", b.acts)
}

func TestJobsWaitForHeadroomInTheFleet(t *testing.T) {
	p := &fakeSharedBudget{coldShare: -1}
	b := newSharedBudgetFixture(t, p, 4)
	b.request("j", "safe", 100*ms)
	b.advance(50 * ms)
	require.Zero(t, b.sends["j"])
	p.headroom = 1
	b.advance(50 * ms)
	require.Equal(t, 1, b.sends["j"], "%v", b.acts)
}

func TestProbesTakeTheSharedBudget(t *testing.T) {
	for most, want := range map[int]int{0: 0, 1: 1, 100: 3} {
		p := &fakeSharedBudget{probes: most, headroom: 1, coldShare: -1}
		s := settings()
		s.SharedBudget, s.Instances, s.Limits.ConcurrentAttempts = p, 100, false // jobs wait for reports
		b := newFixture(t, s, 10)
		for i := range 3 {
			b.request(fmt.Sprint("j", i), "safe", 100*ms)
		}
		require.Equal(t, want, b.count("probe"), "of %d", most)
	}
}

// TestSlowStartByShares checks that a dispatcher limits what it sends to a cold worker by its share, if it has
// one, and not by its draw.
func TestSlowStartByShares(t *testing.T) {
	sent := func(part float64) int {
		p := &fakeSharedBudget{headroom: 1, coldShare: part}
		s := settings()
		s.SharedBudget, s.Instances = p, 3
		b := newFixture(t, s, 0)
		cold := member(1, "a")
		cold.StartedAt = b.now
		b.HandleMembers(b.now, policy.ListSnapshot, []policy.Member{cold})
		for i := range 40 {
			b.request(fmt.Sprint("j", i), "safe", 100*ms)
			b.advance(20 * ms)
			if b.sends[fmt.Sprint("j", i)] > 0 {
				b.endAttempt(fmt.Sprint("j", i), policy.OK)
			}
		}
		return b.count("send")
	}
	none, third, all := sent(0), sent(0.33), sent(1)
	require.Zero(t, none)
	require.Greater(t, third, 0)
	require.Greater(t, all, third)
}
