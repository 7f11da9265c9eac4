package scheduler

import "time"

// migrationLead is how long before a draining runner's departure its runs are stopped: the time
// that they need to save a checkpoint and stop.
const migrationLead = 900 * time.Millisecond

// drainState is the drain state of a runner. A draining runner gets no new tasks
// (runnerSession.takesWork), and its runs that would not end before its departure migrate.
type drainState struct {
	draining  bool
	departsAt time.Duration // earliest time of its departure; 0 means unknown
}

// departureImminent reports whether the runs that are still active have to be stopped now.
func (d *drainState) departureImminent(now time.Duration) bool {
	return d.departsAt > 0 && now+migrationLead > d.departsAt
}

// requiresMigration reports whether a run has to migrate because it will not end before its runner
// leaves. A run with checkpoints migrates as late as possible, any other run immediately.
func (d *drainState) requiresMigration(now time.Duration, r *run, checkpoints bool) bool {
	if d.departsAt == 0 {
		return false
	}
	remaining, known := r.remaining()
	if !known {
		remaining = max(r.expectedFraction(1)-(now-r.orderedAt), 0)
	}
	if now+remaining+migrationLead/2 < d.departsAt {
		return false
	}
	return !checkpoints || d.departureImminent(now)
}
