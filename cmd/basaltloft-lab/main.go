// Command basaltloft-lab plays experiments in the model of the fleet. `basaltloft
// lab` starts it; it is a program of its own because of what its statistics weigh.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"basaltloft/internal/dispatcher/lab"
	"basaltloft/internal/dispatcher/lab/draw"
	"basaltloft/internal/dispatcher/settings"

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

// puts are the -set flags: PATH=VALUE,VALUE...
type puts []settings.Sweep

func (p *puts) String() string { return fmt.Sprint(*p) }

func (p *puts) Set(text string) error {
	path, values, found := strings.Cut(text, "=")
	if !found || path == "" || values == "" {
		return errors.New("is PATH=VALUE,VALUE...")
	}
	*p = append(*p, settings.Sweep{Path: path, Values: strings.Split(values, ",")})
	return nil
}

const usage = `basaltloft lab run|sweep|compare|plot FILE [-set PATH=VALUE,VALUE...] [-loads X,Y] [-seeds N] [-first N]
       [-policies A,B] [-base POLICY] [-format table|csv|json] [-out NAME.svg|png]`

// command is what was asked for.
type command struct {
	verb, file, base, format, out string
	seeds                         int
	first                         uint64
	policies, loads               string
	sets                          puts
}

func parse(args []string, errs io.Writer) (c command, err error) {
	if len(args) < 2 || !slices.Contains([]string{"run", "sweep", "compare", "plot"}, args[0]) {
		return c, errors.New("usage: " + usage)
	}
	c.verb, c.file = args[0], args[1]
	flags := flag.NewFlagSet("lab", flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.IntVar(&c.seeds, "seeds", 0, "how many seeds; 0: as the file says")
	flags.Uint64Var(&c.first, "first", 1, "the first seed")
	flags.StringVar(&c.policies, "policies", "", "policies, with commas between; empty: as the file says")
	flags.StringVar(&c.loads, "loads", "", "multiples of the file's rates, with commas between; empty: as the file says")
	flags.StringVar(&c.base, "base", "module", "compare: the policy that the others are held against")
	flags.StringVar(&c.format, "format", "table", "table, csv or json")
	flags.StringVar(&c.out, "out", "lab.svg", "plot: the name that the plots' names begin with, and what they are")
	flags.Var(&c.sets, "set", "a figure of the file and the values that it is played at; given twice, each with each")
	if err := flags.Parse(args[2:]); err != nil {
		return c, err
	}
	switch {
	case flags.NArg() > 0:
		return c, fmt.Errorf("%q is one argument too many", flags.Arg(0))
	case !slices.Contains([]string{"table", "csv", "json"}, c.format):
		return c, fmt.Errorf("-format is table, csv or json, not %q", c.format)
	case c.seeds < 0:
		return c, errors.New("-seeds must not be below 0")
	case c.verb == "plot" && !strings.HasSuffix(c.out, ".svg") && !strings.HasSuffix(c.out, ".png"):
		return c, fmt.Errorf("-out must end in .svg or .png, not as %q", c.out)
	}
	return c, nil
}

// studies are one for each load and each choice of values, in that order.
func (c *command) studies() (all []lab.Study, err error) {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return nil, err
	}
	whole, err := settings.DecodeExperiment(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.file, err)
	}
	sets := []settings.Sweep(c.sets)
	if len(sets) == 0 && c.verb != "run" && c.verb != "compare" {
		sets = whole.Sweeps
	}
	if c.verb == "sweep" && len(sets) == 0 {
		return nil, misuse{fmt.Errorf("%s has no experiment.sweeps, and there is no -set", c.file)}
	}
	choices := [][]settings.Override{nil}
	for _, s := range sets {
		var more [][]settings.Override
		for _, before := range choices {
			for _, v := range s.Values {
				more = append(more, append(slices.Clone(before), settings.Override{Path: s.Path, Value: v}))
			}
		}
		choices = more
	}
	for _, choice := range choices {
		x, err := settings.DecodeExperiment(text, choice...)
		if err != nil {
			return nil, misuse{fmt.Errorf("%s: %w", c.file, err)}
		}
		if c.seeds > 0 {
			x.Seeds = c.seeds
		}
		if c.policies != "" {
			x.Policies = strings.Split(c.policies, ",")
		}
		loads := x.Loads
		if c.loads != "" {
			loads = nil
			for part := range strings.SplitSeq(c.loads, ",") {
				var load float64
				if _, err := fmt.Sscanf(part, "%g", &load); err != nil || load <= 0 {
					return nil, misuse{fmt.Errorf("-loads: %q is no number above 0", part)}
				}
				loads = append(loads, load)
			}
		}
		if len(loads) == 0 {
			loads = []float64{1}
		}
		var words []string
		for _, p := range choice {
			words = append(words, p.Path+"="+p.Value)
		}
		for _, load := range loads {
			of := lab.FromFile(x, load)
			of.SampleMembers = c.verb == "plot"
			all = append(all, lab.Study{Experiment: of, Policies: x.Policies, Seeds: x.Seeds, FirstSeed: c.first, Load: load, Variant: strings.Join(words, " ")})
		}
	}
	return all, nil
}

func run(args []string, out, errs io.Writer) error {
	c, err := parse(args, errs)
	if err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return misuse{err}
	}
	studies, err := c.studies()
	if err != nil {
		return err
	}
	var all []lab.Run
	for _, s := range studies {
		title := strings.TrimSpace(fmt.Sprintf("load %g %s", s.Load, s.Variant))
		bar := progressbar.NewOptions(len(s.Policies)*s.Seeds, progressbar.OptionSetWriter(errs), progressbar.OptionSetDescription(title), progressbar.OptionClearOnFinish())
		runs, err := s.Play(func() { bar.Add(1) })
		if err != nil {
			return misuse{err}
		}
		all = append(all, runs...)
		if c.format == "table" {
			fmt.Fprintln(out, title)
			if err := lab.Table(out, runs); err != nil {
				return err
			}
		}
		if c.verb == "compare" {
			to := out
			if c.format != "table" { // what reads the rows reads these no more
				to = errs
			}
			for _, x := range lab.Compare(runs, c.base) {
				fmt.Fprintf(to, "%s beside %s: goodput %+.4f, between %+.4f and %+.4f with 95%% confidence\n", x.Policy, x.Base, x.Mean, x.Low, x.High)
			}
		}
	}
	switch c.format {
	case "csv":
		err = lab.CSV(out, all)
	case "json":
		err = lab.JSON(out, all)
	}
	if err != nil {
		return err
	}
	if c.verb == "plot" {
		names, err := draw.Charts(all, c.out)
		if err != nil {
			return err
		}
		fmt.Fprintln(errs, "drew", strings.Join(names, ", "))
	}
	return broken(all, errs)
}

// broken tells of the rules that were broken.
func broken(runs []lab.Run, errs io.Writer) error {
	n := 0
	for _, r := range runs {
		for _, b := range r.Broken {
			if n++; n <= 10 {
				fmt.Fprintf(errs, "BROKEN by %s, load %g %s, seed %d: %s\n", r.Policy, r.Load, r.Set, r.Seed, b)
			}
		}
	}
	if n > 0 {
		return fmt.Errorf("%d rules were broken", n)
	}
	return nil
}
