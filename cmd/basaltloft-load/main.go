// Command basaltloft-load sends a load to a dispatcher and reports the results. `basaltloft
// load` starts it; it is a program of its own because of the size of its plotting and
// histogram libraries.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"basaltloft/internal/dispatcher/loadgen"
	"basaltloft/internal/dispatcher/textchart"

	"github.com/schollz/progressbar/v3"
	"gonum.org/v1/plot/plotter"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
	case errors.As(err, new(usageError)):
		fmt.Fprintln(os.Stderr, "basaltloft-load:", err)
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, "basaltloft-load:", err)
		os.Exit(exitFailed)
	}
}

// run sends the requests that the arguments describe. It writes the summary to out and progress to errs.
func run(ctx context.Context, args []string, out, errs io.Writer) error {
	c, err := parse(args, errs)
	if err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError{err}
	}
	c.job.IDPrefix = fmt.Sprintf("load-%x", time.Now().UnixNano())
	var target loadgen.Target = loadgen.NewHTTP(c.addr, c.job, c.connections)
	if c.front == frontFaktory {
		target = loadgen.NewFaktory(c.addr, c.job, c.connections)
	}
	defer target.Close()
	record := loadgen.NewRecord()
	bar := progressbar.NewOptions(c.plan.ExpectedRequests(), progressbar.OptionSetWriter(errs), progressbar.OptionSetDescription("asks"), progressbar.OptionClearOnFinish())
	loadgen.Run(ctx, c.plan, progressTarget{target, bar}, c.connections, record)
	_ = bar.Finish() // a failing progress bar does not stop the run
	summary := record.Summary()
	if c.format == formatJSON {
		err = summary.JSON(out)
	} else {
		err = summary.Table(out)
	}
	if err == nil && c.plot != "" {
		err = draw(summary, c.plot)
	}
	if err == nil && summary.Outcomes[loadgen.Served] == 0 {
		err = errors.New("nothing was served")
	}
	return err
}

// progressTarget is a target that advances a progress bar whenever a request has ended.
type progressTarget struct {
	loadgen.Target
	bar *progressbar.ProgressBar
}

// Send implements loadgen.Target.
func (c progressTarget) Send(ctx context.Context, n int) string {
	defer func() { _ = c.bar.Add(1) }()
	return c.Target.Send(ctx, n)
}

// draw writes a chart of the latencies by quantile.
func draw(s loadgen.Summary, name string) error {
	c := textchart.Chart{Title: "Latency of served asks", X: "quantile", Y: "milliseconds"}
	for _, q := range loadgen.Quantiles {
		c.Categories = append(c.Categories, strconv.FormatFloat(q, 'g', -1, 64))
	}
	c.Lines = []textchart.Line{quantileLine("from when it was due", s.Corrected), quantileLine("from when it was sent", s.Service)}
	return c.Save(name)
}

func quantileLine(name string, points []loadgen.Point) textchart.Line {
	line := textchart.Line{Name: name, ColourIndex: -1}
	for i, point := range points {
		line.Points = append(line.Points, plotter.XY{X: float64(i), Y: point.MS})
	}
	return line
}
