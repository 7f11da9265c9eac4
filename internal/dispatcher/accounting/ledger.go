package accounting

import (
	"time"

	"basaltloft/internal/dispatcher/policy"
)

// OtherNames is the name that further names are counted under beyond the limits.
const OtherNames = "(other)"

// NoGroup is the member group of a job that has not been sent to a member.
const NoGroup = "-"

// Job holds the properties of a job that the ledger counts it by.
type Job struct {
	Front, Class, Tenant string
	Key                  string // the same for all tries of one logical request; empty: none given
	Retry                bool   // marked as a retry by the client
}

// Limits bound the size of a ledger.
type Limits struct {
	Tenants                 []string      // tenants counted by name; empty: the first MaxNames that send jobs
	MaxNames                int           // number of tenants counted by name if Tenants is empty
	MaxRows                 int           // rows of jobs, and also of flows
	MaxLogicalRequests      int           // logical requests that are tracked
	LogicalRequestRetention time.Duration // how long a logical request is tracked
}

// DefaultLimits returns limits that keep a ledger within about 2 MB.
func DefaultLimits() Limits {
	return Limits{MaxNames: 64, MaxRows: 2048, MaxLogicalRequests: 8192, LogicalRequestRetention: time.Hour}
}

// Entry is an open job. It belongs to the ledger, which reuses it once the job has ended.
type Entry struct {
	Number         uint64 // the job's number: 1 for the first job of this ledger
	Job            Job    // as it is counted: the tenant may be OtherNames
	row            *Row
	request        uint64 // the id of its logical request; 0: it has no key
	unmatchedRetry bool   // a retry without a key, which counts as no logical request
	arrived        time.Time
	sent           time.Time // of the last send; zero: never sent
	open           bool
}

// Group returns the member group that the job was last sent to.
func (e *Entry) Group() string { return e.row.Group }

// Ledger counts the jobs of one run of the dispatcher. It is not safe for concurrent use.
type Ledger struct {
	limits        Limits
	rows          map[RowKey]*Row
	series        map[RowKey]*Series        // by row keys without a group
	flows         map[[2]string]*FlowCounts // by class and group
	latencies     map[string]*Latencies     // by class
	tenants       map[string]bool           // tenants that are counted by name
	requests      requestTracker
	totals        Totals
	flowTotals    struct{ sent, out int64 }
	lastNumber    uint64
	freeEntries   []*Entry // entries of ended jobs, for reuse
	unmatchedEnds int64    // sends and ends of jobs that were not open
}

// New returns an empty ledger.
func New(l Limits) *Ledger {
	ledger := &Ledger{
		limits:    l,
		rows:      make(map[RowKey]*Row),
		series:    make(map[RowKey]*Series),
		flows:     make(map[[2]string]*FlowCounts),
		latencies: make(map[string]*Latencies),
		tenants:   make(map[string]bool),
		requests:  newRequestTracker(l.MaxLogicalRequests, l.LogicalRequestRetention),
	}
	for _, t := range l.Tenants {
		ledger.tenants[t] = true
	}
	return ledger
}

// JobAccepted counts an accepted job. The returned entry must not be used once the job has ended.
func (l *Ledger) JobAccepted(j Job, now time.Time) *Entry {
	var e *Entry
	if n := len(l.freeEntries); n > 0 {
		e, l.freeEntries = l.freeEntries[n-1], l.freeEntries[:n-1]
	} else {
		e = new(Entry)
	}
	l.lastNumber++
	j.Tenant = l.tenantName(j.Tenant)
	row := l.rowOf(RowKey{j.Front, j.Class, j.Tenant, NoGroup})
	*e = Entry{Number: l.lastNumber, Job: j, row: row, arrived: now, open: true}
	e.row.Entered++
	e.row.Open++
	e.row.series.Windows.addAccepted(now)
	l.totals.Taken++
	l.totals.Open++
	e.request, e.unmatchedRetry = l.requests.begin(j, now)
	return e
}

// FlowSent counts a flow of an open job that is sent to a group of members.
func (l *Ledger) FlowSent(e *Entry, group string, now time.Time) {
	f := l.flowCounts(e.Job.Class, group)
	f.Sent++
	f.Out++
	l.flowTotals.sent++
	l.flowTotals.out++
	if !e.open {
		l.unmatchedEnds++
		return
	}
	e.sent = now
	if e.row.Group == group {
		return
	}
	e.row.Went++
	e.row.Open--
	key := e.row.RowKey
	key.Group = group
	e.row = l.rowOf(key)
	e.row.Came++
	e.row.Open++
}

// FlowEnded counts the end of a flow, which may come after the end of its job.
func (l *Ledger) FlowEnded(class, group string, s policy.Status) {
	f := l.flowCounts(class, group)
	f.Out--
	f.Ends[s]++
	l.flowTotals.out--
}

// JobEnded counts the end of a job. A job ends once: a second end is counted separately, and CheckBalance
// reports it.
func (l *Ledger) JobEnded(e *Entry, r Reason, now time.Time) {
	if !e.open {
		l.unmatchedEnds++
		return
	}
	e.open = false
	e.row.Open--
	e.row.Ends[r]++
	e.row.series.Windows.addEnded(now, r.Outcome())
	l.totals.Open--
	l.totals.Ends[r]++
	l.requests.end(e.request, e.unmatchedRetry, r.Outcome())
	t := l.latenciesOf(e.Job.Class)
	record(t.Whole, now.Sub(e.arrived))
	if !e.sent.IsZero() {
		record(t.Wait, e.sent.Sub(e.arrived))
		if r == Answered {
			record(t.Run, now.Sub(e.sent))
		}
	}
	l.freeEntries = append(l.freeEntries, e)
}

// Totals returns the sums so far.
func (l *Ledger) Totals() Totals { return l.totals }
