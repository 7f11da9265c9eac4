package scheduler

import "time"

// A runner that restarts comes back at its address as another incarnation, and all runs of the former one
// are over. The platform's list shows that only as it was some time ago, and lists from different servers
// or over different nodes may arrive in any order: the ID that a list names may be older than the one that
// this leader knows. So a list never ends an incarnation. It causes a poll, and an incarnation has ended
// once another one replies at its address.

// UpdateRunners updates the runners of this shard's services from the platform's list.
func (s *Scheduler) UpdateRunners(now time.Duration, runners []Runner) {
	s.now = now
	listedIDs := map[string]bool{}
	idByAddress := map[string]string{}
	for _, listed := range runners {
		listedIDs[listed.ID] = true
		idByAddress[listed.Address] = listed.ID
		s.updateRunner(listed)
	}
	for _, runner := range s.runners.inOrder {
		runner.listed = listedIDs[runner.id]
		if other, listed := idByAddress[runner.address]; listed && !runner.listed {
			s.pollReplaced(runner, other)
		}
	}
	s.cycle.needed = true
}

func (s *Scheduler) updateRunner(listed Runner) {
	runner := s.ensureSession(listed.ID, listed.Address)
	runner.service, runner.labels, runner.capacity = listed.Service, listed.Labels, listed.Capacity
	if listed.Draining && !runner.drain.draining {
		s.log.Info("runner is draining", "runner", runner.id, "remaining_ms", listed.RemainingMs)
	}
	runner.drain.draining = runner.drain.draining || listed.Draining
	if listed.RemainingMs > 0 {
		runner.drain.departsAt = s.now + time.Duration(listed.RemainingMs)*time.Millisecond
	}
}

// pollReplaced polls a runner at once, since the list names another incarnation at its address. It polls
// once for each ID that is named there.
func (s *Scheduler) pollReplaced(runner *runnerSession, other string) {
	if runner.ended || runner.replacedBy == other || len(runner.load.runs) == 0 {
		return
	}
	runner.replacedBy = other
	s.log.Info("list names another incarnation at a runner's address", "runner", runner.id, "listed", other, "runs", len(runner.load.runs))
	runner.lease.pending, runner.lease.dueAt, runner.lease.replyAtOnce = false, s.now, true
	s.pollIfDue(runner)
}

// endIncarnation marks an incarnation of a runner as ended and ends all its runs. Another incarnation has
// replied at its address.
func (s *Scheduler) endIncarnation(runner *runnerSession) {
	if runner.ended {
		return
	}
	runner.ended = true
	s.log.Info("runner incarnation ended", "runner", runner.id, "runs", len(runner.load.runs))
	s.endAllRuns(runner)
}
