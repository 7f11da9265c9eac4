package scheduler

import "basaltloft/internal/cluster/job"

// speculationPolicy tells where a task may run a second time, elsewhere, while it is not known
// whether its first run goes on. The first run to end counts. Only steps that ask for it get
// speculative attempts.
type speculationPolicy struct {
	runners *runnerTable
}

// allowed tells whether tasks of a step may have speculative attempts.
func (p *speculationPolicy) allowed(step *job.Step) bool {
	return step.Speculative && !step.Gang && !step.LongRunning
}

// shouldStart tells whether the only run of a task may be lost, so that a speculative attempt is to
// start.
func (p *speculationPolicy) shouldStart(group *taskGroup, index int, task *job.Task) bool {
	if len(task.Runs) != 1 || !p.allowed(group.step) {
		return false
	}
	_, r := p.runners.find(group.taskRef(index), task.Runs[0])
	return r != nil && r.uncertain && !r.ending
}

// allowSpeculativeAttempt makes a task ready again beside a run that may be lost, where its step
// allows that.
func (s *Scheduler) allowSpeculativeAttempt(runner *runnerSession, r *run) {
	j := s.store.Jobs[r.task.Job]
	group := s.groups.of(r.task)
	if j == nil || group == nil || !s.speculation.allowed(group.step) {
		return
	}
	group.avoid[runner.id] = true
	s.refill(group, j)
}
