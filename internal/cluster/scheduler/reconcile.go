package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
)

// maxReportedEnds is how many ends one report names at the most; one with so many may leave out
// others, so that it proves no run absent.
const maxReportedEnds = 500

// reconcile brings what is known of a runner's runs in line with its report.
func (s *Scheduler) reconcile(runner *runnerSession, report RunnerReport) {
	first := !runner.contact.fenced
	runner.contact.fenced = true
	runner.contact.replied(s.now, report.ClockMs)
	if report.RemainingMs > 0 {
		runner.drain.draining = true
		runner.drain.departsAt = s.now + time.Duration(report.RemainingMs)*time.Millisecond
	}
	reported := map[runKey]bool{}
	s.proposeEnds(runner, report, reported)
	for _, listed := range report.Running {
		s.reconcileRun(runner, listed, reported)
	}
	if len(report.Finished) < maxReportedEnds {
		s.endAbsentRuns(runner, report.ClockMs, reported)
	}
	if first {
		s.cycle.needed = true
	}
	s.pollIfDue(runner)
}

// proposeEnds proposes the ends that are new. Until they are committed the runner is not told
// that they were seen, and the next renewal waits for that.
func (s *Scheduler) proposeEnds(runner *runnerSession, report RunnerReport, reported map[runKey]bool) {
	lease := &runner.lease
	lease.dueAt = s.now
	for _, end := range report.Finished {
		key := runKey{task: end.Task, attempt: end.Attempt}
		reported[key] = true
		if end.Number <= lease.proposedThrough {
			continue
		}
		lease.proposedThrough = end.Number
		if r := runner.load.runs[key]; r != nil {
			r.ending = true
		}
		s.propose(job.Command{Kind: job.EndRun, Task: end.Task, Attempt: end.Attempt, Runner: runner.id, EndReason: end.Reason, Checkpoint: end.Checkpoint})
	}
	if lease.proposedThrough > lease.ackedThrough {
		s.outbox.acknowledgeAfterCommit(runner, lease.proposedThrough)
		lease.dueAt = s.now + commitTimeout
	}
}

// reconcileRun takes in that a run goes on. One that is not known here is stopped.
func (s *Scheduler) reconcileRun(runner *runnerSession, listed ReportedRun, reported map[runKey]bool) {
	key := runKey{task: listed.Task, attempt: listed.Attempt}
	reported[key] = true
	r := runner.load.runs[key]
	if r == nil {
		s.outbox.send(Order{Kind: OrderStop, Runner: runner.id, Address: runner.address, Task: listed.Task, Attempt: listed.Attempt})
		return
	}
	if r.phase != phaseConfirmed {
		r.phase, r.confirmedMs = phaseConfirmed, runner.contact.clockMs
	}
	s.confirmRun(r)
	r.recordProgress(s.now, listed.Percent)
	if listed.Checkpoint != "" && listed.Checkpoint != r.checkpoint && !r.ending {
		r.checkpoint = listed.Checkpoint
		s.propose(job.Command{Kind: job.SaveCheckpoint, Task: r.task, Attempt: r.attempt, Checkpoint: listed.Checkpoint})
	}
}

// endAbsentRuns ends the runs that a report proves to be over: it does not name them, and they
// could not begin after it.
func (s *Scheduler) endAbsentRuns(runner *runnerSession, reportMs int64, reported map[runKey]bool) {
	for _, r := range runner.load.sorted() {
		if reported[r.runKey] || r.ending {
			continue
		}
		if r.provenAbsent(reportMs) {
			s.endRun(runner, r, job.EndLost)
		}
	}
}
