package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run came to. Requests, InTime, Late, Refused and Failed count logical
// requests.
type Result struct {
	Requests, InTime, Late, Refused, Failed int
	ClientAttempts, Attempts                int                     // attempts of clients, and of dispatchers
	RequestedWork, TimelyWork               float64                 // nanoseconds at speed 1, by all slots: submitted, and done in time
	Latency                                 *hdrhistogram.Histogram // of served logical requests, in microseconds
	Wait                                    *hdrhistogram.Histogram // from a send until it begins to run, in microseconds
	Events                                  int
	Violations                              []string // of rules, found by the checker
	Utilization                             float64  // share of the cores' time in use
	Seconds                                 []Second
	Classes                                 []ClassResult
	Members                                 [][]float64 // by second, the share of each member's cores in use; see Experiment.SampleMembers
}

// ClassResult is what became of the logical requests of one class while the run went on.
type ClassResult struct {
	Name   string
	Served int
	Took   time.Duration // in sum, from the first attempt to the answer
}

// Second counts the logical requests of one second of a run.
type Second struct{ Asked, InTime int }

// Goodput is the share of the requested work that was done in time.
func (r *Result) Goodput() float64 { return r.TimelyWork / max(r.RequestedWork, 1e-9) }

// secondAt is the count of the running second.
func (w *World) secondAt(begin time.Duration) *Second {
	n := int((w.now - begin) / time.Second)
	for len(w.Result.Seconds) <= n {
		w.Result.Seconds = append(w.Result.Seconds, Second{})
	}
	return &w.Result.Seconds[n]
}

// recordServed records the latency of a served logical request.
func (w *World) recordServed(r *request) {
	_ = w.Result.Latency.RecordValue(int64((w.now - r.firstSubmitted) / time.Microsecond)) // longer ones can't be: deadlines are shorter
	if w.now > startTime+w.experiment.Length {
		return // what is served after the run is none of its throughput
	}
	for i := range w.Result.Classes {
		if c := &w.Result.Classes[i]; c.Name == r.class.Name {
			c.Served++
			c.Took += w.now - r.firstSubmitted
		}
	}
}
