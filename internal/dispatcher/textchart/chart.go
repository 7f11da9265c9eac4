// Package textchart draws line charts, for every plot of the project's tools. The
// dispatcher does not import it: its library is larger than the rest of the program.
package textchart

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Chart is a chart of lines. Its Y axis begins at zero; its X axis is numbers unless Time
// or Categories is set.
type Chart struct {
	Title, X, Y string   // X and Y are the titles of the axes
	Time        bool     // the X axis is seconds since 1970
	Categories  []string // the X axis is numbers of these; nil: it is not
	Lines       []Line
}

// Line is one line of a chart.
type Line struct {
	Name        string
	Points      plotter.XYs
	ErrorBars   []float64 // half the height of each point's error bar; nil: none
	Dashed      bool
	ColourIndex int // in the palette; below 0: the line's number in the chart
}

// palette are the colours of lines, used in turn.
var palette = []color.Color{
	color.RGBA{0x1b, 0x7a, 0x3d, 0xff}, color.RGBA{0xc8, 0x85, 0x00, 0xff}, color.RGBA{0xb0, 0x1e, 0x2e, 0xff}, color.RGBA{0x1f, 0x4e, 0x9a, 0xff},
	color.RGBA{0x6a, 0x3d, 0x9a, 0xff}, color.RGBA{0x33, 0x33, 0x33, 0xff}, color.RGBA{0x00, 0x8b, 0x8b, 0xff}, color.RGBA{0x80, 0x60, 0x40, 0xff},
}

// Size of a chart.
const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Save writes a chart to a file, whose extension is .svg or .png and names the format.
func (c Chart) Save(name string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	p.Y.Min = 0
	if c.Time {
		p.X.Tick.Marker = plot.TimeTicks{Format: "01-02\n15:04", Time: plot.UTCUnixTime}
	}
	if c.Categories != nil {
		p.X.Tick.Marker = plot.TickerFunc(func(_, _ float64) (ticks []plot.Tick) {
			for i, n := range c.Categories {
				ticks = append(ticks, plot.Tick{Value: float64(i), Label: n})
			}
			return ticks
		})
	}
	for n, l := range c.Lines {
		if l.ColourIndex < 0 {
			l.ColourIndex = n
		}
		if err := l.add(p); err != nil {
			return fmt.Errorf("drawing %s: %w", name, err)
		}
	}
	if err := p.Save(width, height, name); err != nil {
		return fmt.Errorf("drawing %s: %w", name, err)
	}
	return nil
}

// add adds a line with its points, legend and error bars to a plot.
func (l Line) add(p *plot.Plot) error {
	line, dots, err := plotter.NewLinePoints(l.Points)
	if err != nil {
		return err
	}
	line.Color = palette[l.ColourIndex%len(palette)]
	dots.Color, dots.Radius = line.Color, vg.Points(1.5)
	if l.Dashed {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(line, dots)
	p.Legend.Add(l.Name, line)
	if l.ErrorBars == nil {
		return nil
	}
	errs := struct {
		plotter.XYs
		plotter.YErrors
	}{XYs: l.Points}
	for _, e := range l.ErrorBars {
		errs.YErrors = append(errs.YErrors, struct{ Low, High float64 }{e, e})
	}
	bars, err := plotter.NewYErrorBars(errs)
	if err != nil {
		return err
	}
	bars.Color = line.Color
	p.Add(bars)
	return nil
}
