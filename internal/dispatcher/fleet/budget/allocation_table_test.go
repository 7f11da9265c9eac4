package budget

import (
	"fmt"
	"math"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelHolder is the reference model of a holder: it keeps every grant that was sent to it.
type modelHolder struct {
	ends         time.Duration // of its lease
	acknowledged uint64        // number of the grant
	grants       []Grant
	inFlight     float64 // reported with the last acknowledgement
}

// greatest returns the greatest value of any share of budget i that it may still use.
func (m *modelHolder) greatest(i int, of func(Share) float64) (x float64) {
	for _, g := range m.grants {
		if g.Number >= m.acknowledged {
			x = max(x, of(g.Shares[i]))
		}
	}
	return x
}

func amount(s Share) float64 { return s.Amount }

// held returns the most that it may be using of budget i at a time.
func (m *modelHolder) held(b Budget, i int, at time.Duration) float64 {
	all, floor := m.greatest(i, amount), m.greatest(i, func(s Share) float64 { return s.Floor })
	if b.Kind == InFlight {
		all = max(all, m.inFlight)
	}
	switch ends := m.ends + quarantineSpan(b.SettleTime); {
	case at < ends:
		return all
	case at < ends+b.FloorDuration:
		return floor
	}
	return 0
}

// TestTableAgainstPlainModel checks that for any renewals in any order, what the model's
// holders may be using together never exceeds the total, and that a decoded copy of the
// table continues in the same way.
func TestTableAgainstPlainModel(t *testing.T) { //nolint:funlen,gocognit // one scenario, to be read from top to bottom
	budgets := []Budget{
		{Name: "p", Kind: Divided, Total: 10, FloorSlots: 1, Floor: 1, FloorDuration: time.Second, SettleTime: 400 * time.Millisecond},
		{Name: "r", Kind: Rate, Total: 30, Burst: 3, FloorSlots: 1, Floor: 5, FloorDuration: 2 * time.Second},
		{Name: "u", Kind: InFlight, Total: 5, FloorSlots: 2, Floor: 1, FloorDuration: time.Second, SettleTime: 700 * time.Millisecond},
	}
	rapid.Check(t, func(t *rapid.T) {
		b, at := NewAllocationTable(), time.Duration(0)
		require.NoError(t, b.Configure(0, Config{Lease: time.Second, Budgets: budgets}))
		type key struct {
			name        string
			incarnation uint64
		}
		all, newest := map[key]*modelHolder{}, map[string]uint64{}
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		draw := func() (key, *modelHolder) {
			name := names.Draw(t, "process")
			incarnation := max(newest[name], 1)
			if incarnation > 1 && rapid.IntRange(0, 4).Draw(t, "older") == 0 {
				incarnation--
			}
			return key{name, incarnation}, all[key{name, incarnation}]
		}
		t.Repeat(map[string]func(*rapid.T){
			"restart": func(t *rapid.T) { newest[names.Draw(t, "process")]++ },
			"pass": func(t *rapid.T) {
				at += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
				b.Advance(at)
			},
			"renew": func(t *rapid.T) {
				k, m := draw()
				r := Renewal{Process: k.name, Incarnation: k.incarnation, Usage: map[string]Usage{}}
				next := modelHolder{}
				if m != nil {
					next = *m
					if n := len(m.grants); n > 0 && rapid.IntRange(0, 5).Draw(t, "says") > 0 {
						r.AppliedGrant = m.grants[rapid.IntRange(max(0, n-2), n-1).Draw(t, "bound")].Number
					}
				}
				for i, budget := range budgets {
					u := Usage{Demand: float64(rapid.IntRange(0, 40).Draw(t, "demand"))}
					if budget.Kind == InFlight && m != nil {
						u.InFlight = float64(rapid.IntRange(0, int(max(m.greatest(i, amount), m.inFlight))).Draw(t, "under"))
					}
					r.Usage[budget.Name] = u
				}
				if r.AppliedGrant > next.acknowledged && r.AppliedGrant == next.grants[len(next.grants)-1].Number {
					next.acknowledged, next.inFlight = r.AppliedGrant, r.Usage["u"].InFlight
				}
				g, err := b.Renew(at, r)
				if err != nil {
					require.ErrorIs(t, err, ErrFenced)
					require.Greater(t, newest[k.name], uint64(1))
					return
				}
				if m != nil && at >= m.ends { // it is a new holder, beside the quarantine of the old one
					all[key{k.name + " before " + fmt.Sprint(at), k.incarnation}] = m
					next = modelHolder{}
				}
				next.ends, next.grants = at+time.Second, append(next.grants, g)
				all[k] = &next
				newest[k.name] = max(newest[k.name], k.incarnation)
			},
			"leave": func(t *rapid.T) {
				if k, m := draw(); m != nil && at < m.ends {
					require.NoError(t, b.Leave(at, k.name, k.incarnation, map[string]Departure{"u": {}}))
					delete(all, k)
					parts := []Share{{Amount: m.held(budgets[0], 0, at)}, {}, {}}
					all[key{k.name + " left " + fmt.Sprint(at), k.incarnation}] = &modelHolder{ends: at, grants: []Grant{{Shares: parts}}}
				}
			},
			"": func(t *rapid.T) {
				for i, budget := range budgets {
					sum := 0.0
					for _, m := range all {
						sum += m.held(budget, i, at)
					}
					require.LessOrEqual(t, sum, budget.Total+1e-5, budget.Name)
				}
				text, err := b.Encode()
				require.NoError(t, err)
				decoded := NewAllocationTable()
				require.NoError(t, decoded.Decode(text))
				require.Equal(t, b.Status(), decoded.Status(), "totals differ from those of the decoded copy")
				b = decoded
			},
		})
	})
}

// TestDivide checks that every policy divides exactly the total, and that with MaxMin no
// holder gets less than its demand while another has more by weight.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims, demand := make([]Claim, rapid.IntRange(1, 20).Draw(t, "holders")), 0.0
		for i := range claims {
			claims[i] = Claim{float64(rapid.IntRange(0, 30).Draw(t, "demand")), float64(rapid.IntRange(1, 3).Draw(t, "weight"))}
			demand += claims[i].Demand
		}
		total, shares := float64(rapid.IntRange(0, 300).Draw(t, "total")), make([]float64, len(claims))
		for _, policy := range []DivisionPolicy{Equal, Proportional, Loan, MaxMin} { // MaxMin last: its shares are checked below
			policy(total, claims, shares)
			sum := 0.0
			for _, x := range shares {
				require.GreaterOrEqual(t, x, 0.0)
				sum += x
			}
			require.InDelta(t, total, sum, 1e-6)
		}
		for i, a := range claims {
			if total >= demand {
				require.GreaterOrEqual(t, shares[i], a.Demand-1e-9)
				continue
			}
			require.LessOrEqual(t, shares[i], a.Demand+1e-9)
			for k, other := range claims {
				if shares[i] < a.Demand-1e-9 { // less than its demand: no other holder has more by weight
					require.LessOrEqual(t, shares[k]/other.Weight, shares[i]/a.Weight+1e-9)
				}
			}
		}
	})
}

