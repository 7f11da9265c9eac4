package budget

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTokenBucket measures Take, and Begin with End, by one thread and, with -cpu 8, by
// eight, of a share that is large enough and of one that mostly rejects. "take and clock"
// also reads the clock each time.
func BenchmarkTokenBucket(b *testing.B) {
	for _, rate := range []float64{1e8, 1e4} {
		a, start := NewAllowance(), time.Now()
		a.SetIncarnation("n1", 1)
		a.Apply(0, 0, Grant{Process: "n1", Incarnation: 1, Number: 1, Lease: time.Hour, Shares: []Share{
			{Name: "r", Kind: Rate, Amount: rate, Burst: rate}, {Name: "u", Kind: InFlight, Amount: rate, SettleTime: time.Hour},
		}})
		r, u := a.Bucket("r"), a.Bucket("u")
		for name, do := range map[string]func(now time.Duration){
			"take":           func(now time.Duration) { r.Take(now) },
			"take and clock": func(time.Duration) { r.Take(time.Since(start)) },
			"begin and end": func(now time.Duration) {
				if u.Begin(now, now+time.Second) {
					u.End()
				}
			},
		} {
			b.Run(fmt.Sprintf("%s/%.0g a second", name, rate), func(b *testing.B) {
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					for now := time.Millisecond; pb.Next(); now += 20 {
						do(now)
					}
				})
			})
		}
	}
}

// fleetOf returns a table with n holders of one budget that have renewed and acknowledged,
// and their last renewals.
func fleetOf(n int, kind Kind) (*AllocationTable, []Renewal) {
	table, at := NewAllocationTable(), time.Duration(0)
	budget := Budget{Name: "x", Kind: kind, Total: float64(10 * n), SettleTime: time.Second}
	if kind == Rate {
		budget.Burst = float64(2 * n)
	}
	must(table.Configure(at, Config{Lease: lease, Budgets: []Budget{budget}}))
	renewals := make([]Renewal, n)
	for ; at < 6*DivisionInterval; at += DivisionInterval {
		for i := range renewals {
			r := &renewals[i]
			r.Process, r.Incarnation, r.Usage = fmt.Sprintf("n%04d", i), 1, map[string]Usage{"x": {Demand: float64(1 + i%25)}}
			g, err := table.Renew(at, *r)
			must(err)
			r.AppliedGrant = g.Number
		}
	}
	return table, renewals
}

// BenchmarkAllocationTable measures an Advance that divides the budget, one that has nothing
// to do, and a renewal.
func BenchmarkAllocationTable(b *testing.B) {
	for _, n := range []int{300, 3000} {
		for _, kind := range []Kind{Rate, InFlight} {
			table, renewals := fleetOf(n, kind)
			run := func(name string, op func(i int)) {
				b.Run(fmt.Sprintf("%s/%v/%d", name, kind, n), func(b *testing.B) {
					b.ReportAllocs()
					for i := 0; b.Loop(); i++ {
						op(i)
					}
				})
			}
			run("divide", func(int) {
				table.Budgets[0].NeedsDivision, table.Budgets[0].DividedAt = true, -DivisionInterval
				table.Advance(table.Now)
			})
			run("nothing", func(int) { table.Advance(table.Now) })
			run("renew", func(i int) {
				_, err := table.Renew(table.Now+lease/time.Duration(3*n), renewals[i%n])
				must(err)
			})
		}
	}
}
