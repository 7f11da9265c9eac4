// Command basaltloft-lab plays experiments in the simulation of the fleet. `basaltloft lab`
// starts it; it is a program of its own because of the size of its statistics libraries.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"basaltloft/internal/dispatcher/lab"
	"basaltloft/internal/dispatcher/lab/draw"
	"basaltloft/internal/dispatcher/textout"

	"github.com/schollz/progressbar/v3"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	err := run(os.Args[1:], os.Stdout, os.Stderr)
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
	case errors.As(err, new(usageError)):
		fmt.Fprintln(os.Stderr, "basaltloft-lab:", err)
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, "basaltloft-lab:", err)
		os.Exit(exitFailed)
	}
}

// run plays what the arguments name and writes the results to out, progress to errs.
func run(args []string, out, errs io.Writer) error {
	c, err := parse(args, errs)
	if err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return usageError{err}
	}
	studies, err := c.studies()
	if err != nil {
		return err
	}
	var all []lab.Run
	for i := range studies {
		runs, err := c.play(&studies[i], out, errs)
		if err != nil {
			return err
		}
		all = append(all, runs...)
	}
	switch c.format {
	case formatCSV:
		err = lab.CSV(out, all)
	case formatJSON:
		err = lab.JSON(out, all)
	}
	if err != nil {
		return err
	}
	if c.verb == verbPlot {
		names, err := draw.Charts(all, c.out)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintln(errs, "drew", strings.Join(names, ", ")); err != nil {
			return err
		}
	}
	return reportViolations(all, errs)
}

// play plays one study, and writes its table and comparison.
func (c *command) play(s *lab.Study, out, errs io.Writer) ([]lab.Run, error) {
	title := strings.TrimSpace(fmt.Sprintf("load %g %s", s.Load, s.Variant))
	bar := progressbar.NewOptions(len(s.Policies)*s.Seeds, progressbar.OptionSetWriter(errs), progressbar.OptionSetDescription(title), progressbar.OptionClearOnFinish())
	runs, err := s.RunAll(func() { _ = bar.Add(1) }) // progress that can't be shown stops nothing
	if err != nil {
		return nil, usageError{err}
	}
	if c.format == formatTable {
		if _, err := fmt.Fprintln(out, title); err != nil {
			return nil, err
		}
		if err := lab.Table(out, runs); err != nil {
			return nil, err
		}
	}
	if c.verb != verbCompare {
		return runs, nil
	}
	to := out
	if c.format != formatTable { // a program reads out
		to = errs
	}
	p := textout.New(to)
	for _, x := range lab.Compare(runs, c.base) {
		p.Printf("%s beside %s: goodput %+.4f, between %+.4f and %+.4f with 95%% confidence\n", x.Policy, x.Base, x.Mean, x.Low, x.High)
	}
	return runs, p.Err()
}

// maxViolations bounds those that are named; more are only counted.
const maxViolations = 10

// reportViolations names the rules that were broken, and fails if any was.
func reportViolations(runs []lab.Run, errs io.Writer) error {
	p := textout.New(errs)
	count := 0
	for _, r := range runs {
		for _, violation := range r.Broken {
			if count++; count <= maxViolations {
				p.Printf("BROKEN by %s, load %g %s, seed %d: %s\n", r.Policy, r.Load, r.Set, r.Seed, violation)
			}
		}
	}
	if count > 0 {
		return fmt.Errorf("%d rules were broken", count)
	}
	return p.Err()
}
