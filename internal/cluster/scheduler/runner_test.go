package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
)

// clockMs returns the runner's clock, in milliseconds.
func (l *incarnation) clockMs() int64 {
	return l.clockOffsetMs + int64(float64(l.w.now.Milliseconds())*l.clockRate)
}

func (l *incarnation) fencesOff(token uint64) bool {
	if token < l.highestToken {
		return true
	}
	l.highestToken = token
	return false
}

func (l *incarnation) extendLease(deadline int64) {
	if deadline > 0 {
		l.leaseDeadlineMs = max(l.leaseDeadlineMs, min(deadline, l.clockMs()+maxLease.Milliseconds()))
	}
}

func (l *incarnation) renewLease(order scheduler.Order, answer func(func(*scheduler.Scheduler))) {
	if l.fencesOff(order.Token) {
		answer(func(o *scheduler.Scheduler) {
			o.LeaseReplied(l.w.now, order, scheduler.LeaseFenced, scheduler.RunnerReport{})
		})
		return
	}
	l.extendLease(order.DeadlineMs)
	for len(l.finished) > 0 && l.finished[0].Number <= order.AckedThrough {
		l.w.recordAcknowledged(l.finished[0])
		l.finished = l.finished[1:]
	}
	l.polls = append(l.polls, longPoll{deadline: l.w.now + time.Duration(order.WaitMs)*time.Millisecond, ackedThrough: order.AckedThrough, answer: func() {
		report := l.report()
		answer(func(o *scheduler.Scheduler) { o.LeaseReplied(l.w.now, order, scheduler.LeaseRenewed, report) })
	}})
}

func (l *incarnation) report() scheduler.RunnerReport {
	report := scheduler.RunnerReport{ClockMs: l.clockMs(), Finished: append([]scheduler.ReportedEnd(nil), l.finished...)}
	for _, r := range l.inOrder {
		percent := int(100 * (r.workBefore + l.w.now - r.startedAt) / r.work)
		if l.stallsRuns {
			percent = 0
		}
		report.Running = append(report.Running, scheduler.ReportedRun{Task: r.ref, Attempt: r.attempt, Checkpoint: r.checkpoint, Percent: min(percent, 99)})
	}
	return report
}

func (l *incarnation) used() job.Resources {
	used := job.Resources{}
	for _, r := range l.runs {
		used = used.Add(r.job.spec.Steps[r.ref.Step].Resources)
	}
	return used
}

func (l *incarnation) start(order scheduler.Order) scheduler.StartReply {
	w := l.w
	if l.fencesOff(order.Token) {
		return scheduler.StartRefused
	}
	if r := l.runs[order.Task]; r != nil && r.attempt == order.Attempt {
		return scheduler.StartAccepted
	}
	if l.clockMs() > order.DeadlineMs || order.Attempt <= l.highestAttempt[order.Task] {
		return scheduler.StartRefused
	}
	j := w.jobs[order.Task.Job]
	w.check(j != nil && order.Spec == j.spec.Text, "UNASKED", "%v with spec %q", order.Task, order.Spec)
	l.extendLease(order.DeadlineMs)
	spec := j.spec.Steps[order.Task.Step]
	if !l.used().Add(spec.Resources).FitsIn(l.capacity) {
		w.check(l.enforcesCapacity, "LIMIT", "%v at %s", order.Task, l.id)
		return scheduler.StartNoCapacity
	}
	w.checkStart(l, j, spec, order)
	work := time.Duration(float64(spec.EstimateMs)*(0.6+0.8*w.random.Float64())) * time.Millisecond
	r := &running{ref: order.Task, attempt: order.Attempt, job: j, startedAt: w.now, checkpoint: order.Checkpoint, work: max(work, tickLength)}
	if order.Checkpoint != "" {
		r.workBefore = r.work / 3
	}
	l.runs[order.Task] = r
	l.inOrder = append(l.inOrder, r)
	return scheduler.StartAccepted
}

// speculativeStartTolerance is how long after the acknowledged end of a task a speculative attempt that was
// on its way may start.
const speculativeStartTolerance = time.Second

// checkStart checks the rules that a start can break.
func (w *world) checkStart(l *incarnation, j *submitted, spec job.Step, order scheduler.Order) {
	ref := order.Task
	for _, other := range w.incarnations {
		if r := other.runs[ref]; other.up && r != nil {
			w.speculativeStarts++
			w.check(spec.Speculative && other != l, "TWICE", "%v attempt %d at %s, while attempt %d is at %s", ref, order.Attempt, l.id, r.attempt, other.id)
		}
	}
	allowed := time.Duration(0)
	if spec.Speculative {
		allowed = speculativeStartTolerance
	}
	w.check(j.acknowledged[ref] == 0 || w.now-j.acknowledged[ref] < allowed || spec.LongRunning, "TWICE", "%v starts after its end was taken note of", ref)
	w.check(j.failures[ref] < j.retries || spec.LongRunning, "BUDGET", "%v after %d failures of %d", ref, j.failures[ref], j.retries)
	for _, before := range spec.DependsOn {
		for index := range j.spec.Steps[before].Count {
			w.check(j.ended[job.TaskRef{Job: j.id, Occurrence: ref.Occurrence, Step: before, Index: index}], "ORDER", "%v before step %d is done", ref, before)
		}
	}
	if due := j.spec.DueMs(ref.Occurrence); due > 0 {
		w.check(w.wallMs() >= due-250, "ORDER", "%v before its time", ref)
	}
	w.check(order.Checkpoint == "" || j.checkpoints[order.Checkpoint], "UNASKED", "%v with progress %q that is not its own", ref, order.Checkpoint)
	w.check(j.cancelled == 0 || w.now-j.cancelled < 3*time.Second, "UNASKED", "%v after its cancelling", ref)
	for _, label := range spec.Constraints {
		w.check(containsLabel(l.labels, label), "ROUTE", "%v at %s, which lacks %s", ref, l.id, label)
	}
	if spec.AntiAffinity > 0 {
		n := 1
		for other := range l.runs {
			if other.Job == ref.Job && other.Occurrence == ref.Occurrence && other.Step == ref.Step {
				n++
			}
		}
		w.check(n <= spec.AntiAffinity, "ROUTE", "%d tasks of %v at %s", n, ref, l.id)
	}
}

