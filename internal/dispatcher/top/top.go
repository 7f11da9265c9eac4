// Package top is a live view of a running dispatcher in the terminal: sums,
// rates, classes, groups, queues, sets and workers. It is kept out of the
// dispatcher: its libraries are for a tool alone.
package top

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/faktory/client"
	"basaltloft/internal/dispatcher/metrics"

	tea "github.com/charmbracelet/bubbletea"
)

// Sample is what was read at a moment. What could not be read has an error.
type Sample struct {
	At       time.Time
	Figures  *metrics.Report
	Faktory  *client.Info
	Workers  []client.Worker
	Problems []string
}

// Source reads a dispatcher. An empty address is not read.
type Source struct{ MetricsAddr, FaktoryAddr, Password string }

const readWithin = 2 * time.Second

// Read reads now.
func (s Source) Read(now time.Time) (r Sample) {
	r.At = now
	if s.MetricsAddr != "" {
		r.Figures = new(metrics.Report)
		web := http.Client{Timeout: readWithin}
		resp, err := web.Get("http://" + s.MetricsAddr + "/figures")
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(r.Figures)
			resp.Body.Close()
		}
		if err != nil {
			r.Figures, r.Problems = nil, append(r.Problems, "figures: "+err.Error())
		}
	}
	if s.FaktoryAddr != "" {
		until := now.Add(readWithin)
		r.Faktory = new(client.Info)
		conn, err := client.Dial(s.FaktoryAddr, s.Password, until)
		if err == nil {
			defer conn.Close()
			if err = conn.Query("INFO", r.Faktory, until); err == nil {
				err = conn.Query("SHOW workers", &r.Workers, until)
			}
		}
		if err != nil {
			r.Faktory, r.Problems = nil, append(r.Problems, "faktory: "+err.Error())
		}
	}
	return r
}

// Model is the view. It implements tea.Model.
type Model struct {
	source Source
	every  time.Duration
	last   Sample
	before Sample
	paused bool
	height int
	by     int // the first dimension of the table
}

// New returns a view that reads at intervals.
func New(s Source, every time.Duration) *Model { return &Model{source: s, every: every, height: 40} }

type tick struct{}

// Init implements tea.Model.
func (m *Model) Init() tea.Cmd { return m.read }

func (m *Model) read() tea.Msg { return m.source.Read(time.Now()) }

// Update implements tea.Model.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyMsg:
		switch msg.String() {
		case "q", "ctrl+c", "esc":
			return m, tea.Quit
		case "p", " ":
			if m.paused = !m.paused; !m.paused {
				return m, m.read
			}
		case "tab":
			m.by = (m.by + 1) % len(metrics.Dimensions)
		}
	case tea.WindowSizeMsg:
		m.height = msg.Height
	case Sample:
		m.before, m.last = m.last, msg
		if !m.paused {
			return m, tea.Tick(m.every, func(time.Time) tea.Msg { return tick{} })
		}
	case tick:
		if !m.paused {
			return m, m.read
		}
	}
	return m, nil
}

// View implements tea.Model.
func (m *Model) View() string {
	var b strings.Builder
	r := m.last
	if r.At.IsZero() {
		return "reading ...\n"
	}
	state := ""
	if m.paused {
		state = " (stopped)"
	}
	fmt.Fprintf(&b, "basaltloft top  %s%s   q ends, p stops, tab changes the table\n", r.At.Format(time.TimeOnly), state)
	for _, p := range r.Problems {
		fmt.Fprintf(&b, "! %s\n", p)
	}
	if r.Figures != nil {
		m.sums(&b)
	}
	if r.Faktory != nil {
		m.faktory(&b)
	}
	lines := strings.Split(strings.TrimRight(b.String(), "\n"), "\n")
	return strings.Join(lines[:min(len(lines), max(1, m.height-1))], "\n") + "\n"
}

// rate is how fast a count grew between the last two readings, a second.
func (m *Model) rate(now, before int64) float64 {
	span := m.last.At.Sub(m.before.At).Seconds()
	if m.before.At.IsZero() || span <= 0 || now < before { // it has started anew
		return 0
	}
	return float64(now-before) / span
}

