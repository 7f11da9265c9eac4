package accounting

import (
	"time"

	"basaltloft/internal/dispatcher/policy"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Other is what a name counts under when there are too many.
const Other = "(other)"

// Nowhere is the member group of a job that was not sent yet.
const Nowhere = "-"

// Job is what a job is counted under.
type Job struct {
	Front, Class, Tenant string
	Key                  string // ties the tries of one ask; empty: an ask of its own
	Retry                bool   // the client says that it asked before
}

// Place names a row of the book: jobs of one front, class and tenant that
// are, or were last, at one group of members.
type Place struct{ Front, Class, Tenant, Group string }

// Row counts the jobs of one place. A job moves to another row when it is sent
// to another group. Entered + Came = sum of Ends + Went + Open.
type Row struct {
	Place
	Entered, Came, Went, Open int64
	Ends                      [Reasons]int64
	line                      *Line
}

// Ended is how many jobs ended in this row.
func (r *Row) Ended() (n int64) {
	for _, e := range r.Ends {
		n += e
	}
	return n
}

// Line counts the jobs of one front, class and tenant in windows of time.
type Line struct {
	Front, Class, Tenant string
	Windows              Windows
}

// Totals are sums over all jobs, kept beside the rows and apart from them.
type Totals struct {
	Taken, Open int64
	Ends        [Reasons]int64
}

// By sums the ends of one outcome.
func (t *Totals) By(o Outcome) (n int64) {
	for r, e := range t.Ends {
		if Reason(r).Outcome() == o {
			n += e
		}
	}
	return n
}

// flowStatuses is how many ways a flow may end.
const flowStatuses = int(policy.Unfit) + 1

// FlowRow counts the flows of one class at one group. Sent = sum of Ends + Out.
type FlowRow struct {
	Class, Group string
	Sent, Out    int64
	Ends         [flowStatuses]int64
}

// Times are one class's spans, in microseconds.
type Times struct {
	Wait  *hdrhistogram.Histogram // from taking in to the last send
	Run   *hdrhistogram.Histogram // from the last send to the answer; served jobs only
	Whole *hdrhistogram.Histogram // from taking in to the answer
}

const longest = 10 * time.Minute // a longer span counts as this

// Limits bound a book.
type Limits struct {
	Tenants []string // names that count under themselves; none: the first that come
	Names   int      // how many of a kind come first
	Rows    int
	Asks    int           // that are remembered
	AskFor  time.Duration // and how long
}

// DefaultLimits keep a book within about 2 MB.
func DefaultLimits() Limits {
	return Limits{Names: 64, Rows: 2048, Asks: 8192, AskFor: time.Hour}
}

// Entry is a job that is open.
type Entry struct {
	Number  uint64 // of the job: 1 for the first of this book
	Job     Job    // as it is counted
	row     *Row
	ask     uint64
	strayed bool
	arrived time.Time
	sent    time.Time
	open    bool
}

// Group is where the job was last sent.
func (e *Entry) Group() string { return e.row.Group }

// Book is the account of one run of the program.
type Book struct {
	limits  Limits
	rows    map[Place]*Row
	lines   map[Place]*Line // by places without a group
	flows   map[[2]string]*FlowRow
	times   map[string]*Times
	tenants map[string]bool
	asks    asks
	totals  Totals
	flowed  struct{ sent, out int64 }
	last    uint64
	free    []*Entry
	misuse  int64 // ends of jobs that were not open
}

// New returns an empty book.
func New(l Limits) *Book {
	b := &Book{
		limits: l, rows: make(map[Place]*Row), lines: make(map[Place]*Line), flows: make(map[[2]string]*FlowRow),
		times: make(map[string]*Times), tenants: make(map[string]bool), asks: newAsks(l.Asks, l.AskFor),
	}
	for _, t := range l.Tenants {
		b.tenants[t] = true
	}
	return b
}

// tenant is the name that a tenant counts under. Clients choose the names they
// send, and a book must not grow with them.
func (b *Book) tenant(name string) string {
	switch {
	case b.tenants[name]:
		return name
	case len(b.limits.Tenants) > 0 || len(b.tenants) >= b.limits.Names:
		return Other
	}
	b.tenants[name] = true
	return name
}

func (b *Book) row(p Place) *Row {
	if r := b.rows[p]; r != nil {
		return r
	}
	if len(b.rows) >= b.limits.Rows { // what would be one row too many shares one
		p.Tenant, p.Group = Other, Other
		if r := b.rows[p]; r != nil {
			return r
		}
	}
	at := Place{Front: p.Front, Class: p.Class, Tenant: p.Tenant}
	l := b.lines[at]
	if l == nil {
		l = &Line{Front: p.Front, Class: p.Class, Tenant: p.Tenant}
		b.lines[at] = l
	}
	r := &Row{Place: p, line: l}
	b.rows[p] = r
	return r
}

func (b *Book) class(name string) *Times {
	t := b.times[name]
	if t == nil {
		fresh := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest.Microseconds(), 2) }
		t = &Times{Wait: fresh(), Run: fresh(), Whole: fresh()}
		b.times[name] = t
	}
	return t
}

