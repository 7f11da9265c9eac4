package budget

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

// grantOf returns a grant of an amount of each kind of budget, with floors.
func grantOf(number uint64, amount float64) Grant {
	return Grant{Process: "n1", Incarnation: 1, Number: number, Lease: 10 * second, Shares: []Share{
		{Name: "p", Kind: Divided, Amount: amount, Floor: 1, FloorDuration: 10 * second, SettleTime: second},
		{Name: "r", Kind: Rate, Amount: amount, Burst: amount, Floor: 2, FloorDuration: 10 * second},
		{Name: "u", Kind: InFlight, Amount: amount, Floor: 1, FloorDuration: 10 * second, SettleTime: 100 * second},
	}}
}

// drain takes up to 1000 tokens and returns how many it got.
func drain(b *TokenBucket, now time.Duration) (n int) {
	for n < 1000 && b.Take(now) {
		n++
	}
	return n
}

// begin begins up to 1000 jobs and returns how many were admitted.
func begin(b *TokenBucket, now time.Duration) (n int) {
	for n < 1000 && b.Begin(now, now+second) {
		n++
	}
	return n
}

// TestAllowance checks what a process may use from before its first grant until after its
// floor has expired.
func TestAllowance(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	a := NewAllowance()
	a.ExpectBudgets("r", "u")
	a.SetIncarnation("n1", 1)
	r, u, part, other := a.Bucket("r"), a.Bucket("u"), a.Bucket("p"), a.Bucket("other")
	require.Equal(t, []int{0, 0, 1000, 1000}, []int{drain(r, 0), begin(u, 0), drain(other, 0), begin(other, 0)})
	for range 1000 {
		other.End()
	}
	require.Equal(t, a.NextRenewal(0), a.NextRenewal(second), "no lease yet: due at once")
	require.Less(t, a.NextRenewal(0), time.Duration(0))
	require.True(t, a.Apply(0, second, grantOf(2, 8)), "p was unlimited: its share has shrunk")
	require.Zero(t, drain(r, second), "a new share begins empty")
	require.InDelta(t, 8, drain(r, 9*second-1), 0, "no more than its burst, however long it refilled")
	amount, ok := part.Amount(9*second - 1)
	require.True(t, ok)
	require.EqualValues(t, 8, amount)
	require.Equal(t, 8, begin(u, 2*second))
	require.False(t, u.Begin(2*second, 103*second), "longer than the settle time")

	require.False(t, a.Apply(5*second, 8*second, grantOf(1, 100)), "older")
	g := grantOf(3, 100)
	g.Incarnation = 2
	require.False(t, a.Apply(5*second, 8*second, g), "another's")
	require.Zero(t, drain(r, 9*second-1))
	require.Equal(t, []RejectionReason{ReasonExhausted, ReasonExhausted, ReasonTooLong}, []RejectionReason{r.RejectionReason(9*second-1, Rate, 0), u.RejectionReason(8*second, InFlight, 0), u.RejectionReason(0, InFlight, 101*second)})
	require.Equal(t, BucketStatus{Name: "u", Kind: InFlight, Mode: OnFloor, Amount: 1, ValidFor: second, Admitted: 8, Rejected: u.rejected.Load(), InFlight: 8},
		a.Status(17 * second)[3])

	// Without contact to the fleet: the share until 0.9 of the lease after the renewal was
	// sent, then the floor with 1 of the burst, then nothing.
	require.LessOrEqual(t, drain(r, 9*second), 1)
	require.InDelta(t, 1, drain(r, 17*second), 0)
	amount, _ = part.Amount(17 * second)
	require.EqualValues(t, 1, amount)
	require.Zero(t, begin(u, 17*second), "more jobs in flight than the floor")
	for range 8 {
		u.End()
	}
	require.Equal(t, 1, begin(u, 17*second))
	u.End()
	r.mu.Lock() // while another caller refills the bucket, no token is taken after the expiry
	r.refill(18*second - 1)
	require.Equal(t, r.taken.Load()+1, r.ceiling.Load())
	require.Equal(t, []int{0, 0}, []int{drain(r, 18*second), begin(u, 18*second)})
	r.mu.Unlock()
	for kind, bucket := range map[Kind]*TokenBucket{Rate: r, InFlight: u, Divided: part} {
		require.Equal(t, []RejectionReason{ReasonWrongKind, ReasonLeaseExpired}, []RejectionReason{bucket.RejectionReason(18*second, (kind+1)%3, 0), bucket.RejectionReason(18*second, kind, 0)})
	}
	require.Equal(t, BucketStatus{Name: "r", Mode: OnNothing, Admitted: r.taken.Load(), Rejected: r.rejected.Load()}, a.Status(18 * second)[2])
	require.Equal(t, 10*second/3, r.RetryAfter(18*second))

	// Contact is restored: the bucket begins empty, and a smaller share is to be acknowledged soon.
	require.True(t, a.Apply(19*second, 20*second, grantOf(4, 4)))
	require.Zero(t, drain(r, 20*second))
	require.InDelta(t, 4, drain(r, 22*second), 0)
	require.InDelta(t, float64(second)/(4*RefillPace)*5, float64(r.RetryAfter(22*second)), float64(6*second))
	require.EqualValues(t, 4, a.Renewal(22*second).AppliedGrant)
	require.Equal(t, 22*second+10*second/3, a.NextRenewal(22*second))

	// Demand is all that arrived, admitted or not; a change of it makes the next renewal earlier.
	for range 60 {
		r.Take(22 * second)
	}
	require.Equal(t, 22*second+10*second/12, a.NextRenewal(23*second))
	require.InDelta(t, 30, a.Renewal(24 * second).Usage["r"].Demand, 0)
	require.Equal(t, 4, begin(u, 24*second))
	usage := a.Renewal(24*second + second/2).Usage["u"]
	require.InDelta(t, 5, usage.Demand, 1, "those admitted and one rejected; the previous demand decays by halves")
	require.Equal(t, Usage{Demand: usage.Demand, InFlight: 4, MaxRemaining: second / 2}, usage)

	left := a.Close(24 * second)
	require.Equal(t, Departure{InFlight: 4, MaxRemaining: second}, left["u"])
	require.False(t, a.Apply(25*second, 25*second, grantOf(5, 100)))
	require.Equal(t, []int{0, 0, 0}, []int{drain(r, 26*second), begin(u, 26*second), drain(a.Bucket("new"), 26*second)})
	a.SetIncarnation("n1", 2)
	require.False(t, other.Take(26*second))
}