func (m *Model) sums(b *strings.Builder) {
	r := m.last.Figures
	t := &r.Account.Totals
	var old accounting.Totals
	if m.before.Figures != nil {
		old = m.before.Figures.Account.Totals
	}
	verdict := fmt.Sprintf("%d audits found nothing", r.Audit.Audits)
	if len(r.Audit.Differences) > 0 {
		verdict = "THE ACCOUNT DOES NOT ADD UP: " + r.Audit.Differences[0].String()
	}
	fmt.Fprintf(b, "\n%s up %s   taken %d = served %d + refused %d + failed %d + open %d   %s\n", r.Name, r.Account.At.Sub(r.Started).Round(time.Second),
		t.Taken, t.EndedAs(accounting.Served), t.EndedAs(accounting.Refused), t.EndedAs(accounting.Failed), t.Open, verdict)
	fmt.Fprintf(b, "a second: taken %.1f, served %.1f, refused %.1f, failed %.1f\n", m.rate(t.Taken, old.Taken),
		m.rate(t.EndedAs(accounting.Served), old.EndedAs(accounting.Served)), m.rate(t.EndedAs(accounting.Refused), old.EndedAs(accounting.Refused)), m.rate(t.EndedAs(accounting.Failed), old.EndedAs(accounting.Failed)))
	if j := r.Journal; j != nil && j.Stopped {
		fmt.Fprintf(b, "! the journal has stopped: %s\n", j.Why)
	}
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nclass\twhole p50\tp95\tp99\twait p50\trun p50\t")
	for _, class := range slices.Sorted(maps.Keys(r.Account.Times)) {
		s := r.Account.Times[class]
		ms := func(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t\n", class, ms(s.Whole.P50), ms(s.Whole.P95), ms(s.Whole.P99), ms(s.Wait.P50), ms(s.Run.P50))
	}
	w.Flush()
	type sum struct{ taken, served, refused, failed, open int64 }
	by := metrics.Dimensions[m.by]
	table := map[string]*sum{}
	for i := range r.Account.Rows {
		row := &r.Account.Rows[i]
		name := map[string]string{"front": row.Front, "class": row.Class, "tenant": row.Tenant, "group": row.Group}[by]
		at := table[name]
		if at == nil {
			at = new(sum)
			table[name] = at
		}
		at.taken += row.Entered + row.Came
		at.open += row.Open
		for i, n := range row.Ends {
			switch accounting.Reason(i).Outcome() {
			case accounting.Served:
				at.served += n
			case accounting.Refused:
				at.refused += n
			case accounting.Failed:
				at.failed += n
			}
		}
		if by != "group" { // what came moved within it
			at.taken -= row.Came
		}
	}
	w = tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "\n%s\ttaken\tserved\trefused\tfailed\topen\t\n", by)
	for _, name := range slices.Sorted(maps.Keys(table)) {
		s := table[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t\n", name, s.taken, s.served, s.refused, s.failed, s.open)
	}
	w.Flush()
	out := map[string]int64{}
	for _, f := range r.Account.Flows {
		out[f.Group] += f.Out
	}
	b.WriteString("\nflows out by group:")
	for _, group := range slices.Sorted(maps.Keys(out)) {
		fmt.Fprintf(b, "  %s %d", group, out[group])
	}
	b.WriteString("\n")
}

func (m *Model) faktory(b *strings.Builder) {
	i, old := &m.last.Faktory.Faktory, &client.Info{}
	if m.before.Faktory != nil {
		old = m.before.Faktory
	}
	fmt.Fprintf(b, "\nfaktory: %d queued, %d at workers, %d scheduled, %d retries, %d dead, %d batches, %.1f MB wait; a second: pushed %.1f, processed %.1f, failed %.1f\n",
		i.Enqueued, i.Working, i.Tasks["Scheduled"].Size, i.Tasks["Retries"].Size, i.Tasks["Dead"].Size, i.Batches, float64(i.WaitingBytes)/(1<<20),
		m.rate(int64(i.Pushed), int64(old.Faktory.Pushed)), m.rate(int64(i.Processed), int64(old.Faktory.Processed)), m.rate(int64(i.Failures), int64(old.Faktory.Failures)))
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "queue\twaiting\t\t")
	for _, q := range slices.Sorted(maps.Keys(i.Queues)) {
		state := ""
		if slices.Contains(i.Paused, q) {
			state = "paused"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t\n", q, i.Queues[q], state)
	}
	w.Flush()
	w = tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nworker\thost\tholding\tconnections\tlast beat\tqueues")
	for _, x := range m.last.Workers {
		name := x.ID
		if x.Quiet {
			name += " (quiet)"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s ago\t%s\n", name, x.Host, x.HeldJobs, x.Connections, m.last.At.Sub(x.LastHeartbeat).Round(time.Second), strings.Join(x.Queues, " "))
	}
	w.Flush()
}
