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
	"basaltloft/internal/dispatcher/settings"
)

// usageError is an error in the arguments or in the experiment's file.
type usageError struct{ error }

// sweepFlags are the -set flags: PATH=VALUE,VALUE...
type sweepFlags []settings.Sweep

// String implements flag.Value.
func (f *sweepFlags) String() string { return fmt.Sprint(*f) }

// Set implements flag.Value.
func (f *sweepFlags) Set(text string) error {
	path, values, found := strings.Cut(text, "=")
	if !found || path == "" || values == "" {
		return errors.New("must be PATH=VALUE, with commas between several values")
	}
	*f = append(*f, settings.Sweep{Path: path, Values: strings.Split(values, ",")})
	return nil
}

const usage = `basaltloft lab run|sweep|compare|plot FILE [-set PATH=VALUE,VALUE...] [-loads X,Y] [-seeds N] [-first N]
       [-policies A,B] [-base POLICY] [-format table|csv|json] [-out NAME.svg|png]`

// Sub-commands.
const (
	verbRun     = "run"
	verbSweep   = "sweep"
	verbCompare = "compare"
	verbPlot    = "plot"
)

// Output formats, the values of -format.
const (
	formatTable = "table"
	formatCSV   = "csv"
	formatJSON  = "json"
)

// command is the parsed command line.
type command struct {
	verb, file, base, format, out string
	seeds                         int // 0: as the file says
	firstSeed                     uint64
	policies, loads               string // comma-separated; empty: as the file says
	sweeps                        sweepFlags
}

func parse(args []string, errs io.Writer) (c command, err error) {
	if len(args) < 2 || !slices.Contains([]string{verbRun, verbSweep, verbCompare, verbPlot}, args[0]) {
		return c, errors.New("usage: " + usage)
	}
	c.verb, c.file = args[0], args[1]
	flags := flag.NewFlagSet("lab", flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.IntVar(&c.seeds, "seeds", 0, "how many seeds; 0: as the file says")
	flags.Uint64Var(&c.firstSeed, "first", 1, "the first seed")
	flags.StringVar(&c.policies, "policies", "", "policies, with commas between; empty: as the file says")
	flags.StringVar(&c.loads, "loads", "", "multiples of the file's rates, with commas between; empty: as the file says")
	flags.StringVar(&c.base, "base", "module", "compare: the policy that the others are held against")
	flags.StringVar(&c.format, "format", formatTable, "table, csv or json")
	flags.StringVar(&c.out, "out", "lab.svg", "plot: the name that the plots' names begin with, and what they are")
	flags.Var(&c.sweeps, "set", "a figure of the file and the values that it is played at; given twice, each with each")
	if err := flags.Parse(args[2:]); err != nil {
		return c, err
	}
	return c, c.validate(flags.Args())
}

func (c *command) validate(rest []string) error {
	switch {
	case len(rest) > 0:
		return fmt.Errorf("%q is one argument too many", rest[0])
	case !slices.Contains([]string{formatTable, formatCSV, formatJSON}, c.format):
		return fmt.Errorf("-format is table, csv or json, not %q", c.format)
	case c.seeds < 0:
		return errors.New("-seeds must not be below 0")
	case c.verb == verbPlot && !strings.HasSuffix(c.out, ".svg") && !strings.HasSuffix(c.out, ".png"):
		return fmt.Errorf("-out must end in .svg or .png, not as %q", c.out)
	}
	return nil
}

// studies returns one study for each combination of the sweeps' values and each load; the studies of a
// combination are adjacent.
func (c *command) studies() (all []lab.Study, err error) {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return nil, err
	}
	file, err := settings.DecodeExperiment(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.file, err)
	}
	sweeps := []settings.Sweep(c.sweeps)
	if len(sweeps) == 0 && c.verb != verbRun && c.verb != verbCompare {
		sweeps = file.Sweeps
	}
	if c.verb == verbSweep && len(sweeps) == 0 {
		return nil, usageError{fmt.Errorf("%s has no experiment.sweeps, and there is no -set", c.file)}
	}
	for _, overrides := range combinations(sweeps) {
		x, err := settings.DecodeExperiment(text, overrides...)
		if err != nil {
			return nil, usageError{fmt.Errorf("%s: %w", c.file, err)}
		}
		perLoad, err := c.studiesOf(x, overrides)
		if err != nil {
			return nil, err
		}
		all = append(all, perLoad...)
	}
	return all, nil
}

// combinations returns every combination of the sweeps' values; without sweeps, a single empty one.
func combinations(sweeps []settings.Sweep) [][]settings.Override {
	all := [][]settings.Override{nil}
	for _, s := range sweeps {
		var longer [][]settings.Override
		for _, before := range all {
			for _, value := range s.Values {
				longer = append(longer, append(slices.Clone(before), settings.Override{Path: s.Path, Value: value}))
			}
		}
		all = longer
	}
	return all
}

// studiesOf returns the studies of an experiment, one for each load.
func (c *command) studiesOf(x settings.Experiment, overrides []settings.Override) (all []lab.Study, err error) {
	if c.seeds > 0 {
		x.Seeds = c.seeds
	}
	if c.policies != "" {
		x.Policies = strings.Split(c.policies, ",")
	}
	loads := x.Loads
	if c.loads != "" {
		if loads, err = parseLoads(c.loads); err != nil {
			return nil, err
		}
	}
	if len(loads) == 0 {
		loads = []float64{1}
	}
	variant := make([]string, len(overrides))
	for i, o := range overrides {
		variant[i] = o.Path + "=" + o.Value
	}
	for _, load := range loads {
		experiment := lab.FromFile(x, load)
		experiment.SampleMembers = c.verb == verbPlot
		all = append(all, lab.Study{
			Experiment: experiment, Policies: x.Policies, Seeds: x.Seeds, FirstSeed: c.firstSeed, Load: load, Variant: strings.Join(variant, " "),
		})
	}
	return all, nil
}

func parseLoads(text string) (loads []float64, err error) {
	for field := range strings.SplitSeq(text, ",") {
		var load float64
		if _, err := fmt.Sscanf(field, "%g", &load); err != nil || load <= 0 {
			return nil, usageError{fmt.Errorf("-loads: %q is no number above 0", field)}
		}
		loads = append(loads, load)
	}
	return loads, nil
}
