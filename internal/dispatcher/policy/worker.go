package policy

import (
	"time"

	"basaltloft/internal/dispatcher/capacityindex"
)

// worker is the state that this dispatcher keeps of a worker. A point in time of 0 means never.
type worker struct {
	Member
	kind         *kindStats
	relativePace float64 // its run times relative to its kind's mean
	paceSamples  float64 // runs in relativePace, up to paceWindow
	inSubset     bool

	// Attempts in flight.
	attempts        []*attempt // in the order of their sends
	outstandingCost float64    // the sum of their costs; 0 if there are none
	waitingJobs     int        // the number of them that did not start promptly
	lastSendAt      time.Duration
	listedBusy      bool // in Dispatcher.busy, where it stays until the next check after its last attempt

	// Its budget; see budget.go.
	budget         float64 // the cost that may be in flight; 0: not yet set
	budgetLimited  bool    // the budget has held a job back since it last grew
	budgetShrunkAt time.Duration
	position       capacityindex.Position // in Dispatcher.vacant
	leftIndexAt    uint64                 // Dispatcher.searches when it left vacant

	// Slow start; see slowstart.go.
	warmingSince   time.Duration   // its latest start or return, when its warm-up began; 0: long ago
	slowStartSends []slowStartSend // what was sent to it while warming up, within the rule's window

	// Reports and starts; see reports.go and overdue.go.
	reportAt              time.Duration // of the last report with free slots
	freeSlots, freeMemory float64       // as reported, less what was sent since
	reportsMemory         bool
	ignoreReportsUntil    time.Duration // reports until then may be older than a rejection
	probePending          bool
	probedAt              time.Duration
	promptStartAt         time.Duration // last prompt start of a job, or end of one; 0 after a late start
	saturatedUntil        time.Duration // until then it gets no job, whatever it reports

	// Health; see health.go.
	lastContact           time.Duration // when it last responded
	endedJobs, failedJobs float64       // decaying counts of jobs that ended there, and that ended in error
	failing               bool          // on probation: it fails more of its jobs than the others
	suspect               bool          // it gets no new work until it is rechecked
	unreachable           bool          // its process died or can't be reached
	overdueJobs           int           // jobs found overdue since one last succeeded
	recheckAt             time.Duration // when it is rechecked if it is suspect
	recheckDelay          time.Duration

	// Membership; see membership.go.
	drained   bool          // listed as draining, or forgotten: no new work until a later start
	removedAt time.Duration // since when it is listed as removed, or left out
}
