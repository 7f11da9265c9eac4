package scheduler

import "basaltloft/internal/cluster/job"

// endAllRuns proposes the end of all runs of a runner whose start is committed. It returns for how many
// it had not been proposed before.
func (s *Scheduler) endAllRuns(runner *runnerSession) (ended int) {
	for _, r := range runner.load.sorted() {
		if r.phase != phaseProposed && s.endRun(runner, r, job.EndLost) {
			ended++
		}
	}
	return ended
}

// endRun proposes the end of a run. It returns false if the end was proposed before.
func (s *Scheduler) endRun(runner *runnerSession, r *run, reason job.EndReason) bool {
	if r.ending {
		return false
	}
	r.ending = true
	s.propose(job.Command{Kind: job.EndRun, Task: r.task, Attempt: r.attempt, Runner: runner.id, EndReason: reason})
	return true
}

// endCommitted processes the outcome of an EndRun command.
func (s *Scheduler) endCommitted(j *job.Job, c job.Command, outcome job.Outcome) {
	s.removeRun(j, c)
	if outcome != job.Applied {
		return
	}
	if c.EndReason == job.EndDone {
		s.taskDone(j, c.Task)
	}
	if j.State.Terminal() {
		s.jobEnded(j)
		return
	}
	if group := s.groups.of(c.Task); group != nil && c.EndReason == job.EndFailed {
		group.avoid[c.Runner] = true
	}
	s.stopRedundantRuns(j, c)
	s.advanceOccurrence(j, c.Task)
}

// removeRun removes a run that is over, releases its resources and learns from its result.
func (s *Scheduler) removeRun(j *job.Job, c job.Command) {
	runner := s.runners.byID[c.Runner]
	if runner == nil {
		return
	}
	r := runner.load.remove(runKey{task: c.Task, attempt: c.Attempt})
	if r == nil {
		return
	}
	s.releaseStart(r)
	group := s.groups.of(c.Task)
	s.learner.runEnded(s.now, j, group, runner, r, c.EndReason)
	if group != nil {
		task, _ := j.Task(c.Task)
		otherRunsRemain := task != nil && len(task.Runs) > 0
		s.lateness.runEnded(s.now, group, r, runner.speed.factor.Value(), c.EndReason, otherRunsRemain)
	}
}

// taskDone updates the lateness accounts for a task that is done and that may complete its step and
// its job.
func (s *Scheduler) taskDone(j *job.Job, ref job.TaskRef) {
	group := s.groups.of(ref)
	_, step := j.Task(ref)
	if group == nil || step != nil && !step.Complete() {
		return
	}
	s.lateness.stepComplete(s.now, group, ref.Index)
	if step == nil || j.Occurrences[ref.Occurrence].OpenSteps == 0 {
		s.lateness.reportIfLate(s.wallMs, group)
	}
}

// advanceOccurrence makes tasks ready after the end of a run: the task itself if it has to run
// again, or the steps that depended on a step that is now complete.
func (s *Scheduler) advanceOccurrence(j *job.Job, ref job.TaskRef) {
	_, step := j.Task(ref)
	if step == nil { // the whole occurrence is complete, and its state was dropped
		s.groups.closeOccurrence(j.ID, ref.Occurrence)
		s.lateness.closeOccurrence(j.ID, ref.Occurrence)
		return
	}
	if !step.Complete() {
		if group := s.groups.of(ref); group != nil {
			s.refreshPending(group, j)
		}
		return
	}
	s.groups.close(groupOf(ref))
	s.openOccurrence(j, ref.Occurrence)
}
