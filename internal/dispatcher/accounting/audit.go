package accounting

import (
	"cmp"
	"fmt"
	"slices"
)

// Difference is one item for which two counts differ.
type Difference struct {
	Audit  string `json:"audit"` // the audit that found it
	What   string `json:"what"`  // the item
	Ledger int64  `json:"here"`  // the ledger's count
	Other  int64  `json:"there"` // the other side's count
}

// String returns the difference as a log line.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s: %d in the account, %d on the other side", d.Audit, d.What, d.Ledger, d.Other)
}

// Names of the audits in metrics and logs.
const (
	AuditBalance = "sums"    // the ledger's counts against each other
	AuditEngine  = "core"    // the ledger against the engine's table of open jobs
	AuditFronts  = "fronts"  // the ledger against the fronts' own counters
	AuditJournal = "journal" // the ledger against the journal's recount
)

// differences collects the differences that an audit finds.
type differences []Difference

// compare adds a difference if the two counts are not equal.
func (d *differences) compare(audit, what string, here, there int64) {
	if here != there {
		*d = append(*d, Difference{audit, what, here, there})
	}
}

// CheckBalance checks the ledger's counts against each other: each row, the flows and the logical requests
// must be in balance, the rows must sum to the totals, which are counted separately, and as many jobs must
// have moved into rows as out of rows.
func (l *Ledger) CheckBalance() []Difference {
	var d differences
	l.checkRows(&d)
	l.checkFlows(&d)
	l.checkLogicalRequests(&d)
	d.compare(AuditBalance, "jobs that ended without being open", l.unmatchedEnds, 0)
	slices.SortFunc(d, func(x, y Difference) int { return cmp.Compare(x.What, y.What) })
	return d
}

func (l *Ledger) checkRows(d *differences) {
	var all Row
	for _, r := range l.rows {
		balance := fmt.Sprintf("row %v in balance", r.RowKey)
		d.compare(AuditBalance, balance, r.Entered+r.Came, r.Ended()+r.Went+r.Open)
		if r.Open < 0 {
			d.compare(AuditBalance, fmt.Sprintf("row %v below nothing", r.RowKey), r.Open, 0)
		}
		all.Add(r)
	}
	d.compare(AuditBalance, "jobs that came into rows and went out of rows", all.Came, all.Went)
	d.compare(AuditBalance, "taken, by rows and in total", all.Entered, l.totals.Taken)
	d.compare(AuditBalance, "open, by rows and in total", all.Open, l.totals.Open)
	var ended int64
	for i, n := range all.Ends {
		d.compare(AuditBalance, fmt.Sprintf("%s, by rows and in total", Reason(i)), n, l.totals.Ends[i])
		ended += l.totals.Ends[i]
	}
	d.compare(AuditBalance, "taken, and ended with open", l.totals.Taken, ended+l.totals.Open)
}

func (l *Ledger) checkFlows(d *differences) {
	var sent, out int64
	for _, f := range l.flows {
		var ends int64
		for _, n := range f.Ends {
			ends += n
		}
		d.compare(AuditBalance, fmt.Sprintf("flows of %s at %s in balance", f.Class, f.Group), f.Sent, ends+f.Out)
		sent += f.Sent
		out += f.Out
	}
	d.compare(AuditBalance, "flows sent, by rows and in total", sent, l.flowTotals.sent)
	d.compare(AuditBalance, "flows out, by rows and in total", out, l.flowTotals.out)
}

func (l *Ledger) checkLogicalRequests(d *differences) {
	requests := &l.requests.LogicalRequests
	asked, settled := requests.Asked, requests.Open
	for o := range requests.Ends {
		asked += requests.Reopened[o]
		settled += requests.Ends[o]
	}
	d.compare(AuditBalance, "asks in balance", asked, settled)
}

// OpenCounts is the number of jobs that the engine has open, by front and class.
type OpenCounts map[[2]string]int64

// CompareEngine compares the ledger with the engine's table of open jobs and its number of flows that
// have not ended.
func (l *Ledger) CompareEngine(open OpenCounts, flowsOut int64) []Difference {
	var d differences
	mine := make(OpenCounts)
	for _, r := range l.rows {
		mine[[2]string{r.Front, r.Class}] += r.Open
	}
	for at := range open {
		mine[at] += 0
	}
	for at, n := range mine {
		d.compare(AuditEngine, fmt.Sprintf("%s by %s open", at[1], at[0]), n, open[at])
	}
	d.compare(AuditEngine, "flows out", l.flowTotals.out, flowsOut)
	return d
}

// CompareFront compares the ledger with a front's own counters: before was read before the ledger, now at
// the same moment as the ledger. Jobs that the front is just submitting may or may not have been counted
// yet.
func (l *Ledger) CompareFront(front string, before, now FrontCountersSnapshot) []Difference {
	var d differences
	var taken, left int64
	var ends [Outcomes]int64
	for _, r := range l.rows {
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

// Compare compares the totals with those of another count at the same moment.
func (t Totals) Compare(audit string, there Totals) []Difference {
	var d differences
	d.compare(audit, "taken", t.Taken, there.Taken)
	d.compare(audit, "open", t.Open, there.Open)
	for i, n := range t.Ends {
		d.compare(audit, Reason(i).String(), n, there.Ends[i])
	}
	return d
}
