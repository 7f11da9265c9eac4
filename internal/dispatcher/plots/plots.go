// Package plots draws charts of the jobs that a journal has counted. The dispatcher does not
// import it: its libraries are larger than the rest of the program.
package plots

import (
	"errors"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/accounting"
	"basaltloft/internal/dispatcher/journal"
	"basaltloft/internal/dispatcher/textchart"
	"basaltloft/internal/shared/saturating"

	"gonum.org/v1/plot/plotter"
)

// ErrNoJobs is returned by Draw when the journal has no jobs that match the query.
var ErrNoJobs = errors.New("the journal has no jobs of that time")

// minPoints is the least number of points that a chart should have: it is drawn by the
// longest interval that gives at least as many.
const minPoints = 20

// interval is a dimension of journal.Report by time.
type interval struct{ dimension, layout string }

var intervals = []interval{{"day", "2006-01-02"}, {"hour", "2006-01-02T15Z"}, {"minute", "2006-01-02T15:04Z"}}

// chooseInterval returns the longest interval that gives at least minPoints, or else the
// shortest interval.
func chooseInterval(dir journal.Directory, q journal.Query) (chosen interval, err error) {
	for _, chosen = range intervals {
		q.By = []string{chosen.dimension}
		rows, _, err := journal.Report(dir, q)
		if err != nil {
			return interval{}, err
		}
		if len(rows) >= minPoints {
			break
		}
	}
	return chosen, nil
}

// Draw writes two charts of a journal: jobs by outcome over time to the file out, and the
// latency of served jobs by class to a file with -latency in its name. The extension of out
// is .svg or .png and determines the format. Draw returns the names of the files. It returns
// ErrNoJobs if there is nothing to draw, or the error of reading the journal or of writing.
func Draw(dir journal.Directory, q journal.Query, out string) ([]string, error) {
	by, err := chooseInterval(dir, q)
	if err != nil {
		return nil, err
	}
	q.By = []string{by.dimension, "class"}
	rows, _, err := journal.Report(dir, q)
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, ErrNoJobs
	}
	s := series{outcomes: make(map[float64]*[accounting.Outcomes]float64), latencies: make(map[string]*percentiles)}
	for _, r := range rows {
		at, err := time.Parse(by.layout, r.By[0])
		if err != nil {
			return nil, err
		}
		s.add(float64(at.Unix()), r.By[1], r)
	}
	extension := filepath.Ext(out)
	latencyOut := strings.TrimSuffix(out, extension) + "-latency" + extension
	if err := errors.Join(s.outcomeChart(by).Save(out), s.latencyChart().Save(latencyOut)); err != nil {
		return nil, err
	}
	return []string{out, latencyOut}, nil
}

// series holds the data of the charts. Times are seconds since 1970.
type series struct {
	outcomes  map[float64]*[accounting.Outcomes]float64 // numbers of jobs, by time
	latencies map[string]*percentiles                   // by class
}

// percentiles are latencies in milliseconds, over time.
type percentiles struct{ p50, p95 plotter.XYs }

// add adds the row of a time and class. Rows must be added in the order of their times.
func (s *series) add(at float64, class string, row *journal.ReportRow) {
	counts := s.outcomes[at]
	if counts == nil {
		counts = new([accounting.Outcomes]float64)
		s.outcomes[at] = counts
	}
	for outcome := range accounting.Outcomes {
		counts[outcome] += float64(row.Outcome(outcome))
	}
	if row.Outcome(accounting.Served) == 0 {
		return
	}
	p := s.latencies[class]
	if p == nil {
		p = new(percentiles)
		s.latencies[class] = p
	}
	p.p50 = append(p.p50, plotter.XY{X: at, Y: milliseconds(row.P50)})
	p.p95 = append(p.p95, plotter.XY{X: at, Y: milliseconds(row.P95)})
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// outcomeChart returns a chart with a line for each outcome.
func (s *series) outcomeChart(by interval) textchart.Chart {
	chart := textchart.Chart{Title: "Jobs by outcome", X: "time (UTC)", Y: "jobs a " + by.dimension, Time: true}
	for outcome := range accounting.Outcomes {
		var points plotter.XYs
		for at, counts := range s.outcomes {
			points = append(points, plotter.XY{X: at, Y: counts[outcome]})
		}
		slices.SortFunc(points, func(a, b plotter.XY) int { return saturating.Int(a.X - b.X) })
		chart.Lines = append(chart.Lines, textchart.Line{Name: outcome.String(), Points: points, ColourIndex: int(outcome)})
	}
	return chart
}

// latencyChart returns a chart with two lines for each class.
func (s *series) latencyChart() textchart.Chart {
	const firstColour = 3 // after those of the outcomes
	chart := textchart.Chart{Title: "Latency of served jobs", X: "time (UTC)", Y: "milliseconds", Time: true}
	for n, class := range slices.Sorted(maps.Keys(s.latencies)) {
		p := s.latencies[class]
		chart.Lines = append(chart.Lines,
			textchart.Line{Name: class + " p50", Points: p.p50, ColourIndex: n + firstColour},
			textchart.Line{Name: class + " p95", Points: p.p95, ColourIndex: n + firstColour, Dashed: true})
	}
	return chart
}
