package accounting

import "basaltloft/internal/dispatcher/policy"

// RowKey identifies a row of the ledger: the jobs of one front, class and tenant that were last sent to one
// group of members (or to none: NoGroup).
type RowKey struct{ Front, Class, Tenant, Group string }

// Row counts the jobs of one RowKey. A job moves to another row when it is sent to another group.
//
//	Entered + Came = sum of Ends + Went + Open
type Row struct {
	RowKey
	Entered int64 // jobs accepted into this row
	Came    int64 // jobs moved into it from another row
	Went    int64 // jobs moved out of it to another row
	Open    int64
	Ends    [Reasons]int64
	series  *Series
}

// Add adds the counts of another row.
func (r *Row) Add(other *Row) {
	r.Entered += other.Entered
	r.Came += other.Came
	r.Went += other.Went
	r.Open += other.Open
	for reason, n := range other.Ends {
		r.Ends[reason] += n
	}
}

// Ended returns how many jobs ended in this row.
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

// FlowCounts counts the flows of one class at one group of members.
//
//	Sent = sum of Ends + Out
type FlowCounts struct {
	Class, Group string
	Sent, Out    int64
	Ends         [flowStatuses]int64 // by policy.Status
}

// flowStatuses is the number of statuses that a flow may end with.
const flowStatuses = int(policy.InvalidRequest) + 1

// Totals are sums over all jobs. They are counted separately from the rows, so that each can be checked
// against the other.
type Totals struct {
	Taken int64 // jobs accepted
	Open  int64
	Ends  [Reasons]int64
}

// EndedAs returns how many jobs ended with an outcome.
func (t *Totals) EndedAs(o Outcome) (n int64) {
	for r, e := range t.Ends {
		if Reason(r).Outcome() == o {
			n += e
		}
	}
	return n
}

// rowOf returns the row of a key, and creates it on first use. Beyond MaxRows, new keys of a front and class
// share one row.
func (l *Ledger) rowOf(p RowKey) *Row {
	if r := l.rows[p]; r != nil {
		return r
	}
	if len(l.rows) >= l.limits.MaxRows {
		p.Tenant, p.Group = OtherNames, OtherNames
		if r := l.rows[p]; r != nil {
			return r
		}
	}
	at := RowKey{Front: p.Front, Class: p.Class, Tenant: p.Tenant}
	series := l.series[at]
	if series == nil {
		series = &Series{Front: p.Front, Class: p.Class, Tenant: p.Tenant}
		l.series[at] = series
	}
	r := &Row{RowKey: p, series: series}
	l.rows[p] = r
	return r
}

// flowCounts returns the counts of a class at a group, and creates them on first use. Beyond MaxRows, new
// groups of a class share one.
func (l *Ledger) flowCounts(class, group string) *FlowCounts {
	key := [2]string{class, group}
	f := l.flows[key]
	if f == nil {
		if len(l.flows) >= l.limits.MaxRows {
			key[1] = OtherNames
			if f = l.flows[key]; f != nil {
				return f
			}
		}
		f = &FlowCounts{Class: class, Group: key[1]}
		l.flows[key] = f
	}
	return f
}

// tenantName returns the name that a tenant is counted by. Clients may send any name, and the ledger must
// not grow with each.
func (l *Ledger) tenantName(name string) string {
	switch {
	case l.tenants[name]:
		return name
	case len(l.limits.Tenants) > 0 || len(l.tenants) >= l.limits.MaxNames:
		return OtherNames
	}
	l.tenants[name] = true
	return name
}
