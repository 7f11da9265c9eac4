package accounting

import (
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// OtherNames is what a name counts under when there are too many.
const OtherNames = "(other)"

// NoGroup is the member group of a job that was not sent yet.
const NoGroup = "-"

// Job is what a job is counted under.
type Job struct {
	Front, Class, Tenant string
	Key                  string // ties the tries of one ask; empty: an ask of its own
	Retry                bool   // the client says that it asked before
}

// RowKey names a row of the book: jobs of one front, class and tenant that
// are, or were last, at one group of members.
type RowKey struct{ Front, Class, Tenant, Group string }

// Row counts the jobs of one place. A job moves to another row when it is sent
// to another group. Entered + Came = sum of Ends + Went + Open.
type Row struct {
	RowKey
	Entered, Came, Went, Open int64
	Ends                      [Reasons]int64
	series                    *Series
}

// Ended is how many jobs ended in this row.
func (r *Row) Ended() (n int64) {
	for _, e := range r.Ends {
		n += e
	}
	return n
}

// Series counts the jobs of one front, class and tenant in windows of time.
type Series struct {
	Front, Class, Tenant string
	Windows              Windows
}

// Totals are sums over all jobs, kept beside the rows and apart from them.
type Totals struct {
	Taken, Open int64
	Ends        [Reasons]int64
}

// EndedAs sums the ends of one outcome.
func (t *Totals) EndedAs(o Outcome) (n int64) {
	for r, e := range t.Ends {
		if Reason(r).Outcome() == o {
			n += e
		}
	}
	return n
}

// flowStatuses is how many ways a flow may end.
const flowStatuses = int(policy.InvalidRequest) + 1

// FlowCounts counts the flows of one class at one group. Sent = sum of Ends + Out.
type FlowCounts struct {
	Class, Group string
	Sent, Out    int64
	Ends         [flowStatuses]int64
}

// Latencies are one class's spans, in microseconds.
type Latencies struct {
	Wait  *hdrhistogram.Histogram // from taking in to the last send
	Run   *hdrhistogram.Histogram // from the last send to the answer; served jobs only
	Whole *hdrhistogram.Histogram // from taking in to the answer
}

const maxLatency = 10 * time.Minute // a longer span counts as this

// Limits bound a book.
type Limits struct {
	Tenants                 []string // names that count under themselves; none: the first that come
	MaxNames                int      // how many of a kind come first
	MaxRows                 int
	MaxLogicalRequests      int           // that are remembered
	LogicalRequestRetention time.Duration // and how long
}

// DefaultLimits keep a book within about 2 MB.
func DefaultLimits() Limits {
	return Limits{MaxNames: 64, MaxRows: 2048, MaxLogicalRequests: 8192, LogicalRequestRetention: time.Hour}
}

// Entry is a job that is open.
type Entry struct {
	Number         uint64 // of the job: 1 for the first of this book
	Job            Job    // as it is counted
	row            *Row
	request        uint64
	unmatchedRetry bool
	arrived        time.Time
	sent           time.Time
	open           bool
}

// Group is where the job was last sent.
func (e *Entry) Group() string { return e.row.Group }

// Ledger is the account of one run of the program.
type Ledger struct {
	limits        Limits
	rows          map[RowKey]*Row
	series        map[RowKey]*Series // by places without a group
	flows         map[[2]string]*FlowCounts
	latencies     map[string]*Latencies
	tenants       map[string]bool
	requests      requestTracker
	totals        Totals
	flowTotals    struct{ sent, out int64 }
	lastNumber    uint64
	freeEntries   []*Entry
	unmatchedEnds int64 // ends of jobs that were not open
}

// New returns an empty book.
func New(l Limits) *Ledger {
	b := &Ledger{
		limits: l, rows: make(map[RowKey]*Row), series: make(map[RowKey]*Series), flows: make(map[[2]string]*FlowCounts),
		latencies: make(map[string]*Latencies), tenants: make(map[string]bool), requests: newRequestTracker(l.MaxLogicalRequests, l.LogicalRequestRetention),
	}
	for _, t := range l.Tenants {
		b.tenants[t] = true
	}
	return b
}

// tenantName is the name that a tenant counts under. Clients choose the names they
// send, and a book must not grow with them.
func (b *Ledger) tenantName(name string) string {
	switch {
	case b.tenants[name]:
		return name
	case len(b.limits.Tenants) > 0 || len(b.tenants) >= b.limits.MaxNames:
		return OtherNames
	}
	b.tenants[name] = true
	return name
}

func (b *Ledger) rowOf(p RowKey) *Row {
	if r := b.rows[p]; r != nil {
		return r
	}
	if len(b.rows) >= b.limits.MaxRows { // what would be one row too many shares one
		p.Tenant, p.Group = OtherNames, OtherNames
		if r := b.rows[p]; r != nil {
			return r
		}
	}
	at := RowKey{Front: p.Front, Class: p.Class, Tenant: p.Tenant}
	l := b.series[at]
	if l == nil {
		l = &Series{Front: p.Front, Class: p.Class, Tenant: p.Tenant}
		b.series[at] = l
	}
	r := &Row{RowKey: p, series: l}
	b.rows[p] = r
	return r
}

func (b *Ledger) latenciesOf(name string) *Latencies {
	t := b.latencies[name]
	if t == nil {
		fresh := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 2) }
		t = &Latencies{Wait: fresh(), Run: fresh(), Whole: fresh()}
		b.latencies[name] = t
	}
	return t
}

