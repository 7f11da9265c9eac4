package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"basaltloft/internal/dispatcher/accounting"
)

// Dimensions are what a table can be by.
var Dimensions = []string{"front", "class", "tenant", "group"}

func dimension(p *accounting.RowKey, by string) string {
	return map[string]string{"front": p.Front, "class": p.Class, "tenant": p.Tenant, "group": p.Group}[by]
}

// Table writes an account for people to read, by some of the dimensions. Jobs
// that come and go are shown where groups are.
func Table(out io.Writer, r Report, by []string) error {
	moves := slices.Contains(by, "group")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	head := append(slices.Clone(by), "taken")
	if moves {
		head = append(head, "came", "went")
	}
	fmt.Fprintln(w, strings.Join(append(head, "served", "refused", "failed", "open"), "\t")+"\t")
	sums := make(map[string]*accounting.Row)
	var order []string
	var all accounting.Row
	for i := range r.Account.Rows {
		row := &r.Account.Rows[i]
		var cells []string
		for _, d := range by {
			cells = append(cells, dimension(&row.RowKey, d))
		}
		key := strings.Join(cells, "\t")
		if sums[key] == nil {
			sums[key] = new(accounting.Row)
			order = append(order, key)
		}
		for _, sum := range []*accounting.Row{sums[key], &all} {
			sum.Entered += row.Entered
			sum.Came += row.Came
			sum.Went += row.Went
			sum.Open += row.Open
			for k, n := range row.Ends {
				sum.Ends[k] += n
			}
		}
	}
	line := func(key string, row *accounting.Row) {
		var ends [accounting.Outcomes]int64
		for i, n := range row.Ends {
			ends[accounting.Reason(i).Outcome()] += n
		}
		if key != "" {
			key += "\t"
		}
		fmt.Fprintf(w, "%s%d\t", key, row.Entered)
		if moves {
			fmt.Fprintf(w, "%d\t%d\t", row.Came, row.Went)
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t\n", ends[accounting.Served], ends[accounting.Refused], ends[accounting.Failed], row.Open)
	}
	slices.Sort(order)
	for _, key := range order {
		line(key, sums[key])
	}
	if len(by) > 0 {
		line("all"+strings.Repeat("\t", len(by)-1), &all)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	for reason, n := range all.Ends {
		if n > 0 {
			fmt.Fprintf(out, "%8d  %s (%s)\n", n, accounting.Reason(reason), accounting.Reason(reason).Outcome())
		}
	}
	a := &r.Account.Asks
	fmt.Fprintf(out, "\nasks: %d, with %d retries (%d after they were served) and %d strays; served %d, refused %d, failed %d, open %d\n",
		a.Asked, a.Retries, a.Echoes, a.Strays, a.Final(accounting.Served), a.Final(accounting.Refused), a.Final(accounting.Failed), a.Open)
	for class, t := range r.Account.Times {
		ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
		fmt.Fprintf(out, "%s: whole p50 %.1f ms, p95 %.1f ms, p99 %.1f ms; wait p50 %.1f ms; run p50 %.1f ms\n",
			class, ms(t.Whole.P50), ms(t.Whole.P95), ms(t.Whole.P99), ms(t.Wait.P50), ms(t.Run.P50))
	}
	if j := r.Journal; j != nil {
		state := "writing"
		if j.Stopped {
			state = "STOPPED: " + j.Why
		}
		fmt.Fprintf(out, "journal: epoch %d, %d records, %s\n", j.Epoch, j.Written, state)
	}
	if t := &r.Account.Totals; t.Taken == t.EndedAs(accounting.Served)+t.EndedAs(accounting.Refused)+t.EndedAs(accounting.Failed)+t.Open && len(r.Audit.Differences) == 0 {
		fmt.Fprintf(out, "%d taken = %d served + %d refused + %d failed + %d open; %d audits found nothing\n", t.Taken,
			t.EndedAs(accounting.Served), t.EndedAs(accounting.Refused), t.EndedAs(accounting.Failed), t.Open, r.Audit.Audits)
		return nil
	}
	fmt.Fprintln(out, "THE ACCOUNT DOES NOT ADD UP:")
	for _, d := range r.Audit.Differences {
		fmt.Fprintln(out, " ", d)
	}
	return nil
}

// Windows are what a table of windows can be of.
var Windows = []string{"minute", "hour", "day", "last60m", "last24h"}

// WindowTable writes what was counted in a stretch of time, by front, class and
// tenant. Opened is what was open at its begin: opened + taken = ended + open.
func WindowTable(out io.Writer, r Report, window string) error {
	open := make(map[[3]string]int64)
	for i := range r.Account.Rows {
		row := &r.Account.Rows[i]
		open[[3]string{row.Front, row.Class, row.Tenant}] += row.Open
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "front\tclass\ttenant\topened\ttaken\tserved\trefused\tfailed\topen\t")
	for i := range r.Account.Lines {
		l := &r.Account.Lines[i]
		s := map[string]accounting.WindowCounts{"minute": l.Minute, "hour": l.Hour, "day": l.Day, "last60m": l.Hour60, "last24h": l.Day24}[window]
		now := open[[3]string{l.Front, l.Class, l.Tenant}]
		var ended int64
		for _, n := range s.Ends {
			ended += int64(n)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", l.Front, l.Class, l.Tenant, now+ended-int64(s.Accepted), s.Accepted,
			s.Ends[accounting.Served], s.Ends[accounting.Refused], s.Ends[accounting.Failed], now)
	}
	return w.Flush()
}
