package accounting

import (
	"cmp"
	"fmt"
	"slices"
)

// Difference is one thing that two counts do not agree on.
type Difference struct {
	Audit  string `json:"audit"` // which audit found it
	What   string `json:"what"`
	Ledger int64  `json:"here"`  // by the account
	Other  int64  `json:"there"` // by the other side
}

func (d Difference) String() string {
	return fmt.Sprintf("%s: %s: %d in the account, %d on the other side", d.Audit, d.What, d.Ledger, d.Other)
}

// Names of the audits.
const (
	AuditBalance = "sums"    // the account against itself
	AuditEngine  = "core"    // against the core's table of open jobs
	AuditFronts  = "fronts"  // against the fronts' own books
	AuditJournal = "journal" // against the journal's recount
)

type differences []Difference

func (d *differences) compare(audit, what string, here, there int64) {
	if here != there {
		*d = append(*d, Difference{audit, what, here, there})
	}
}

// CheckBalance holds the account against itself: each row in balance, the rows
// together against the totals that are kept apart from them, flows and asks
// likewise, and every way a job moved into a row out of another one.
func (b *Ledger) CheckBalance() []Difference {
	var d differences
	var all Row
	for _, r := range b.rows {
		d.compare(AuditBalance, fmt.Sprintf("row %v in balance", r.RowKey), r.Entered+r.Came, r.Ended()+r.Went+r.Open)
		if r.Open < 0 {
			d.compare(AuditBalance, fmt.Sprintf("row %v below nothing", r.RowKey), r.Open, 0)
		}
		all.Entered += r.Entered
		all.Came += r.Came
		all.Went += r.Went
		all.Open += r.Open
		for i, n := range r.Ends {
			all.Ends[i] += n
		}
	}
	d.compare(AuditBalance, "jobs that came into rows and went out of rows", all.Came, all.Went)
	d.compare(AuditBalance, "taken, by rows and in total", all.Entered, b.totals.Taken)
	d.compare(AuditBalance, "open, by rows and in total", all.Open, b.totals.Open)
	var ended int64
	for i, n := range all.Ends {
		d.compare(AuditBalance, fmt.Sprintf("%s, by rows and in total", Reason(i)), n, b.totals.Ends[i])
		ended += b.totals.Ends[i]
	}
	d.compare(AuditBalance, "taken, and ended with open", b.totals.Taken, ended+b.totals.Open)
	var sent, out int64
	for _, f := range b.flows {
		var ends int64
		for _, n := range f.Ends {
			ends += n
		}
		d.compare(AuditBalance, fmt.Sprintf("flows of %s at %s in balance", f.Class, f.Group), f.Sent, ends+f.Out)
		sent += f.Sent
		out += f.Out
	}
	d.compare(AuditBalance, "flows sent, by rows and in total", sent, b.flowTotals.sent)
	d.compare(AuditBalance, "flows out, by rows and in total", out, b.flowTotals.out)
	a := &b.requests.LogicalRequests
	var asked, settled int64 = a.Asked, a.Open
	for o := range a.Ends {
		asked += a.Reopened[o]
		settled += a.Ends[o]
	}
	d.compare(AuditBalance, "asks in balance", asked, settled)
	d.compare(AuditBalance, "jobs that ended without being open", b.unmatchedEnds, 0)
	slices.SortFunc(d, func(x, y Difference) int { return cmp.Compare(x.What, y.What) })
	return d
}

// OpenCounts is what the core itself has open, by front and class.
type OpenCounts map[[2]string]int64

// CompareEngine holds the account against the core's table. FlowsOut is how many live
// flows the core counts.
func (b *Ledger) CompareEngine(open OpenCounts, flowsOut int64) []Difference {
	var d differences
	mine := make(OpenCounts)
	for _, r := range b.rows {
		mine[[2]string{r.Front, r.Class}] += r.Open
	}
	for at := range open {
		mine[at] += 0
	}
	for at, n := range mine {
		d.compare(AuditEngine, fmt.Sprintf("%s by %s open", at[1], at[0]), n, open[at])
	}
	d.compare(AuditEngine, "flows out", b.flowTotals.out, flowsOut)
	return d
}

// CompareFront holds the account against a front's own book. Before was read before
// the moment that the account is read at, now is read at it: what the front is
// just handing over may or may not have been counted yet.
func (b *Ledger) CompareFront(front string, before, now FrontCountersSnapshot) []Difference {
	var d differences
	var taken, left int64
	var ends [Outcomes]int64
	for _, r := range b.rows {
		if r.Front != front {
			continue
		}
		taken += r.Entered
		left += r.Ends[ClientLeft]
		for i, n := range r.Ends {
			if Reason(i) != ClientLeft {
				ends[Reason(i).Outcome()] += n
			}
		}
	}
	if taken < before.Submitted {
		d.compare(AuditFronts, front+" handed over", taken, before.Submitted)
	}
	if taken > now.Started {
		d.compare(AuditFronts, front+" began", taken, now.Started)
	}
	for o, n := range ends {
		d.compare(AuditFronts, fmt.Sprintf("%s %s", front, Outcome(o)), n, now.Answers[o])
	}
	if left > now.ClientsLeft {
		d.compare(AuditFronts, front+" left by clients", left, now.ClientsLeft)
	}
	return d
}

// Compare holds totals of one moment against another count's.
func (t Totals) Compare(audit string, there Totals) []Difference {
	var d differences
	d.compare(audit, "taken", t.Taken, there.Taken)
	d.compare(audit, "open", t.Open, there.Open)
	for i, n := range t.Ends {
		d.compare(audit, Reason(i).String(), n, there.Ends[i])
	}
	return d
}
