// Package draw draws charts of the runs of package lab.
package draw

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"basaltloft/internal/dispatcher/lab"
	"basaltloft/internal/dispatcher/textchart"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot/plotter"
)

// ErrNoRuns is returned when there are no runs to draw.
var ErrNoRuns = errors.New("there are no runs to draw")

// distinct returns the distinct values of the runs, in the order of their first occurrence.
func distinct[T comparable](runs []lab.Run, valueOf func(lab.Run) T) (values []T) {
	for _, r := range runs {
		if v := valueOf(r); !slices.Contains(values, v) {
			values = append(values, v)
		}
	}
	return values
}

func policyOf(r lab.Run) string { return r.Policy }

// selectRuns returns the runs for which keep returns true.
func selectRuns(runs []lab.Run, keep func(lab.Run) bool) (selected []lab.Run) {
	for _, r := range runs {
		if keep(r) {
			selected = append(selected, r)
		}
	}
	return selected
}

// Charts draws the charts that the runs have data for: goodput, throughput, mean and median
// latency over the load, or over the swept value if that is a number; and, for the load and
// swept value of the last run, the distribution of the latency, the goodput per second, and
// the utilization of the members per second. It returns the names of the files, which are
// out with the chart's name before the extension, .svg or .png. The error is ErrNoRuns or an
// error of writing a file.
func Charts(runs []lab.Run, out string) (files []string, err error) {
	if len(runs) == 0 {
		return nil, ErrNoRuns
	}
	extension := filepath.Ext(out)
	save := func(what, title, x, y string, all []textchart.Line) {
		if err == nil && len(all) > 0 {
			name := strings.TrimSuffix(out, extension) + "-" + what + extension
			err = textchart.Chart{Title: title, X: x, Y: y, Lines: all}.Save(name)
			files = append(files, name)
		}
	}
	axis, value := axisOf(runs)
	if axis != "" {
		save("goodput", "Work done in time", axis, "share of the work asked for", meansOver(runs, value, func(r lab.Run) float64 { return r.Goodput }))
		save("throughput", "Served", axis, "asks a second", meansOver(runs, value, func(r lab.Run) float64 { return r.PerS }))
		save("response", "Mean time of served asks", axis, "milliseconds", meansOver(runs, value, func(r lab.Run) float64 { return r.Mean }))
		save("latency", "Median latency of served asks", axis, "milliseconds", meansOver(runs, value, func(r lab.Run) float64 { return r.P50 }))
	}
	last := runs[len(runs)-1]
	atLast := selectRuns(runs, func(r lab.Run) bool { return r.Load == last.Load && r.Set == last.Set })
	label := strings.TrimSpace(fmt.Sprintf("load %g %s", last.Load, last.Set))
	save("distribution", "Latency of served asks, "+label, "quantile", "milliseconds", latencyDistributions(atLast))
	save("seconds", "Work done in time, by the second, "+label, "seconds", "asks in time / asks", goodputBySecond(atLast))
	save("members", "What members do, "+label, "seconds", "share of their cores' time", memberUtilization(atLast))
	return files, err
}

// axisOf returns the name of the X axis and a function that returns a run's value on it: the
// swept value if there are several and they are numbers, else the load. The name is empty if
// all runs have the same load.
func axisOf(runs []lab.Run) (name string, valueOf func(lab.Run) float64) {
	swept := func(r lab.Run) (string, float64, bool) {
		path, value, _ := strings.Cut(r.Set, "=")
		value, _, _ = strings.Cut(value, " ")
		x, err := strconv.ParseFloat(value, 64)
		return path, x, err == nil
	}
	path, _, number := swept(runs[0])
	if sets := distinct(runs, func(r lab.Run) string { return r.Set }); len(sets) > 1 && number {
		return path, func(r lab.Run) float64 { _, x, _ := swept(r); return x }
	}
	if len(distinct(runs, func(r lab.Run) float64 { return r.Load })) > 1 {
		return "load", func(r lab.Run) float64 { return r.Load }
	}
	return "", nil
}

// meansOver returns a line for each policy: the means of a value over the seeds, with their
// standard deviations as error bars.
func meansOver(runs []lab.Run, xOf, valueOf func(lab.Run) float64) (lines []textchart.Line) {
	for _, name := range distinct(runs, policyOf) {
		s := textchart.Line{Name: name, ColourIndex: -1}
		own := selectRuns(runs, func(r lab.Run) bool { return r.Policy == name })
		for _, x := range distinct(own, xOf) {
			var values []float64
			for _, r := range own {
				if xOf(r) == x {
					values = append(values, valueOf(r))
				}
			}
			mean, sd := stat.MeanStdDev(values, nil)
			if len(values) == 1 {
				sd = 0
			}
			s.Points, s.ErrorBars = append(s.Points, plotter.XY{X: x, Y: mean}), append(s.ErrorBars, sd)
		}
		lines = append(lines, s)
	}
	return lines
}

// latencyDistributions returns a line for each policy: the means of the latency percentiles
// over the seeds.
func latencyDistributions(runs []lab.Run) (lines []textchart.Line) {
	for _, name := range distinct(runs, policyOf) {
		own := selectRuns(runs, func(r lab.Run) bool { return r.Policy == name })
		s := textchart.Line{Name: name, ColourIndex: -1}
		for i, q := range own[0].Latency {
			sum := 0.0
			for _, r := range own {
				sum += r.Latency[i][1]
			}
			s.Points = append(s.Points, plotter.XY{X: q[0], Y: sum / float64(len(own))})
		}
		if len(s.Points) > 0 {
			lines = append(lines, s)
		}
	}
	return lines
}

// goodputBySecond returns a line for each policy: the share of the requests of all seeds that
// were answered in time, by second. The line shows how long the effects of a fault last.
func goodputBySecond(runs []lab.Run) (lines []textchart.Line) {
	for _, name := range distinct(runs, policyOf) {
		var asked, inTime []float64
		for _, r := range selectRuns(runs, func(r lab.Run) bool { return r.Policy == name }) {
			for n, second := range r.Seconds {
				if n == len(asked) {
					asked, inTime = append(asked, 0), append(inTime, 0)
				}
				asked[n] += float64(second.Asked)
				inTime[n] += float64(second.InTime)
			}
		}
		s := textchart.Line{Name: name, ColourIndex: -1}
		for n := range asked {
			if asked[n] > 0 { // in the last seconds there may be answers but no requests
				s.Points = append(s.Points, plotter.XY{X: float64(n), Y: inTime[n] / asked[n]})
			}
		}
		if len(s.Points) > 0 {
			lines = append(lines, s)
		}
	}
	return lines
}

// memberUtilization returns lines with the lowest, the median and the highest utilization of
// the members, by second, for the first run.
func memberUtilization(runs []lab.Run) (lines []textchart.Line) {
	rows := runs[0].Members
	if len(rows) == 0 {
		return nil
	}
	for n, name := range []string{"least", "median", "most"} {
		s := textchart.Line{Name: runs[0].Policy + ", " + name, Dashed: n != 1, ColourIndex: -1}
		for second, row := range rows {
			sorted := slices.Sorted(slices.Values(row))
			s.Points = append(s.Points, plotter.XY{X: float64(second), Y: sorted[n*(len(sorted)-1)/2]})
		}
		lines = append(lines, s)
	}
	return lines
}
