// Package plots draws what a journal has counted. It is kept out of the
// dispatcher: its libraries weigh more than all the rest of it.
package plots

import (
	"errors"
	"fmt"
	"image/color"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"basaltloft/internal/account"
	"basaltloft/internal/journal"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// stretch is the query's dimension that gives 20 points or more, and how its
// names are read.
func stretch(f journal.Folder, q journal.Query) (by, layout string, err error) {
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

// ErrNothing says that there is nothing to draw.
var ErrNothing = errors.New("the journal has no jobs of that time")

var colours = []color.Color{
	color.RGBA{0x1b, 0x7a, 0x3d, 0xff}, color.RGBA{0xc8, 0x85, 0x00, 0xff}, color.RGBA{0xb0, 0x1e, 0x2e, 0xff},
	color.RGBA{0x1f, 0x4e, 0x9a, 0xff}, color.RGBA{0x6a, 0x3d, 0x9a, 0xff}, color.RGBA{0x33, 0x33, 0x33, 0xff},
}

func fresh(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.X.Label.Text = title, y, "time (UTC)"
	p.X.Tick.Marker = plot.TimeTicks{Format: "01-02\n15:04", Time: plot.UTCUnixTime}
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	p.Y.Min = 0
	return p
}

func line(p *plot.Plot, name string, points plotter.XYs, n int, dashed bool) error {
	l, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	l.Color = colours[n%len(colours)]
	dots.Color, dots.Radius = l.Color, vg.Points(1.5)
	if dashed {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(l, dots)
	p.Legend.Add(name, l)
	return nil
}

// Draw writes two plots: jobs by outcome over time to out, and the latency of
// served jobs by class to the same name with -latency in it. The names' ending
// says what they are: .svg or .png. It returns the names.
func Draw(f journal.Folder, q journal.Query, out string) ([]string, error) {
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
		return nil, ErrNothing
	}
	outcomes := make(map[float64]*[account.Outcomes]float64)
	latency := make(map[string]map[string]plotter.XYs)
	for _, r := range rows {
		t, err := time.Parse(layout, r.By[0])
		if err != nil {
			return nil, err
		}
		x := float64(t.Unix())
		if outcomes[x] == nil {
			outcomes[x] = new([account.Outcomes]float64)
		}
		for o := range account.Outcomes {
			outcomes[x][o] += float64(r.Outcome(o))
		}
		if r.Outcome(account.Served) > 0 {
			of := latency[r.By[1]]
			if of == nil {
				of = make(map[string]plotter.XYs)
				latency[r.By[1]] = of
			}
			of["p50"] = append(of["p50"], plotter.XY{X: x, Y: r.P50.Seconds() * 1000})
			of["p95"] = append(of["p95"], plotter.XY{X: x, Y: r.P95.Seconds() * 1000})
		}
	}
	counts := fresh("Jobs by outcome", "jobs a "+by)
	for o := range account.Outcomes {
		var points plotter.XYs
		for x, n := range outcomes {
			points = append(points, plotter.XY{X: x, Y: n[o]})
		}
		slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
		if err := line(counts, o.String(), points, int(o), false); err != nil {
			return nil, err
		}
	}
	times := fresh("Latency of served jobs", "milliseconds")
	var classes []string
	for class := range latency {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	for n, class := range classes {
		for _, p := range []string{"p50", "p95"} {
			if err := line(times, class+" "+p, latency[class][p], n+3, p == "p95"); err != nil {
				return nil, err
			}
		}
	}
	ext := filepath.Ext(out)
	second := strings.TrimSuffix(out, ext) + "-latency" + ext
	for name, p := range map[string]*plot.Plot{out: counts, second: times} {
		if err := p.Save(24*vg.Centimeter, 12*vg.Centimeter, name); err != nil {
			return nil, fmt.Errorf("drawing %s: %w", name, err)
		}
	}
	return []string{out, second}, nil
}
