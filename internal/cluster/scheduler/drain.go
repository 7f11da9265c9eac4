package scheduler

import "time"

// migrationLead is how long before a draining runner leaves its runs are stopped: as long as they
// need to save their progress and to be stopped.
const migrationLead = 900 * time.Millisecond

// drainState is what is known of a runner's leaving. One that drains gets no new tasks
// (runnerSession.takesWork); what would not end before it leaves migrates.
type drainState struct {
	draining  bool
	departsAt time.Duration // when it leaves at the soonest; 0: not known
}

// mustMigrate tells whether what is still running has to leave now.
func (d *drainState) mustMigrate(now time.Duration) bool {
	return d.departsAt > 0 && now+migrationLead > d.departsAt
}

// interrupts tells whether a run is to migrate since it will not end before its runner leaves: one
// that saves checkpoints as late as it can, any other one at once.
func (d *drainState) interrupts(now time.Duration, r *run, checkpoints bool) bool {
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
	return !checkpoints || d.mustMigrate(now)
}
