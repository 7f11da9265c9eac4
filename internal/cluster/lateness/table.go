package lateness

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// LateMessage is the message under which an owner logs a late job.
const LateMessage = "a job is late"

// LateJob is one late job, as it was logged.
type LateJob struct {
	ID        string
	Queue     string
	Arrived   time.Duration // time of day, from 1970
	Took      time.Duration
	Objective time.Duration
	Cost      float64 // core-seconds, as estimated when it came
	Spent     Breakdown
}

// ReadLog returns the late jobs of a log in logfmt; all other lines are passed over.
func ReadLog(from io.Reader) ([]LateJob, error) {
	var jobs []LateJob
	lines := bufio.NewScanner(from)
	const longest = 1 << 20
	lines.Buffer(nil, longest)
	for lines.Scan() {
		if found, ok := readLine(lines.Bytes()); ok {
			jobs = append(jobs, found)
		}
	}
	return jobs, errors.Wrap(lines.Err(), "read the log: give the text log of core processes")
}

func readLine(line []byte) (LateJob, bool) {
	found, late := LateJob{}, false
	decoder := logfmt.NewDecoder(bytes.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			if key == "msg" {
				late = value == LateMessage
				continue
			}
			found.take(key, value)
		}
	}
	return found, late && decoder.Err() == nil
}

// take notes one attribute of a late job's line.
func (j *LateJob) take(key, value string) {
	switch key {
	case "job":
		j.ID = value
	case "queue":
		j.Queue = value
	case "cost":
		j.Cost, _ = strconv.ParseFloat(value, 64)
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return
	}
	span := time.Duration(ms) * time.Millisecond
	switch key {
	case "came_ms":
		j.Arrived = span
	case "took_ms":
		j.Took = span
	case "owed_ms":
		j.Objective = span
	}
	if cause, ok := ParseCause(key); ok {
		j.Spent[cause] = span
	}
}

// Row is one line of a table: late jobs that share something.
type Row struct {
	Name  string
	Jobs  int
	Spent Breakdown
}

// Grouping names what late jobs are grouped by.
type Grouping struct {
	Title string
	Name  func(LateJob) string
}

// Groupings returns what a table shows: by the cause that took most, by queue, by size, and by
// window of that span from the first job's coming on.
func Groupings(jobs []LateJob, window time.Duration) []Grouping {
	first := time.Duration(0)
	costs := make([]float64, 0, len(jobs))
	for at, one := range jobs {
		if at == 0 || one.Arrived < first {
			first = one.Arrived
		}
		costs = append(costs, one.Cost)
	}
	slices.Sort(costs)
	return []Grouping{
		{"cause", func(j LateJob) string { return j.Spent.Largest().String() }},
		{"queue", func(j LateJob) string { return j.Queue }},
		{"size", func(j LateJob) string { return sizeOf(costs, j.Cost) }},
		{"from second", func(j LateJob) string {
			return fmt.Sprintf("%5d", int64((j.Arrived-first)/window)*int64(window/time.Second))
		}},
	}
}

// Parts of the late jobs, by their cost.
const (
	largestPart = 0.9 // the largest tenth
	largePart   = 0.7 // and the fifth beneath it
)

func sizeOf(sorted []float64, cost float64) string {
	at, _ := slices.BinarySearch(sorted, cost)
	switch part := float64(at) / float64(len(sorted)); {
	case part >= largestPart:
		return "largest tenth"
	case part >= largePart:
		return "next fifth"
	}
	return "others"
}

// Group returns the rows of one grouping, by name.
func Group(jobs []LateJob, by Grouping) []Row {
	rows := map[string]*Row{}
	for _, one := range jobs {
		name := by.Name(one)
		if rows[name] == nil {
			rows[name] = &Row{Name: name}
		}
		rows[name].Jobs++
		rows[name].Spent = rows[name].Spent.Plus(one.Spent)
	}
	var sorted []Row
	for _, row := range rows {
		sorted = append(sorted, *row)
	}
	slices.SortFunc(sorted, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// Print writes the tables of all groupings: mean milliseconds a job, by cause.
func Print(to io.Writer, jobs []LateJob, window time.Duration) error {
	table := tabwriter.NewWriter(to, 2, 8, 2, ' ', 0)
	for _, by := range Groupings(jobs, window) {
		fmt.Fprintf(table, "%s\tlate", by.Title)
		for cause := range CauseCount {
			fmt.Fprintf(table, "\t%s", cause)
		}
		fmt.Fprintln(table)
		for _, row := range Group(jobs, by) {
			fmt.Fprintf(table, "%s\t%d", row.Name, row.Jobs)
			for _, span := range row.Spent {
				fmt.Fprintf(table, "\t%d", (span / time.Duration(row.Jobs)).Milliseconds())
			}
			fmt.Fprintln(table)
		}
		fmt.Fprintln(table)
	}
	return errors.Wrap(table.Flush(), "write the table")
}
