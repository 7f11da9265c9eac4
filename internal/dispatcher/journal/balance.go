package journal

import (
	"cmp"
	"slices"

	"basaltloft/internal/dispatcher/accounting"
)

// balance is the journal's own count of what it has written: by series over all epochs,
// and the open jobs.
type balance struct {
	bySeries    map[Series]*accounting.Totals
	open        map[uint64]Record // by number, as they were accepted
	epochTotals accounting.Totals // of this epoch alone
}

func newBalance() *balance {
	return &balance{bySeries: make(map[Series]*accounting.Totals), open: make(map[uint64]Record)}
}

// totalsOf are the totals of a series, zero for a new one.
func (b *balance) totalsOf(s Series) *accounting.Totals {
	totals := b.bySeries[s]
	if totals == nil {
		totals = new(accounting.Totals)
		b.bySeries[s] = totals
	}
	return totals
}

// apply counts a record. It reports whether the record fits: an end must be of
// a job that is open.
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
		if r.Reason == accounting.Crashed { // of an epoch that is over
			break
		}
		b.epochTotals.Open--
		b.epochTotals.Ends[r.Reason]++
	}
	return true
}

// segmentStart is what a segment repeats of those before it: the balances, in the order
// of their series, and the open jobs, in that of their numbers.
func (b *balance) segmentStart() (records []Record) {
	for l, t := range b.bySeries {
		records = append(records, Record{Kind: KindBalance, Series: l, Accepted: t.Taken, Ends: t.Ends})
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

// crashedJobs are the ends of the jobs that the last epoch left open.
func (b *balance) crashedJobs(at int64) (ends []Record) {
	for _, r := range b.segmentStart() {
		if r.Kind == KindCarriedOver {
			ends = append(ends, Record{Kind: KindEnded, Number: r.Number, At: max(at, r.At), Reason: accounting.Crashed, Group: accounting.NoGroup})
		}
	}
	return ends
}
