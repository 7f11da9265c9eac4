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

// ErrNoRuns says that there are no runs to draw.
var ErrNoRuns = errors.New("there are no runs to draw")

// distinct are the values of some runs, in the order in which they occur.
func distinct[T comparable](runs []lab.Run, of func(lab.Run) T) (all []T) {
	for _, r := range runs {
		if v := of(r); !slices.Contains(all, v) {
			all = append(all, v)
		}
	}
	return all
}

func policyOf(r lab.Run) string { return r.Policy }

// selectRuns are the runs to which a condition applies.
func selectRuns(runs []lab.Run, keep func(lab.Run) bool) (some []lab.Run) {
	for _, r := range runs {
		if keep(r) {
			some = append(some, r)
		}
	}
	return some
}

// Charts draws what the runs have: goodput, throughput and latency over the load, or over
// the value that was swept if that is a number; and, for the last load and value, the
// distribution of the latency, goodput by the second, and the utilization of members by the
// second. It returns the names of the files, which begin as out does and have its
// extension, .svg or .png. The error is ErrNoRuns or one of writing.
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

// axisOf is the X axis of the runs, and each run's value on it: the value that was swept if
// that is a number, else the load. The name is empty if all runs have the same.
func axisOf(runs []lab.Run) (name string, at func(lab.Run) float64) {
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

// meansOver has a line for each policy: the means of a value over the seeds, with standard
// deviations.
func meansOver(runs []lab.Run, at, of func(lab.Run) float64) (all []textchart.Line) {
	for _, name := range distinct(runs, policyOf) {
		s := textchart.Line{Name: name, ColourIndex: -1}
		own := selectRuns(runs, func(r lab.Run) bool { return r.Policy == name })
		for _, x := range distinct(own, at) {
			var values []float64
			for _, r := range own {
				if at(r) == x {
					values = append(values, of(r))
				}
			}
			mean, sd := stat.MeanStdDev(values, nil)
			if len(values) == 1 {
				sd = 0
			}
			s.Points, s.ErrorBars = append(s.Points, plotter.XY{X: x, Y: mean}), append(s.ErrorBars, sd)
		}
		all = append(all, s)
	}
	return all
}

// latencyDistributions has a line for each policy: the means of the percentiles over the
// seeds.
func latencyDistributions(runs []lab.Run) (all []textchart.Line) {
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
			all = append(all, s)
		}
	}
	return all
}

// goodputBySecond has a line for each policy, over the requests of all seeds: it shows how
// long a fault has effects.
func goodputBySecond(runs []lab.Run) (all []textchart.Line) {
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
			if asked[n] > 0 { // answers come after the last request too
				s.Points = append(s.Points, plotter.XY{X: float64(n), Y: inTime[n] / asked[n]})
			}
		}
		if len(s.Points) > 0 {
			all = append(all, s)
		}
	}
	return all
}

// memberUtilization has the least, the median and the highest utilization of the members,
// for the first policy and seed.
func memberUtilization(runs []lab.Run) (all []textchart.Line) {
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
		all = append(all, s)
	}
	return all
}
