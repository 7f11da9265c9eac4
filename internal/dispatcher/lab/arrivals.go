package lab

import (
	"math/rand/v2"
	"sort"
	"time"

	"basaltloft/internal/dispatcher/settings"
)

// Arrivals say how the asks of a class come over a run. The zero value is a
// Poisson stream at the class's rate.
type Arrivals struct {
	Kind      string // poisson, ramp, bursts, trace
	From, To  float64
	On, Off   time.Duration
	High, Low float64
	Trace     []settings.Arrival // in the order of their times
}

// arrivals makes a run's arrivals of a file's. A load multiplies rates elsewhere;
// it lets a trace come so many times faster.
func arrivals(f settings.Arrivals, load float64) Arrivals {
	a := Arrivals{Kind: f.Kind, From: f.From, To: f.To, On: f.On, Off: f.Off, High: f.High, Low: f.Low}
	for _, t := range f.Trace {
		a.Trace = append(a.Trace, settings.Arrival{At: time.Duration(float64(t.At) / load), Work: t.Work})
	}
	return a
}

// factor is the multiple of the rate at a time of a run of some length.
func (a *Arrivals) factor(at, length time.Duration) float64 {
	switch a.Kind {
	case "ramp":
		return a.From + (a.To-a.From)*float64(at)/float64(length)
	case "bursts":
		if at%(a.On+a.Off) < a.On {
			return a.High
		}
		return a.Low
	}
	return 1
}

// most is the largest factor.
func (a *Arrivals) most() float64 {
	switch a.Kind {
	case "ramp":
		return max(a.From, a.To)
	case "bursts":
		return max(a.High, a.Low)
	}
	return 1
}

// next tells when the next ask comes, after a time of the run, if one comes before
// its end: a Poisson stream at the largest rate, thinned to the rate of each moment
// (Lewis and Shedler, 1979). Of a trace it tells all at once.
func (a *Arrivals) next(random *rand.Rand, rate float64, at, length time.Duration, tell func(after, work time.Duration)) {
	if a.Kind == "trace" {
		from := sort.Search(len(a.Trace), func(i int) bool { return a.Trace[i].At >= at })
		for _, t := range a.Trace[from:] {
			tell(t.At-at, t.Work)
		}
		return
	}
	most := a.most()
	for t := at; t < length; {
		t += time.Duration(random.ExpFloat64() / (rate * most) * float64(time.Second))
		if f := a.factor(t, length); f >= most || random.Float64()*most < f {
			tell(t-at, 0)
			return
		}
	}
}
