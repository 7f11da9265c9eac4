package top

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/faktory/client"
	"basaltloft/internal/dispatcher/metrics"
	"basaltloft/internal/dispatcher/textout"
)

// writeTable aligns the cells of the lines that write prints; cells are separated by tabs.
// Writes to a strings.Builder don't fail, so Flush returns no error.
func writeTable(b *strings.Builder, flags uint, write func(p *textout.Printer)) {
	tabs := tabwriter.NewWriter(b, 0, 0, 2, ' ', flags)
	write(textout.New(tabs))
	_ = tabs.Flush()
}

// rate returns the growth of a count between the two samples, per second. It returns 0 for a
// count that fell, since it is then the count of a new process.
func (m *Model) rate(now, before int64) float64 {
	span := m.current.At.Sub(m.previous.At).Seconds()
	if m.previous.At.IsZero() || span <= 0 || now < before {
		return 0
	}
	return float64(now-before) / span
}

// metrics writes the report of the ledger: totals, latencies, jobs and flows.
func (m *Model) metrics(b *strings.Builder) {
	r := m.current.Figures
	m.totals(b, r)
	if j := r.Journal; j != nil && j.Stopped {
		fmt.Fprintf(b, "! the journal has stopped: %s\n", j.Why)
	}
	writeLatencies(b, r.Account.Times)
	writeJobs(b, r.Account.Rows, metrics.Dimensions[m.dimension])
	writeFlows(b, r.Account.Flows)
}

// totals writes the totals, whether they balance, and their rates.
func (m *Model) totals(b *strings.Builder, r *metrics.Report) {
	now := &r.Account.Totals
	var before accounting.Totals
	if m.previous.Figures != nil {
		before = m.previous.Figures.Account.Totals
	}
	auditResult := fmt.Sprintf("%d audits found nothing", r.Audit.Audits)
	if len(r.Audit.Differences) > 0 {
		auditResult = "THE ACCOUNT DOES NOT ADD UP: " + r.Audit.Differences[0].String()
	}
	rate := func(o accounting.Outcome) float64 { return m.rate(now.EndedAs(o), before.EndedAs(o)) }
	fmt.Fprintf(b, "\n%s up %s   taken %d = served %d + refused %d + failed %d + open %d   %s\n",
		r.Name, r.Account.At.Sub(r.Started).Round(time.Second), now.Taken,
		now.EndedAs(accounting.Served), now.EndedAs(accounting.Refused), now.EndedAs(accounting.Failed), now.Open, auditResult)
	fmt.Fprintf(b, "a second: taken %.1f, served %.1f, refused %.1f, failed %.1f\n",
		m.rate(now.Taken, before.Taken), rate(accounting.Served), rate(accounting.Refused), rate(accounting.Failed))
}

func writeLatencies(b *strings.Builder, byClass map[string]accounting.LatencySnapshots) {
	milliseconds := func(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }
	writeTable(b, tabwriter.AlignRight, func(p *textout.Printer) {
		p.Println("\nclass\twhole p50\tp95\tp99\twait p50\trun p50\t")
		for _, class := range slices.Sorted(maps.Keys(byClass)) {
			l := byClass[class]
			p.Printf("%s\t%s\t%s\t%s\t%s\t%s\t\n", class, milliseconds(l.Whole.P50), milliseconds(l.Whole.P95), milliseconds(l.Whole.P99),
				milliseconds(l.Wait.P50), milliseconds(l.Run.P50))
		}
	})
}

// jobSums are the numbers of jobs in a line of the table.
type jobSums struct {
	taken, open int64
	ended       [accounting.Outcomes]int64
}

// writeJobs writes the jobs by a dimension. Jobs that moved in from another group count as
// taken only if the table is by group: by any other dimension they are already counted, in
// the row that they moved from.
func writeJobs(b *strings.Builder, rows []accounting.Row, dimension string) {
	table := make(map[string]*jobSums)
	for i := range rows {
		row := &rows[i]
		name := metrics.DimensionOf(&row.RowKey, dimension)
		sums := table[name]
		if sums == nil {
			sums = new(jobSums)
			table[name] = sums
		}
		sums.taken += row.Entered
		if dimension == "group" {
			sums.taken += row.Came
		}
		sums.open += row.Open
		for reason, n := range row.Ends {
			sums.ended[accounting.Reason(reason).Outcome()] += n
		}
	}
	writeTable(b, tabwriter.AlignRight, func(p *textout.Printer) {
		p.Printf("\n%s\ttaken\tserved\trefused\tfailed\topen\t\n", dimension)
		for _, name := range slices.Sorted(maps.Keys(table)) {
			s := table[name]
			p.Printf("%s\t%d\t%d\t%d\t%d\t%d\t\n", name, s.taken,
				s.ended[accounting.Served], s.ended[accounting.Refused], s.ended[accounting.Failed], s.open)
		}
	})
}

func writeFlows(b *strings.Builder, flows []accounting.FlowCounts) {
	inFlight := make(map[string]int64)
	for i := range flows {
		inFlight[flows[i].Group] += flows[i].Out
	}
	b.WriteString("\nflows out by group:")
	for _, group := range slices.Sorted(maps.Keys(inFlight)) {
		fmt.Fprintf(b, "  %s %d", group, inFlight[group])
	}
	b.WriteString("\n")
}

// faktory writes the state of the Faktory front: totals, queues and workers.
func (m *Model) faktory(b *strings.Builder) {
	now, before := &m.current.Faktory.Faktory, &client.Info{}
	if m.previous.Faktory != nil {
		before = m.previous.Faktory
	}
	fmt.Fprintf(b, "\nfaktory: %d queued, %d at workers, %d scheduled, %d retries, %d dead, %d batches, %.1f MB wait; a second: pushed %.1f, processed %.1f, failed %.1f\n",
		now.Enqueued, now.Working, now.Tasks["Scheduled"].Size, now.Tasks["Retries"].Size, now.Tasks["Dead"].Size, now.Batches, float64(now.WaitingBytes)/(1<<20),
		m.rate(int64(now.Pushed), int64(before.Faktory.Pushed)), m.rate(int64(now.Processed), int64(before.Faktory.Processed)),
		m.rate(int64(now.Failures), int64(before.Faktory.Failures)))
	writeTable(b, tabwriter.AlignRight, func(p *textout.Printer) {
		p.Println("queue\twaiting\t\t")
		for _, queue := range slices.Sorted(maps.Keys(now.Queues)) {
			state := ""
			if slices.Contains(now.Paused, queue) {
				state = "paused"
			}
			p.Printf("%s\t%d\t%s\t\n", queue, now.Queues[queue], state)
		}
	})
	writeTable(b, 0, func(p *textout.Printer) {
		p.Println("\nworker\thost\tholding\tconnections\tlast beat\tqueues")
		for i := range m.current.Workers {
			w := &m.current.Workers[i]
			name := w.ID
			if w.Quiet {
				name += " (quiet)"
			}
			p.Printf("%s\t%s\t%d\t%d\t%s ago\t%s\n", name, w.Host, w.HeldJobs, w.Connections,
				m.current.At.Sub(w.LastHeartbeat).Round(time.Second), strings.Join(w.Queues, " "))
		}
	})
}
