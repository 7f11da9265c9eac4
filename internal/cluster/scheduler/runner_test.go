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
	return inc.clockOffsetMs + int64(float64(inc.sim.now.Milliseconds())*inc.clockRate)
}

// rejectsToken reports whether a token is lower than the highest one seen, which it updates.
func (inc *incarnation) rejectsToken(token uint64) bool {
	if token < inc.highestToken {
		return true
	}
	inc.highestToken = token
	return false
}

// extendLease extends the leases up to a deadline on the runner's clock, limited by maxLease.
func (inc *incarnation) extendLease(deadline int64) {
	if deadline > 0 {
		inc.leaseDeadlineMs = max(inc.leaseDeadlineMs, min(deadline, inc.clockMs()+maxLease.Milliseconds()))
	}
}

// renewLease carries out a lease renewal. The reply is delayed until a run ends or the wait is over.
func (inc *incarnation) renewLease(order scheduler.Order, answer func(func(*scheduler.Scheduler))) {
	if inc.rejectsToken(order.Token) {
		answer(func(s *scheduler.Scheduler) {
			s.LeaseReplied(inc.sim.now, order, scheduler.LeaseFenced, scheduler.RunnerReport{})
		})
		return
	}
	inc.extendLease(order.DeadlineMs)
	for len(inc.finished) > 0 && inc.finished[0].Number <= order.AckedThrough {
		inc.sim.recordAcknowledged(inc.finished[0])
		inc.finished = inc.finished[1:]
	}
	inc.polls = append(inc.polls, longPoll{deadline: inc.sim.now + time.Duration(order.WaitMs)*time.Millisecond, ackedThrough: order.AckedThrough, answer: func() {
		report := inc.report()
		answer(func(s *scheduler.Scheduler) { s.LeaseReplied(inc.sim.now, order, scheduler.LeaseRenewed, report) })
	}})
}

func (inc *incarnation) report() scheduler.RunnerReport {
	report := scheduler.RunnerReport{ClockMs: inc.clockMs(), Finished: append([]scheduler.ReportedEnd(nil), inc.finished...)}
	for _, r := range inc.inOrder {
		percent := int(100 * (r.workBefore + inc.sim.now - r.startedAt) / r.work)
		if inc.stallsRuns {
			percent = 0
		}
		report.Running = append(report.Running, scheduler.ReportedRun{Task: r.ref, Attempt: r.attempt, Checkpoint: r.checkpoint, Percent: min(percent, 99)})
	}
	return report
}

// used returns the total resources of the active runs.
func (inc *incarnation) used() job.Resources {
	used := job.Resources{}
	for _, r := range inc.runs {
		used = used.Add(r.job.spec.Steps[r.ref.Step].Resources)
	}
	return used
}

// start carries out an order to start a run, after checking the rules that apply to it.
func (inc *incarnation) start(order scheduler.Order) scheduler.StartReply {
	sim := inc.sim
	if inc.rejectsToken(order.Token) {
		return scheduler.StartRefused
	}
	if r := inc.runs[order.Task]; r != nil && r.attempt == order.Attempt {
		return scheduler.StartAccepted
	}
	if inc.rejectsStarts || inc.clockMs() > order.DeadlineMs || order.Attempt <= inc.highestAttempt[order.Task] {
		return scheduler.StartRefused
	}
	j := sim.jobs[order.Task.Job]
	sim.check(j != nil && order.Spec == j.spec.Text, "UNASKED", "%v with spec %q", order.Task, order.Spec)
	inc.extendLease(order.DeadlineMs)
	spec := j.spec.Steps[order.Task.Step]
	if !inc.used().Add(spec.Resources).FitsIn(inc.capacity) {
		sim.check(inc.enforcesCapacity, "LIMIT", "%v at %s", order.Task, inc.id)
		return scheduler.StartNoCapacity
	}
	sim.checkStart(inc, j, spec, order)
	work := time.Duration(float64(spec.EstimateMs)*(0.6+float64(0.8*sim.random.Float64()))) * time.Millisecond
	if j.work > 0 {
		work = j.work
	}
	work *= time.Duration(max(1, inc.slowness))
	r := &running{ref: order.Task, attempt: order.Attempt, job: j, startedAt: sim.now, checkpoint: order.Checkpoint, work: max(work, tickLength)}
	if order.Checkpoint != "" {
		r.workBefore = r.work / 3
	}
	inc.runs[order.Task] = r
	inc.inOrder = append(inc.inOrder, r)
	return scheduler.StartAccepted
}

// speculativeStartTolerance is how long after the acknowledged end of a task a speculative attempt
// that was in flight may start.
const speculativeStartTolerance = time.Second

