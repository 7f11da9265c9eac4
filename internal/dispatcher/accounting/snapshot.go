package accounting

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Snapshot is a copy of the whole ledger at one moment, which any goroutine may read.
type Snapshot struct {
	At     time.Time
	Totals Totals
	Asks   LogicalRequests
	Rows   []Row
	Lines  []SeriesSnapshot
	Flows  []FlowCounts
	Times  map[string]LatencySnapshots // by class
}

// SeriesSnapshot holds the windows of one series.
type SeriesSnapshot struct {
	Front, Class, Tenant string
	Minute, Hour, Day    WindowCounts // the current ones
	Hour60, Day24        WindowCounts // the last 60 minutes and 24 hours
}

// Snapshot returns a copy of the ledger, with rows, series and flows sorted by their keys.
func (l *Ledger) Snapshot(now time.Time) Snapshot {
	s := Snapshot{At: now, Totals: l.totals, Asks: l.requests.LogicalRequests, Times: make(map[string]LatencySnapshots)}
	for _, r := range l.rows {
		s.Rows = append(s.Rows, *r)
	}
	slices.SortFunc(s.Rows, func(x, y Row) int {
		return cmp.Or(
			strings.Compare(x.Front, y.Front), strings.Compare(x.Class, y.Class),
			strings.Compare(x.Tenant, y.Tenant), strings.Compare(x.Group, y.Group))
	})
	for _, series := range l.series {
		w := &series.Windows
		s.Lines = append(s.Lines, SeriesSnapshot{
			Front: series.Front, Class: series.Class, Tenant: series.Tenant,
			Minute: w.Latest(Minute, now), Hour: w.Latest(Hour, now), Day: w.Latest(Day, now),
			Hour60: w.Sum(Minute, now), Day24: w.Sum(Hour, now),
		})
	}
	slices.SortFunc(s.Lines, func(x, y SeriesSnapshot) int {
		return cmp.Or(
			strings.Compare(x.Front, y.Front), strings.Compare(x.Class, y.Class), strings.Compare(x.Tenant, y.Tenant))
	})
	for _, f := range l.flows {
		s.Flows = append(s.Flows, *f)
	}
	slices.SortFunc(s.Flows, func(x, y FlowCounts) int {
		return cmp.Or(strings.Compare(x.Class, y.Class), strings.Compare(x.Group, y.Group))
	})
	for class, t := range l.latencies {
		s.Times[class] = LatencySnapshots{
			Wait: distribution(t.Wait), Run: distribution(t.Run), Whole: distribution(t.Whole),
		}
	}
	return s
}