// Enter counts a job that is taken. The entry is the book's: it is void once
// the job has ended.
func (b *Book) Enter(j Job, now time.Time) *Entry {
	var e *Entry
	if n := len(b.free); n > 0 {
		e, b.free = b.free[n-1], b.free[:n-1]
	} else {
		e = new(Entry)
	}
	b.last++
	j.Tenant = b.tenant(j.Tenant)
	*e = Entry{Number: b.last, Job: j, row: b.row(Place{j.Front, j.Class, j.Tenant, Nowhere}), arrived: now, open: true}
	e.row.Entered++
	e.row.Open++
	e.row.line.Windows.taken(now)
	b.totals.Taken++
	b.totals.Open++
	e.ask, e.strayed = b.asks.enter(j, now)
	return e
}

// Sent counts a flow of an open job to a group of members.
func (b *Book) Sent(e *Entry, group string, now time.Time) {
	f := b.flow(e.Job.Class, group)
	f.Sent++
	f.Out++
	b.flowed.sent++
	b.flowed.out++
	if !e.open {
		b.misuse++
		return
	}
	e.sent = now
	if e.row.Group == group {
		return
	}
	e.row.Went++
	e.row.Open--
	p := e.row.Place
	p.Group = group
	e.row = b.row(p)
	e.row.Came++
	e.row.Open++
}

// FlowEnded counts the end of a flow, which may come after its job's.
func (b *Book) FlowEnded(class, group string, s policy.Status) {
	f := b.flow(class, group)
	f.Out--
	f.Ends[s]++
	b.flowed.out--
}

func (b *Book) flow(class, group string) *FlowRow {
	key := [2]string{class, group}
	f := b.flows[key]
	if f == nil {
		if len(b.flows) >= b.limits.Rows {
			key[1] = Other
			if f = b.flows[key]; f != nil {
				return f
			}
		}
		f = &FlowRow{Class: class, Group: key[1]}
		b.flows[key] = f
	}
	return f
}

// End counts the end of a job. A job ends once: whatever ends one again is
// counted as misuse, which an audit complains of.
func (b *Book) End(e *Entry, r Reason, now time.Time) {
	if !e.open {
		b.misuse++
		return
	}
	e.open = false
	e.row.Open--
	e.row.Ends[r]++
	e.row.line.Windows.ended(now, r.Outcome())
	b.totals.Open--
	b.totals.Ends[r]++
	b.asks.end(e.ask, e.strayed, r.Outcome())
	t := b.class(e.Job.Class)
	record(t.Whole, now.Sub(e.arrived))
	if !e.sent.IsZero() {
		record(t.Wait, e.sent.Sub(e.arrived))
		if r == Answered {
			record(t.Run, now.Sub(e.sent))
		}
	}
	b.free = append(b.free, e)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(int64(min(max(d, 0), longest) / time.Microsecond)) // within range: it can't fail
}

// Totals are the sums so far.
func (b *Book) Totals() Totals { return b.totals }