// JobAccepted counts a job that is taken. The entry is the book's: it is void once
// the job has ended.
func (b *Ledger) JobAccepted(j Job, now time.Time) *Entry {
	var e *Entry
	if n := len(b.freeEntries); n > 0 {
		e, b.freeEntries = b.freeEntries[n-1], b.freeEntries[:n-1]
	} else {
		e = new(Entry)
	}
	b.lastNumber++
	j.Tenant = b.tenantName(j.Tenant)
	*e = Entry{Number: b.lastNumber, Job: j, row: b.rowOf(RowKey{j.Front, j.Class, j.Tenant, NoGroup}), arrived: now, open: true}
	e.row.Entered++
	e.row.Open++
	e.row.series.Windows.addAccepted(now)
	b.totals.Taken++
	b.totals.Open++
	e.request, e.unmatchedRetry = b.requests.begin(j, now)
	return e
}

// FlowSent counts a flow of an open job to a group of members.
func (b *Ledger) FlowSent(e *Entry, group string, now time.Time) {
	f := b.flowCounts(e.Job.Class, group)
	f.Sent++
	f.Out++
	b.flowTotals.sent++
	b.flowTotals.out++
	if !e.open {
		b.unmatchedEnds++
		return
	}
	e.sent = now
	if e.row.Group == group {
		return
	}
	e.row.Went++
	e.row.Open--
	p := e.row.RowKey
	p.Group = group
	e.row = b.rowOf(p)
	e.row.Came++
	e.row.Open++
}

// FlowEnded counts the end of a flow, which may come after its job's.
func (b *Ledger) FlowEnded(class, group string, s policy.Status) {
	f := b.flowCounts(class, group)
	f.Out--
	f.Ends[s]++
	b.flowTotals.out--
}

func (b *Ledger) flowCounts(class, group string) *FlowCounts {
	key := [2]string{class, group}
	f := b.flows[key]
	if f == nil {
		if len(b.flows) >= b.limits.MaxRows {
			key[1] = OtherNames
			if f = b.flows[key]; f != nil {
				return f
			}
		}
		f = &FlowCounts{Class: class, Group: key[1]}
		b.flows[key] = f
	}
	return f
}

// JobEnded counts the end of a job. A job ends once: whatever ends one again is
// counted as misuse, which an audit complains of.
func (b *Ledger) JobEnded(e *Entry, r Reason, now time.Time) {
	if !e.open {
		b.unmatchedEnds++
		return
	}
	e.open = false
	e.row.Open--
	e.row.Ends[r]++
	e.row.series.Windows.addEnded(now, r.Outcome())
	b.totals.Open--
	b.totals.Ends[r]++
	b.requests.end(e.request, e.unmatchedRetry, r.Outcome())
	t := b.latenciesOf(e.Job.Class)
	record(t.Whole, now.Sub(e.arrived))
	if !e.sent.IsZero() {
		record(t.Wait, e.sent.Sub(e.arrived))
		if r == Answered {
			record(t.Run, now.Sub(e.sent))
		}
	}
	b.freeEntries = append(b.freeEntries, e)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(int64(min(max(d, 0), maxLatency) / time.Microsecond)) // within range: it can't fail
}

// Totals are the sums so far.
func (b *Ledger) Totals() Totals { return b.totals }
