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

// plain is what a process may be using, kept plainly: every grant that it was ever sent.
type plain struct {
	ends   time.Duration
	bound  uint64
	grants []Grant
	under  float64 // said with the last acknowledgement
}

func (m *plain) most(i int, of func(Share) float64) (x float64) {
	for _, g := range m.grants {
		if g.Number >= m.bound {
			x = max(x, of(g.Shares[i]))
		}
	}
	return x
}

func amount(s Share) float64 { return s.Amount }

// held is what it may be using of budget i at a time.
func (m *plain) held(b Budget, i int, at time.Duration) float64 {
	all, floor := m.most(i, amount), m.most(i, func(s Share) float64 { return s.Floor })
	if b.Kind == InFlight {
		all = max(all, m.under)
	}
	switch ends := m.ends + quarantineSpan(b.SettleTime); {
	case at < ends:
		return all
	case at < ends+b.FloorDuration:
		return floor
	}
	return 0
}

// TestTableAgainstPlainModel: whatever renewals come, in whatever order, all that may
// be in use, counted plainly, is no more than the whole; and a copy by encoding
// goes on alike.
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
			name string
			inc  uint64
		}
		all, newest := map[key]*plain{}, map[string]uint64{}
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		draw := func() (key, *plain) {
			name := names.Draw(t, "process")
			inc := max(newest[name], 1)
			if inc > 1 && rapid.IntRange(0, 4).Draw(t, "older") == 0 {
				inc--
			}
			return key{name, inc}, all[key{name, inc}]
		}
		t.Repeat(map[string]func(*rapid.T){
			"restart": func(t *rapid.T) { newest[names.Draw(t, "process")]++ },
			"pass": func(t *rapid.T) {
				at += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
				b.Advance(at)
			},
			"renew": func(t *rapid.T) {
				k, m := draw()
				r := Renewal{Process: k.name, Incarnation: k.inc, Usage: map[string]Usage{}}
				next := plain{}
				if m != nil {
					next = *m
					if n := len(m.grants); n > 0 && rapid.IntRange(0, 5).Draw(t, "says") > 0 {
						r.AppliedGrant = m.grants[rapid.IntRange(max(0, n-2), n-1).Draw(t, "bound")].Number
					}
				}
				for i, budget := range budgets {
					u := Usage{Demand: float64(rapid.IntRange(0, 40).Draw(t, "demand"))}
					if budget.Kind == InFlight && m != nil {
						u.InFlight = float64(rapid.IntRange(0, int(max(m.most(i, amount), m.under))).Draw(t, "under"))
					}
					r.Usage[budget.Name] = u
				}
				if r.AppliedGrant > next.bound && r.AppliedGrant == next.grants[len(next.grants)-1].Number {
					next.bound, next.under = r.AppliedGrant, r.Usage["u"].InFlight
				}
				g, err := b.Renew(at, r)
				if err != nil {
					require.ErrorIs(t, err, ErrFenced)
					require.Greater(t, newest[k.name], uint64(1))
					return
				}
				if m != nil && at >= m.ends { // it is a new holder, that waits beside the old one's rest
					all[key{k.name + " before " + fmt.Sprint(at), k.inc}] = m
					next = plain{}
				}
				next.ends, next.grants = at+time.Second, append(next.grants, g)
				all[k] = &next
				newest[k.name] = max(newest[k.name], k.inc)
			},
			"leave": func(t *rapid.T) {
				if k, m := draw(); m != nil && at < m.ends {
					require.NoError(t, b.Leave(at, k.name, k.inc, map[string]Departure{"u": {}}))
					delete(all, k)
					parts := []Share{{Amount: m.held(budgets[0], 0, at)}, {}, {}}
					all[key{k.name + " left " + fmt.Sprint(at), k.inc}] = &plain{ends: at, grants: []Grant{{Shares: parts}}}
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
				again := NewAllocationTable()
				require.NoError(t, again.Decode(text))
				require.Equal(t, b.Status(), again.Status(), "sums drifted")
				b = again
			},
		})
	})
}

// TestDivide: every way keeps to the total; max-min leaves nobody short beside one
// that has more by weight, and uses the total up.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asks, demand := make([]Claim, rapid.IntRange(1, 20).Draw(t, "holders")), 0.0
		for i := range asks {
			asks[i] = Claim{float64(rapid.IntRange(0, 30).Draw(t, "demand")), float64(rapid.IntRange(1, 3).Draw(t, "weight"))}
			demand += asks[i].Demand
		}
		total, out := float64(rapid.IntRange(0, 300).Draw(t, "total")), make([]float64, len(asks))
		for _, way := range []DivisionPolicy{Equal, Proportional, Loan, MaxMin} { // MaxMin last: its out is looked at
			way(total, asks, out)
			sum := 0.0
			for _, x := range out {
				require.GreaterOrEqual(t, x, 0.0)
				sum += x
			}
			require.InDelta(t, total, sum, 1e-6)
		}
		for i, a := range asks {
			if total >= demand {
				require.GreaterOrEqual(t, out[i], a.Demand-1e-9)
				continue
			}
			require.LessOrEqual(t, out[i], a.Demand+1e-9)
			for k, other := range asks {
				if out[i] < a.Demand-1e-9 { // short: nobody has more by weight
					require.LessOrEqual(t, out[k]/other.Weight, out[i]/a.Weight+1e-9)
				}
			}
		}
	})
}

