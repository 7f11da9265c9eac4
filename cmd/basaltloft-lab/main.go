// Command basaltloft-lab plays experiments in the model of the fleet. `basaltloft
// lab` starts it; it is a program of its own because of what its statistics weigh.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"basaltloft/internal/lab"
	"basaltloft/internal/settings"

	"github.com/schollz/progressbar/v3"
)

func main() {
	err := run(os.Args[1:], os.Stdout, os.Stderr)
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
	case errors.As(err, new(misuse)):
		fmt.Fprintln(os.Stderr, "basaltloft-lab:", err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "basaltloft-lab:", err)
		os.Exit(1)
	}
}

type misuse struct{ error }

func run(args []string, out, errs io.Writer) error {
	const usage = "basaltloft lab run|compare FILE [-seeds N] [-policies A,B] [-base POLICY] [-format table|csv|json]"
	if len(args) < 2 || args[0] != "run" && args[0] != "compare" {
		return misuse{errors.New("usage: " + usage)}
	}
	flags := flag.NewFlagSet("lab", flag.ContinueOnError)
	flags.SetOutput(errs)
	seeds := flags.Int("seeds", 0, "how many seeds; 0: as the file says")
	first := flags.Uint64("first", 1, "the first seed")
	policies := flags.String("policies", "", "policies, with commas between; empty: as the file says")
	base := flags.String("base", "module", "compare: the policy that the others are held against")
	format := flags.String("format", "table", "table, csv or json")
	if err := flags.Parse(args[2:]); err != nil {
		return misuse{err}
	}
	write := map[string]func(io.Writer, []lab.Run) error{"table": lab.Table, "csv": lab.CSV, "json": lab.JSON}[*format]
	if write == nil {
		return misuse{fmt.Errorf("-format is table, csv or json, not %q", *format)}
	}
	text, err := os.ReadFile(args[1])
	if err != nil {
		return err
	}
	x, err := settings.DecodeExperiment(text)
	if err != nil {
		return fmt.Errorf("%s: %w", args[1], err)
	}
	if *seeds > 0 {
		x.Seeds = *seeds
	}
	if *policies != "" {
		x.Policies = strings.Split(*policies, ",")
	}
	if len(x.Loads) == 0 {
		x.Loads = []float64{1}
	}
	broken := 0
	for _, load := range x.Loads {
		s := lab.Study{Experiment: lab.FromFile(x, load), Policies: x.Policies, Seeds: x.Seeds, First: *first}
		bar := progressbar.NewOptions(len(x.Policies)*x.Seeds, progressbar.OptionSetWriter(errs), progressbar.OptionSetDescription(fmt.Sprintf("load %g", load)), progressbar.OptionClearOnFinish())
		runs, err := s.Play(func() { bar.Add(1) })
		if err != nil {
			return misuse{err}
		}
		if *format == "table" {
			fmt.Fprintf(out, "load %g\n", load)
		}
		if err := write(out, runs); err != nil {
			return err
		}
		for _, r := range runs {
			for _, b := range r.Broken {
				if broken++; broken <= 10 {
					fmt.Fprintf(errs, "BROKEN by %s, seed %d: %s\n", r.Policy, r.Seed, b)
				}
			}
		}
		if args[0] == "compare" {
			for _, c := range lab.Compare(runs, *base) {
				fmt.Fprintf(out, "%s beside %s: goodput %+.4f, between %+.4f and %+.4f with 95%% confidence\n", c.Policy, c.Base, c.Mean, c.Low, c.High)
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d rules were broken", broken)
	}
	return nil
}
