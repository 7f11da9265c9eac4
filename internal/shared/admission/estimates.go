package admission

const (
	// runTimeWindow is the window, in runs, of the averages of run times.
	runTimeWindow = 40.0
	// outlierRatio limits the effect of one run: its run time counts as at most this many times the
	// expected one, and as at least the expected one divided by it.
	outlierRatio = 3.0
	// defaultRunTime is the expected run time, in seconds, before any run was learned.
	defaultRunTime = 1.0
)

// TaskType identifies tasks with similar run times: those of the same step of a queue's jobs.
type TaskType struct {
	Queue string
	Step  int
}

// typeEstimates holds what was learned about one task type.
type typeEstimates struct {
	runTime Average // in seconds
	ratio   Average // of the run times to the submitters' estimates
}

// RunTimeEstimates predicts run times of tasks from earlier runs. Create it with NewRunTimeEstimates.
type RunTimeEstimates struct {
	types map[TaskType]*typeEstimates
	all   Average // run times of all types, in seconds
}

// NewRunTimeEstimates returns estimates without any runs.
func NewRunTimeEstimates() *RunTimeEstimates {
	return &RunTimeEstimates{types: map[TaskType]*typeEstimates{}}
}

// Expect returns the expected run time of a task, in seconds. estimate is the submitter's estimate, in
// seconds; 0: there is none. For a type without runs, Expect returns the estimate, or without one the mean
// run time of all types.
func (e *RunTimeEstimates) Expect(taskType TaskType, estimate float64) float64 {
	known := e.types[taskType]
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
	return defaultRunTime
}

// Learn adds the run time of a task, in seconds, limited by outlierRatio. estimate is that of Expect.
func (e *RunTimeEstimates) Learn(taskType TaskType, estimate, seconds float64) {
	known := e.types[taskType]
	if known == nil {
		known = &typeEstimates{}
		e.types[taskType] = known
	}
	expected := e.Expect(taskType, estimate)
	seconds = min(max(seconds, expected/outlierRatio), expected*outlierRatio)
	known.runTime.Add(seconds, runTimeWindow)
	e.all.Add(seconds, runTimeWindow)
	if estimate > 0 {
		known.ratio.Add(seconds/estimate, runTimeWindow)
	}
}