func containsLabel(labels []string, wanted string) bool {
	for _, label := range labels {
		if label == wanted {
			return true
		}
	}
	return false
}

func (l *incarnation) stop(order scheduler.Order) scheduler.StopReply {
	if l.fencesOff(order.Token) {
		return scheduler.StopNotConfirmed
	}
	l.highestAttempt[order.Task] = max(l.highestAttempt[order.Task], order.Attempt)
	if r := l.runs[order.Task]; r != nil && r.attempt <= order.Attempt {
		r.checkpoint = l.checkpoint(r)
		l.end(r, job.EndStopped)
	}
	return scheduler.StopConfirmed
}

// checkpoint returns the text of a run's progress, where its step saves any.
func (l *incarnation) checkpoint(r *running) string {
	if !r.job.spec.Steps[r.ref.Step].Checkpoints || r.workBefore+l.w.now-r.startedAt < checkpointInterval {
		return r.checkpoint
	}
	text := fmt.Sprintf("%s-%d-%d", r.ref, r.attempt, (r.workBefore+l.w.now-r.startedAt)/checkpointInterval)
	r.job.checkpoints[text] = true
	return text
}

func (l *incarnation) end(r *running, how job.EndReason) {
	l.remove(r)
	if how == job.EndDone {
		for _, ref := range r.job.peers(r.ref) {
			r.job.ended[ref] = true
		}
	}
	l.highestAttempt[r.ref] = max(l.highestAttempt[r.ref], r.attempt)
	l.number++
	l.finished = append(l.finished, scheduler.ReportedEnd{Number: l.number, Task: r.ref, Attempt: r.attempt, Reason: how, Checkpoint: r.checkpoint})
	if r.job.spec.Steps[r.ref.Step].Gang {
		l.w.gangEnds(r, how)
	}
}

// gang returns the runs of a gang's attempt, wherever they are.
func (w *world) gang(r *running) (members []*running, at []*incarnation) {
	for _, l := range w.incarnations {
		if !l.up {
			continue
		}
		for _, other := range l.inOrder {
			if other.ref.Job == r.ref.Job && other.ref.Occurrence == r.ref.Occurrence && other.ref.Step == r.ref.Step && other.attempt == r.attempt {
				members, at = append(members, other), append(at, l)
			}
		}
	}
	return members, at
}

// gangEnds ends the other members with the first one: done together, or broken.
func (w *world) gangEnds(r *running, how job.EndReason) {
	if how == job.EndGangBroken {
		return
	}
	if how != job.EndDone {
		how = job.EndGangBroken
	}
	members, at := w.gang(r)
	for i, other := range members {
		if how == job.EndDone {
			at[i].remove(other)
			at[i].number++
			at[i].finished = append(at[i].finished, scheduler.ReportedEnd{Number: at[i].number, Task: other.ref, Attempt: other.attempt, Reason: job.EndDone})
			continue
		}
		at[i].end(other, how)
	}
}

// tick lets time pass at a runner.
func (l *incarnation) tick() {
	if !l.up {
		return
	}
	for _, r := range l.inOrder {
		if l.runs[r.ref] == r {
			l.tickRun(r)
		}
	}
	kept := l.polls[:0]
	for _, h := range l.polls {
		if l.number > h.ackedThrough && len(l.finished) > 0 || l.w.now >= h.deadline {
			if l.w.now >= l.unreachableUntil {
				h.answer()
			}
			continue
		}
		kept = append(kept, h)
	}
	l.polls = kept
}

// remove forgets a run, keeping the others in the order of their starts.
func (l *incarnation) remove(r *running) {
	delete(l.runs, r.ref)
	l.inOrder = slices.DeleteFunc(slices.Clone(l.inOrder), func(other *running) bool { return other == r })
}

func (l *incarnation) tickRun(r *running) {
	w := l.w
	spec := r.job.spec.Steps[r.ref.Step]
	if l.clockMs() > l.leaseDeadlineMs {
		l.end(r, job.EndLeaseExpired)
		return
	}
	if spec.Gang {
		members, _ := w.gang(r)
		if len(members) < spec.Count {
			if w.now-r.startedAt > gangTimeout {
				w.incompleteGangs++
				l.end(r, job.EndGangIncomplete)
			}
			return
		}
		for _, other := range members {
			if other.startedAt > r.startedAt {
				return // the work begins once all are there; the last one's run counts
			}
		}
	}
	r.checkpoint = l.checkpoint(r)
	if l.stallsRuns || r.workBefore+w.now-r.startedAt < r.work {
		return
	}
	switch {
	case r.job.alwaysFails && r.ref.Step == 0, l.failsRuns, w.random.IntN(25) == 0:
		l.end(r, job.EndFailed)
	default:
		l.end(r, job.EndDone)
	}
}

// crash ends an incarnation. Another one may come at its address.
func (w *world) crash(l *incarnation, returns bool) {
	l.up = false
	for i, other := range w.incarnations {
		if other == l && returns {
			w.later(w.between(500*time.Millisecond, 3*time.Second), func() { w.addIncarnation(l.address, i) })
		}
	}
}
