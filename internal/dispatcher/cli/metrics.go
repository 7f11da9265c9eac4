package cli

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/metrics"

	"github.com/spf13/cobra"
)

// metricsCommand returns the command whose sub-commands read the current and the recorded metrics.
func metricsCommand(global *globalFlags) *cobra.Command {
	c := &cobra.Command{Use: "figures", Short: "read the account, now and of the past", Args: noArgs, RunE: showHelp}
	c.AddCommand(showCommand(global), reportCommand(global), verifyCommand(global), plotCommand(global), soakCommand(global))
	return c
}

// showFlags holds the flags of figures show.
type showFlags struct {
	address, by, window, format string
	audit                       bool
}

// dimensions checks the flags and returns the dimensions to group by.
func (f *showFlags) dimensions() ([]string, error) {
	if f.format != "table" && f.format != "json" {
		return nil, usageError{fmt.Errorf("--format is table or json, not %q", f.format)}
	}
	var dimensions []string
	if f.by != "" {
		dimensions = strings.Split(f.by, ",")
	}
	for _, d := range dimensions {
		if !slices.Contains(metrics.Dimensions, d) {
			return nil, usageError{fmt.Errorf("--by takes any of %s, not %q", strings.Join(metrics.Dimensions, ", "), d)}
		}
	}
	if f.window != "" && !slices.Contains(metrics.Windows, f.window) {
		return nil, usageError{fmt.Errorf("--window takes one of %s, not %q", strings.Join(metrics.Windows, ", "), f.window)}
	}
	return dimensions, nil
}

// showCommand returns the command that shows the metrics of a running dispatcher.
func showCommand(global *globalFlags) *cobra.Command {
	var f showFlags
	c := &cobra.Command{
		Use: "show", Short: "show the account of a running dispatcher", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			dimensions, err := f.dimensions()
			if err != nil {
				return err
			}
			if f.audit {
				var ignored json.RawMessage
				if err := getJSON(c, f.address, "/audit", &ignored); err != nil {
					return err
				}
			}
			var r metrics.Report
			if err := getJSON(c, f.address, "/figures", &r); err != nil {
				return err
			}
			if f.format == "json" {
				return writeJSON(global.stdout, r)
			}
			if f.window != "" {
				return metrics.WindowTable(global.stdout, r, f.window)
			}
			return metrics.Table(global.stdout, r, dimensions)
		},
	}
	c.Flags().StringVar(&f.address, "at", "127.0.0.1:7421", "`address` that figures.listen names")
	c.Flags().StringVar(&f.format, "format", "table", "table or json")
	c.Flags().StringVar(&f.by, "by", "front,class,tenant", "what to show by: any of "+strings.Join(metrics.Dimensions, ", "))
	c.Flags().StringVar(&f.window, "window", "", "show a stretch of time in place of all since the start: one of "+strings.Join(metrics.Windows, ", "))
	c.Flags().BoolVar(&f.audit, "audit", false, "audit the account first")
	return c
}

// getJSON decodes the JSON that the metrics listener of a running dispatcher serves at a path.
func getJSON(c *cobra.Command, at, path string, into any) error {
	req, err := http.NewRequestWithContext(c.Context(), http.MethodGet, "http://"+at+path, nil)
	if err != nil {
		return usageError{fmt.Errorf("--at: %w", err)}
	}
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("no dispatcher tells its figures there: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has only been read
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: %s", at, path, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("%s%s: %w", at, path, err)
	}
	return nil
}

// journalFlags holds the flags that select the journal, the time range and the dimensions of a report or plot.
type journalFlags struct {
	folder   string
	from, to string
	by       string
}

// register adds the flags to a command. by is the default of --by.
func (a *journalFlags) register(c *cobra.Command, by string) {
	c.Flags().StringVar(&a.folder, "folder", "", "the journal's `folder`")
	c.Flags().StringVar(&a.from, "from", "", "`time` (RFC 3339, or a date) from which jobs count")
	c.Flags().StringVar(&a.to, "to", "", "`time` before which jobs count")
	c.Flags().StringVar(&a.by, "by", by, "what to count by: any of "+strings.Join(journal.Dimensions, ", "))
}

// query checks the flags, opens the journal and returns both it and the query for it.
func (a *journalFlags) query() (journal.Directory, journal.Query, error) {
	var q journal.Query
	if a.folder == "" {
		return nil, q, usageError{fmt.Errorf("--folder is needed")}
	}
	for name, at := range map[string]struct {
		text string
		into *time.Time
	}{"--from": {a.from, &q.From}, "--to": {a.to, &q.To}} {
		if at.text == "" {
			continue
		}
		t, err := journal.ParseTime(at.text)
		if err != nil {
			return nil, q, usageError{fmt.Errorf("%s: %w", name, err)}
		}
		*at.into = t
	}
	if a.by != "" {
		q.By = strings.Split(a.by, ",")
	}
	if err := q.Validate(); err != nil {
		return nil, q, usageError{err}
	}
	f, err := journal.ReadDirectory(a.folder)
	return f, q, err
}

// reportCommand returns the command that reports the counts of a journal.
func reportCommand(global *globalFlags) *cobra.Command {
	var a journalFlags
	var format string
	c := &cobra.Command{
		Use: "report", Short: "report what a journal has counted", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			write := map[string]func(io.Writer, journal.Query, []*journal.ReportRow) error{"table": reportTable, "csv": reportCSV, "json": reportJSON}[format]
			if write == nil {
				return usageError{fmt.Errorf("--format is table, csv or json, not %q", format)}
			}
			folder, q, err := a.query()
			if err != nil {
				return err
			}
			rows, warnings, err := journal.Report(folder, q)
			if err != nil {
				return err
			}
			for _, text := range warnings {
				printf(global.stderr, "basaltloft: not all could be counted: %s\n", text)
			}
			return write(global.stdout, q, rows)
		},
	}
	a.register(c, "tenant,class")
	c.Flags().StringVar(&format, "format", "table", "table, csv or json")
	return c
}

