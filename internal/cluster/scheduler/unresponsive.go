package scheduler

// A runner whose reply is overdue gets no new tasks (runnerContact.unresponsive). Its runs may or
// may not be lost. Until that is known, tasks of steps that allow it get speculative attempts
// elsewhere.

// checkResponsive determines whether a runner's reply is overdue and which of its runs are
// uncertain. Each time a runner becomes unresponsive, it is recorded once for the mass-timeout
// detection.
func (s *Scheduler) checkResponsive(runner *runnerSession) {
	contact := &runner.contact
	contact.startReplyOverdue = false
	for _, r := range runner.load.runs {
		overdue := s.leases.startOverdue(s.now, r)
		contact.startReplyOverdue = contact.startReplyOverdue || overdue && contact.lastContact < r.orderedAt
		if (overdue || contact.missedPolls > 0) && !r.uncertain {
			r.uncertain = true
			s.allowSpeculativeAttempt(runner, r)
		}
	}
	if !contact.unresponsive() {
		contact.timeoutCounted = false
		return
	}
	if !contact.timeoutCounted {
		contact.timeoutCounted = true
		s.massTimeout.record(s.now)
	}
}

// confirmRun records that a run that may have been lost is still active. A pending speculative
// attempt whose start is not yet proposed is cancelled.
func (s *Scheduler) confirmRun(r *run) {
	if !r.uncertain {
		return
	}
	r.uncertain = false
	j := s.store.Jobs[r.task.Job]
	if group := s.groups.of(r.task); j != nil && group != nil && s.speculation.allowed(group.step) {
		s.refreshPending(group, j)
	}
}
