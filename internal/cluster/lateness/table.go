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

// Row is one line of a table: a group of late jobs.
type Row struct {
	Name  string // of the group
	Jobs  int
	Spent Breakdown // sum over all jobs
}

// Grouping is a criterion by which late jobs are grouped.
type Grouping struct {
	Title string
	Name  func(LateJob) string // name of a job's group
}

// Groupings returns the groupings of the tables: by the cause with the most time, by queue, by size, and by time
// window, counted from the first job's arrival. The window must be a second or more.
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

// Quantiles of the late jobs' costs that separate the size classes.
const (
	largestQuantile = 0.9 // lower limit of the largest tenth
	largeQuantile   = 0.7 // lower limit of the next fifth
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

// Group returns the rows of one grouping, sorted by name.
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

// Print writes the tables of all groupings, with the mean milliseconds per job by cause. The window must be a
// second or more.
func Print(to io.Writer, jobs []LateJob, window time.Duration) error {
	var text bytes.Buffer
	table := tabwriter.NewWriter(&text, 2, 8, 2, ' ', 0)
	for _, by := range Groupings(jobs, window) {
		printGrouping(table, by.Title, Group(jobs, by))
	}
	_ = table.Flush() // writing to a buffer never fails
	_, err := text.WriteTo(to)
	return errors.Wrap(err, "write the table")
}

// printGrouping writes the table of one grouping. It ignores errors, since the table writes to a buffer, which
// never fails.
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
