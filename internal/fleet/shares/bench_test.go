package shares

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// granted is a purse with a share of each kind that lasts.
func granted(rate float64) *Purse {
	p := NewPurse()
	p.Become("n1", 1)
	p.Apply(0, 0, Grant{Process: "n1", Incarnation: 1, Number: 1, Lease: time.Hour, Shares: []Share{
		{Name: "r", Kind: Rate, Amount: rate, Burst: rate},
		{Name: "u", Kind: UnderWay, Amount: rate, Linger: time.Hour},
	}})
	return p
}

// BenchmarkTake takes by one thread and, with -cpu 8, by eight, of a share that is
// enough and of one that mostly turns away; clock reads the time each time.
func BenchmarkTake(b *testing.B) {
	for name, rate := range map[string]float64{"enough": 1e9, "scarce": 1e4} {
		for _, clock := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/clock=%v", name, clock), func(b *testing.B) {
				tap, begin := granted(rate).Tap("r"), time.Now()
				var at atomic.Int64
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					now := time.Duration(at.Add(int64(time.Millisecond)))
					for pb.Next() {
						if now += 20; clock {
							now = time.Since(begin)
						}
						tap.Take(now)
					}
				})
			})
		}
	}
}

func BenchmarkBeginEnd(b *testing.B) {
	tap := granted(1e9).Tap("u")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if tap.Begin(time.Millisecond, time.Second) {
				tap.End()
			}
		}
	})
}

// fleetOf is a book with n holders of one budget that have renewed and acknowledged.
func fleetOf(n int, kind Kind) (*Book, []Renewal) {
	b, at := NewBook(), time.Duration(0)
	budget := Budget{Name: "x", Kind: kind, Whole: float64(10 * n), Linger: time.Second}
	if kind == Rate {
		budget.Burst = float64(2 * n)
	}
	must(b.Configure(at, Config{Lease: 3 * time.Second, Budgets: []Budget{budget}}))
	renewals := make([]Renewal, n)
	for range 6 {
		for i := range renewals {
			r := &renewals[i]
			r.Process, r.Incarnation, r.Uses = fmt.Sprintf("n%04d", i), 1, map[string]Use{"x": {Demand: float64(1 + i%25)}}
			g, err := b.Renew(at, *r)
			must(err)
			r.Bound = g.Number
		}
		at += Interval
	}
	return b, renewals
}

// BenchmarkAdvance: an Advance that divides anew, one that has nothing to do, and a renewal.
func BenchmarkAdvance(b *testing.B) {
	for _, n := range []int{300, 3000} {
		for _, kind := range []Kind{Rate, UnderWay} {
			b.Run(fmt.Sprintf("divide/%v/%d", kind, n), func(b *testing.B) {
				book, _ := fleetOf(n, kind)
				b.ReportAllocs()
				for b.Loop() {
					book.Budgets[0].Dirty, book.Budgets[0].Divided = true, -Interval
					book.Advance(book.At)
				}
			})
		}
		b.Run(fmt.Sprintf("nothing/%d", n), func(b *testing.B) {
			book, _ := fleetOf(n, Rate)
			book.Advance(book.At + Interval)
			b.ReportAllocs()
			for b.Loop() {
				book.Advance(book.At)
			}
		})
		b.Run(fmt.Sprintf("renew/%d", n), func(b *testing.B) {
			book, renewals := fleetOf(n, Rate)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := &renewals[i%n]
				g, err := book.Renew(book.At+3*time.Second/time.Duration(3*n), *r)
				must(err)
				r.Bound = g.Number
			}
		})
	}
}
