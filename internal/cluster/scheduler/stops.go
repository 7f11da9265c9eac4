package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
)

// stopRetryInterval is the pause before an order to stop without a reply is sent again.
const stopRetryInterval = 400 * time.Millisecond

// stopIfUnneeded stops a run whose result is no longer needed.
func (s *Scheduler) stopIfUnneeded(j *job.Job, runner *runnerSession, r *run) {
	task, _ := j.Task(r.task)
	if j.State.Terminal() || task == nil || task.Done {
		s.requestStop(runner, r)
	}
}

// requestStop stops a run. The order is sent again until the runner confirms it or the run is over.
func (s *Scheduler) requestStop(runner *runnerSession, r *run) {
	r.stop.requested, runner.nextRunCheck = true, s.now
	s.sendStop(runner, r)
}

// sendStop sends the order to stop a run, unless it is unnecessary or was sent recently.
func (s *Scheduler) sendStop(runner *runnerSession, r *run) {
	if r.phase == phaseProposed || r.ending || runner.ended || runner.lease.rejectsToken || r.stop.pending || r.stop.confirmedMs > 0 || s.now < r.stop.retryAt {
		return
	}
	r.stop.pending, r.stop.retryAt = true, s.now+stopRetryInterval
	s.outbox.send(Order{Kind: OrderStop, Runner: runner.id, Address: runner.address, Task: r.task, Attempt: r.attempt})
}

// StopReplied processes the reply to an order to stop. clockMs is the runner's clock if the reply
// is StopConfirmed.
func (s *Scheduler) StopReplied(now time.Duration, order Order, reply StopReply, clockMs int64) {
	s.now = now
	runner := s.runners.byID[order.Runner]
	if runner == nil {
		return
	}
	if reply == StopOtherIncarnation {
		s.endIncarnation(runner)
		return
	}
	r := runner.load.runs[runKey{task: order.Task, attempt: order.Attempt}]
	if r == nil {
		return
	}
	r.stop.pending = false
	if reply == StopConfirmed {
		runner.contact.replied(now, clockMs)
		r.stop.confirmedMs = clockMs
	}
}

// stopRunsOf stops all runs of a task.
func (s *Scheduler) stopRunsOf(ref job.TaskRef, task *job.Task) {
	for _, live := range task.Runs {
		if runner, r := s.runners.find(ref, live); r != nil {
			s.requestStop(runner, r)
		}
	}
}

// stopRedundantRuns stops the runs that are no longer needed after the end of another one: the
// other runs of a task that is done, or the other runs of a gang of which a run was not done.
func (s *Scheduler) stopRedundantRuns(j *job.Job, c job.Command) {
	task, step := j.Task(c.Task)
	if step == nil {
		return
	}
	gang := j.Spec.Steps[c.Task.Step].Gang
	if gang && c.EndReason != job.EndDone {
		for index := range step.Tasks {
			member := c.Task
			member.Index = index
			s.stopRunsOf(member, &step.Tasks[index])
		}
	}
	if !gang && task.Done {
		s.stopRunsOf(c.Task, task)
	}
}
