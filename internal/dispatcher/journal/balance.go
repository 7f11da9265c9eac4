package journal

import (
	"cmp"
	"slices"

	"basaltloft/internal/dispatcher/accounting"
)

// balance is the journal's own count of the jobs it has recorded: the totals of each series over all epochs,
// the open jobs, and the totals of this epoch.
type balance struct {
	bySeries    map[Series]*accounting.Totals
	open        map[uint64]Record // the records of the open jobs' acceptance, by job number
	epochTotals accounting.Totals // of this epoch only
}

func newBalance() *balance {
	return &balance{bySeries: make(map[Series]*accounting.Totals), open: make(map[uint64]Record)}
}

// totalsOf returns the totals of a series, which start at zero for a new series.
func (b *balance) totalsOf(s Series) *accounting.Totals {
	totals := b.bySeries[s]
	if totals == nil {
		totals = new(accounting.Totals)
		b.bySeries[s] = totals
	}
	return totals
}

// apply counts a record. It returns false, and doesn't count the record, if it accepts a job that is open
// already or ends a job that is not open.
func (b *balance) apply(r *Record) bool {
	switch r.Kind {
	case KindBalance:
		totals := b.totalsOf(r.Series)
		totals.Taken, totals.Ends = r.Accepted, r.Ends
		totals.Open = r.Accepted
		for _, n := range r.Ends {
			totals.Open -= n
		}
	case KindSegmentStart:
		b.epochTotals = accounting.Totals{Taken: r.Accepted, Open: r.Open, Ends: r.Ends}
	case KindCarriedOver:
		b.open[r.Number] = *r
	case KindAccepted:
		if _, twice := b.open[r.Number]; twice {
			return false
		}
		b.open[r.Number] = *r
		totals := b.totalsOf(r.Series)
		totals.Taken++
		totals.Open++
		b.epochTotals.Taken++
		b.epochTotals.Open++
	case KindEnded:
		job, ok := b.open[r.Number]
		if !ok {
			return false
		}
		delete(b.open, r.Number)
		totals := b.totalsOf(job.Series)
		totals.Open--
		totals.Ends[r.Reason]++
		if r.Reason == accounting.Crashed { // a job of the previous epoch
			break
		}
		b.epochTotals.Open--
		b.epochTotals.Ends[r.Reason]++
	}
	return true
}

// segmentStart returns the records that a new segment repeats from those before it: the balances, ordered by
// series, and the open jobs, ordered by number.
func (b *balance) segmentStart() (records []Record) {
	for s, t := range b.bySeries {
		records = append(records, Record{Kind: KindBalance, Series: s, Accepted: t.Taken, Ends: t.Ends})
	}
	slices.SortFunc(records, func(x, y Record) int {
		return cmp.Or(cmp.Compare(x.Series.Front, y.Series.Front), cmp.Compare(x.Series.Class, y.Series.Class), cmp.Compare(x.Series.Tenant, y.Series.Tenant))
	})
	jobs := len(records)
	for _, job := range b.open {
		job.Kind = KindCarriedOver
		records = append(records, job)
	}
	slices.SortFunc(records[jobs:], func(x, y Record) int { return cmp.Compare(x.Number, y.Number) })
	return records
}

// crashedEnds returns the end records of the jobs that the last epoch left open.
func (b *balance) crashedEnds(at int64) (ends []Record) {
	for _, r := range b.segmentStart() {
		if r.Kind == KindCarriedOver {
			ends = append(ends, Record{Kind: KindEnded, Number: r.Number, At: max(at, r.At), Reason: accounting.Crashed, Group: accounting.NoGroup})
		}
	}
	return ends
}
