package lateness

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Row is one line of a table: late jobs that share something.
type Row struct {
	Name  string
	Jobs  int
	Spent Breakdown // of all of them
}

// Grouping names what late jobs are grouped by.
type Grouping struct {
	Title string
	Name  func(LateJob) string // of the group that a job is in
}

// Groupings returns what a table shows: by the cause that took most, by queue, by size, and by
// window of that span from the first job's arrival on. The window must be a second or more.
func Groupings(jobs []LateJob, window time.Duration) []Grouping {
	first := time.Duration(0)
	costs := make([]float64, 0, len(jobs))
	for at, late := range jobs {
		if at == 0 || late.Arrived < first {
			first = late.Arrived
		}
		costs = append(costs, late.Cost)
	}
	slices.Sort(costs)
	return []Grouping{
		{"cause", func(j LateJob) string { return j.Spent.Largest().String() }},
		{"queue", func(j LateJob) string { return j.Queue }},
		{"size", func(j LateJob) string { return sizeClass(costs, j.Cost) }},
		{"from second", func(j LateJob) string {
			return fmt.Sprintf("%5d", int64((j.Arrived-first)/window)*int64(window/time.Second))
		}},
	}
}

// Quantiles of the late jobs' costs that divide them into classes.
const (
	largestQuantile = 0.9 // the largest tenth
	largeQuantile   = 0.7 // and the fifth beneath it
)

func sizeClass(sortedCosts []float64, cost float64) string {
	at, _ := slices.BinarySearch(sortedCosts, cost)
	switch quantile := float64(at) / float64(len(sortedCosts)); {
	case quantile >= largestQuantile:
		return "largest tenth"
	case quantile >= largeQuantile:
		return "next fifth"
	}
	return "others"
}

// Group returns the rows of one grouping, by name.
func Group(jobs []LateJob, by Grouping) []Row {
	rows := map[string]*Row{}
	for _, late := range jobs {
		name := by.Name(late)
		if rows[name] == nil {
			rows[name] = &Row{Name: name}
		}
		rows[name].Jobs++
		rows[name].Spent = rows[name].Spent.Plus(late.Spent)
	}
	sorted := make([]Row, 0, len(rows))
	for _, row := range rows {
		sorted = append(sorted, *row)
	}
	slices.SortFunc(sorted, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// Print writes the tables of all groupings: mean milliseconds a job, by cause. The window must be
// a second or more.
func Print(to io.Writer, jobs []LateJob, window time.Duration) error {
	var text bytes.Buffer
	table := tabwriter.NewWriter(&text, 2, 8, 2, ' ', 0)
	for _, by := range Groupings(jobs, window) {
		printGrouping(table, by.Title, Group(jobs, by))
	}
	_ = table.Flush() // a buffer takes everything
	_, err := text.WriteTo(to)
	return errors.Wrap(err, "write the table")
}

// printGrouping writes to a buffer, which takes everything: there are no errors to look at.
func printGrouping(table *tabwriter.Writer, title string, rows []Row) {
	_, _ = fmt.Fprintf(table, "%s\tlate", title)
	for cause := range CauseCount {
		_, _ = fmt.Fprintf(table, "\t%s", cause)
	}
	_, _ = fmt.Fprintln(table)
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%d", row.Name, row.Jobs)
		for _, span := range row.Spent {
			_, _ = fmt.Fprintf(table, "\t%d", (span / time.Duration(row.Jobs)).Milliseconds())
		}
		_, _ = fmt.Fprintln(table)
	}
	_, _ = fmt.Fprintln(table)
}
