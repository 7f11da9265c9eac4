package accounting

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Snapshot is the whole account at a moment, to be read at leisure.
type Snapshot struct {
	At     time.Time
	Totals Totals
	Asks   LogicalRequests
	Rows   []Row
	Lines  []SeriesSnapshot
	Flows  []FlowCounts
	Times  map[string]LatencySnapshots
}

// SeriesSnapshot is one line's windows.
type SeriesSnapshot struct {
	Front, Class, Tenant string
	Minute, Hour, Day    WindowCounts // the ones that run
	Hour60, Day24        WindowCounts // the last 60 minutes and 24 hours
}

// LatencySnapshots are one class's times.
type LatencySnapshots struct{ Wait, Run, Whole Distribution }

// Distribution is a histogram that has been read.
type Distribution struct {
	Count         int64
	Sum           time.Duration
	P50, P95, P99 time.Duration
	Max           time.Duration
	Buckets       map[time.Duration]int64 // how many took so long at most
}

// BucketEdges are the upper edges of a distribution's buckets.
var BucketEdges = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 25 * time.Second, time.Minute,
}

// Snapshot copies the account.
func (b *Ledger) Snapshot(now time.Time) Snapshot {
	s := Snapshot{At: now, Totals: b.totals, Asks: b.requests.LogicalRequests, Times: make(map[string]LatencySnapshots)}
	for _, r := range b.rows {
		s.Rows = append(s.Rows, *r)
	}
	slices.SortFunc(s.Rows, func(x, y Row) int {
		return cmp.Or(strings.Compare(x.Front, y.Front), strings.Compare(x.Class, y.Class), strings.Compare(x.Tenant, y.Tenant), strings.Compare(x.Group, y.Group))
	})
	for _, l := range b.series {
		w := &l.Windows
		s.Lines = append(s.Lines, SeriesSnapshot{
			Front: l.Front, Class: l.Class, Tenant: l.Tenant,
			Minute: w.Latest(Minute, now), Hour: w.Latest(Hour, now), Day: w.Latest(Day, now),
			Hour60: w.Kept(Minute, now), Day24: w.Kept(Hour, now),
		})
	}
	slices.SortFunc(s.Lines, func(x, y SeriesSnapshot) int {
		return cmp.Or(strings.Compare(x.Front, y.Front), strings.Compare(x.Class, y.Class), strings.Compare(x.Tenant, y.Tenant))
	})
	for _, f := range b.flows {
		s.Flows = append(s.Flows, *f)
	}
	slices.SortFunc(s.Flows, func(x, y FlowCounts) int {
		return cmp.Or(strings.Compare(x.Class, y.Class), strings.Compare(x.Group, y.Group))
	})
	for class, t := range b.latencies {
		s.Times[class] = LatencySnapshots{Wait: distribution(t.Wait), Run: distribution(t.Run), Whole: distribution(t.Whole)}
	}
	return s
}

func distribution(h *hdrhistogram.Histogram) Distribution {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	d := Distribution{
		Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond,
		Buckets: make(map[time.Duration]int64, len(BucketEdges)),
	}
	d.Sum = time.Duration(h.Mean() * float64(d.Count) * float64(time.Microsecond))
	for _, bar := range h.Distribution() {
		for _, edge := range BucketEdges {
			if bar.To <= edge.Microseconds() {
				d.Buckets[edge] += bar.Count
			}
		}
	}
	return d
}
