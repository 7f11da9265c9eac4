package policy

import (
	"time"

	"basaltloft/internal/dispatcher/capacityindex"
)

// worker is what this dispatcher knows of a worker. A point in time of 0 means never.
type worker struct {
	Member
	kind         *kindStats
	relativePace float64 // its run times beside its kind's mean
	paceSamples  float64 // runs that it is of, up to paceWindow
	inSubset     bool

	// What is in flight.
	attempts        []*attempt // in the order of their sends
	outstandingCost float64    // the sum of their costs; 0 where there are none
	waitingJobs     int        // of them, those that did not start promptly
	lastSendAt      time.Duration
	listedBusy      bool // in Dispatcher.busy, for a tick after its last attempt too

	// Its budget; see budget.go.
	budget         float64 // the cost that may be in flight; 0: not yet set
	budgetLimited  bool    // the budget has held a job back since it last grew
	budgetShrunkAt time.Duration
	position       capacityindex.Position // in Dispatcher.vacant
	leftIndexAt    uint64                 // Dispatcher.searches when it left vacant

	// Slow start; see slowstart.go.
	warmingSince   time.Duration   // its latest start or return, from which it warms up; 0: long ago
	slowStartSends []slowStartSend // what it got while warming up, within the rule's window

	// Reports and starts; see reports.go and overdue.go.
	reportAt              time.Duration // of the last report with free slots
	freeSlots, freeMemory float64       // as reported, less what was sent since
	reportsMemory         bool
	ignoreReportsUntil    time.Duration // reports may be older than a rejection until then
	probePending          bool
	probedAt              time.Duration
	promptStartAt         time.Duration // a job last started promptly, or left its slot, then
	saturatedUntil        time.Duration // it gets no job until then, whatever it reports

	// Health; see health.go.
	lastContact           time.Duration // the last sign of life
	endedJobs, failedJobs float64       // jobs that ended there, and of them in error; both fade
	failing               bool          // on probation: it fails more of its jobs than the others
	suspect               bool          // it gets no new work until it is tried again
	unreachable           bool          // its process died or can't be reached
	overdueJobs           int           // jobs found overdue since one last ended well
	recheckAt             time.Duration // a suspect one is tried again then
	recheckDelay          time.Duration

	// Membership; see membership.go.
	drained   bool          // seen draining, or forgotten: it gets no new work until a later start
	removedAt time.Duration // since then it is listed as removed, or not at all
}
