package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/admission"
)

const (
	// slowdownWindow is the window, in runs, of the average of run times over expected ones, and
	// maxSlowdown the most that one run counts in it.
	slowdownWindow = 8
	maxSlowdown    = 8.0
	// overloadedRunRatio: a run so many times longer than expected, at a runner that is slower than
	// normalSlowdown, shows that the runner has too much to do.
	overloadedRunRatio = 2.0
	// normalSlowdown: runs at a slower runner say nothing of their step's run time.
	normalSlowdown = 1.6
)

// runTimeLearner learns from runs that end: how long the tasks of a queue's step run, what tasks of
// a service cost, and of each runner how fast it is and how much work its budget may let out.
type runTimeLearner struct {
	estimates      *admission.RunTimeEstimates
	meanCosts      map[string]*admission.MeanCost // by service
	remoteSlowdown float64                        // how many times longer a task runs away from its data
}

func newRunTimeLearner(remoteSlowdown float64) *runTimeLearner {
	return &runTimeLearner{estimates: admission.NewRunTimeEstimates(), meanCosts: map[string]*admission.MeanCost{}, remoteSlowdown: remoteSlowdown}
}

// expected returns the run time to expect of a step's task near its data at a normal runner, in
// seconds.
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

// runEnded takes in the end of a run. group is nil where its step is complete.
func (l *runTimeLearner) runEnded(now time.Duration, j *job.Job, group *taskGroup, runner *runnerSession, r *run, reason job.EndReason) {
	switch reason {
	case job.EndDone:
		runner.suspicion.runDone()
		if r.observedInFull() {
			l.learnFromRun(now, j, group, runner, r)
		}
	case job.EndFailed:
		runner.suspicion.runFailed()
	}
}

// observedInFull tells whether all of a run's time was seen by this leader, so that it says something of
// run times: an inherited run, or one that resumed, ran elsewhere or earlier for a part of it.
func (r *run) observedInFull() bool { return r.phase == phaseConfirmed && !r.resumed && r.expected > 0 }

// learnFromRun draws from a run that ended well what it says of its runner and of its step.
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

// learnRunTime takes in how long a step's task ran, as near its data at a normal runner, in seconds.
func (l *runTimeLearner) learnRunTime(j *job.Job, step int, seconds float64) {
	l.estimates.Learn(admission.TaskType{Queue: j.Queue, Step: step}, float64(j.Spec.Steps[step].EstimateMs)/1000, seconds)
}
