package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/scheduler"
)

// clockMs returns the runner's clock, in milliseconds.
func (inc *incarnation) clockMs() int64 {
	return inc.clockOffsetMs + int64(float64(inc.w.now.Milliseconds())*inc.clockRate)
}

func (inc *incarnation) fencesOff(token uint64) bool {
	if token < inc.highestToken {
		return true
	}
	inc.highestToken = token
	return false
}

func (inc *incarnation) extendLease(deadline int64) {
	if deadline > 0 {
		inc.leaseDeadlineMs = max(inc.leaseDeadlineMs, min(deadline, inc.clockMs()+maxLease.Milliseconds()))
	}
}

func (inc *incarnation) renewLease(order scheduler.Order, answer func(func(*scheduler.Scheduler))) {
	if inc.fencesOff(order.Token) {
		answer(func(s *scheduler.Scheduler) {
			s.LeaseReplied(inc.w.now, order, scheduler.LeaseFenced, scheduler.RunnerReport{})
		})
		return
	}
	inc.extendLease(order.DeadlineMs)
	for len(inc.finished) > 0 && inc.finished[0].Number <= order.AckedThrough {
		inc.w.recordAcknowledged(inc.finished[0])
		inc.finished = inc.finished[1:]
	}
	inc.polls = append(inc.polls, longPoll{deadline: inc.w.now + time.Duration(order.WaitMs)*time.Millisecond, ackedThrough: order.AckedThrough, answer: func() {
		report := inc.report()
		answer(func(s *scheduler.Scheduler) { s.LeaseReplied(inc.w.now, order, scheduler.LeaseRenewed, report) })
	}})
}

func (inc *incarnation) report() scheduler.RunnerReport {
	report := scheduler.RunnerReport{ClockMs: inc.clockMs(), Finished: append([]scheduler.ReportedEnd(nil), inc.finished...)}
	for _, r := range inc.inOrder {
		percent := int(100 * (r.workBefore + inc.w.now - r.startedAt) / r.work)
		if inc.stallsRuns {
			percent = 0
		}
		report.Running = append(report.Running, scheduler.ReportedRun{Task: r.ref, Attempt: r.attempt, Checkpoint: r.checkpoint, Percent: min(percent, 99)})
	}
	return report
}

func (inc *incarnation) used() job.Resources {
	used := job.Resources{}
	for _, r := range inc.runs {
		used = used.Add(r.job.spec.Steps[r.ref.Step].Resources)
	}
	return used
}

func (inc *incarnation) start(order scheduler.Order) scheduler.StartReply {
	w := inc.w
	if inc.fencesOff(order.Token) {
		return scheduler.StartRefused
	}
	if r := inc.runs[order.Task]; r != nil && r.attempt == order.Attempt {
		return scheduler.StartAccepted
	}
	if inc.clockMs() > order.DeadlineMs || order.Attempt <= inc.highestAttempt[order.Task] {
		return scheduler.StartRefused
	}
	j := w.jobs[order.Task.Job]
	w.check(j != nil && order.Spec == j.spec.Text, "UNASKED", "%v with spec %q", order.Task, order.Spec)
	inc.extendLease(order.DeadlineMs)
	spec := j.spec.Steps[order.Task.Step]
	if !inc.used().Add(spec.Resources).FitsIn(inc.capacity) {
		w.check(inc.enforcesCapacity, "LIMIT", "%v at %s", order.Task, inc.id)
		return scheduler.StartNoCapacity
	}
	w.checkStart(inc, j, spec, order)
	work := time.Duration(float64(spec.EstimateMs)*(0.6+0.8*w.random.Float64())) * time.Millisecond
	r := &running{ref: order.Task, attempt: order.Attempt, job: j, startedAt: w.now, checkpoint: order.Checkpoint, work: max(work, tickLength)}
	if order.Checkpoint != "" {
		r.workBefore = r.work / 3
	}
	inc.runs[order.Task] = r
	inc.inOrder = append(inc.inOrder, r)
	return scheduler.StartAccepted
}

// speculativeStartTolerance is how long after the acknowledged end of a task a speculative attempt that was
// on its way may start.
const speculativeStartTolerance = time.Second

