// Package loadgen sends an open-loop load to a dispatcher and records the results. The time
// at which each request is due is planned beforehand and does not depend on answers: the
// requests that are due while a server stalls are sent all the same, and their waiting time
// counts as latency, which corrects for coordinated omission. plan.go and record.go do no I/O.
package loadgen

import (
	"errors"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"basaltloft/internal/shared/saturating"
)

// Plan defines when requests are due.
type Plan struct {
	StartRate, EndRate float64 // requests a second at the start and at the end
	Length             time.Duration
	EvenlySpaced       bool // at even intervals; else as a Poisson process
	Seed               uint64
	Trace              []time.Duration // replaces all these: when each request is due, from the start
}

// Validate returns an error that says what is wrong with a plan, or nil.
func (p *Plan) Validate() error {
	switch {
	case p.Trace != nil:
		if !slices.IsSorted(p.Trace) || len(p.Trace) == 0 || p.Trace[0] < 0 {
			return errors.New("a trace must have times, in their order and none below 0")
		}
	case p.StartRate < 0 || p.EndRate < 0 || p.StartRate+p.EndRate <= 0 || math.IsInf(p.StartRate+p.EndRate, 0) || math.IsNaN(p.StartRate+p.EndRate):
		return errors.New("rates must not be below 0, and not both be 0")
	case p.Length <= 0:
		return errors.New("the length must be more than nothing")
	}
	return nil
}

// ExpectedRequests returns how many requests are due, on average for a Poisson process.
func (p *Plan) ExpectedRequests() int {
	if p.Trace != nil {
		return len(p.Trace)
	}
	return saturating.Int((p.StartRate + p.EndRate) / 2 * p.Length.Seconds())
}

// DueTimes returns the times at which requests are due, from the start: the points at which the
// integral of the rate passes whole numbers, or the sums of exponential draws for a Poisson
// process. The rate of a ramp changes continuously, not in steps.
func (p *Plan) DueTimes() iter.Seq[time.Duration] {
	if p.Trace != nil {
		return slices.Values(p.Trace)
	}
	random := rand.New(rand.NewPCG(p.Seed, 17))
	return func(yield func(time.Duration) bool) {
		for requests := 0.0; ; {
			if p.EvenlySpaced {
				requests++
			} else {
				requests += random.ExpFloat64()
			}
			at, ok := p.dueTime(requests)
			if !ok || !yield(at) {
				return
			}
		}
	}
}

// dueTime returns the time until which a number of requests is due, and whether that is before
// the end: with the rate a + (b-a)t/T, the number of requests until t is at + (b-a)t²/2T.
func (p *Plan) dueTime(requests float64) (time.Duration, bool) {
	length := p.Length.Seconds()
	slope := (p.EndRate - p.StartRate) / length
	var t float64
	if math.Abs(slope) < 1e-12 {
		t = requests / p.StartRate
	} else {
		root := p.StartRate*p.StartRate + 2*slope*requests
		if root < 0 { // a falling ramp never reaches this number
			return 0, false
		}
		t = (math.Sqrt(root) - p.StartRate) / slope
	}
	return saturating.Duration(t * float64(time.Second)), t <= length
}
