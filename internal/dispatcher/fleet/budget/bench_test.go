package budget

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTokenBucket takes, or begins and ends, by one thread and, with -cpu 8, by eight, of a share
// that is enough and of one that mostly turns away; clock reads the time each time.
func BenchmarkTokenBucket(b *testing.B) {
	for _, rate := range []float64{1e8, 1e4} {
		p, begin := NewAllowance(), time.Now()
		p.SetIncarnation("n1", 1)
		p.Apply(0, 0, Grant{Process: "n1", Incarnation: 1, Number: 1, Lease: time.Hour, Shares: []Share{
			{Name: "r", Kind: Rate, Amount: rate, Burst: rate}, {Name: "u", Kind: InFlight, Amount: rate, SettleTime: time.Hour},
		}})
		r, u := p.Bucket("r"), p.Bucket("u")
		for name, do := range map[string]func(now time.Duration){
			"take":           func(now time.Duration) { r.Take(now) },
			"take and clock": func(time.Duration) { r.Take(time.Since(begin)) },
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

// fleetOf is a book with n holders of one budget that have renewed and acknowledged.
func fleetOf(n int, kind Kind) (*AllocationTable, []Renewal) {
	b, at := NewAllocationTable(), time.Duration(0)
	budget := Budget{Name: "x", Kind: kind, Total: float64(10 * n), SettleTime: time.Second}
	if kind == Rate {
		budget.Burst = float64(2 * n)
	}
	must(b.Configure(at, Config{Lease: lease, Budgets: []Budget{budget}}))
	renewals := make([]Renewal, n)
	for ; at < 6*DivisionInterval; at += DivisionInterval {
		for i := range renewals {
			r := &renewals[i]
			r.Process, r.Incarnation, r.Usage = fmt.Sprintf("n%04d", i), 1, map[string]Usage{"x": {Demand: float64(1 + i%25)}}
			g, err := b.Renew(at, *r)
			must(err)
			r.AppliedGrant = g.Number
		}
	}
	return b, renewals
}

// BenchmarkAllocationTable: an Advance that divides anew, one that has nothing to do, and a renewal.
func BenchmarkAllocationTable(b *testing.B) {
	for _, n := range []int{300, 3000} {
		for _, kind := range []Kind{Rate, InFlight} {
			book, renewals := fleetOf(n, kind)
			run := func(what string, do func(i int)) {
				b.Run(fmt.Sprintf("%s/%v/%d", what, kind, n), func(b *testing.B) {
					b.ReportAllocs()
					for i := 0; b.Loop(); i++ {
						do(i)
					}
				})
			}
			run("divide", func(int) {
				book.Budgets[0].NeedsDivision, book.Budgets[0].DividedAt = true, -DivisionInterval
				book.Advance(book.Now)
			})
			run("nothing", func(int) { book.Advance(book.Now) })
			run("renew", func(i int) {
				_, err := book.Renew(book.Now+lease/time.Duration(3*n), renewals[i%n])
				must(err)
			})
		}
	}
}