// reportColumns lists the columns of tables and CSV that follow those of the dimensions.
var reportColumns = []string{"opened", "taken", "served", "refused", "failed", "open", "asks", "p50_ms", "p95_ms", "p99_ms", "longest_ms"}

// reportRow returns the cells of one line of a table or CSV.
func reportRow(f *journal.ReportRow) []string {
	row := append([]string(nil), f.By...)
	for _, n := range []int64{f.OpenBefore, f.Accepted, f.Outcome(accounting.Served), f.Outcome(accounting.Refused), f.Outcome(accounting.Failed), f.Open, f.LogicalRequests} {
		row = append(row, strconv.FormatInt(n, 10))
	}
	for _, d := range []time.Duration{f.P50, f.P95, f.P99, f.Longest} {
		row = append(row, strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', 1, 64))
	}
	return row
}

// reportTable writes a report as a table.
func reportTable(out io.Writer, q journal.Query, rows []*journal.ReportRow) error {
	t := newTable(out, tabwriter.AlignRight)
	t.line("%s\t", strings.Join(slices.Concat(q.By, reportColumns), "\t"))
	for _, r := range rows {
		t.line("%s\t", strings.Join(reportRow(r), "\t"))
	}
	return t.flush()
}

// reportCSV writes a report as CSV.
func reportCSV(out io.Writer, q journal.Query, rows []*journal.ReportRow) error {
	lines := [][]string{slices.Concat(q.By, reportColumns)}
	for _, r := range rows {
		lines = append(lines, reportRow(r))
	}
	return csv.NewWriter(out).WriteAll(lines)
}

// reportJSON writes a report as JSON.
func reportJSON(out io.Writer, q journal.Query, rows []*journal.ReportRow) error {
	type row struct { // these names are the keys of the JSON
		By                      map[string]string
		Opened, Taken           int64
		Reasons                 map[string]int64
		Served, Refused, Failed int64
		Open, Asks              int64
		P50, P95, P99, Longest  float64 // milliseconds
	}
	all := []row{}
	for _, f := range rows {
		r := row{By: map[string]string{}, Opened: f.OpenBefore, Taken: f.Accepted, Reasons: map[string]int64{}, Open: f.Open, Asks: f.LogicalRequests,
			Served: f.Outcome(accounting.Served), Refused: f.Outcome(accounting.Refused), Failed: f.Outcome(accounting.Failed)}
		for i, by := range q.By {
			r.By[by] = f.By[i]
		}
		for i, n := range f.Ends {
			if n > 0 {
				r.Reasons[accounting.Reason(i).String()] = n
			}
		}
		ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
		r.P50, r.P95, r.P99, r.Longest = ms(f.P50), ms(f.P95), ms(f.P99), ms(f.Longest)
		all = append(all, r)
	}
	return writeJSON(out, all)
}

// verifyCommand returns the command that recounts a journal and prints each inconsistency.
func verifyCommand(global *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use: "verify FOLDER", Short: "recount a journal and name every entry that does not add up", Args: exactlyOneArg("FOLDER"),
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := journal.ReadDirectory(args[0])
			if err != nil {
				return err
			}
			v, err := journal.Verify(f)
			if err != nil {
				return err
			}
			t := &v.Totals
			printf(global.stdout, "%d segments, %d epochs, %d records, %d jobs, %d marks of the account\n", v.Segments, v.Epochs, v.Records, v.Jobs, v.Checkpoints)
			printf(global.stdout, "%d taken = %d served + %d refused + %d failed + %d open\n", t.Taken, t.EndedAs(accounting.Served), t.EndedAs(accounting.Refused), t.EndedAs(accounting.Failed), t.Open)
			if v.TornBytes > 0 {
				printf(global.stdout, "%d torn bytes at the very end: the next start cuts them\n", v.TornBytes)
			}
			if !v.LastShutdownClean {
				printf(global.stdout, "the last epoch has not ended in order: it runs, or was cut off\n")
			}
			for _, wrong := range v.Inconsistencies {
				printf(global.stdout, "WRONG: %s\n", wrong)
			}
			if len(v.Inconsistencies) > 0 {
				return errReported
			}
			return nil
		},
	}
}

// plotCommand returns the command that runs basaltloft-plot. Plotting is a separate program so that the
// dispatcher does not depend on the plotting library.
func plotCommand(global *globalFlags) *cobra.Command {
	var a journalFlags
	var out string
	c := &cobra.Command{
		Use: "plot", Short: "plot what a journal has counted, as SVG or PNG", Args: noArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if ext := filepath.Ext(out); ext != ".svg" && ext != ".png" {
				return usageError{fmt.Errorf("--out must end in .svg or .png")}
			}
			if _, _, err := a.query(); err != nil {
				return err
			}
			return runSibling(c, global, "basaltloft-plot", "-folder", a.folder, "-from", a.from, "-to", a.to, "-out", out)
		},
	}
	a.register(c, "")
	_ = c.Flags().MarkHidden("by") // fails only for a flag that does not exist
	c.Flags().StringVar(&out, "out", "figures.svg", "`file` to write, .svg or .png; the latency by class goes to one with -latency in its name")
	return c
}
