package lab

import (
	"math/rand/v2"
	"sort"
	"time"

	"basaltloft/internal/dispatcher/settings"
	"basaltloft/internal/shared/saturating"
)

// Arrivals describes how the logical requests of a class arrive over a run. The zero value
// is a Poisson process at the class's rate.
type Arrivals struct {
	Kind      string             // poisson, ramp, bursts, trace
	From, To  float64            // ramp: factors on the rate at the start and at the end
	On, Off   time.Duration      // bursts: alternating spans with factor High and factor Low
	High, Low float64            // bursts: factors on the rate during On and Off
	Trace     []settings.Arrival // trace: sorted by time
}

// arrivalsOf converts the arrivals of an experiment file. FromFile multiplies the classes'
// rates by load; arrivalsOf divides the times of a trace by it.
func arrivalsOf(f settings.Arrivals, load float64) Arrivals {
	a := Arrivals{Kind: f.Kind, From: f.From, To: f.To, On: f.On, Off: f.Off, High: f.High, Low: f.Low}
	for _, t := range f.Trace {
		a.Trace = append(a.Trace, settings.Arrival{At: saturating.Duration(float64(t.At) / load), Work: t.Work})
	}
	return a
}

// factor returns the factor on the rate at a time within a run of the given length.
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

// maxFactor returns the largest factor of a run.
func (a *Arrivals) maxFactor() float64 {
	switch a.Kind {
	case "ramp":
		return max(a.From, a.To)
	case "bursts":
		return max(a.High, a.Low)
	}
	return 1
}

// next emits the next arrival after the time at of a run, as a span from at. The last
// arrival that it emits may be after the end of the run. It draws a Poisson process at the
// largest rate and thins it to the rate of each moment (Lewis and Shedler, 1979). For a trace
// it emits all arrivals from at on, with their work. Work of 0 means that the caller draws
// the work.
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
		t += saturating.Duration(random.ExpFloat64() / (rate * most) * float64(time.Second))
		if f := a.factor(t, length); f >= most || random.Float64()*most < f {
			emit(t-at, 0)
			return
		}
	}
}
