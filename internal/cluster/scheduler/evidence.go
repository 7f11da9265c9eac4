package scheduler

// lossEvidence is what shows that runs are over although their runner has not reported their end.
type lossEvidence uint8

const (
	evidenceAbsent lossEvidence = iota + 1 // a report that would list the run doesn't
	evidenceLeases                         // all leases of the runner have expired
)

// String returns the evidence as it stands in log lines.
func (e lossEvidence) String() string {
	switch e {
	case evidenceAbsent:
		return "absent from report"
	case evidenceLeases:
		return "leases expired"
	}
	return "unknown"
}

// logLoss logs that runs of a runner are over without a report of their end.
func (s *Scheduler) logLoss(runner *runnerSession, runs int, evidence lossEvidence) {
	if runs > 0 {
		s.log.Info("runs ended without a report", "runner", runner.id, "runs", runs, "evidence", evidence.String())
	}
}
