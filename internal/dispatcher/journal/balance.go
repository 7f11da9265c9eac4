package journal

import (
	"cmp"
	"slices"

	"basaltloft/internal/dispatcher/accounting"
)

// balance is the journal's own count of what it has written: by line, over all
// epochs, and the jobs that are open.
type balance struct {
	lines map[Line]*accounting.Totals
	open  map[uint64]Record // by number, as they were entered
	epoch accounting.Totals // of this epoch alone
}

func newBalance() *balance {
	return &balance{lines: make(map[Line]*accounting.Totals), open: make(map[uint64]Record)}
}

func (b *balance) line(l Line) *accounting.Totals {
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
		t := b.line(r.Line)
		t.Taken, t.Ends = r.Taken, r.Ends
		t.Open = r.Taken
		for _, n := range r.Ends {
			t.Open -= n
		}
	case KindOpening:
		b.epoch = accounting.Totals{Taken: r.Taken, Open: r.Open, Ends: r.Ends}
	case KindCarried:
		b.open[r.Number] = *r
	case KindEnter:
		if _, twice := b.open[r.Number]; twice {
			return false
		}
		b.open[r.Number] = *r
		t := b.line(r.Line)
		t.Taken++
		t.Open++
		b.epoch.Taken++
		b.epoch.Open++
	case KindEnd:
		job, ok := b.open[r.Number]
		if !ok {
			return false
		}
		delete(b.open, r.Number)
		t := b.line(job.Line)
		t.Open--
		t.Ends[r.Reason]++
		if r.Reason == accounting.CutOff { // of an epoch that is over
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
		records = append(records, Record{Kind: KindBalance, Line: l, Taken: t.Taken, Ends: t.Ends})
	}
	slices.SortFunc(records, func(x, y Record) int {
		return cmp.Or(cmp.Compare(x.Line.Front, y.Line.Front), cmp.Compare(x.Line.Class, y.Line.Class), cmp.Compare(x.Line.Tenant, y.Line.Tenant))
	})
	jobs := len(records)
	for _, job := range b.open {
		job.Kind = KindCarried
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
