package metrics

import (
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/textout"
)

// Dimensions lists the dimensions by which a table can be grouped.
var Dimensions = []string{"front", "class", "tenant", "group"}

// DimensionOf returns the value of a row's key in one of the Dimensions, or "" for any other name.
func DimensionOf(key *accounting.RowKey, dimension string) string {
	switch dimension {
	case "front":
		return key.Front
	case "class":
		return key.Class
	case "tenant":
		return key.Tenant
	case "group":
		return key.Group
	}
	return ""
}

// Table writes a report as text, with the jobs grouped by some of the Dimensions. The
// columns of the jobs that moved between groups of pool members are written only if "group"
// is one of these. The returned error is the writer's.
func Table(out io.Writer, r Report, by []string) error {
	sums, keys, all := sumRows(r.Account.Rows, by)
	if err := jobTable(out, by, sums, keys, all); err != nil {
		return err
	}
	p := textout.New(out)
	p.Println()
	for number, n := range all.Ends {
		if reason := accounting.Reason(number); n > 0 {
			p.Printf("%8d  %s (%s)\n", n, reason, reason.Outcome())
		}
	}
	writeLogicalRequests(p, &r.Account.Asks)
	writeLatencies(p, r.Account.Times)
	if r.Journal != nil {
		writeJournal(p, r.Journal)
	}
	writeBalance(p, &r)
	return p.Err()
}

// sumRows adds up rows by some of the dimensions. keys holds the keys of sums in sorted
// order; each is the values of the dimensions joined by tabs. all is the sum of all rows.
func sumRows(rows []accounting.Row, by []string) (sums map[string]*accounting.Row, keys []string, all *accounting.Row) {
	sums, all = make(map[string]*accounting.Row), new(accounting.Row)
	for i := range rows {
		row := &rows[i]
		cells := make([]string, len(by))
		for k, dimension := range by {
			cells[k] = DimensionOf(&row.RowKey, dimension)
		}
		key := strings.Join(cells, "\t")
		if sums[key] == nil {
			sums[key] = new(accounting.Row)
			keys = append(keys, key)
		}
		for _, sum := range []*accounting.Row{sums[key], all} {
			sum.Add(row)
		}
	}
	slices.Sort(keys)
	return sums, keys, all
}

// jobTable writes a header, a line for each of the sums and, if there are dimensions, a line
// for the sum of all.
func jobTable(out io.Writer, by []string, sums map[string]*accounting.Row, keys []string, all *accounting.Row) error {
	withMoves := slices.Contains(by, "group")
	tabs := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := textout.New(tabs)
	head := append(slices.Clone(by), "taken")
	if withMoves {
		head = append(head, "came", "went")
	}
	p.Println(strings.Join(append(head, "served", "refused", "failed", "open"), "\t") + "\t")
	line := func(key string, row *accounting.Row) {
		var ended [accounting.Outcomes]int64
		for reason, n := range row.Ends {
			ended[accounting.Reason(reason).Outcome()] += n
		}
		if key != "" {
			key += "\t"
		}
		p.Printf("%s%d\t", key, row.Entered)
		if withMoves {
			p.Printf("%d\t%d\t", row.Came, row.Went)
		}
		p.Printf("%d\t%d\t%d\t%d\t\n", ended[accounting.Served], ended[accounting.Refused], ended[accounting.Failed], row.Open)
	}
	for _, key := range keys {
		line(key, sums[key])
	}
	if len(by) > 0 {
		line("all"+strings.Repeat("\t", len(by)-1), all)
	}
	if err := p.Err(); err != nil {
		return err
	}
	return tabs.Flush()
}

func writeLogicalRequests(p *textout.Printer, r *accounting.LogicalRequests) {
	p.Printf("\nasks: %d, with %d retries (%d after they were served) and %d strays; served %d, refused %d, failed %d, open %d\n",
		r.Asked, r.Retries, r.Echoes, r.Strays, r.Final(accounting.Served), r.Final(accounting.Refused), r.Final(accounting.Failed), r.Open)
}

func writeLatencies(p *textout.Printer, byClass map[string]accounting.LatencySnapshots) {
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	for class, t := range byClass {
		p.Printf("%s: whole p50 %.1f ms, p95 %.1f ms, p99 %.1f ms; wait p50 %.1f ms; run p50 %.1f ms\n", class,
			milliseconds(t.Whole.P50), milliseconds(t.Whole.P95), milliseconds(t.Whole.P99), milliseconds(t.Wait.P50), milliseconds(t.Run.P50))
	}
}

func writeJournal(p *textout.Printer, j *JournalState) {
	state := "writing"
	if j.Stopped {
		state = "STOPPED: " + j.Why
	}
	p.Printf("journal: epoch %d, %d records, %s\n", j.Epoch, j.Written, state)
}

// writeBalance writes the equation of the jobs taken, ended and open if it holds and the last
// audit found no difference; otherwise it writes the differences of the last audit.
func writeBalance(p *textout.Printer, r *Report) {
	t := &r.Account.Totals
	served, refused, failed := t.EndedAs(accounting.Served), t.EndedAs(accounting.Refused), t.EndedAs(accounting.Failed)
	if t.Taken == served+refused+failed+t.Open && len(r.Audit.Differences) == 0 {
		p.Printf("%d taken = %d served + %d refused + %d failed + %d open; %d audits found nothing\n",
			t.Taken, served, refused, failed, t.Open, r.Audit.Audits)
		return
	}
	p.Println("THE ACCOUNT DOES NOT ADD UP:")
	for _, d := range r.Audit.Differences {
		p.Println(" ", d)
	}
}

// Windows lists the time windows that WindowTable accepts: the current minute, hour and day,
// and the last 60 minutes and 24 hours.
var Windows = []string{"minute", "hour", "day", "last60m", "last24h"}

// windowOf returns the counts of a series in one of the Windows.
func windowOf(s *accounting.SeriesSnapshot, window string) accounting.WindowCounts {
	switch window {
	case "minute":
		return s.Minute
	case "hour":
		return s.Hour
	case "day":
		return s.Day
	case "last60m":
		return s.Hour60
	case "last24h":
		return s.Day24
	}
	return accounting.WindowCounts{}
}

// WindowTable writes the counts of one of the Windows, by front, class and tenant. The column
// "opened" holds the jobs that were open when the window began: opened + taken = ended +
// open. The returned error is the writer's.
func WindowTable(out io.Writer, r Report, window string) error {
	type series struct{ front, class, tenant string }
	open := make(map[series]int64)
	for i := range r.Account.Rows {
		row := &r.Account.Rows[i]
		open[series{row.Front, row.Class, row.Tenant}] += row.Open
	}
	tabs := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := textout.New(tabs)
	p.Println("front\tclass\ttenant\topened\ttaken\tserved\trefused\tfailed\topen\t")
	for i := range r.Account.Lines {
		line := &r.Account.Lines[i]
		counts := windowOf(line, window)
		openNow := open[series{line.Front, line.Class, line.Tenant}]
		var ended int64
		for _, n := range counts.Ends {
			ended += int64(n)
		}
		openBefore := openNow + ended - int64(counts.Accepted)
		p.Printf("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", line.Front, line.Class, line.Tenant, openBefore, counts.Accepted,
			counts.Ends[accounting.Served], counts.Ends[accounting.Refused], counts.Ends[accounting.Failed], openNow)
	}
	if err := p.Err(); err != nil {
		return err
	}
	return tabs.Flush()
}
