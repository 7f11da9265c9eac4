package accounting

import (
	"cmp"
	"fmt"
	"slices"
)

// Difference is one thing that two counts do not agree on.
type Difference struct {
	Audit string `json:"audit"` // which audit found it
	What  string `json:"what"`
	Here  int64  `json:"here"`  // by the account
	There int64  `json:"there"` // by the other side
}

func (d Difference) String() string {
	return fmt.Sprintf("%s: %s: %d in the account, %d on the other side", d.Audit, d.What, d.Here, d.There)
}

// Names of the audits.
const (
	AuditSums    = "sums"    // the account against itself
	AuditCore    = "core"    // against the core's table of open jobs
	AuditFronts  = "fronts"  // against the fronts' own books
	AuditJournal = "journal" // against the journal's recount
)

type differences []Difference

func (d *differences) same(audit, what string, here, there int64) {
	if here != there {
		*d = append(*d, Difference{audit, what, here, there})
	}
}

// Sums holds the account against itself: each row in balance, the rows
// together against the totals that are kept apart from them, flows and asks
// likewise, and every way a job moved into a row out of another one.
func (b *Book) Sums() []Difference {
	var d differences
	var all Row
	for _, r := range b.rows {
		d.same(AuditSums, fmt.Sprintf("row %v in balance", r.Place), r.Entered+r.Came, r.Ended()+r.Went+r.Open)
		if r.Open < 0 {
			d.same(AuditSums, fmt.Sprintf("row %v below nothing", r.Place), r.Open, 0)
		}
		all.Entered += r.Entered
		all.Came += r.Came
		all.Went += r.Went
		all.Open += r.Open
		for i, n := range r.Ends {
			all.Ends[i] += n
		}
	}
	d.same(AuditSums, "jobs that came into rows and went out of rows", all.Came, all.Went)
	d.same(AuditSums, "taken, by rows and in total", all.Entered, b.totals.Taken)
	d.same(AuditSums, "open, by rows and in total", all.Open, b.totals.Open)
	var ended int64
	for i, n := range all.Ends {
		d.same(AuditSums, fmt.Sprintf("%s, by rows and in total", Reason(i)), n, b.totals.Ends[i])
		ended += b.totals.Ends[i]
	}
	d.same(AuditSums, "taken, and ended with open", b.totals.Taken, ended+b.totals.Open)
	var sent, out int64
	for _, f := range b.flows {
		var ends int64
		for _, n := range f.Ends {
			ends += n
		}
		d.same(AuditSums, fmt.Sprintf("flows of %s at %s in balance", f.Class, f.Group), f.Sent, ends+f.Out)
		sent += f.Sent
		out += f.Out
	}
	d.same(AuditSums, "flows sent, by rows and in total", sent, b.flowed.sent)
	d.same(AuditSums, "flows out, by rows and in total", out, b.flowed.out)
	a := &b.asks.Asks
	var asked, settled int64 = a.Asked, a.Open
	for o := range a.Ends {
		asked += a.Reopened[o]
		settled += a.Ends[o]
	}
	d.same(AuditSums, "asks in balance", asked, settled)
	d.same(AuditSums, "jobs that ended without being open", b.misuse, 0)
	slices.SortFunc(d, func(x, y Difference) int { return cmp.Compare(x.What, y.What) })
	return d
}

// Census is what the core itself has open, by front and class.
type Census map[[2]string]int64

// Core holds the account against the core's table. FlowsOut is how many live
// flows the core counts.
func (b *Book) Core(open Census, flowsOut int64) []Difference {
	var d differences
	mine := make(Census)
	for _, r := range b.rows {
		mine[[2]string{r.Front, r.Class}] += r.Open
	}
	for at := range open {
		mine[at] += 0
	}
	for at, n := range mine {
		d.same(AuditCore, fmt.Sprintf("%s by %s open", at[1], at[0]), n, open[at])
	}
	d.same(AuditCore, "flows out", b.flowed.out, flowsOut)
	return d
}

// Front holds the account against a front's own book. Before was read before
// the moment that the account is read at, now is read at it: what the front is
// just handing over may or may not have been counted yet.
func (b *Book) Front(front string, before, now DeskReading) []Difference {
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
	if taken < before.Handed {
		d.same(AuditFronts, front+" handed over", taken, before.Handed)
	}
	if taken > now.Begun {
		d.same(AuditFronts, front+" began", taken, now.Begun)
	}
	for o, n := range ends {
		d.same(AuditFronts, fmt.Sprintf("%s %s", front, Outcome(o)), n, now.Answers[o])
	}
	if left > now.Left {
		d.same(AuditFronts, front+" left by clients", left, now.Left)
	}
	return d
}

// Against holds totals of one moment against another count's.
func (t Totals) Against(audit string, there Totals) []Difference {
	var d differences
	d.same(audit, "taken", t.Taken, there.Taken)
	d.same(audit, "open", t.Open, there.Open)
	for i, n := range t.Ends {
		d.same(audit, Reason(i).String(), n, there.Ends[i])
	}
	return d
}