// fleet is a table with the processes that renew at it, usually in rounds of a third of a
// lease.
type fleet struct {
	*AllocationTable
	at      time.Duration
	applied map[string]uint64 // number of the last grant, by process
}

const lease = 3 * time.Second

func newFleet(t *testing.T, budgets ...Budget) *fleet {
	f := &fleet{AllocationTable: NewAllocationTable(), applied: map[string]uint64{}}
	require.NoError(t, f.Configure(0, Config{Lease: lease, Budgets: budgets}))
	return f
}

// renew renews a process's lease: it reports the demand and the jobs in flight, and
// acknowledges its last grant.
func (f *fleet) renew(name string, demand float64, inFlight ...float64) Grant {
	u := Usage{Demand: demand}
	if n := len(inFlight); n > 0 {
		u.InFlight = inFlight[n-1]
	}
	g, err := f.Renew(f.at, Renewal{Process: name, Incarnation: 1, AppliedGrant: f.applied[name], Usage: map[string]Usage{"x": u}})
	must(err)
	f.applied[name] = g.Number
	return g
}

// TestInFlightCounts checks that jobs in flight above a holder's amount are granted to no
// other holder, whatever late renewals report, and allow no growth twice.
func TestInFlightCounts(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	x := Budget{Name: "x", Kind: InFlight, Total: 10, SettleTime: time.Second}
	granted := func(g Grant) float64 { return g.Shares[0].Amount }
	f := newFleet(t, x)
	require.EqualValues(t, 10, granted(f.renew("a", 10)))
	old := f.applied["a"]
	f.renew("b", 10)
	f.at += DivisionInterval
	f.renew("b", 10)
	require.EqualValues(t, 5, granted(f.renew("a", 10, 9)))
	f.renew("a", 10, 9) // it has acknowledged 5 with 9 in flight
	now := f.applied["a"]
	f.applied["a"] = old
	f.renew("a", 10, 0) // an older renewal arrives late
	f.applied["a"] = now
	require.EqualValues(t, 1, granted(f.renew("b", 10)))
	f.renew("a", 10, 6)
	f.renew("b", 10)
	require.EqualValues(t, 4, granted(f.renew("b", 10)))

	// A process returns after its lease's expiry; its jobs are already in quarantine.
	f = newFleet(t, x)
	f.renew("a", 10)
	f.at = lease + 600*time.Millisecond
	require.Zero(t, granted(f.renew("b", 10)))
	require.Zero(t, granted(f.renew("a", 10, 10)))
	f.at += lease / 3
	require.Zero(t, granted(f.renew("b", 10)), "a has not yet reported again how many are in flight")
	f.renew("a", 10, 2)
	f.renew("b", 10)
	require.EqualValues(t, 5, granted(f.renew("b", 10)))

	// A late renewal of such a process reports jobs that have ended, while another holds all.
	f = newFleet(t, x)
	f.renew("b", 10)
	f.renew("a", 10, 10)
	f.at += DivisionInterval
	require.Zero(t, granted(f.renew("a", 10, 10)))
	f.renew("b", 10)
	f.renew("b", 10)
	f.renew("a", 10, 2)
	require.EqualValues(t, 5, granted(f.renew("a", 10)))

	// It leaves with jobs in flight.
	require.NoError(t, f.Leave(f.at, "a", 1, map[string]Departure{"x": {InFlight: 7, MaxRemaining: 900 * time.Millisecond}}))
	f.at += DivisionInterval
	require.EqualValues(t, 3, granted(f.renew("b", 10)))
	f.at += time.Second
	f.renew("b", 10)
	f.at += DivisionInterval
	require.EqualValues(t, 10, granted(f.renew("b", 10)))

	// The budget is new; it is unknown what is in flight.
	f = newFleet(t)
	f.renew("a", 0)
	f.renew("a", 0)
	require.NoError(t, f.Configure(f.at, Config{Lease: lease, Budgets: []Budget{x}}))
	for range 3 {
		require.Zero(t, granted(f.renew("b", 10)))
		f.at += DivisionInterval
	}
	f.renew("a", 0, 7)
	f.renew("a", 0, 7)
	require.EqualValues(t, 3, granted(f.renew("b", 10)))
}

