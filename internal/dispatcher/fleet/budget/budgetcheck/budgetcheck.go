// Package budgetcheck checks whether a budget was exceeded, from a log in real time of what
// all processes together have admitted. It is independent of shares. It is for simulations
// and for tests with real processes.
package budgetcheck

import (
	"fmt"
	"time"
)

// Rate checks that in every interval of length t at most limit times t plus burst jobs are
// admitted. That holds exactly if the level of a bucket that rises by 1 with each admission
// and drains at the limit never exceeds the burst, so that one pass covers all intervals.
type Rate struct {
	limit, burst, level float64
	last                time.Duration
}

// Set changes the limit per second and the burst from the time when the change takes effect.
// Intervals before and after a lowered burst are checked separately.
func (r *Rate) Set(at time.Duration, newLimit, burst float64) {
	r.drain(at)
	if burst < r.burst {
		r.level = 0
	}
	r.limit, r.burst = newLimit, burst
}

func (r *Rate) drain(at time.Duration) {
	r.level = max(0, r.level-r.limit*(at-r.last).Seconds())
	r.last = at
}

// Admit records one admission, at a time no earlier than the last. It returns an error if
// there is an interval, ending now, with too many.
func (r *Rate) Admit(at time.Duration) error {
	r.drain(at)
	if r.level++; r.level > r.burst+1e-6 {
		return fmt.Errorf("at %v: bucket level %.3f at %v a second exceeds burst %v", at, r.level, r.limit, r.burst)
	}
	return nil
}

// InFlight checks that at most Limit jobs are in flight.
type InFlight struct {
	Limit        float64 // in force now
	PeakFraction float64 // the most that was in flight, as a fraction of the limit

	inFlight int
}

// Add records that n jobs have begun, or -n have ended if n is below 0. It returns an error
// if too many are in flight.
func (u *InFlight) Add(at time.Duration, n int) error {
	u.inFlight += n
	u.PeakFraction = max(u.PeakFraction, float64(u.inFlight)/u.Limit)
	if n > 0 && float64(u.inFlight) > u.Limit {
		return fmt.Errorf("at %v: %d jobs in flight, limit %v", at, u.inFlight, u.Limit)
	}
	return nil
}

// Divided checks that what the holders used within any Window sums to at most Limit, where
// each holder counts with the most that it used in the window.
type Divided struct {
	Window       time.Duration
	Limit        float64 // in force now
	PeakFraction float64 // the most that was used, as a fraction of the limit

	recent []usage
}

type usage struct {
	holder uint64
	amount float64
	at     time.Duration
}

// Use records that a holder uses an amount, at a time no earlier than the last. It returns an
// error if the holders use too much within the window that ends now.
func (p *Divided) Use(at time.Duration, holder uint64, amount float64) error {
	p.recent = append(p.recent, usage{holder, amount, at})
	for p.recent[0].at <= at-p.Window {
		p.recent = p.recent[1:]
	}
	most, sum := map[uint64]float64{}, 0.0
	for _, u := range p.recent {
		if more := u.amount - most[u.holder]; more > 0 {
			most[u.holder] += more
			sum += more
		}
	}
	p.PeakFraction = max(p.PeakFraction, sum/p.Limit)
	if sum > p.Limit+1e-4 {
		return fmt.Errorf("at %v: %.3f used within a window, limit %v", at, sum, p.Limit)
	}
	return nil
}
