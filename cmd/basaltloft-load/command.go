package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"basaltloft/internal/dispatcher/loadgen"
	"basaltloft/internal/shared/saturating"
)

// usageError is an error in the arguments.
type usageError struct{ error }

// Values of -front and -format.
const (
	frontHTTP    = "http"
	frontFaktory = "faktory"
	formatTable  = "table"
	formatJSON   = "json"
)

// command is the parsed command line.
type command struct {
	addr, front, trace, format, plot string
	anywhere                         bool // the address may be another machine's
	connections                      int
	plan                             loadgen.Plan
	job                              loadgen.Job
}

func parse(args []string, errs io.Writer) (c command, err error) {
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	f.SetOutput(errs)
	f.StringVar(&c.addr, "at", "", "the dispatcher's `address`")
	f.StringVar(&c.front, "front", frontHTTP, "http or faktory")
	f.BoolVar(&c.anywhere, "anywhere", false, "the address may be another machine's")
	f.IntVar(&c.connections, "connections", 256, "asks that are out at a time, at most")
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
	f.StringVar(&c.format, "format", formatTable, "table or json")
	f.StringVar(&c.plot, "plot", "", "draw the latencies to this `file`, an .svg or .png")
	if err := f.Parse(args); err != nil {
		return c, err
	}
	if c.plan.EndRate < 0 {
		c.plan.EndRate = c.plan.StartRate
	}
	if err := c.validate(f.Args()); err != nil {
		return c, err
	}
	if c.trace != "" {
		if c.plan.Trace, err = readTrace(c.trace); err != nil {
			return c, err
		}
	}
	return c, c.plan.Validate()
}

// validate returns an error if a flag's value is invalid, or if rest, the arguments after the flags, is
// not empty.
func (c *command) validate(rest []string) error {
	local, err := loadgen.IsLoopback(c.addr)
	switch {
	case len(rest) > 0:
		return fmt.Errorf("%q is one argument too many", rest[0])
	case err != nil:
		return fmt.Errorf("-at: %w", err)
	case !local && !c.anywhere:
		return fmt.Errorf("%s is not this machine's own: say -anywhere if that is meant", c.addr)
	case c.job.Class == "":
		return errors.New("-class must name a class that the dispatcher's settings have")
	case c.front != frontHTTP && c.front != frontFaktory:
		return fmt.Errorf("-front is http or faktory, not %q", c.front)
	case c.format != formatTable && c.format != formatJSON:
		return fmt.Errorf("-format is table or json, not %q", c.format)
	case c.connections < 1 || c.job.BodyBytes < 0 || c.job.Timeout <= 0 || c.job.CostHint < 0:
		return errors.New("-connections and -budget must be more than nothing, -body and -cost not below")
	case c.plot != "" && !strings.HasSuffix(c.plot, ".svg") && !strings.HasSuffix(c.plot, ".png"):
		return fmt.Errorf("-plot must end in .svg or .png, not as %q", c.plot)
	}
	return nil
}

// readTrace reads the times at which requests are due: one line for each, in milliseconds. Blank lines
// and lines that begin with # are skipped.
func readTrace(name string) ([]time.Duration, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file was only read
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
		times = append(times, saturating.Duration(ms*float64(time.Millisecond)))
	}
}