// fleet renews for many, in rounds of a third of a lease.
type fleet struct {
	*AllocationTable
	at    time.Duration
	bound map[string]uint64
}

const lease = 3 * time.Second

func newFleet(t *testing.T, budgets ...Budget) *fleet {
	f := &fleet{AllocationTable: NewAllocationTable(), bound: map[string]uint64{}}
	require.NoError(t, f.Configure(0, Config{Lease: lease, Budgets: budgets}))
	return f
}

// ask renews one that wants so much, has so many under way, and acknowledges what it had.
func (f *fleet) ask(name string, demand float64, under ...float64) Grant {
	u := Usage{Demand: demand}
	if n := len(under); n > 0 {
		u.InFlight = under[n-1]
	}
	g, err := f.Renew(f.at, Renewal{Process: name, Incarnation: 1, AppliedGrant: f.bound[name], Usage: map[string]Usage{"x": u}})
	must(err)
	f.bound[name] = g.Number
	return g
}

// TestInFlightCounts: what is under way above the amount is nobody else's, whoever
// says otherwise, and backs nothing twice.
func TestInFlightCounts(t *testing.T) { //nolint:funlen // one scenario, to be read from top to bottom
	x := Budget{Name: "x", Kind: InFlight, Total: 10, SettleTime: time.Second}
	got := func(g Grant) float64 { return g.Shares[0].Amount }
	f := newFleet(t, x)
	require.EqualValues(t, 10, got(f.ask("a", 10)))
	old := f.bound["a"]
	f.ask("b", 10)
	f.at += DivisionInterval
	f.ask("b", 10)
	require.EqualValues(t, 5, got(f.ask("a", 10, 9)))
	f.ask("a", 10, 9) // it has acknowledged 5 with 9 under way
	now := f.bound["a"]
	f.bound["a"] = old
	f.ask("a", 10, 0) // an older renewal comes late
	f.bound["a"] = now
	require.EqualValues(t, 1, got(f.ask("b", 10)))
	f.ask("a", 10, 6)
	f.ask("b", 10)
	require.EqualValues(t, 4, got(f.ask("b", 10)))

	// It comes back after its lease with jobs that rest already.
	f = newFleet(t, x)
	f.ask("a", 10)
	f.at = lease + 600*time.Millisecond
	require.Zero(t, got(f.ask("b", 10)))
	require.Zero(t, got(f.ask("a", 10, 10)))
	f.at += lease / 3
	require.Zero(t, got(f.ask("b", 10)), "a has not said again how many there are")
	f.ask("a", 10, 2)
	f.ask("b", 10)
	require.EqualValues(t, 5, got(f.ask("b", 10)))

	// A late renewal of such a one says what is long over, while another holds all.
	f = newFleet(t, x)
	f.ask("b", 10)
	f.ask("a", 10, 10)
	f.at += DivisionInterval
	require.Zero(t, got(f.ask("a", 10, 10)))
	f.ask("b", 10)
	f.ask("b", 10)
	f.ask("a", 10, 2)
	require.EqualValues(t, 5, got(f.ask("a", 10)))

	// It leaves with some under way.
	require.NoError(t, f.Leave(f.at, "a", 1, map[string]Departure{"x": {InFlight: 7, MaxRemaining: 900 * time.Millisecond}}))
	f.at += DivisionInterval
	require.EqualValues(t, 3, got(f.ask("b", 10)))
	f.at += time.Second
	f.ask("b", 10)
	f.at += DivisionInterval
	require.EqualValues(t, 10, got(f.ask("b", 10)))

	// The budget is new; nobody knows what is under way.
	f = newFleet(t)
	f.ask("a", 0)
	f.ask("a", 0)
	require.NoError(t, f.Configure(f.at, Config{Lease: lease, Budgets: []Budget{x}}))
	for range 3 {
		require.Zero(t, got(f.ask("b", 10)))
		f.at += DivisionInterval
	}
	f.ask("a", 0, 7)
	f.ask("a", 0, 7)
	require.EqualValues(t, 3, got(f.ask("b", 10)))
}

