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

// Query selects what a report covers. From (inclusive) and To (exclusive) limit the times at which jobs were
// accepted or ended; a zero time is no limit. By lists the Dimensions to count by.
type Query struct {
	From, To time.Time
	By       []string
}

// ParseTime parses a time in RFC 3339, or a date.
func ParseTime(text string) (time.Time, error) {
	for _, layout := range []string{time.RFC3339, time.DateOnly} {
		if t, err := time.Parse(layout, text); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("%q is neither a date nor a time in RFC 3339", text)
}

// Dimensions are the values that Query.By may contain.
var Dimensions = []string{"front", "class", "tenant", "group", "minute", "hour", "day"}

// Validate returns an error if the query has an unknown dimension or an empty time range.
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

// ReportRow is one row of a report. OpenBefore + Accepted = sum of Ends + Open, where OpenBefore and Open count
// the jobs that were open at the report's start and end.
type ReportRow struct {
	By              []string // the row's value for each of the query's dimensions
	OpenBefore      int64
	Accepted        int64
	Ends            [accounting.Reasons]int64
	Open            int64
	LogicalRequests int64 // accepted jobs that are not retries
	P50, P95        time.Duration
	P99, Longest    time.Duration // latencies of served jobs, from acceptance to the end
	latencies       *hdrhistogram.Histogram
}

// Outcome returns the number of jobs that ended with an outcome.
func (r *ReportRow) Outcome(outcome accounting.Outcome) (sum int64) {
	for reason, n := range r.Ends {
		if accounting.Reason(reason).Outcome() == outcome {
			sum += n
		}
	}
	return sum
}

// maxLatency is the largest latency in the percentiles; a longer one counts as this value.
const maxLatency = 10 * time.Minute

// setQuantiles sets the percentiles and the maximum of the row's latencies.
func (r *ReportRow) setQuantiles() {
	if r.latencies == nil {
		return
	}
	quantile := func(percent float64) time.Duration {
		return time.Duration(r.latencies.ValueAtQuantile(percent)) * time.Microsecond
	}
	r.P50, r.P95, r.P99 = quantile(50), quantile(95), quantile(99)
	r.Longest = time.Duration(r.latencies.Max()) * time.Microsecond
}

// addLatency adds the latency of a served job, in microseconds.
func (r *ReportRow) addLatency(latency int64) {
	longest := maxLatency.Microseconds()
	if r.latencies == nil {
		r.latencies = hdrhistogram.New(1, longest, 2)
	}
	_ = r.latencies.RecordValue(min(max(latency, 0), longest)) // never fails: the value is in the histogram's range
}

// Report returns the rows of a query, from all segments of a journal. An ended job counts in the row of the
// group and the time in which it ended, so that the equation of ReportRow holds for each row. Warnings list
// what could not be read.
func Report(dir Directory, query Query) (rows []*ReportRow, warnings []string, err error) {
	if err := query.Validate(); err != nil {
		return nil, nil, err
	}
	names, err := dir.Names()
	if err != nil {
		return nil, nil, err
	}
	p := &reporter{query: query, rows: make(map[string]*ReportRow), open: make(map[uint64]Record), requests: make(map[uint64]struct{})}
	for _, name := range names {
		text, err := dir.Read(name)
		if err != nil {
			return nil, nil, err
		}
		s, err := Scan(text, p.add)
		if err != nil {
			return nil, nil, err
		}
		if s.Err != nil {
			warnings = append(warnings, fmt.Sprintf("%s: %v", name, s.Err))
		}
	}
	p.countOpenJobs()
	for _, r := range p.rows {
		r.setQuantiles()
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(x, y *ReportRow) int { return slices.Compare(x.By, y.By) })
	return rows, warnings, nil
}

// reporter counts the records of a journal for a query.
type reporter struct {
	query    Query
	rows     map[string]*ReportRow // by the joined values of ReportRow.By
	open     map[uint64]Record     // open jobs, by number
	requests map[uint64]struct{}   // ids of the logical requests so far
}

func (p *reporter) add(r *Record) error {
	switch r.Kind {
	case KindCarriedOver: // the job is known already, except in the oldest segment
		if _, known := p.open[r.Number]; !known {
			p.open[r.Number] = *r
			p.isNewRequest(r)
		}
	case KindAccepted:
		job := *r
		job.Retry = !p.isNewRequest(r)
		p.open[r.Number] = job
	case KindEnded:
		job, ok := p.open[r.Number]
		if !ok {
			return nil
		}
		delete(p.open, r.Number)
		p.countJob(job, r)
	}
	return nil
}

// isNewRequest reports whether a job is the first of its logical request, and records the request. Without an
// id of the request, the client's retry mark decides.
func (p *reporter) isNewRequest(r *Record) bool {
	if r.LogicalRequest == 0 {
		return !r.Retry
	}
	if _, known := p.requests[r.LogicalRequest]; known {
		return false
	}
	p.requests[r.LogicalRequest] = struct{}{}
	return true
}

// countJob counts a job in its row. end is its end record, or nil if the job is still open.
func (p *reporter) countJob(job Record, end *Record) {
	before := func(at int64) bool { return !p.query.From.IsZero() && at < p.query.From.UnixMicro() }
	after := func(at int64) bool { return !p.query.To.IsZero() && at >= p.query.To.UnixMicro() }
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
	row := p.row(p.key(job, group, at))
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
		row.addLatency(end.At - job.At)
	}
}

func (p *reporter) key(job Record, group string, at int64) []string {
	by := make([]string, len(p.query.By))
	t := time.UnixMicro(at).UTC()
	for i, d := range p.query.By {
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

func (p *reporter) row(by []string) *ReportRow {
	key := strings.Join(by, "\x00")
	r := p.rows[key]
	if r == nil {
		r = &ReportRow{By: by}
		p.rows[key] = r
	}
	return r
}

func (p *reporter) countOpenJobs() {
	for _, job := range p.open {
		p.countJob(job, nil)
	}
}