// checkStart checks the rules that a start can break.
func (w *world) checkStart(inc *incarnation, j *submitted, spec job.Step, order scheduler.Order) {
	ref := order.Task
	for _, other := range w.incarnations {
		if r := other.runs[ref]; other.up && r != nil {
			w.speculativeStarts++
			w.check(spec.Speculative && other != inc, "TWICE", "%v attempt %d at %s, while attempt %d is at %s", ref, order.Attempt, inc.id, r.attempt, other.id)
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
		w.check(containsLabel(inc.labels, label), "ROUTE", "%v at %s, which lacks %s", ref, inc.id, label)
	}
	if spec.AntiAffinity > 0 {
		n := 1
		for other := range inc.runs {
			if other.Job == ref.Job && other.Occurrence == ref.Occurrence && other.Step == ref.Step {
				n++
			}
		}
		w.check(n <= spec.AntiAffinity, "ROUTE", "%d tasks of %v at %s", n, ref, inc.id)
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

func (inc *incarnation) stop(order scheduler.Order) scheduler.StopReply {
	if inc.fencesOff(order.Token) {
		return scheduler.StopNotConfirmed
	}
	inc.highestAttempt[order.Task] = max(inc.highestAttempt[order.Task], order.Attempt)
	if r := inc.runs[order.Task]; r != nil && r.attempt <= order.Attempt {
		r.checkpoint = inc.checkpoint(r)
		inc.end(r, job.EndStopped)
	}
	return scheduler.StopConfirmed
}

// checkpoint returns the text of a run's progress, where its step saves any.
func (inc *incarnation) checkpoint(r *running) string {
	if !r.job.spec.Steps[r.ref.Step].Checkpoints || r.workBefore+inc.w.now-r.startedAt < checkpointInterval {
		return r.checkpoint
	}
	text := fmt.Sprintf("%s-%d-%d", r.ref, r.attempt, (r.workBefore+inc.w.now-r.startedAt)/checkpointInterval)
	r.job.checkpoints[text] = true
	return text
}

func (inc *incarnation) end(r *running, reason job.EndReason) {
	inc.remove(r)
	if reason == job.EndDone {
		for _, ref := range r.job.peers(r.ref) {
			r.job.ended[ref] = true
		}
	}
	inc.highestAttempt[r.ref] = max(inc.highestAttempt[r.ref], r.attempt)
	inc.number++
	inc.finished = append(inc.finished, scheduler.ReportedEnd{Number: inc.number, Task: r.ref, Attempt: r.attempt, Reason: reason, Checkpoint: r.checkpoint})
	if r.job.spec.Steps[r.ref.Step].Gang {
		inc.w.gangEnds(r, reason)
	}
}

// gang returns the runs of a gang's attempt, wherever they are.
func (w *world) gang(r *running) (members []*running, at []*incarnation) {
	for _, inc := range w.incarnations {
		if !inc.up {
			continue
		}
		for _, other := range inc.inOrder {
			if other.ref.Job == r.ref.Job && other.ref.Occurrence == r.ref.Occurrence && other.ref.Step == r.ref.Step && other.attempt == r.attempt {
				members, at = append(members, other), append(at, inc)
			}
		}
	}
	return members, at
}

// gangEnds ends the other members with the first one: done together, or broken.
func (w *world) gangEnds(r *running, reason job.EndReason) {
	if reason == job.EndGangBroken {
		return
	}
	if reason != job.EndDone {
		reason = job.EndGangBroken
	}
	members, at := w.gang(r)
	for i, other := range members {
		if reason == job.EndDone {
			at[i].remove(other)
			at[i].number++
			at[i].finished = append(at[i].finished, scheduler.ReportedEnd{Number: at[i].number, Task: other.ref, Attempt: other.attempt, Reason: job.EndDone})
			continue
		}
		at[i].end(other, reason)
	}
}

// tick lets time pass at a runner.
func (inc *incarnation) tick() {
	if !inc.up {
		return
	}
	for _, r := range inc.inOrder {
		if inc.runs[r.ref] == r {
			inc.tickRun(r)
		}
	}
	kept := inc.polls[:0]
	for _, h := range inc.polls {
		if inc.number > h.ackedThrough && len(inc.finished) > 0 || inc.w.now >= h.deadline {
			if inc.w.now >= inc.unreachableUntil {
				h.answer()
			}
			continue
		}
		kept = append(kept, h)
	}
	inc.polls = kept
}

// remove forgets a run, keeping the others in the order of their starts.
func (inc *incarnation) remove(r *running) {
	delete(inc.runs, r.ref)
	inc.inOrder = slices.DeleteFunc(slices.Clone(inc.inOrder), func(other *running) bool { return other == r })
}

func (inc *incarnation) tickRun(r *running) {
	w := inc.w
	spec := r.job.spec.Steps[r.ref.Step]
	if inc.clockMs() > inc.leaseDeadlineMs {
		inc.end(r, job.EndLeaseExpired)
		return
	}
	if spec.Gang {
		members, _ := w.gang(r)
		if len(members) < spec.Count {
			if w.now-r.startedAt > gangTimeout {
				w.incompleteGangs++
				inc.end(r, job.EndGangIncomplete)
			}
			return
		}
		for _, other := range members {
			if other.startedAt > r.startedAt {
				return // the work begins once all are there; the last one's run counts
			}
		}
	}
	r.checkpoint = inc.checkpoint(r)
	if inc.stallsRuns || r.workBefore+w.now-r.startedAt < r.work {
		return
	}
	switch {
	case r.job.alwaysFails && r.ref.Step == 0, inc.failsRuns, w.random.IntN(25) == 0:
		inc.end(r, job.EndFailed)
	default:
		inc.end(r, job.EndDone)
	}
}

// crash ends an incarnation. Another one may come at its address.
func (w *world) crash(inc *incarnation, returns bool) {
	inc.up = false
	for i, other := range w.incarnations {
		if other == inc && returns {
			w.later(w.between(500*time.Millisecond, 3*time.Second), func() { w.addIncarnation(inc.address, i) })
		}
	}
}