// TestManyThreads checks that eight threads that share a clock take no more than the shares
// allow while they change, and never have more jobs in flight at once.
func TestManyThreads(t *testing.T) {
	a := NewAllowance()
	a.SetIncarnation("n1", 1)
	a.Apply(0, 0, grantOf(1, 100))
	r, u := a.Bucket("r"), a.Bucket("u")
	var now, taken, running, exceeded atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 20000 {
				at := time.Duration(now.Add(int64(20 * time.Microsecond)))
				if r.Take(at) {
					taken.Add(1)
				}
				if u.Begin(at, at+second) {
					if running.Add(1) > 100 {
						exceeded.Add(1)
					}
					running.Add(-1)
					u.End()
				}
			}
		})
	}
	for k := range 50 {
		at := time.Duration(now.Load())
		a.Apply(at, at, grantOf(uint64(k+2), float64(50+50*(k%2))))
		a.Renewal(at)
	}
	wg.Wait()
	elapsed := time.Duration(now.Load()).Seconds()
	require.LessOrEqual(t, float64(taken.Load()), 100*RefillPace*elapsed+1)
	require.Greater(t, float64(taken.Load()), 40*RefillPace*elapsed, "the share is at least 50")
	require.Zero(t, exceeded.Load())
	require.Zero(t, u.inFlight.Load())
}
