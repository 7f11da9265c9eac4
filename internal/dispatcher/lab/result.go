package lab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of a run. Requests, InTime, Late, Refused and Failed count logical
// requests.
type Result struct {
	Requests, InTime, Late, Refused, Failed int
	ClientAttempts, Attempts                int                     // attempts of clients and of dispatchers
	RequestedWork, TimelyWork               float64                 // nanoseconds at speed 1, times the slots: submitted, and done in time
	Latency                                 *hdrhistogram.Histogram // of served logical requests, in microseconds
	Wait                                    *hdrhistogram.Histogram // from the send of an attempt until it starts to run, in microseconds
	Events                                  int
	Violations                              []string // of rules, found by the checker
	Utilization                             float64  // share of the cores' time in use
	Seconds                                 []Second
	Classes                                 []ClassResult
	Members                                 [][]float64 // by second, the share of each member's cores in use; see Experiment.SampleMembers
}

// ClassResult counts the logical requests of one class that were served within the length of
// the run.
type ClassResult struct {
	Name   string
	Served int
	Took   time.Duration // sum of the times from the client's first attempt to the answer
}

// Second counts the logical requests of one second of a run.
type Second struct{ Asked, InTime int }

// Goodput returns the share of the requested work that was done in time.
func (r *Result) Goodput() float64 { return r.TimelyWork / max(r.RequestedWork, 1e-9) }

// secondAt returns the counts of the current second, counted from begin.
func (w *World) secondAt(begin time.Duration) *Second {
	n := int((w.now - begin) / time.Second)
	for len(w.Result.Seconds) <= n {
		w.Result.Seconds = append(w.Result.Seconds, Second{})
	}
	return &w.Result.Seconds[n]
}

// recordServed records the latency of a served logical request.
func (w *World) recordServed(r *request) {
	_ = w.Result.Latency.RecordValue(int64((w.now - r.firstSubmitted) / time.Microsecond)) // never beyond the histogram's range: deadlines are shorter
	if w.now > startTime+w.experiment.Length {
		return // answers after the length of the run don't count as throughput
	}
	for i := range w.Result.Classes {
		if c := &w.Result.Classes[i]; c.Name == r.class.Name {
			c.Served++
			c.Took += w.now - r.firstSubmitted
		}
	}
}
