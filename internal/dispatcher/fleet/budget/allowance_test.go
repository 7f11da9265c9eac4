package budget

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

// one is a grant of a rate, a count and a part, with floors.
func one(number uint64, amount float64) Grant {
	return Grant{Process: "n1", Incarnation: 1, Number: number, Lease: 10 * second, Shares: []Share{
		{Name: "p", Kind: Divided, Amount: amount, Floor: 1, FloorDuration: 10 * second, SettleTime: second},
		{Name: "r", Kind: Rate, Amount: amount, Burst: amount, Floor: 2, FloorDuration: 10 * second},
		{Name: "u", Kind: InFlight, Amount: amount, Floor: 1, FloorDuration: 10 * second, SettleTime: 100 * second},
	}}
}

func drain(t *TokenBucket, now time.Duration) (n int) {
	for n < 1000 && t.Take(now) {
		n++
	}
	return n
}

func begin(t *TokenBucket, now time.Duration) (n int) {
	for n < 1000 && t.Begin(now, now+second) {
		n++
	}
	return n
}

// TestAllowance: what a process may spend, from before its first grant to after its floor.
func TestAllowance(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	p := NewAllowance()
	p.ExpectBudgets("r", "u")
	p.SetIncarnation("n1", 1)
	r, u, part, other := p.Bucket("r"), p.Bucket("u"), p.Bucket("p"), p.Bucket("other")
	require.Equal(t, []int{0, 0, 1000, 1000}, []int{drain(r, 0), begin(u, 0), drain(other, 0), begin(other, 0)})
	for range 1000 {
		other.End()
	}
	require.Equal(t, p.NextRenewal(0), p.NextRenewal(second), "no lease yet: due at once")
	require.Less(t, p.NextRenewal(0), time.Duration(0))
	require.True(t, p.Apply(0, second, one(2, 8)), "p was open: less than before")
	require.Zero(t, drain(r, second), "a new share begins empty")
	require.InDelta(t, 8, drain(r, 9*second-1), 0, "its burst, however long ago")
	amount, ok := part.Amount(9*second - 1)
	require.True(t, ok)
	require.EqualValues(t, 8, amount)
	require.Equal(t, 8, begin(u, 2*second))
	require.False(t, u.Begin(2*second, 103*second), "outlasts what the fleet waits for")

	require.False(t, p.Apply(5*second, 8*second, one(1, 100)), "older")
	g := one(3, 100)
	g.Incarnation = 2
	require.False(t, p.Apply(5*second, 8*second, g), "another's")
	require.Zero(t, drain(r, 9*second-1))
	require.Equal(t, []RejectionReason{ReasonExhausted, ReasonExhausted, ReasonTooLong}, []RejectionReason{r.RejectionReason(9*second-1, Rate, 0), u.RejectionReason(8*second, InFlight, 0), u.RejectionReason(0, InFlight, 101*second)})
	require.Equal(t, BucketStatus{Name: "u", Kind: InFlight, Mode: OnFloor, Amount: 1, ValidFor: second, Admitted: 8, Rejected: u.rejected.Load(), InFlight: 8},
		p.Status(17 * second)[3])

	// Cut off: the share until 0.9 of the lease from when it was asked, then the
	// floor with 1 of the burst, then nothing.
	require.LessOrEqual(t, drain(r, 9*second), 1)
	require.InDelta(t, 1, drain(r, 17*second), 0)
	amount, _ = part.Amount(17 * second)
	require.EqualValues(t, 1, amount)
	require.Zero(t, begin(u, 17*second), "more under way than the floor")
	for range 8 {
		u.End()
	}
	require.Equal(t, 1, begin(u, 17*second))
	u.End()
	r.mu.Lock() // whoever is at filling the bucket, nobody takes after the end
	r.refill(18*second - 1)
	require.Equal(t, r.taken.Load()+1, r.ceiling.Load())
	require.Equal(t, []int{0, 0}, []int{drain(r, 18*second), begin(u, 18*second)})
	r.mu.Unlock()
	for kind, tap := range map[Kind]*TokenBucket{Rate: r, InFlight: u, Divided: part} {
		require.Equal(t, []RejectionReason{ReasonWrongKind, ReasonLeaseExpired}, []RejectionReason{tap.RejectionReason(18*second, (kind+1)%3, 0), tap.RejectionReason(18*second, kind, 0)})
	}
	require.Equal(t, BucketStatus{Name: "r", Mode: OnNothing, Admitted: r.taken.Load(), Rejected: r.rejected.Load()}, p.Status(18 * second)[2])
	require.Equal(t, 10*second/3, r.RetryAfter(18*second))

	// It is back: with nothing in the bucket, and a shrink is to be acknowledged soon.
	require.True(t, p.Apply(19*second, 20*second, one(4, 4)))
	require.Zero(t, drain(r, 20*second))
	require.InDelta(t, 4, drain(r, 22*second), 0)
	require.InDelta(t, float64(second)/(4*RefillPace)*5, float64(r.RetryAfter(22*second)), float64(6*second))
	require.EqualValues(t, 4, p.Renewal(22*second).AppliedGrant)
	require.Equal(t, 22*second+10*second/3, p.NextRenewal(22*second))

	// Demand is what came, let in or not, and a change of it is told before its turn.
	for range 60 {
		r.Take(22 * second)
	}
	require.Equal(t, 22*second+10*second/12, p.NextRenewal(23*second))
	require.InDelta(t, 30, p.Renewal(24 * second).Usage["r"].Demand, 0)
	require.Equal(t, 4, begin(u, 24*second))
	use := p.Renewal(24*second + second/2).Usage["u"]
	require.InDelta(t, 5, use.Demand, 1, "those let in, and one turned away; falling by halves")
	require.Equal(t, Usage{Demand: use.Demand, InFlight: 4, MaxRemaining: second / 2}, use)

	left := p.Close(24 * second)
	require.Equal(t, Departure{InFlight: 4, MaxRemaining: second}, left["u"])
	require.False(t, p.Apply(25*second, 25*second, one(5, 100)))
	require.Equal(t, []int{0, 0, 0}, []int{drain(r, 26*second), begin(u, 26*second), drain(p.Bucket("new"), 26*second)})
	p.SetIncarnation("n1", 2)
	require.False(t, other.Take(26*second))
}

// TestManyThreads: by eight threads that share a clock, while the share changes, no
// more is taken than the most that the shares let, and never more at once.
func TestManyThreads(t *testing.T) {
	p := NewAllowance()
	p.SetIncarnation("n1", 1)
	p.Apply(0, 0, one(1, 100))
	r, u := p.Bucket("r"), p.Bucket("u")
	var now, taken, under, over atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 20000 {
				at := time.Duration(now.Add(int64(20 * time.Microsecond)))
				if r.Take(at) {
					taken.Add(1)
				}
				if u.Begin(at, at+second) {
					if under.Add(1) > 100 {
						over.Add(1)
					}
					under.Add(-1)
					u.End()
				}
			}
		})
	}
	for k := range 50 {
		at := time.Duration(now.Load())
		p.Apply(at, at, one(uint64(k+2), float64(50+50*(k%2))))
		p.Renewal(at)
	}
	wg.Wait()
	all := time.Duration(now.Load()).Seconds()
	require.LessOrEqual(t, float64(taken.Load()), 100*RefillPace*all+1)
	require.Greater(t, float64(taken.Load()), 40*RefillPace*all, "of a share of 50 at least")
	require.Zero(t, over.Load())
	require.Zero(t, u.inFlight.Load())
}