// TestFloorReserved checks that a new process gets its floor with its first renewal while
// others hold all the rest, and that a fenced incarnation stays fenced.
func TestFloorReserved(t *testing.T) {
	f := newFleet(t, Budget{Name: "x", Kind: Rate, Total: 100, Burst: 10, FloorSlots: 2, Floor: 5, FloorDuration: lease})
	for range 4 {
		f.renew("a", 1000)
		f.at += DivisionInterval
	}
	require.Equal(t, HolderStatus{Process: "a", Incarnation: 1, Ends: f.at - DivisionInterval + lease, Acknowledged: true, Held: 95, Offered: 95, Due: 95, Floor: true, Demand: 1000},
		f.HolderStatuses("x")[0])
	s := f.renew("b", 1).Shares[0]
	require.Equal(t, []float64{5, 5, 1}, []float64{s.Amount, s.Floor, s.Burst})
	require.Zero(t, f.renew("c", 1).Shares[0].Floor)

	f.at += 2*lease - DivisionInterval // b's lease has expired, its floor has not
	f.Advance(f.at)
	require.EqualValues(t, 15, f.Status()[0].Quarantined+f.Status()[0].Reserved+5)
	_, err := f.Renew(f.at, Renewal{Process: "a", Incarnation: 2})
	require.NoError(t, err)
	_, err = f.Renew(f.at, Renewal{Process: "a", Incarnation: 3})
	require.NoError(t, err)
	require.NoError(t, f.Leave(f.at, "a", 3, nil))
	_, err = f.Renew(f.at, Renewal{Process: "a", Incarnation: 2})
	require.ErrorIs(t, err, ErrFenced)
	require.Less(t, f.NextDue(), f.at+DivisionInterval+1)
	f.Advance(f.at + DivisionInterval)
	require.Greater(t, f.NextDue(), f.at+DivisionInterval)
}

// TestNewcomer checks that a new process has a share by its third renewal, although the
// others hold the total and have demand for more.
func TestNewcomer(t *testing.T) {
	for _, b := range []Budget{
		{Name: "x", Kind: Rate, Total: 100, Burst: 40}, {Name: "x", Kind: InFlight, Total: 60, SettleTime: time.Second},
		{Name: "x", Kind: Divided, Total: 10, SettleTime: 100 * time.Millisecond},
	} {
		f := newFleet(t, b)
		round := func() {
			for k := range 29 {
				f.renew(fmt.Sprint("old", k), 1000)
			}
			f.at += lease / 3
		}
		for range 4 {
			round()
		}
		require.InDelta(t, b.Total, f.Status()[0].Held, 1e-3, b.Kind)
		var share Share
		for range 3 {
			share = f.renew("new", 1000).Shares[0]
			round()
		}
		require.Greater(t, share.Amount, b.Total/30*0.9-1, b.Kind)
		require.Greater(t, share.Amount, 0.0)
		require.True(t, b.Kind != Rate || share.Burst >= 1)
	}
}