// checkStart checks the rules that apply to the start of a run.
func (sim *simulation) checkStart(inc *incarnation, j *submitted, spec job.Step, order scheduler.Order) {
	ref := order.Task
	for _, other := range sim.incarnations {
		if r := other.runs[ref]; other.up && r != nil {
			sim.speculativeStarts++
			sim.check(spec.Speculative && other != inc, "TWICE", "%v attempt %d at %s, while attempt %d is at %s", ref, order.Attempt, inc.id, r.attempt, other.id)
		}
	}
	allowed := time.Duration(0)
	if spec.Speculative {
		allowed = speculativeStartTolerance
	}
	sim.check(j.acknowledged[ref] == 0 || sim.now-j.acknowledged[ref] < allowed || spec.LongRunning, "TWICE", "%v starts after its end was acknowledged", ref)
	sim.check(j.failures[ref] < j.retries || spec.LongRunning, "BUDGET", "%v after %d failures of %d", ref, j.failures[ref], j.retries)
	for _, before := range spec.DependsOn {
		for index := range j.spec.Steps[before].Count {
			sim.check(j.ended[job.TaskRef{Job: j.id, Occurrence: ref.Occurrence, Step: before, Index: index}], "ORDER", "%v before step %d is done", ref, before)
		}
	}
	if due := j.spec.DueMs(ref.Occurrence); due > 0 {
		sim.check(sim.wallMs() >= due-250, "ORDER", "%v before its time", ref)
	}
	sim.check(order.Checkpoint == "" || j.checkpoints[order.Checkpoint], "UNASKED", "%v with checkpoint %q, which its job did not save", ref, order.Checkpoint)
	sim.check(j.cancelled == 0 || sim.now-j.cancelled < 3*time.Second, "UNASKED", "%v after its cancellation", ref)
	for _, label := range spec.Constraints {
		sim.check(containsLabel(inc.labels, label), "ROUTE", "%v at %s, which lacks %s", ref, inc.id, label)
	}
	if spec.AntiAffinity > 0 {
		n := 1
		for other := range inc.runs {
			if other.Job == ref.Job && other.Occurrence == ref.Occurrence && other.Step == ref.Step {
				n++
			}
		}
		sim.check(n <= spec.AntiAffinity, "ROUTE", "%d tasks of %v at %s", n, ref, inc.id)
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

// stop carries out an order to stop a run.
func (inc *incarnation) stop(order scheduler.Order) scheduler.StopReply {
	if inc.rejectsToken(order.Token) {
		return scheduler.StopNotConfirmed
	}
	inc.highestAttempt[order.Task] = max(inc.highestAttempt[order.Task], order.Attempt)
	if r := inc.runs[order.Task]; r != nil && r.attempt <= order.Attempt {
		r.checkpoint = inc.checkpoint(r)
		inc.end(r, job.EndStopped)
	}
	return scheduler.StopConfirmed
}

// checkpoint returns the current checkpoint of a run, if its step saves checkpoints.
func (inc *incarnation) checkpoint(r *running) string {
	if !r.job.spec.Steps[r.ref.Step].Checkpoints || r.workBefore+inc.sim.now-r.startedAt < checkpointInterval {
		return r.checkpoint
	}
	text := fmt.Sprintf("%s-%d-%d", r.ref, r.attempt, (r.workBefore+inc.sim.now-r.startedAt)/checkpointInterval)
	r.job.checkpoints[text] = true
	return text
}

// end ends a run and, if the task belongs to a gang, the other runs of the gang.
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
		inc.sim.gangEnds(r, reason)
	}
}

// gang returns the active runs of a gang's attempt and the incarnations they run at.
func (sim *simulation) gang(r *running) (members []*running, at []*incarnation) {
	for _, inc := range sim.incarnations {
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

// gangEnds ends the other runs of a gang when the first one ends: as done if it is done, or
// otherwise as broken.
func (sim *simulation) gangEnds(r *running, reason job.EndReason) {
	if reason == job.EndGangBroken {
		return
	}
	if reason != job.EndDone {
		reason = job.EndGangBroken
	}
	members, at := sim.gang(r)
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

// tick processes a tick of virtual time at a runner.
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
		if inc.number > h.ackedThrough && len(inc.finished) > 0 || inc.sim.now >= h.deadline {
			if inc.sim.now >= inc.unreachableUntil {
				h.answer()
			}
			continue
		}
		kept = append(kept, h)
	}
	inc.polls = kept
}

// remove removes a run and keeps the order of the others.
func (inc *incarnation) remove(r *running) {
	delete(inc.runs, r.ref)
	inc.inOrder = slices.DeleteFunc(slices.Clone(inc.inOrder), func(other *running) bool { return other == r })
}

func (inc *incarnation) tickRun(r *running) {
	sim := inc.sim
	spec := r.job.spec.Steps[r.ref.Step]
	if inc.clockMs() > inc.leaseDeadlineMs {
		inc.end(r, job.EndLeaseExpired)
		return
	}
	if spec.Gang {
		members, _ := sim.gang(r)
		if len(members) < spec.Count {
			if sim.now-r.startedAt > gangTimeout {
				sim.incompleteGangs++
				inc.end(r, job.EndGangIncomplete)
			}
			return
		}
		for _, other := range members {
			if other.startedAt > r.startedAt {
				return // the work begins when all runs of the gang are active; the last one to start determines its end
			}
		}
	}
	r.checkpoint = inc.checkpoint(r)
	if inc.stallsRuns || r.workBefore+sim.now-r.startedAt < r.work {
		return
	}
	switch {
	case r.job.alwaysFails && r.ref.Step == 0, inc.failsRuns, sim.random.IntN(25) == 0:
		inc.end(r, job.EndFailed)
	default:
		inc.end(r, job.EndDone)
	}
}

// crash ends an incarnation. If returns is true, another incarnation starts at its address later.
func (sim *simulation) crash(inc *incarnation, returns bool) {
	inc.up = false
	for i, other := range sim.incarnations {
		if other == inc && returns {
			sim.later(sim.between(500*time.Millisecond, 3*time.Second), func() { sim.addIncarnation(inc.address, i) })
		}
	}
}
