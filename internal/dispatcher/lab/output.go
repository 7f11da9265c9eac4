package lab

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"strconv"
	"text/tabwriter"

	"basaltloft/internal/dispatcher/textout"

	"gonum.org/v1/gonum/stat"
)

// Table writes a table with the means of each policy's runs. It returns errors of the writer.
func Table(out io.Writer, runs []Run) error {
	tabs := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := textout.New(tabs)
	p.Println("policy\truns\tgoodput\t± sd\tin time\tlate\trefused\tfailed\tsends a try\tserved/s\tmean ms\tp50 ms\tp95 ms\tbusy\tbroken\t")
	for _, policy := range policiesOf(runs) {
		tableRow(p, policy, RunsOf(runs, policy))
	}
	if err := p.Err(); err != nil {
		return err
	}
	return tabs.Flush()
}

// tableRow writes the row of one policy: the means of its runs.
func tableRow(p *textout.Printer, policy string, runs []Run) {
	column := func(value func(Run) float64) []float64 {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = value(r)
		}
		return values
	}
	mean := func(value func(Run) float64) float64 { return stat.Mean(column(value), nil) }
	ratio := func(count, of func(Run) int) float64 {
		return mean(func(r Run) float64 { return float64(count(r)) / float64(max(1, of(r))) })
	}
	asked := func(r Run) int { return r.Asked }
	goodput, deviation := stat.MeanStdDev(column(func(r Run) float64 { return r.Goodput }), nil)
	if len(runs) == 1 {
		deviation = 0
	}
	violations := 0
	for _, r := range runs {
		violations += len(r.Broken)
	}
	p.Printf("%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%d\t\n",
		policy, len(runs), goodput, deviation,
		ratio(func(r Run) int { return r.InTime }, asked), ratio(func(r Run) int { return r.Late }, asked),
		ratio(func(r Run) int { return r.Refused }, asked), ratio(func(r Run) int { return r.Failed }, asked),
		ratio(func(r Run) int { return r.Sends }, func(r Run) int { return r.Tries }),
		mean(func(r Run) float64 { return r.PerS }), mean(func(r Run) float64 { return r.Mean }),
		mean(func(r Run) float64 { return r.P50 }), mean(func(r Run) float64 { return r.P95 }),
		mean(func(r Run) float64 { return r.Busy }), violations)
}

// csvColumns are the column names that CSV writes. Scripts read them, so they must not change.
var csvColumns = []string{
	"load", "set", "policy", "seed", "goodput", "asked", "in_time", "late", "refused", "failed", "tries", "sends", "busy",
	"served_per_s", "mean_ms", "p50_ms", "p95_ms", "p99_ms", "wait_ms", "events", "broken",
}

// CSV writes a header and a line for each run. It returns errors of the writer.
func CSV(out io.Writer, runs []Run) error {
	w := csv.NewWriter(out)
	if err := w.Write(csvColumns); err != nil {
		return err
	}
	for i := range runs {
		if err := w.Write(csvLine(&runs[i])); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}

func csvLine(r *Run) []string {
	number := func(x float64) string { return strconv.FormatFloat(x, 'g', 6, 64) }
	return []string{
		number(r.Load), r.Set, r.Policy, strconv.FormatUint(r.Seed, 10), number(r.Goodput),
		strconv.Itoa(r.Asked), strconv.Itoa(r.InTime), strconv.Itoa(r.Late), strconv.Itoa(r.Refused), strconv.Itoa(r.Failed),
		strconv.Itoa(r.Tries), strconv.Itoa(r.Sends), number(r.Busy), number(r.PerS), number(r.Mean),
		number(r.P50), number(r.P95), number(r.P99), number(r.Wait), strconv.Itoa(r.Events), strconv.Itoa(len(r.Broken)),
	}
}

// JSON writes the runs as an array. It returns errors of the writer and of the encoder.
func JSON(out io.Writer, runs []Run) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(runs)
}
