package loadgen

import (
	"encoding/json"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"basaltloft/internal/dispatcher/textout"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Record collects the outcomes and latencies of a load. Its methods may be called concurrently.
type Record struct {
	mu        sync.Mutex
	requests  int64
	outcomes  map[string]int64
	corrected *hdrhistogram.Histogram // of served requests, from when they were due, in microseconds
	service   *hdrhistogram.Histogram // from when they were sent
	lateness  *hdrhistogram.Histogram // of all requests, from when they were due until they were sent
	last      time.Duration           // end of the last request, from the start
}

// maxRecorded is the highest latency recorded, in microseconds; higher ones count as this one.
const maxRecorded = int64(time.Hour / time.Microsecond)

// NewRecord returns an empty record.
func NewRecord() *Record {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecorded, 3) }
	return &Record{outcomes: make(map[string]int64), corrected: histogram(), service: histogram(), lateness: histogram()}
}

// Served is the outcome of a served request. Only requests with this outcome count in the latencies.
const Served = "served"

// Add records a request. The times are from the start of the load.
func (r *Record) Add(due, sent, ended time.Duration, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.outcomes[outcome]++
	r.last = max(r.last, ended)
	recordLatency(r.lateness, sent-due)
	if outcome == Served {
		recordLatency(r.corrected, ended-due)
		recordLatency(r.service, ended-sent)
	}
}

// recordLatency adds a latency, bounded to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxRecorded)) // always in the range
}

// Summary is the result of a load. It is written as JSON under the names of its fields.
type Summary struct {
	Asks     int64   // requests sent
	PerS     float64 // served requests a second, until the end of the last request
	Outcomes map[string]int64
	// Milliseconds by quantile: the latency of served requests from when they were due
	// (Corrected) and from when they were sent (Service), and how late requests were sent
	// (Lateness), because the load generator was slow or no connection was free.
	Corrected, Service, Lateness []Point
	Worst                        float64 // highest latency of a served request in milliseconds, from when it was due
}

// Point is a quantile of a distribution: a percentage and a value in milliseconds.
type Point struct{ Quantile, MS float64 }

// Quantiles are the quantiles of a Summary, in percent.
var Quantiles = []float64{50, 75, 90, 95, 99, 99.9, 99.99}

// Summary returns the result so far.
func (r *Record) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	points := func(h *hdrhistogram.Histogram) (all []Point) {
		for _, q := range Quantiles {
			all = append(all, Point{q, float64(h.ValueAtQuantile(q)) / 1000})
		}
		return all
	}
	s := Summary{
		Asks: r.requests, Outcomes: make(map[string]int64), Corrected: points(r.corrected), Service: points(r.service), Lateness: points(r.lateness),
		Worst: float64(r.corrected.Max()) / 1000,
	}
	maps.Copy(s.Outcomes, r.outcomes)
	if r.last > 0 {
		s.PerS = float64(r.outcomes[Served]) / r.last.Seconds()
	}
	return s
}

// Table writes a summary as a readable table. It returns the error of the writer.
func (s Summary) Table(out io.Writer) error {
	p := textout.New(out)
	p.Printf("%d asks, %.1f served a second\n", s.Asks, s.PerS)
	for _, outcome := range slices.Sorted(maps.Keys(s.Outcomes)) {
		p.Printf("  %s %d (%.2f%%)\n", outcome, s.Outcomes[outcome], 100*float64(s.Outcomes[outcome])/float64(max(1, s.Asks)))
	}
	if err := p.Err(); err != nil {
		return err
	}
	tabs := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	p = textout.New(tabs)
	p.Println("quantile\tfrom due, ms\tfrom sent, ms\tsent late, ms\t")
	for i, point := range s.Corrected {
		p.Printf("%g\t%.2f\t%.2f\t%.2f\t\n", point.Quantile, point.MS, s.Service[i].MS, s.Lateness[i].MS)
	}
	p.Printf("worst\t%.2f\t\t\t\n", s.Worst)
	if err := p.Err(); err != nil {
		return err
	}
	return tabs.Flush()
}

// JSON writes a summary as indented JSON. It returns the error of the writer.
func (s Summary) JSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(s)
}
