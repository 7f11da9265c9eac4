package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
)

// startDeadlineMs is how long an order to start may take to arrive, in milliseconds of the runner's
// clock. The runner doesn't carry out an order that arrives later.
const startDeadlineMs = 250

// startCommitted processes the outcome of a StartRun command: it sends the order to start if the
// command was applied, and releases the reservation otherwise.
func (s *Scheduler) startCommitted(c job.Command, outcome job.Outcome) {
	key := runKey{task: c.Task, attempt: c.Attempt}
	runner := s.runners.byID[c.Runner]
	if runner == nil || runner.load.runs[key] == nil {
		return
	}
	r := runner.load.runs[key]
	j := s.store.Jobs[c.Task.Job]
	group := s.groups.of(c.Task)
	if group != nil {
		delete(group.starting, c.Task.Index)
	}
	if outcome != job.Applied {
		s.releaseStart(runner.load.remove(key))
		if group != nil && j != nil {
			s.refreshPending(group, j)
		}
		return
	}
	if group != nil {
		group.account(c.Task.Index).Add(lateness.Commit, s.now-r.orderedAt)
	}
	r.phase = phaseOrdered
	if r.stop.requested || runner.ended || j.State.Terminal() {
		s.endRun(runner, r, job.EndRejected) // the order was never sent
		return
	}
	s.sendStart(j, runner, r)
}

// sendStart sends the order to start a run, which resumes from the last saved checkpoint if there is one.
func (s *Scheduler) sendStart(j *job.Job, runner *runnerSession, r *run) {
	_, step := j.Task(r.task)
	checkpoint := step.Tasks[r.task.Index].Saved
	if j.Spec.Steps[r.task.Step].Gang {
		checkpoint = step.Checkpoint
	}
	r.checkpoint, r.resumed = checkpoint, checkpoint != ""
	if r.resumed {
		r.restoreTime = s.config.RestoreTime
	}
	r.orderedAt, runner.nextRunCheck = s.now, s.now
	r.orderDeadlineMs = runner.contact.clockAt(s.now) + startDeadlineMs
	runner.recordGrant(r.orderDeadlineMs)
	s.outbox.send(Order{
		Kind: OrderStart, Runner: runner.id, Address: runner.address, Task: r.task, Attempt: r.attempt,
		Spec: j.Spec.Text, Checkpoint: checkpoint, DeadlineMs: r.orderDeadlineMs,
	})
}

// StartReplied processes the reply to an order to start. clockMs is the runner's clock, or 0 if it
// is not known.
func (s *Scheduler) StartReplied(now time.Duration, order Order, reply StartReply, clockMs int64) {
	s.now = now
	runner := s.runners.byID[order.Runner]
	if runner == nil {
		return
	}
	if reply == StartOtherIncarnation {
		s.endIncarnation(runner)
		return
	}
	if reply != StartNoReply {
		runner.contact.replied(now, clockMs)
	}
	r := runner.load.runs[runKey{task: order.Task, attempt: order.Attempt}]
	if r == nil {
		return
	}
	if reply != StartNoReply {
		s.startWindow.replied(now, now-r.orderedAt)
		s.leases.delay.replied(now - r.orderedAt)
	}
	s.releaseStart(r)
	if r.ending {
		return
	}
	if reply == StartAccepted {
		r.phase, r.confirmedMs = phaseConfirmed, clockMs
		s.confirmRun(r)
		return
	}
	runner.load.budget.Shrink(r.orderedAt, now, s.learner.meanCost(runner.service))
	if reply == StartNoReply {
		return // the next report shows whether it runs
	}
	s.log.Info("runner rejected a start", "runner", runner.id, "task", order.Task.String(), "attempt", order.Attempt, "reply", reply.String())
	s.endRun(runner, r, job.EndRejected)
}
