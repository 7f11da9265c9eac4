package scheduler

import (
	"time"

	"basaltloft/internal/cluster/job"
)

// maxReportedEnds is the maximum number of ends in one report. A report with this number of ends
// may be incomplete, so it doesn't prove that any run is absent.
const maxReportedEnds = 500

// reconcile updates the state of a runner and its runs from the runner's report.
func (s *Scheduler) reconcile(runner *runnerSession, report RunnerReport) {
	first := !runner.contact.tokenAccepted
	runner.contact.tokenAccepted = true
	runner.contact.replied(s.now, report.ClockMs)
	runner.contact.reportMs = report.ClockMs
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

// proposeEnds proposes the reported ends that are new. They are not acknowledged to the runner
// until they are committed, and the next renewal is delayed until then, by at most commitTimeout.
func (s *Scheduler) proposeEnds(runner *runnerSession, report RunnerReport, reported map[runKey]bool) {
	lease := &runner.lease
	lease.dueAt = s.now
	for i := range report.Finished {
		end := &report.Finished[i]
		key := runKey{task: end.Task, attempt: end.Attempt}
		reported[key] = true
		if end.Number <= lease.proposedThrough {
			continue
		}
		lease.proposedThrough = end.Number
		if r := runner.load.runs[key]; r != nil {
			r.ending = true
		}
		s.propose(job.Command{Kind: job.EndRun, Task: end.Task, Attempt: end.Attempt, Runner: runner.id, EndReason: s.reasonToPropose(end), Checkpoint: end.Checkpoint})
	}
	if lease.proposedThrough > lease.ackedThrough {
		s.outbox.acknowledgeAfterCommit(runner, lease.proposedThrough)
		lease.dueAt = s.now + commitTimeout
	}
}

// reconcileRun updates a run that the runner reports as active. If the run is unknown, it is
// stopped.
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

// endAbsentRuns ends the runs that a report proves to be over: those that it doesn't list and that
// can't have started after it.
func (s *Scheduler) endAbsentRuns(runner *runnerSession, reportMs int64, reported map[runKey]bool) {
	ended := 0
	for _, r := range runner.load.sorted() {
		if !reported[r.runKey] && r.provenAbsent(reportMs) && s.endRun(runner, r, job.EndLost) {
			ended++
		}
	}
	s.logLoss(runner, ended, evidenceAbsent)
}
