// Package textchart draws line charts, for all plots of the project's tools. The
// dispatcher does not import it: its library is larger than the rest of the program.
package textchart

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Chart is a line chart. Its Y axis begins at zero; its X axis shows numbers unless Time or
// Categories is set.
type Chart struct {
	Title, X, Y string   // X and Y are the titles of the axes
	Time        bool     // X values are seconds since 1970, shown as times
	Categories  []string // X values are indexes of these names; nil: they are not
	Lines       []Line
}

// Line is one line of a chart.
type Line struct {
	Name        string
	Points      plotter.XYs
	ErrorBars   []float64 // half the height of each point's error bar; nil: none
	Dashed      bool
	ColourIndex int // in the palette, modulo its length; below 0: the line's index in the chart
}

// palette holds the colours of lines.
var palette = []color.Color{
	color.RGBA{0x1b, 0x7a, 0x3d, 0xff}, color.RGBA{0xc8, 0x85, 0x00, 0xff}, color.RGBA{0xb0, 0x1e, 0x2e, 0xff}, color.RGBA{0x1f, 0x4e, 0x9a, 0xff},
	color.RGBA{0x6a, 0x3d, 0x9a, 0xff}, color.RGBA{0x33, 0x33, 0x33, 0xff}, color.RGBA{0x00, 0x8b, 0x8b, 0xff}, color.RGBA{0x80, 0x60, 0x40, 0xff},
}

// Size of a chart.
const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Save writes a chart to a file. The extension of its name is .svg or .png and determines the
// format.
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

// add adds a line to a plot, with its points, legend entry and error bars.
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
