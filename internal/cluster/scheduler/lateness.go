package scheduler

import (
	"log/slog"
	"maps"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
	"basaltloft/internal/cluster/placement"
)

// latenessTracker accounts, under this leader, for where the time of each job goes, and logs it for
// jobs that miss their objective. It decides nothing.
type latenessTracker struct {
	jobs           map[string]*jobAccount // by ID, of jobs that are not over
	remoteSlowdown float64                // how many times longer a task runs away from its data
	log            *slog.Logger
}

// jobAccount is what is known of where a job's time went.
type jobAccount struct {
	cost  float64 // core-seconds, as estimated when it was first seen
	paths map[groupKey]lateness.CriticalPath
}

func newLatenessTracker(remoteSlowdown float64, log *slog.Logger) *latenessTracker {
	return &latenessTracker{jobs: map[string]*jobAccount{}, remoteSlowdown: remoteSlowdown, log: log}
}

// open begins the account of a job, if there is none.
func (t *latenessTracker) open(j *job.Job, learner *runTimeLearner) {
	if t.jobs[j.ID] != nil {
		return
	}
	account := &jobAccount{paths: map[groupKey]lateness.CriticalPath{}}
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		account.cost += float64(step.Count) * stepCost(learner.expected(j, i), step)
	}
	t.jobs[j.ID] = account
}

// forget drops the account of a job that is over.
func (t *latenessTracker) forget(id string) { delete(t.jobs, id) }

// closeOccurrence drops what is known of an occurrence that is complete.
func (t *latenessTracker) closeOccurrence(id string, occurrence int) {
	if account := t.jobs[id]; account != nil {
		maps.DeleteFunc(account.paths, func(key groupKey, _ lateness.CriticalPath) bool { return key.occurrence == occurrence })
	}
}

// arrivedMs returns the time of day from which on an occurrence's objective counts: when it is
// due, or when the job was accepted.
func arrivedMs(j *job.Job, occurrence int) int64 {
	if due := j.Spec.DueMs(occurrence); due > 0 {
		return due
	}
	return j.AcceptedMs
}

// waitCause tells what a group waits for, by why its tasks found no runner.
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

// lossCause tells under which cause the time of a run counts that was not done.
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

// runEnded accounts for a run. Of runs side by side only the last to end counts: othersRun says
// that there are others yet.
func (t *latenessTracker) runEnded(now time.Duration, group *taskGroup, r *run, runTimeFactor float64, reason job.EndReason, othersRun bool) {
	took := now - r.orderedAt
	account := group.account(r.task.Index)
	switch {
	case reason == job.EndDone:
		remoteFactor := 1.0
		if r.remote {
			remoteFactor = t.remoteSlowdown
		}
		account.Completed(took, remoteFactor, runTimeFactor)
	case !othersRun:
		account.Add(lossCause(reason), took)
		account.Ready(group.queue.Waited(now))
	}
}

// stepComplete accounts for a step that is complete, whose last task is that one.
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

// reportIfLate logs where the time of an occurrence went that missed its objective, its last step
// being that of the group.
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
