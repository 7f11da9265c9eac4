package admission

// Windows of the moving averages, in runs.
const (
	costWindow = 40.0
	outlier    = 3.0 // a run so many times off the expected one counts as this much
)

// TaskType names what is alike: the tasks of one step of one queue's jobs.
type TaskType struct {
	Queue string
	Step  int
}

// typeCosts is what is known of one type.
type typeCosts struct {
	run   Average // run times, in seconds
	ratio Average // run times beside their estimates
}

// RunTimeEstimates learns run times, in seconds.
type RunTimeEstimates struct {
	types map[TaskType]*typeCosts
	all   Average
}

// NewRunTimeEstimates returns costs that know nothing.
func NewRunTimeEstimates() *RunTimeEstimates {
	return &RunTimeEstimates{types: map[TaskType]*typeCosts{}}
}

// Expect returns the run time to expect of a task, in seconds. A type that was not seen
// starts at the estimate, and where there is none at the mean of all that was.
func (c *RunTimeEstimates) Expect(of TaskType, estimate float64) float64 {
	known := c.types[of]
	switch {
	case estimate > 0 && (known == nil || !known.ratio.Known()):
		return estimate
	case estimate > 0:
		return estimate * known.ratio.Value
	case known != nil && known.run.Known():
		return known.run.Value
	case c.all.Known():
		return c.all.Value
	}
	return 1
}

// Learn takes in how long a run took, in seconds.
func (c *RunTimeEstimates) Learn(of TaskType, estimate, run float64) {
	known := c.types[of]
	if known == nil {
		known = &typeCosts{}
		c.types[of] = known
	}
	expected := c.Expect(of, estimate)
	run = min(max(run, expected/outlier), expected*outlier)
	known.run.Add(run, costWindow)
	c.all.Add(run, costWindow)
	if estimate > 0 {
		known.ratio.Add(run/estimate, costWindow)
	}
}
