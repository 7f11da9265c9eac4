package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/admission"
)

const (
	// slowdownWindow is the window, in runs, of the average ratio of run times to expected ones.
	// maxSlowdown is the maximum ratio that a single run contributes to it.
	slowdownWindow = 8
	maxSlowdown    = 8.0
	// overloadedRunRatio is the ratio of the run time to the expected one above which a run shows
	// that its runner is overloaded, if the runner's slowdown also exceeds normalSlowdown.
	overloadedRunRatio = 2.0
	// normalSlowdown is the slowdown from which on a runner's runs are not used to learn their
	// steps' run times.
	normalSlowdown = 1.6
)

// runTimeLearner learns from the ends of runs: the run times of the tasks of a queue's step, the
// mean cost of a service's tasks, and for each runner its speed and the size of its budget.
type runTimeLearner struct {
	estimates      *admission.RunTimeEstimates
	meanCosts      map[string]*admission.MeanCost // by service
	remoteSlowdown float64                        // factor by which a task's run time grows outside its data's rack
}

func newRunTimeLearner(remoteSlowdown float64) *runTimeLearner {
	return &runTimeLearner{estimates: admission.NewRunTimeEstimates(), meanCosts: map[string]*admission.MeanCost{}, remoteSlowdown: remoteSlowdown}
}

// expected returns the expected run time, in seconds, of a step's task near its data at a runner of
// normal speed.
func (l *runTimeLearner) expected(j *job.Job, step int) float64 {
	return l.estimates.Expect(admission.TaskType{Queue: j.Queue, Step: step}, float64(j.Spec.Steps[step].EstimateMs)/1000)
}

// meanCost returns the mean cost of a service's tasks.
func (l *runTimeLearner) meanCost(service string) *admission.MeanCost {
	mean := l.meanCosts[service]
	if mean == nil {
		mean = &admission.MeanCost{}
		l.meanCosts[service] = mean
	}
	return mean
}

// runEnded processes the end of a run. group is nil if the run's step is complete.
func (l *runTimeLearner) runEnded(now time.Duration, j *job.Job, group *taskGroup, runner *runnerSession, r *run, reason job.EndReason) {
	switch reason {
	case job.EndDone:
		runner.suspicion.runDone(now)
		if r.observedInFull() {
			l.learnFromRun(now, j, group, runner, r)
		}
	case job.EndFailed:
		runner.suspicion.runFailed(now, j.ID)
	}
}

// observedInFull reports whether this leader observed the whole execution of a run, so that run
// times can be learned from it. Inherited and resumed runs executed partly earlier or elsewhere.
func (r *run) observedInFull() bool { return r.phase == phaseConfirmed && !r.resumed && r.expected > 0 }

// learnFromRun learns from a successful run about its runner and its step.
func (l *runTimeLearner) learnFromRun(now time.Duration, j *job.Job, group *taskGroup, runner *runnerSession, r *run) {
	seconds := (now - r.orderedAt).Seconds()
	localSeconds := seconds
	if r.remote {
		localSeconds /= l.remoteSlowdown
	}
	if group != nil && !group.step.Gang && !group.step.LongRunning {
		group.finished = append(group.finished, admission.PeerRun{Factor: &runner.speed.factor, Took: localSeconds})
	}
	ratio := seconds / r.expected
	runner.speed.slowdown.Add(min(ratio, maxSlowdown), slowdownWindow)
	if ratio < slowRatio {
		runner.suspicion.runInTime(now)
	}
	slowdown := runner.speed.recentSlowdown()
	if ratio > overloadedRunRatio && slowdown > normalSlowdown {
		runner.load.budget.Shrink(r.orderedAt, now, l.meanCost(runner.service))
	} else {
		runner.load.budget.Grow(r.cost, runner.maxBudget())
	}
	if slowdown < normalSlowdown && r.task.Step < len(j.Spec.Steps) {
		l.learnRunTime(j, r.task.Step, localSeconds/runner.speed.factor.Value())
	}
}

// learnRunTime updates the estimate for a step's tasks with a run time in seconds, converted to
// that of a task near its data at a runner of normal speed.
func (l *runTimeLearner) learnRunTime(j *job.Job, step int, seconds float64) {
	l.estimates.Learn(admission.TaskType{Queue: j.Queue, Step: step}, float64(j.Spec.Steps[step].EstimateMs)/1000, seconds)
}
