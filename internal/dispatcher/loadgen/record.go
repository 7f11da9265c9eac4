package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Record keeps what became of a load. Its methods may be called concurrently.
type Record struct {
	mu        sync.Mutex
	asks      int64
	outcomes  map[string]int64
	corrected *hdrhistogram.Histogram // of served asks, from when they were due, in microseconds
	service   *hdrhistogram.Histogram // from when they were sent
	lateness  *hdrhistogram.Histogram // of all, from when they were due until they were sent
	last      time.Duration
}

const longest = int64(time.Hour / time.Microsecond)

// NewRecord returns an empty record.
func NewRecord() *Record {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, 3) }
	return &Record{outcomes: make(map[string]int64), corrected: h(), service: h(), lateness: h()}
}

// Served is the outcome whose latencies count.
const Served = "served"

// Add takes in an ask that was due, sent and ended at times since the begin.
func (r *Record) Add(due, sent, ended time.Duration, outcome string) {
	us := func(t time.Duration) int64 { return min(max(1, t.Microseconds()), longest) }
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asks++
	r.outcomes[outcome]++
	r.last = max(r.last, ended)
	r.lateness.RecordValue(us(sent - due))
	if outcome == Served {
		r.corrected.RecordValue(us(ended - due))
		r.service.RecordValue(us(ended - sent))
	}
}

// Summary is what a load came to.
type Summary struct {
	Asks     int64
	PerS     float64 // served, until the last answer
	Outcomes map[string]int64
	// Milliseconds by quantile: of served asks from when they were due, and from when
	// they were sent; and how late asks were sent, which is this side's own lateness
	// or its want of connections.
	Corrected, Service, Lateness []Point
	Worst                        float64 // milliseconds, from when it was due
}

// Point is a quantile of a distribution.
type Point struct{ Quantile, MS float64 }

// Quantiles are those that are told.
var Quantiles = []float64{50, 75, 90, 95, 99, 99.9, 99.99}

// Summary sums up what has been added.
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
		Asks: r.asks, Outcomes: make(map[string]int64), Corrected: points(r.corrected), Service: points(r.service), Lateness: points(r.lateness),
		Worst: float64(r.corrected.Max()) / 1000,
	}
	for k, n := range r.outcomes {
		s.Outcomes[k] = n
	}
	if r.last > 0 {
		s.PerS = float64(r.outcomes[Served]) / r.last.Seconds()
	}
	return s
}

// Table writes a summary for people.
func (s Summary) Table(out io.Writer) error {
	fmt.Fprintf(out, "%d asks, %.1f served a second\n", s.Asks, s.PerS)
	var names []string
	for k := range s.Outcomes {
		names = append(names, k)
	}
	slices.Sort(names)
	for _, k := range names {
		fmt.Fprintf(out, "  %s %d (%.2f%%)\n", k, s.Outcomes[k], 100*float64(s.Outcomes[k])/float64(max(1, s.Asks)))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "quantile\tfrom due, ms\tfrom sent, ms\tsent late, ms\t")
	for i, p := range s.Corrected {
		fmt.Fprintf(w, "%g\t%.2f\t%.2f\t%.2f\t\n", p.Quantile, p.MS, s.Service[i].MS, s.Lateness[i].MS)
	}
	fmt.Fprintf(w, "worst\t%.2f\t\t\t\n", s.Worst)
	return w.Flush()
}

// JSON writes a summary for programs.
func (s Summary) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(s)
}
