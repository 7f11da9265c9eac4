package scheduler

import (
	"log/slog"
	"maps"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
	"basaltloft/internal/cluster/placement"
)

// latenessTracker records how the time of each job is spent under this leader, and logs it for jobs
// that miss their objective. It doesn't influence any decision.
type latenessTracker struct {
	jobs           map[string]*jobAccount // by job ID; jobs that are not over
	remoteSlowdown float64                // factor by which a task's run time grows outside its data's rack
	log            *slog.Logger
}

// jobAccount records how a job's time is spent.
type jobAccount struct {
	cost  float64 // estimated core-seconds when the job was first seen
	paths map[groupKey]lateness.CriticalPath
}

func newLatenessTracker(remoteSlowdown float64, log *slog.Logger) *latenessTracker {
	return &latenessTracker{jobs: map[string]*jobAccount{}, remoteSlowdown: remoteSlowdown, log: log}
}

// open creates the account of a job if there is none.
func (t *latenessTracker) open(j *job.Job, learner *runTimeLearner) {
	if t.jobs[j.ID] != nil {
		return
	}
	account := &jobAccount{paths: map[groupKey]lateness.CriticalPath{}}
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		account.cost += float64(float64(step.Count) * stepCost(learner.expected(j, i), step))
	}
	t.jobs[j.ID] = account
}

// forget removes the account of a job that is over.
func (t *latenessTracker) forget(id string) { delete(t.jobs, id) }

// closeOccurrence removes the paths of a complete occurrence.
func (t *latenessTracker) closeOccurrence(id string, occurrence int) {
	if account := t.jobs[id]; account != nil {
		maps.DeleteFunc(account.paths, func(key groupKey, _ lateness.CriticalPath) bool { return key.occurrence == occurrence })
	}
}

// arrivedMs returns the time of day at which an occurrence's objective starts: when it is due, or
// otherwise when the job was accepted.
func arrivedMs(j *job.Job, occurrence int) int64 {
	if due := j.Spec.DueMs(occurrence); due > 0 {
		return due
	}
	return j.AcceptedMs
}

// waitCause returns the cause of a group's wait, given the result of its placement.
func waitCause(request *placement.Request, gang bool, result placement.Result) lateness.Cause {
	switch {
	case result == placement.NoBudget:
		return lateness.Budget
	case gang:
		return lateness.Gang
	case request.LocalOnly:
		return lateness.Rack
	}
	return lateness.Capacity
}

// lossCause returns the lateness cause for the time of an unsuccessful run.
func lossCause(reason job.EndReason) lateness.Cause {
	switch reason {
	case job.EndFailed:
		return lateness.Failed
	case job.EndStopped:
		return lateness.Migrated
	case job.EndGangBroken, job.EndGangIncomplete:
		return lateness.Gang
	}
	return lateness.Unresponsive
}

// runEnded records the time of a run that has ended. Of concurrent runs of a task, only the last
// one to end counts: otherRunsRemain reports whether the task has other active runs.
func (t *latenessTracker) runEnded(now time.Duration, group *taskGroup, r *run, runTimeFactor float64, reason job.EndReason, otherRunsRemain bool) {
	took := now - r.orderedAt
	account := group.account(r.task.Index)
	switch {
	case reason == job.EndDone:
		remoteFactor := 1.0
		if r.remote {
			remoteFactor = t.remoteSlowdown
		}
		account.Completed(took, remoteFactor, runTimeFactor)
	case !otherRunsRemain:
		account.Add(lossCause(reason), took)
		account.Ready(group.queue.Waited(now))
	}
}

// stepComplete records the critical path of a complete step; last is the index of the task that was
// done last.
func (t *latenessTracker) stepComplete(now time.Duration, group *taskGroup, last int) {
	account := t.jobs[group.key.job]
	if account == nil {
		return
	}
	var before []lateness.CriticalPath
	for _, step := range group.step.DependsOn {
		key := group.key
		key.step = step
		before = append(before, account.paths[key])
	}
	account.paths[group.key] = lateness.ExtendPath(before, group.account(last), now)
}

// reportIfLate logs how the time of an occurrence was spent if it missed its objective. The group
// is that of the occurrence's last step.
func (t *latenessTracker) reportIfLate(wallMs int64, group *taskGroup) {
	account := t.jobs[group.key.job]
	if account == nil || group.step.LongRunning || group.job.Extension <= 0 {
		return
	}
	path := account.paths[group.key]
	took := time.Duration(wallMs-group.arrivedMs) * time.Millisecond
	objective := lateness.Objective(path.Spent[lateness.Work], group.job.Extension, time.Duration(group.job.TargetMs)*time.Millisecond)
	if took <= objective {
		return
	}
	path.Spent[lateness.PreviousLeader] += max(0, took-path.Spent.Total())
	late := lateness.LateJob{
		ID: group.key.job, Queue: group.job.Queue, Arrived: time.Duration(group.arrivedMs) * time.Millisecond,
		Took: took, Objective: objective, Cost: account.cost, Spent: path.Spent,
	}
	t.log.Info(lateness.LateMessage, late.Attributes()...)
}
