package admission

import "math"

// Windows of the moving averages, in runs.
const (
	costWindow = 40.0
	outlier    = 3.0 // a run so many times off the expected one counts as this much

	// The least errors, squared, that predictors count with. Where both have been right, as
	// with estimates that never differ, an estimate that does tells more than the runs before.
	leastRunError   = 0.05
	leastRatioError = 0.001
)

// Type names what is alike: the tasks of one step of one queue's jobs.
type Type struct {
	Queue string
	Step  int
}

// typeCosts is what is known of one type.
// Two things predict the next run: the runs before it, and its estimate with what estimates
// were off by. Each counts as much as it was right so far. All is kept as logarithms.
type typeCosts struct {
	run        Average // run times, in seconds
	ratio      Average // run times beside their estimates
	runError   Average // of the runs before as a predictor, squared
	ratioError Average // of the estimates as a predictor, squared
}

// byRuns and byEstimate return what each predictor expects.
func (t *typeCosts) byRuns() float64                     { return t.run.Value }
func (t *typeCosts) byEstimate(estimate float64) float64 { return math.Log(estimate) + t.ratio.Value }

// expect weighs both predictors by what their errors were.
func (t *typeCosts) expect(estimate float64) float64 {
	weight := 1 / max(t.runError.Value, leastRunError)
	estimated := 1 / max(t.ratioError.Value, leastRatioError)
	return math.Exp((weight*t.byRuns() + estimated*t.byEstimate(estimate)) / (weight + estimated))
}

// Costs learns run times, in seconds.
type Costs struct {
	types map[Type]*typeCosts
	all   Average
}

// NewCosts returns costs that know nothing.
func NewCosts() *Costs { return &Costs{types: map[Type]*typeCosts{}} }

// Expect returns the run time to expect of a task, in seconds. A type that was not seen
// starts at the estimate, and where there is none at the mean of all that was.
func (c *Costs) Expect(of Type, estimate float64) float64 {
	known := c.types[of]
	switch {
	case estimate > 0 && (known == nil || !known.ratio.Known()):
		return estimate
	case estimate > 0:
		return known.expect(estimate)
	case known != nil && known.run.Known():
		return math.Exp(known.byRuns())
	case c.all.Known():
		return math.Exp(c.all.Value)
	}
	return 1
}

// Learn takes in how long a run took, in seconds.
func (c *Costs) Learn(of Type, estimate, run float64) {
	known := c.types[of]
	if known == nil {
		known = &typeCosts{}
		c.types[of] = known
	}
	expected := c.Expect(of, estimate)
	took := math.Log(min(max(run, expected/outlier), expected*outlier))
	if estimate > 0 && known.ratio.Known() {
		known.ratioError.Add(square(took-known.byEstimate(estimate)), costWindow)
		known.runError.Add(square(took-known.byRuns()), costWindow)
	}
	known.run.Add(took, costWindow)
	c.all.Add(took, costWindow)
	if estimate > 0 {
		known.ratio.Add(took-math.Log(estimate), costWindow)
	}
}

func square(x float64) float64 { return x * x }
