package journal

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/accounting"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Query says what a report is to cover: from and to bound when a job was taken
// or ended; zero times bound nothing. By names what to count by: front, class,
// tenant, group, hour, day, minute.
type Query struct {
	From, To time.Time
	By       []string
}

// ParseTime reads a time in RFC 3339, or a date.
func ParseTime(text string) (time.Time, error) {
	for _, layout := range []string{time.RFC3339, time.DateOnly} {
		if t, err := time.Parse(layout, text); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("%q is neither a date nor a time in RFC 3339", text)
}

// Dimensions are what a report can be by.
var Dimensions = []string{"front", "class", "tenant", "group", "minute", "hour", "day"}

// Validate says what is wrong with a query.
func (q Query) Validate() error {
	for _, by := range q.By {
		if !slices.Contains(Dimensions, by) {
			return fmt.Errorf("a report is by any of %s, not by %q", strings.Join(Dimensions, ", "), by)
		}
	}
	if !q.From.IsZero() && !q.To.IsZero() && !q.From.Before(q.To) {
		return errors.New("the report ends before it begins")
	}
	return nil
}

// ReportRow are one row of a report. Opened + Taken = sum of Ends + Open, where
// opened and open are the jobs in hand at its begin and end.
type ReportRow struct {
	By              []string // one for each of the query's dimensions
	OpenBefore      int64
	Accepted        int64
	Ends            [accounting.Reasons]int64
	Open            int64
	LogicalRequests int64 // of the jobs taken, those that are no repeats
	P50, P95        time.Duration
	P99, Longest    time.Duration // from taking in to the end, of served jobs
	times           *hdrhistogram.Histogram
}

// Outcome sums the ends of one outcome.
func (f *ReportRow) Outcome(o accounting.Outcome) (n int64) {
	for r, e := range f.Ends {
		if accounting.Reason(r).Outcome() == o {
			n += e
		}
	}
	return n
}

// Report counts what a folder has to say to a query. A job counts under the
// group and the stretch of time that it ended in where it has ended, so that
// each row is in balance. Complaints are of what could not be read.
func Report(f Directory, q Query) (rows []*ReportRow, complaints []string, err error) {
	if err := q.Validate(); err != nil {
		return nil, nil, err
	}
	names, err := f.Names()
	if err != nil {
		return nil, nil, err
	}
	c := &reporter{query: q, rows: make(map[string]*ReportRow), open: make(map[uint64]Record), asks: make(map[uint64]struct{})}
	for _, name := range names {
		text, err := f.Read(name)
		if err != nil {
			return nil, nil, err
		}
		s, err := Scan(text, c.record)
		if err != nil {
			return nil, nil, err
		}
		if s.Err != nil {
			complaints = append(complaints, fmt.Sprintf("%s: %v", name, s.Err))
		}
	}
	c.finish()
	for _, r := range c.rows {
		if r.times != nil {
			at := func(p float64) time.Duration { return time.Duration(r.times.ValueAtQuantile(p)) * time.Microsecond }
			r.P50, r.P95, r.P99, r.Longest = at(50), at(95), at(99), time.Duration(r.times.Max())*time.Microsecond
		}
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(x, y *ReportRow) int { return slices.Compare(x.By, y.By) })
	return rows, complaints, nil
}

type reporter struct {
	query Query
	rows  map[string]*ReportRow
	open  map[uint64]Record
	asks  map[uint64]struct{}
}

func (c *reporter) record(r *Record) error {
	switch r.Kind {
	case KindCarriedOver: // only the oldest segment's are news
		if _, known := c.open[r.Number]; !known {
			c.open[r.Number] = *r
			c.noteAsk(r)
		}
	case KindAccepted:
		again := *r
		again.Retry = !c.noteAsk(r)
		c.open[r.Number] = again
	case KindEnded:
		job, ok := c.open[r.Number]
		if !ok {
			return nil
		}
		delete(c.open, r.Number)
		c.job(job, r)
	}
	return nil
}

// noteAsk reports whether a job is an ask that was not seen before.
func (c *reporter) noteAsk(r *Record) bool {
	if r.LogicalRequest == 0 {
		return !r.Retry
	}
	if _, known := c.asks[r.LogicalRequest]; known {
		return false
	}
	c.asks[r.LogicalRequest] = struct{}{}
	return true
}

// job counts a job that has ended, or, without an end, one that is open.
func (c *reporter) job(job Record, end *Record) {
	before := func(at int64) bool { return !c.query.From.IsZero() && at < c.query.From.UnixMicro() }
	after := func(at int64) bool { return !c.query.To.IsZero() && at >= c.query.To.UnixMicro() }
	if end != nil && before(end.At) || after(job.At) {
		return
	}
	if end != nil && after(end.At) {
		end = nil // open at the report's end
	}
	group, at := accounting.NoGroup, job.At
	if end != nil {
		group, at = end.Group, end.At
	}
	row := c.row(c.key(job, group, at))
	if before(job.At) {
		row.OpenBefore++
	} else {
		row.Accepted++
		if !job.Retry {
			row.LogicalRequests++
		}
	}
	if end == nil {
		row.Open++
		return
	}
	row.Ends[end.Reason]++
	if end.Reason == accounting.Answered {
		if row.times == nil {
			row.times = hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 2)
		}
		row.times.RecordValue(min(max(end.At-job.At, 0), (10 * time.Minute).Microseconds()))
	}
}

func (c *reporter) key(job Record, group string, at int64) []string {
	by := make([]string, len(c.query.By))
	t := time.UnixMicro(at).UTC()
	for i, d := range c.query.By {
		switch d {
		case "front":
			by[i] = job.Series.Front
		case "class":
			by[i] = job.Series.Class
		case "tenant":
			by[i] = cmp.Or(job.Series.Tenant, "-")
		case "group":
			by[i] = group
		case "minute":
			by[i] = t.Format("2006-01-02T15:04Z")
		case "hour":
			by[i] = t.Format("2006-01-02T15Z")
		case "day":
			by[i] = t.Format("2006-01-02")
		}
	}
	return by
}

func (c *reporter) row(by []string) *ReportRow {
	key := strings.Join(by, "\x00")
	r := c.rows[key]
	if r == nil {
		r = &ReportRow{By: by}
		c.rows[key] = r
	}
	return r
}

func (c *reporter) finish() {
	for _, job := range c.open {
		c.job(job, nil)
	}
}
