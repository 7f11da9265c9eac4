// Package draw makes plots of the lab's runs.
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

// distinct are the values of the runs in the order in which they come.
func distinct[T comparable](runs []lab.Run, of func(lab.Run) T) (all []T) {
	for _, r := range runs {
		if v := of(r); !slices.Contains(all, v) {
			all = append(all, v)
		}
	}
	return all
}

func policy(r lab.Run) string { return r.Policy }

func only(runs []lab.Run, keep func(lab.Run) bool) (some []lab.Run) {
	for _, r := range runs {
		if keep(r) {
			some = append(some, r)
		}
	}
	return some
}

// Charts draws what the runs have: goodput and median latency over the load, or
// over what was swept where that is a number, and for the heaviest of them the
// latency's distribution, goodput by the second, and the members' work by the
// second. It returns the names of the plots, which begin as out does.
func Charts(runs []lab.Run, out string) (names []string, err error) {
	if len(runs) == 0 {
		return nil, ErrNoRuns
	}
	ext := filepath.Ext(out)
	draw := func(what, title, x, y string, all []textchart.Line) {
		if err == nil && len(all) > 0 {
			name := strings.TrimSuffix(out, ext) + "-" + what + ext
			err = textchart.Chart{Title: title, X: x, Y: y, Lines: all}.Save(name)
			names = append(names, name)
		}
	}
	axis, at := axisOf(runs)
	if axis != "" {
		draw("goodput", "Work done in time", axis, "share of the work asked for", over(runs, at, func(r lab.Run) float64 { return r.Goodput }))
		draw("throughput", "Served", axis, "asks a second", over(runs, at, func(r lab.Run) float64 { return r.PerS }))
		draw("response", "Mean time of served asks", axis, "milliseconds", over(runs, at, func(r lab.Run) float64 { return r.Mean }))
		draw("latency", "Median latency of served asks", axis, "milliseconds", over(runs, at, func(r lab.Run) float64 { return r.P50 }))
	}
	last := runs[len(runs)-1]
	here := only(runs, func(r lab.Run) bool { return r.Load == last.Load && r.Set == last.Set })
	where := strings.TrimSpace(fmt.Sprintf("load %g %s", last.Load, last.Set))
	draw("distribution", "Latency of served asks, "+where, "quantile", "milliseconds", distributions(here))
	draw("seconds", "Work done in time, by the second, "+where, "seconds", "asks in time / asks", recovery(here))
	draw("members", "What members do, "+where, "seconds", "share of their cores' time", members(here))
	return names, err
}

// axisOf is what the runs differ by that can be drawn along: what was swept, if it
// has numbers, else the load.
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

// over is a line for each policy, with the means and deviations over the seeds.
func over(runs []lab.Run, at, of func(lab.Run) float64) (all []textchart.Line) {
	for _, name := range distinct(runs, policy) {
		s := textchart.Line{Name: name, ColourIndex: -1}
		own := only(runs, func(r lab.Run) bool { return r.Policy == name })
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

func distributions(runs []lab.Run) (all []textchart.Line) {
	for _, name := range distinct(runs, policy) {
		own := only(runs, func(r lab.Run) bool { return r.Policy == name })
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

// recovery is how a trouble is got over: the asks of all seeds by the second.
func recovery(runs []lab.Run) (all []textchart.Line) {
	for _, name := range distinct(runs, policy) {
		var asked, inTime []float64
		for _, r := range only(runs, func(r lab.Run) bool { return r.Policy == name }) {
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
			if asked[n] > 0 { // answers go on after the last ask
				s.Points = append(s.Points, plotter.XY{X: float64(n), Y: inTime[n] / asked[n]})
			}
		}
		if len(s.Points) > 0 {
			all = append(all, s)
		}
	}
	return all
}

// members is the least, the median and the most that any member does, for the
// first policy and seed.
func members(runs []lab.Run) (all []textchart.Line) {
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
