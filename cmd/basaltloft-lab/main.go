// Command basaltloft-lab runs experiments in the simulation of the fleet. `basaltloft lab`
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

// run runs the experiment that the arguments name. It writes the results to out, and progress and
// broken rules to errs.
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
		runs, err := c.runStudy(&studies[i], out, errs)
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

// runStudy runs one study, and writes its table and comparison if the command line asks for them.
func (c *command) runStudy(s *lab.Study, out, errs io.Writer) ([]lab.Run, error) {
	title := strings.TrimSpace(fmt.Sprintf("load %g %s", s.Load, s.Variant))
	bar := progressbar.NewOptions(len(s.Policies)*s.Seeds, progressbar.OptionSetWriter(errs), progressbar.OptionSetDescription(title), progressbar.OptionClearOnFinish())
	runs, err := s.RunAll(func() { _ = bar.Add(1) }) // a failing progress bar does not stop the study
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
	if c.format != formatTable { // out is then read by a program
		to = errs
	}
	p := textout.New(to)
	for _, x := range lab.Compare(runs, c.base) {
		p.Printf("%s beside %s: goodput %+.4f, between %+.4f and %+.4f with 95%% confidence\n", x.Policy, x.Base, x.Mean, x.Low, x.High)
	}
	return runs, p.Err()
}

// maxViolations is the largest number of violations that are printed; further ones are only counted.
const maxViolations = 10

// reportViolations prints the rules that were broken, and returns an error if there is any.
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