// TestFloorReserved: others hold all, and a newcomer has its floor with its first
// renewal; a fenced incarnation stays fenced.
func TestFloorReserved(t *testing.T) {
	f := newFleet(t, Budget{Name: "x", Kind: Rate, Total: 100, Burst: 10, FloorSlots: 2, Floor: 5, FloorDuration: lease})
	for range 4 {
		f.ask("a", 1000)
		f.at += DivisionInterval
	}
	require.Equal(t, HolderStatus{Process: "a", Incarnation: 1, Ends: f.at - DivisionInterval + lease, Acknowledged: true, Held: 95, Offered: 95, Due: 95, Floor: true, Demand: 1000},
		f.HolderStatuses("x")[0])
	s := f.ask("b", 1).Shares[0]
	require.Equal(t, []float64{5, 5, 1}, []float64{s.Amount, s.Floor, s.Burst})
	require.Zero(t, f.ask("c", 1).Shares[0].Floor)

	f.at += 2*lease - DivisionInterval // b's lease is over, its floor is not
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

// TestNewcomer: others hold all and want all; a newcomer has a share by its third renewal.
func TestNewcomer(t *testing.T) {
	for _, b := range []Budget{
		{Name: "x", Kind: Rate, Total: 100, Burst: 40}, {Name: "x", Kind: InFlight, Total: 60, SettleTime: time.Second},
		{Name: "x", Kind: Divided, Total: 10, SettleTime: 100 * time.Millisecond},
	} {
		f := newFleet(t, b)
		round := func() {
			for k := range 29 {
				f.ask(fmt.Sprint("old", k), 1000)
			}
			f.at += lease / 3
		}
		for range 4 {
			round()
		}
		require.InDelta(t, b.Total, f.Status()[0].Held, 1e-3, b.Kind)
		var got Share
		for range 3 {
			got = f.ask("new", 1000).Shares[0]
			round()
		}
		require.Greater(t, got.Amount, b.Total/30*0.9-1, b.Kind)
		require.Greater(t, got.Amount, 0.0)
		require.True(t, b.Kind != Rate || got.Burst >= 1)
	}
}

// TestSteady: demand that wavers by less than a tenth changes no share, and one
// that changes by more does.
func TestSteady(t *testing.T) {
	f := newFleet(t, Budget{Name: "x", Kind: Rate, Total: 100, Burst: 40})
	round := func(k int, waver float64) {
		for n := range 10 {
			f.ask(fmt.Sprint(n), 5*(1+waver*math.Sin(float64(7*k+n))))
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
	f.ask("0", 80)
	f.ask("1", 80)
	require.True(t, f.Budgets[0].NeedsDivision, "divided once an interval")
}

// TestTurns: with fewer seats than want one, each has one in turn.
func TestTurns(t *testing.T) {
	for _, b := range []Budget{
		{Name: "x", Kind: Rate, Total: 100, Burst: 3}, {Name: "x", Kind: InFlight, Total: 3, SettleTime: time.Second},
	} {
		f, had := newFleet(t, b), map[string]int{}
		for range 180 {
			for n := range 9 {
				if name := fmt.Sprint(n); f.ask(name, 50).Shares[0].Amount > 0 {
					had[name]++
				}
			}
			f.at += lease / 3
		}
		for n := range 9 {
			require.InDelta(t, 50, had[fmt.Sprint(n)], 18, "%v of %v", b.Kind, had)
		}
	}
}

// FuzzDecode: whatever bytes a snapshot holds, it is an error or goes on without a panic.
func FuzzDecode(f *testing.F) {
	book, _ := fleetOf(3, Rate)
	text, err := book.Encode()
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

// TestRefused: bad commands and states are errors that change nothing.
func TestRefused(t *testing.T) {
	f := newFleet(t, Budget{Name: "x", Kind: Rate, Total: 10, Burst: 4, FloorSlots: 1, Floor: 1})
	f.ask("a", 1)
	before := digest(f.AllocationTable)
	good := Budget{Name: "x", Kind: InFlight, Total: 10, SettleTime: time.Second}
	for i, wrong := range []func(b *Budget){
		func(b *Budget) { b.Name = "" }, func(b *Budget) { b.Kind = 9 }, func(b *Budget) { b.Total = -1 }, func(b *Budget) { b.Total = math.NaN() },
		func(b *Budget) { b.Total = 1.5 }, func(b *Budget) { b.Floor = 0.5 }, func(b *Budget) { b.FloorSlots, b.Floor = 11, 1 },
		func(b *Budget) { b.SettleTime = 0 }, func(b *Budget) { b.Kind = Rate }, func(b *Budget) { b.Burst = 3 },
		func(b *Budget) { b.Kind, b.Burst, b.FloorSlots, b.Floor = Rate, 2, 2, 1 }, func(b *Budget) { b.Weights = map[string]float64{"a": 0} },
	} {
		b := good
		wrong(&b)
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
	later := f.storedState
	later.Version++
	newer, err := codec.Encode(&later)
	require.NoError(t, err)
	require.ErrorContains(t, f.Decode(newer), "version 2, not 1")
	require.Error(t, f.Decode(text[:len(text)-1]))
	require.Equal(t, before, digest(f.AllocationTable))
}
