// Package plots draws what a journal has counted. It is kept out of the
// dispatcher: its libraries weigh more than all the rest of it.
package plots

import (
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/textchart"

	"gonum.org/v1/plot/plotter"
)

// stretch is the query's dimension that gives 20 points or more, and how its
// names are read.
func stretch(f journal.Directory, q journal.Query) (by, layout string, err error) {
	for _, s := range [][2]string{{"day", "2006-01-02"}, {"hour", "2006-01-02T15Z"}, {"minute", "2006-01-02T15:04Z"}} {
		q.By = []string{s[0]}
		rows, _, err := journal.Report(f, q)
		if err != nil {
			return "", "", err
		}
		if by, layout = s[0], s[1]; len(rows) >= 20 {
			break
		}
	}
	return by, layout, nil
}

// ErrNoJobs says that there is nothing to draw.
var ErrNoJobs = errors.New("the journal has no jobs of that time")

// Draw writes two plots: jobs by outcome over time to out, and the latency of
// served jobs by class to the same name with -latency in it. The names' ending
// says what they are: .svg or .png. It returns the names.
func Draw(f journal.Directory, q journal.Query, out string) ([]string, error) {
	by, layout, err := stretch(f, q)
	if err != nil {
		return nil, err
	}
	q.By = []string{by, "class"}
	rows, _, err := journal.Report(f, q)
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, ErrNoJobs
	}
	outcomes := make(map[float64]*[accounting.Outcomes]float64)
	latency := make(map[string]map[string]plotter.XYs)
	for _, r := range rows {
		t, err := time.Parse(layout, r.By[0])
		if err != nil {
			return nil, err
		}
		x := float64(t.Unix())
		if outcomes[x] == nil {
			outcomes[x] = new([accounting.Outcomes]float64)
		}
		for o := range accounting.Outcomes {
			outcomes[x][o] += float64(r.Outcome(o))
		}
		if r.Outcome(accounting.Served) > 0 {
			of := latency[r.By[1]]
			if of == nil {
				of = make(map[string]plotter.XYs)
				latency[r.By[1]] = of
			}
			of["p50"] = append(of["p50"], plotter.XY{X: x, Y: r.P50.Seconds() * 1000})
			of["p95"] = append(of["p95"], plotter.XY{X: x, Y: r.P95.Seconds() * 1000})
		}
	}
	counts := textchart.Chart{Title: "Jobs by outcome", X: "time (UTC)", Y: "jobs a " + by, Time: true}
	for o := range accounting.Outcomes {
		var points plotter.XYs
		for x, n := range outcomes {
			points = append(points, plotter.XY{X: x, Y: n[o]})
		}
		slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
		counts.Lines = append(counts.Lines, textchart.Line{Name: o.String(), Points: points, ColourIndex: int(o)})
	}
	times := textchart.Chart{Title: "Latency of served jobs", X: "time (UTC)", Y: "milliseconds", Time: true}
	var classes []string
	for class := range latency {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	for n, class := range classes {
		for _, p := range []string{"p50", "p95"} {
			times.Lines = append(times.Lines, textchart.Line{Name: class + " " + p, Points: latency[class][p], ColourIndex: n + 3, Dashed: p == "p95"})
		}
	}
	ext := filepath.Ext(out)
	second := strings.TrimSuffix(out, ext) + "-latency" + ext
	for name, c := range map[string]textchart.Chart{out: counts, second: times} {
		if err := c.Save(name); err != nil {
			return nil, err
		}
	}
	return []string{out, second}, nil
}
