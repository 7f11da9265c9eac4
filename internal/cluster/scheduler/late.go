package scheduler

import (
	"log/slog"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
	"basaltloft/internal/cluster/placement"
)

// jobAccount is what is known of where a job's time went, under this owner.
type jobAccount struct {
	cost  float64 // core-seconds, as estimated when it came
	paths map[bundleKey]lateness.CriticalPath
}

// accountOf returns a job's account, made when it is first asked for.
func (o *Scheduler) accountOf(j *job.Job) *jobAccount {
	account := o.accounts[j.ID]
	if account != nil {
		return account
	}
	account = &jobAccount{paths: map[bundleKey]lateness.CriticalPath{}}
	for at := range j.Spec.Steps {
		step := &j.Spec.Steps[at]
		account.cost += float64(step.Count) * stepCost(o.expected(j, at), step)
	}
	o.accounts[j.ID] = account
	return account
}

// cameMs returns the time of day from which on a time of a job is owed: when it is due, or when
// the job was accepted.
func cameMs(j *job.Job, time int) int64 {
	if due := j.Spec.DueMs(time); due > 0 {
		return due
	}
	return j.AcceptedMs
}

// trail returns the account of a bundle's task.
func (b *bundle) trail(index int) *lateness.TaskAccount {
	trail := b.trails[index]
	if trail == nil {
		trail = &lateness.TaskAccount{}
		b.trails[index] = trail
	}
	return trail
}

// waitsFor tells what a bundle waits for, by why its tasks found no runner.
func waitsFor(ask *placement.Request, gang bool, result placement.Result) lateness.Cause {
	switch {
	case result == placement.NoBudget:
		return lateness.Budget
	case gang:
		return lateness.Gang
	case ask.LocalOnly:
		return lateness.Rack
	}
	return lateness.Capacity
}

// lostTo tells under which cause the time of a run counts that did not end well.
func lostTo(how job.EndReason) lateness.Cause {
	switch how {
	case job.EndFailed:
		return lateness.Failed
	case job.EndStopped:
		return lateness.Migrated
	case job.EndGangBroken, job.EndGangIncomplete:
		return lateness.Gang
	}
	return lateness.Unresponsive
}

// accountRun takes in the end of a run. Of runs side by side only the last to end counts.
func (o *Scheduler) accountRun(s *session, r *run, how job.EndReason, beside bool) {
	b := o.bundles[keyOf(r.task)]
	if b == nil {
		return
	}
	took := o.now - r.sentAt
	trail := b.trail(r.task.Index)
	switch {
	case how == job.EndDone:
		far := 1.0
		if r.far {
			far = o.bounds.RemoteSlowdown
		}
		trail.Completed(took, far, s.speed.Value())
	case !beside:
		trail.Add(lostTo(how), took)
		trail.Ready(b.queue.Waited(o.now))
	}
}

// accountEnd takes in that a task is done: with it its step may be complete, and its job.
func (o *Scheduler) accountEnd(j *job.Job, ref job.TaskRef) {
	b := o.bundles[keyOf(ref)]
	_, step := j.Task(ref)
	if b == nil || step != nil && !step.Complete() {
		return
	}
	o.accountStep(b, ref.Index)
	if step == nil || j.Occurrences[ref.Occurrence].OpenSteps == 0 {
		o.reportIfLate(b)
	}
}

// accountStep takes in that a step is complete, its last task being that one.
func (o *Scheduler) accountStep(b *bundle, last int) {
	account := o.accounts[b.key.job]
	if account == nil {
		return
	}
	var before []lateness.CriticalPath
	for _, step := range b.step.DependsOn {
		key := b.key
		key.step = step
		before = append(before, account.paths[key])
	}
	account.paths[b.key] = lateness.ExtendPath(before, b.trail(last), o.now)
}

// reportIfLate logs where the time of a job went whose last step ended later than is owed.
func (o *Scheduler) reportIfLate(b *bundle) {
	account := o.accounts[b.key.job]
	if account == nil || b.step.LongRunning || b.job.Extension <= 0 {
		return
	}
	path := account.paths[b.key]
	took := time.Duration(o.wallMs-b.cameMs) * time.Millisecond
	owed := lateness.Objective(path.Spent[lateness.Work], b.job.Extension, time.Duration(b.job.TargetMs)*time.Millisecond)
	if took <= owed {
		return
	}
	path.Spent[lateness.PreviousLeader] += max(0, took-path.Spent.Total())
	attributes := []any{slog.String("job", b.key.job), slog.String("queue", b.job.Queue), slog.Int64("came_ms", b.cameMs),
		slog.Int64("took_ms", took.Milliseconds()), slog.Int64("owed_ms", owed.Milliseconds()), slog.Float64("cost", account.cost)}
	for cause, span := range path.Spent {
		if span > 0 {
			attributes = append(attributes, slog.Int64(lateness.Cause(cause).String(), span.Milliseconds()))
		}
	}
	o.log.Info(lateness.LateMessage, attributes...)
}
