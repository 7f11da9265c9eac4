package lab

import (
	"math/rand/v2"
	"sort"
	"time"

	"basaltloft/internal/dispatcher/settings"
)

// Arrivals are how the logical requests of a class arrive over a run. The zero value is a
// Poisson process at the class's rate.
type Arrivals struct {
	Kind      string             // poisson, ramp, bursts, trace
	From, To  float64            // ramp: factors on the rate at begin and end
	On, Off   time.Duration      // bursts: spans that alternate
	High, Low float64            // bursts: factors on the rate in these spans
	Trace     []settings.Arrival // trace: in the order of their times
}

// arrivalsOf converts the arrivals of a file. A load multiplies rates elsewhere; a trace
// it makes as many times faster.
func arrivalsOf(f settings.Arrivals, load float64) Arrivals {
	a := Arrivals{Kind: f.Kind, From: f.From, To: f.To, On: f.On, Off: f.Off, High: f.High, Low: f.Low}
	for _, t := range f.Trace {
		a.Trace = append(a.Trace, settings.Arrival{At: time.Duration(float64(t.At) / load), Work: t.Work})
	}
	return a
}

// factor is the factor on the rate at a time of a run of some length.
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

// maxFactor is the largest factor of a run.
func (a *Arrivals) maxFactor() float64 {
	switch a.Kind {
	case "ramp":
		return max(a.From, a.To)
	case "bursts":
		return max(a.High, a.Low)
	}
	return 1
}

// next emits the next arrival after a time of the run, if there is one before its end, as
// a span from that time: a Poisson process at the largest rate, thinned to the rate of each
// moment (Lewis and Shedler, 1979). Of a trace it emits all at once, with their work; work
// of 0 is to be drawn.
func (a *Arrivals) next(random *rand.Rand, rate float64, at, length time.Duration, emit func(after, work time.Duration)) {
	if a.Kind == "trace" {
		from := sort.Search(len(a.Trace), func(i int) bool { return a.Trace[i].At >= at })
		for _, t := range a.Trace[from:] {
			emit(t.At-at, t.Work)
		}
		return
	}
	most := a.maxFactor()
	for t := at; t < length; {
		t += time.Duration(random.ExpFloat64() / (rate * most) * float64(time.Second))
		if f := a.factor(t, length); f >= most || random.Float64()*most < f {
			emit(t-at, 0)
			return
		}
	}
}
