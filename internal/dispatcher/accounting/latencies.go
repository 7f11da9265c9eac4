package accounting

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basaltloft/internal/shared/saturating"
)

// Latencies are histograms of the jobs of one class, in microseconds.
type Latencies struct {
	Wait  *hdrhistogram.Histogram // from acceptance to the last send
	Run   *hdrhistogram.Histogram // from the last send to the answer; served jobs only
	Whole *hdrhistogram.Histogram // from acceptance to the answer
}

// maxLatency is the longest latency that is recorded; a longer one is recorded as this.
const maxLatency = 10 * time.Minute

// latenciesOf returns the histograms of a class, and creates them on first use.
func (l *Ledger) latenciesOf(name string) *Latencies {
	t := l.latencies[name]
	if t == nil {
		fresh := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 2) }
		t = &Latencies{Wait: fresh(), Run: fresh(), Whole: fresh()}
		l.latencies[name] = t
	}
	return t
}

// record adds a duration to a histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(int64(min(max(d, 0), maxLatency) / time.Microsecond)) // can't fail: the value is within the histogram's range
}

// distribution returns the summary of a histogram.
func distribution(h *hdrhistogram.Histogram) Distribution {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	d := Distribution{
		Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond,
		Buckets: make(map[time.Duration]int64, len(BucketEdges)),
	}
	d.Sum = saturating.Duration(h.Mean() * float64(d.Count) * float64(time.Microsecond))
	for _, bin := range h.Distribution() {
		for _, edge := range BucketEdges {
			if bin.To <= edge.Microseconds() {
				d.Buckets[edge] += bin.Count
			}
		}
	}
	return d
}

// Distribution is the summary of a histogram in a Snapshot.
type Distribution struct {
	Count         int64
	Sum           time.Duration
	P50, P95, P99 time.Duration
	Max           time.Duration
	Buckets       map[time.Duration]int64 // by upper edge: the number of latencies up to it
}

// LatencySnapshots are the latencies of one class; see Latencies.
type LatencySnapshots struct{ Wait, Run, Whole Distribution }

// BucketEdges are the upper edges of a distribution's buckets.
var BucketEdges = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 25 * time.Second, time.Minute,
}
