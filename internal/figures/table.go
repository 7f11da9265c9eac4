package figures

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"basaltloft/internal/account"
)

// Table writes an account for people to read.
func Table(out io.Writer, r Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "front\tclass\ttenant\tgroup\ttaken\tcame\twent\tserved\trefused\tfailed\topen\t")
	var sum account.Row
	line := func(place account.Place, row *account.Row) {
		var by [account.Outcomes]int64
		for i, n := range row.Ends {
			by[account.Reason(i).Outcome()] += n
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", place.Front, place.Class, place.Tenant, place.Group,
			row.Entered, row.Came, row.Went, by[account.Served], by[account.Refused], by[account.Failed], row.Open)
	}
	for i := range r.Account.Rows {
		row := &r.Account.Rows[i]
		line(row.Place, row)
		sum.Entered += row.Entered
		sum.Came += row.Came
		sum.Went += row.Went
		sum.Open += row.Open
		for k, n := range row.Ends {
			sum.Ends[k] += n
		}
	}
	line(account.Place{Front: "all"}, &sum)
	w.Flush()
	fmt.Fprintln(out)
	for reason, n := range sum.Ends {
		if n > 0 {
			fmt.Fprintf(out, "%8d  %s (%s)\n", n, account.Reason(reason), account.Reason(reason).Outcome())
		}
	}
	a := &r.Account.Asks
	fmt.Fprintf(out, "\nasks: %d, with %d retries (%d after they were served) and %d strays; served %d, refused %d, failed %d, open %d\n",
		a.Asked, a.Retries, a.Echoes, a.Strays, a.Final(account.Served), a.Final(account.Refused), a.Final(account.Failed), a.Open)
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
	if t := &r.Account.Totals; t.Taken == t.By(account.Served)+t.By(account.Refused)+t.By(account.Failed)+t.Open && len(r.Audit.Differences) == 0 {
		fmt.Fprintf(out, "%d taken = %d served + %d refused + %d failed + %d open; %d audits found nothing\n", t.Taken,
			t.By(account.Served), t.By(account.Refused), t.By(account.Failed), t.Open, r.Audit.Audits)
		return nil
	}
	fmt.Fprintln(out, "THE ACCOUNT DOES NOT ADD UP:")
	for _, d := range r.Audit.Differences {
		fmt.Fprintln(out, " ", d)
	}
	return nil
}
