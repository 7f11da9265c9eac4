package admission

const (
	// runTimeWindow is the window, in runs, of the averages of run times.
	runTimeWindow = 40.0
	// outlierRatio: a run so many times longer or shorter than expected counts as this much.
	outlierRatio = 3.0
	// unknownRunTime is expected, in seconds, while nothing is known.
	unknownRunTime = 1.0
)

// TaskType names tasks that are alike: those of one step of one queue's jobs.
type TaskType struct {
	Queue string
	Step  int
}

// typeEstimates is what is known of one type.
type typeEstimates struct {
	runTime Average // in seconds
	ratio   Average // run times over their estimates
}

// RunTimeEstimates learns how long tasks run. Make it by NewRunTimeEstimates.
type RunTimeEstimates struct {
	types map[TaskType]*typeEstimates
	all   Average // run times of all types, in seconds
}

// NewRunTimeEstimates returns estimates that know nothing.
func NewRunTimeEstimates() *RunTimeEstimates {
	return &RunTimeEstimates{types: map[TaskType]*typeEstimates{}}
}

// Expect returns the run time to expect of a task, in seconds. estimate is the submitter's own, in
// seconds; 0: there is none. A type that was not seen starts at the estimate, and where there is
// none at the mean of all that was.
func (e *RunTimeEstimates) Expect(of TaskType, estimate float64) float64 {
	known := e.types[of]
	switch {
	case estimate > 0 && (known == nil || !known.ratio.Known()):
		return estimate
	case estimate > 0:
		return estimate * known.ratio.Value
	case known != nil && known.runTime.Known():
		return known.runTime.Value
	case e.all.Known():
		return e.all.Value
	}
	return unknownRunTime
}

// Learn takes in how long a run took, in seconds, that was estimated so.
func (e *RunTimeEstimates) Learn(of TaskType, estimate, seconds float64) {
	known := e.types[of]
	if known == nil {
		known = &typeEstimates{}
		e.types[of] = known
	}
	expected := e.Expect(of, estimate)
	seconds = min(max(seconds, expected/outlierRatio), expected*outlierRatio)
	known.runTime.Add(seconds, runTimeWindow)
	e.all.Add(seconds, runTimeWindow)
	if estimate > 0 {
		known.ratio.Add(seconds/estimate, runTimeWindow)
	}
}
