// Command basaltloft-load sends a load to a dispatcher and tells what became of it.
// `basaltloft load` starts it; it is a program of its own because of what plots and
// histograms weigh.
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"basaltloft/internal/dispatcher/loadgen"
	"basaltloft/internal/dispatcher/textchart"

	"github.com/schollz/progressbar/v3"
	"gonum.org/v1/plot/plotter"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
	case errors.As(err, new(misuse)):
		fmt.Fprintln(os.Stderr, "basaltloft-load:", err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "basaltloft-load:", err)
		os.Exit(1)
	}
}

type misuse struct{ error }

// command is what was asked for.
type command struct {
	at, front, trace, format, plot string
	anywhere                       bool
	most                           int
	plan                           loadgen.Plan
	job                            loadgen.Job
}

func parse(args []string, errs io.Writer) (c command, err error) {
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	f.SetOutput(errs)
	f.StringVar(&c.at, "at", "", "the dispatcher's `address`")
	f.StringVar(&c.front, "front", "http", "http or faktory")
	f.BoolVar(&c.anywhere, "anywhere", false, "the address may be another machine's")
	f.IntVar(&c.most, "connections", 256, "asks that are out at a time, at most")
	f.Float64Var(&c.plan.StartRate, "rate", 50, "asks a second")
	f.Float64Var(&c.plan.EndRate, "to", -1, "asks a second at the end of a ramp; below 0: no ramp")
	f.DurationVar(&c.plan.Length, "for", 10*time.Second, "how long")
	f.BoolVar(&c.plan.EvenlySpaced, "even", false, "asks evenly apart, and not a Poisson stream")
	f.Uint64Var(&c.plan.Seed, "seed", 1, "of the random numbers")
	f.StringVar(&c.trace, "trace", "", "a `file` with a line for each ask: when it is due, in milliseconds")
	f.StringVar(&c.job.Class, "class", "", "the `class`, or the jobtype of Faktory jobs")
	f.StringVar(&c.job.Queue, "queue", "default", "of Faktory jobs")
	f.StringVar(&c.job.Tenant, "tenant", "", "who asks")
	f.DurationVar(&c.job.CostHint, "cost", 0, "the told cost; 0: not told")
	f.DurationVar(&c.job.Timeout, "budget", 10*time.Second, "how long a client waits")
	f.IntVar(&c.job.BodyBytes, "body", 64, "bytes of a body")
	f.StringVar(&c.format, "format", "table", "table or json")
	f.StringVar(&c.plot, "plot", "", "draw the latencies to this `file`, an .svg or .png")
	if err := f.Parse(args); err != nil {
		return c, err
	}
	if c.plan.EndRate < 0 {
		c.plan.EndRate = c.plan.StartRate
	}
	local, err := loadgen.IsLoopback(c.at)
	switch {
	case f.NArg() > 0:
		return c, fmt.Errorf("%q is one argument too many", f.Arg(0))
	case err != nil:
		return c, fmt.Errorf("-at: %w", err)
	case !local && !c.anywhere:
		return c, fmt.Errorf("%s is not this machine's own: say -anywhere if that is meant", c.at)
	case c.job.Class == "":
		return c, errors.New("-class must name a class that the dispatcher's settings have")
	case c.front != "http" && c.front != "faktory":
		return c, fmt.Errorf("-front is http or faktory, not %q", c.front)
	case c.format != "table" && c.format != "json":
		return c, fmt.Errorf("-format is table or json, not %q", c.format)
	case c.most < 1 || c.job.BodyBytes < 0 || c.job.Timeout <= 0 || c.job.CostHint < 0:
		return c, errors.New("-connections and -budget must be more than nothing, -body and -cost not below")
	case c.plot != "" && !strings.HasSuffix(c.plot, ".svg") && !strings.HasSuffix(c.plot, ".png"):
		return c, fmt.Errorf("-plot must end in .svg or .png, not as %q", c.plot)
	}
	if c.trace != "" {
		if c.plan.Trace, err = readTrace(c.trace); err != nil {
			return c, err
		}
	}
	return c, c.plan.Validate()
}

func readTrace(name string) ([]time.Duration, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	times := []time.Duration{}
	for in, n := bufio.NewScanner(f), 1; ; n++ {
		if !in.Scan() {
			return times, in.Err()
		}
		text := strings.TrimSpace(in.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fmt.Errorf("%s, line %d: %q is no number", name, n, text)
		}
		times = append(times, time.Duration(ms*float64(time.Millisecond)))
	}
}

func run(ctx context.Context, args []string, out, errs io.Writer) error {
	c, err := parse(args, errs)
	if err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return misuse{err}
	}
	c.job.IDPrefix = fmt.Sprintf("load-%x", time.Now().UnixNano())
	var to loadgen.Target = loadgen.NewHTTP(c.at, c.job, c.most)
	if c.front == "faktory" {
		to = loadgen.NewFaktory(c.at, c.job, c.most)
	}
	defer to.Close()
	record := loadgen.NewRecord()
	bar := progressbar.NewOptions(c.plan.ExpectedRequests(), progressbar.OptionSetWriter(errs), progressbar.OptionSetDescription("asks"), progressbar.OptionClearOnFinish())
	loadgen.Run(ctx, c.plan, counted{to, bar}, c.most, record)
	bar.Finish()
	s := record.Summary()
	if c.format == "json" {
		err = s.JSON(out)
	} else {
		err = s.Table(out)
	}
	if err == nil && c.plot != "" {
		err = draw(s, c.plot)
	}
	if err == nil && s.Outcomes[loadgen.Served] == 0 {
		err = errors.New("nothing was served")
	}
	return err
}

// counted tells a progress bar of each ask that has ended.
type counted struct {
	loadgen.Target
	bar *progressbar.ProgressBar
}

func (c counted) Send(ctx context.Context, n int) string {
	defer c.bar.Add(1)
	return c.Target.Send(ctx, n)
}

func draw(s loadgen.Summary, name string) error {
	c := textchart.Chart{Title: "Latency of served asks", X: "quantile", Y: "milliseconds"}
	for _, q := range loadgen.Quantiles {
		c.Categories = append(c.Categories, strconv.FormatFloat(q, 'g', -1, 64))
	}
	for _, l := range []struct {
		name   string
		points []loadgen.Point
	}{{"from when it was due", s.Corrected}, {"from when it was sent", s.Service}} {
		one := textchart.Line{Name: l.name, ColourIndex: -1}
		for i, q := range l.points {
			one.Points = append(one.Points, plotter.XY{X: float64(i), Y: q.MS})
		}
		c.Lines = append(c.Lines, one)
	}
	return c.Save(name)
}
