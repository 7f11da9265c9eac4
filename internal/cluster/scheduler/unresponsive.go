package scheduler

// A runner that owes a reply is given nothing new (runnerContact.unresponsive). What it runs may
// be lost, or not: until that is known, steps that allow it get speculative attempts elsewhere.

// checkResponsive finds out whether a runner owes a reply, and what follows for its runs.
func (s *Scheduler) checkResponsive(runner *runnerSession) {
	contact := &runner.contact
	contact.replyPending = false
	for _, r := range runner.load.runs {
		overdue := s.leases.startOverdue(s.now, r)
		contact.replyPending = contact.replyPending || overdue && contact.lastContact < r.orderedAt
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

// confirmRun notes that a run that may have been lost goes on. A speculative attempt that has not
// left yet does not leave.
func (s *Scheduler) confirmRun(r *run) {
	if !r.uncertain {
		return
	}
	r.uncertain = false
	j := s.store.Jobs[r.task.Job]
	if group := s.groups.of(r.task); j != nil && group != nil && s.speculation.allowed(group.step) {
		s.refill(group, j)
	}
}
