package journal

import (
	"cmp"
	"slices"

	"basaltloft/internal/dispatcher/accounting"
)

// balance is the journal's own count of what it has written: by line, over all
// epochs, and the jobs that are open.
type balance struct {
	lines map[Series]*accounting.Totals
	open  map[uint64]Record // by number, as they were entered
	epoch accounting.Totals // of this epoch alone
}

func newBalance() *balance {
	return &balance{lines: make(map[Series]*accounting.Totals), open: make(map[uint64]Record)}
}

func (b *balance) line(l Series) *accounting.Totals {
	t := b.lines[l]
	if t == nil {
		t = new(accounting.Totals)
		b.lines[l] = t
	}
	return t
}

// apply counts a record. It reports whether the record fits: an end must be of
// a job that is open.
func (b *balance) apply(r *Record) bool {
	switch r.Kind {
	case KindBalance:
		t := b.line(r.Series)
		t.Taken, t.Ends = r.Accepted, r.Ends
		t.Open = r.Accepted
		for _, n := range r.Ends {
			t.Open -= n
		}
	case KindSegmentStart:
		b.epoch = accounting.Totals{Taken: r.Accepted, Open: r.Open, Ends: r.Ends}
	case KindCarriedOver:
		b.open[r.Number] = *r
	case KindAccepted:
		if _, twice := b.open[r.Number]; twice {
			return false
		}
		b.open[r.Number] = *r
		t := b.line(r.Series)
		t.Taken++
		t.Open++
		b.epoch.Taken++
		b.epoch.Open++
	case KindEnded:
		job, ok := b.open[r.Number]
		if !ok {
			return false
		}
		delete(b.open, r.Number)
		t := b.line(job.Series)
		t.Open--
		t.Ends[r.Reason]++
		if r.Reason == accounting.Crashed { // of an epoch that is over
			break
		}
		b.epoch.Open--
		b.epoch.Ends[r.Reason]++
	}
	return true
}

// opening is what a segment begins with.
func (b *balance) opening() (records []Record) {
	for l, t := range b.lines {
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

// total sums the lines.
func (b *balance) total() (sum accounting.Totals) {
	for _, t := range b.lines {
		sum.Taken += t.Taken
		sum.Open += t.Open
		for i, n := range t.Ends {
			sum.Ends[i] += n
		}
	}
	return sum
}
