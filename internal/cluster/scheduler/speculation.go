package scheduler

import "basaltloft/internal/cluster/job"

// speculationPolicy decides which tasks get a speculative attempt at another runner while it is
// uncertain whether their first run is still active. The first run to end counts. Only steps that
// request it get speculative attempts.
type speculationPolicy struct {
	runners *runnerTable
}

// allowed reports whether tasks of a step may have speculative attempts.
func (p *speculationPolicy) allowed(step *job.Step) bool {
	return step.Speculative && !step.Gang && !step.LongRunning
}

// shouldStart reports whether a task has to get a speculative attempt because its only run may be
// lost.
func (p *speculationPolicy) shouldStart(group *taskGroup, index int, task *job.Task) bool {
	if len(task.Runs) != 1 || !p.allowed(group.step) {
		return false
	}
	_, r := p.runners.find(group.taskRef(index), task.Runs[0])
	return r != nil && r.uncertain && !r.ending
}

// allowSpeculativeAttempt makes a task ready again, in addition to its run that may be lost, if its
// step allows speculative attempts.
func (s *Scheduler) allowSpeculativeAttempt(runner *runnerSession, r *run) {
	j := s.store.Jobs[r.task.Job]
	group := s.groups.of(r.task)
	if j == nil || group == nil || !s.speculation.allowed(group.step) {
		return
	}
	group.avoid[runner.id] = true
	s.refreshPending(group, j)
}
