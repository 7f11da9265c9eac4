package scheduler

import "basaltloft/internal/cluster/job"

// OrderKind says what a runner is ordered to do.
type OrderKind uint8

// Kinds of orders.
const (
	OrderRenewLease OrderKind = iota + 1 // renew the task leases, and report all runs
	OrderStart                           // start a run of a task
	OrderStop                            // stop a run of a task
)

// Order is a request to a runner. Its reply comes back by LeaseReplied, StartReplied or
// StopReplied; an order that got no reply is not sent again by the caller.
type Order struct {
	Kind         OrderKind
	Runner       string // instance ID of the incarnation that is meant
	Address      string
	Token        uint64 // fencing token: the epoch of the leadership
	Task         job.TaskRef
	Attempt      int
	Spec         string // of a start: the job's text for the runner
	Checkpoint   string // of a start: the saved progress to resume from; empty: none
	DeadlineMs   int64  // on the runner's clock: a lease lasts until then, a start is not carried out later; 0: none
	AckedThrough uint64 // of a renewal: reported ends up to this number are committed
	WaitMs       int64  // of a renewal: how long the runner may wait for an end before it replies
	Sequence     uint64 // of a renewal: rises with each one
}

// Runner is one entry of the platform's list.
type Runner struct {
	ID          string // instance ID of the incarnation
	Address     string
	Service     string
	Labels      []string
	Capacity    job.Resources
	Draining    bool
	RemainingMs int64 // of a draining runner, at least; 0: not known
}

// ReportedRun is a run that a runner says it has.
type ReportedRun struct {
	Task       job.TaskRef
	Attempt    int
	Checkpoint string
	Percent    int // of the work that is done
}

// ReportedEnd is the end of a run that a runner reports, until it is told that it was committed.
type ReportedEnd struct {
	Number     uint64 // rises by one with each end at this incarnation
	Task       job.TaskRef
	Attempt    int
	Reason     job.EndReason
	Checkpoint string
}

// RunnerReport is a runner's reply to the renewal of its leases.
type RunnerReport struct {
	ClockMs     int64 // the runner's clock when it made the report
	Running     []ReportedRun
	Finished    []ReportedEnd // at most maxReportedEnds, the lowest numbers first
	RemainingMs int64         // of a draining runner; 0: not known
}

// LeaseReply is how a runner answered a renewal of its leases.
type LeaseReply uint8

// Replies to renewals.
const (
	LeaseRenewed          LeaseReply = iota + 1
	LeaseOtherIncarnation            // 421: another incarnation runs at the address
	LeaseFenced                      // 409: it knows a newer leader
	LeaseNoReply                     // no reply, or none that can be read
)

// StartReply is how a runner answered an order to start.
type StartReply uint8

// Replies to starts.
const (
	StartAccepted         StartReply = iota + 1
	StartNoCapacity                  // 409 room
	StartRefused                     // 409 otherwise, 400, 429, 503: it does not run and never will
	StartOtherIncarnation            // 421: another incarnation runs at the address
	StartNoReply                     // no reply
)

// StopReply is how a runner answered an order to stop.
type StopReply uint8

// Replies to stops.
const (
	StopConfirmed        StopReply = iota + 1 // the run is over, or never began
	StopOtherIncarnation                      // 421: another incarnation runs at the address
	StopNotConfirmed                          // no reply, or none that says that the run is over
)

// String returns the reply's name in logs.
func (r StartReply) String() string {
	names := [...]string{"", "accepted", "no capacity", "refused", "other incarnation", "no reply"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}
