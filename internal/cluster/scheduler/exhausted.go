package scheduler

import "basaltloft/internal/cluster/job"

// The replicated state counts the failed attempts of a gang exactly up to a certain attempt number;
// all later ones count as one, and replicas of older builds know no others. A gang that failed at
// later attempts, for example after many starts that runners rejected, would never be shown as
// failed. The leader knows the later failures, and proposes them under attempts that were not used.

// failExhausted proposes the failures that the replicated state lacks, if the group is a gang that
// has failed as often as its queue allows. The gang doesn't start again.
func (s *Scheduler) failExhausted(group *taskGroup) {
	missing := group.job.MissingGangFailures(group.key.occurrence, group.key.step)
	if group.failing || missing == 0 {
		return
	}
	for index := range group.state().Tasks {
		ref := group.taskRef(index)
		attempts := group.job.UnusedAttempts(ref, missing)
		if len(attempts) < missing {
			continue
		}
		group.failing = true
		s.log.Info("gang has failed at late attempts", "job", ref.Job, "step", ref.Step, "attempt", group.task(index).Attempt, "missing", missing)
		for _, attempt := range attempts {
			s.propose(job.Command{Kind: job.EndRun, Task: ref, Attempt: attempt, EndReason: job.EndFailed})
		}
		return
	}
}

// reasonToPropose returns the reason with which a reported end is proposed. A failure that was
// counted before, because an earlier leader didn't acknowledge it to the runner, counts no more.
func (s *Scheduler) reasonToPropose(end *ReportedEnd) job.EndReason {
	j := s.store.Jobs[end.Task.Job]
	if end.Reason == job.EndFailed && j != nil && j.IsLaterFailureCounted(end.Task, end.Attempt) {
		return job.EndLost
	}
	return end.Reason
}