// TestSteady checks that demand that varies by less than a tenth changes no share, and that
// a greater change does.
func TestSteady(t *testing.T) {
	f := newFleet(t, Budget{Name: "x", Kind: Rate, Total: 100, Burst: 40})
	round := func(k int, variation float64) {
		for n := range 10 {
			f.renew(fmt.Sprint(n), 5*(1+variation*math.Sin(float64(7*k+n))))
		}
		f.at += lease / 3
	}
	for k := range 5 {
		round(k, 0)
	}
	number := f.LastGrant
	for k := range 50 {
		round(k, 0.09)
	}
	require.Equal(t, number, f.LastGrant)
	round(1, 0.9)
	round(1, 0.9)
	require.Greater(t, f.LastGrant, number)
	f.renew("0", 80)
	f.renew("1", 80)
	require.True(t, f.Budgets[0].NeedsDivision, "divided at most once in an interval")
}

// TestTurns checks that processes take turns if there are fewer seats than processes with
// demand.
func TestTurns(t *testing.T) {
	for _, b := range []Budget{
		{Name: "x", Kind: Rate, Total: 100, Burst: 3}, {Name: "x", Kind: InFlight, Total: 3, SettleTime: time.Second},
	} {
		f, rounds := newFleet(t, b), map[string]int{}
		for range 180 {
			for n := range 9 {
				if name := fmt.Sprint(n); f.renew(name, 50).Shares[0].Amount > 0 {
					rounds[name]++
				}
			}
			f.at += lease / 3
		}
		for n := range 9 {
			require.InDelta(t, 50, rounds[fmt.Sprint(n)], 18, "%v of %v", b.Kind, rounds)
		}
	}
}

// FuzzDecode checks that decoding any bytes either returns an error or gives a table that
// works without a panic.
func FuzzDecode(f *testing.F) {
	table, _ := fleetOf(3, Rate)
	text, err := table.Encode()
	must(err)
	f.Add(text)
	f.Fuzz(func(_ *testing.T, text []byte) {
		b := NewAllocationTable()
		if b.Decode(text) == nil {
			b.Advance(b.Now + time.Second)
			_, _ = b.Renew(b.Now, Renewal{Process: "n1", Incarnation: 1 << 40})
			b.HolderStatuses("x")
		}
	})
}

// TestRefused checks that invalid commands and states return errors and change nothing.
func TestRefused(t *testing.T) {
	f := newFleet(t, Budget{Name: "x", Kind: Rate, Total: 10, Burst: 4, FloorSlots: 1, Floor: 1})
	f.renew("a", 1)
	before := digest(f.AllocationTable)
	good := Budget{Name: "x", Kind: InFlight, Total: 10, SettleTime: time.Second}
	for i, invalidate := range []func(b *Budget){
		func(b *Budget) { b.Name = "" }, func(b *Budget) { b.Kind = 9 }, func(b *Budget) { b.Total = -1 }, func(b *Budget) { b.Total = math.NaN() },
		func(b *Budget) { b.Total = 1.5 }, func(b *Budget) { b.Floor = 0.5 }, func(b *Budget) { b.FloorSlots, b.Floor = 11, 1 },
		func(b *Budget) { b.SettleTime = 0 }, func(b *Budget) { b.Kind = Rate }, func(b *Budget) { b.Burst = 3 },
		func(b *Budget) { b.Kind, b.Burst, b.FloorSlots, b.Floor = Rate, 2, 2, 1 }, func(b *Budget) { b.Weights = map[string]float64{"a": 0} },
	} {
		b := good
		invalidate(&b)
		require.Error(t, f.Configure(f.at, Config{Lease: lease, Budgets: []Budget{b}}), i)
	}
	require.Error(t, f.Configure(f.at, Config{Lease: 0, Budgets: nil}))
	require.Error(t, f.Configure(f.at, Config{Lease: lease, Budgets: []Budget{good, good}}))
	for _, r := range []Renewal{{Process: "a"}, {Incarnation: 1}, {Process: "a", Incarnation: 1, Usage: map[string]Usage{"x": {Demand: math.Inf(1)}}}} {
		_, err := f.Renew(f.at, r)
		require.Error(t, err)
	}
	require.Error(t, f.Leave(f.at, "a", 1, map[string]Departure{"x": {InFlight: -1}}))
	require.NoError(t, f.Leave(f.at, "nobody", 1, nil))
	text, err := f.Encode()
	require.NoError(t, err)
	newerState := f.storedState
	newerState.Version++
	newer, err := codec.Encode(&newerState)
	require.NoError(t, err)
	require.ErrorContains(t, f.Decode(newer), "version 2, not 1")
	require.Error(t, f.Decode(text[:len(text)-1]))
	require.Equal(t, before, digest(f.AllocationTable))
}
