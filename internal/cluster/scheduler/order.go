package scheduler

import "basaltloft/internal/cluster/job"

// OrderKind is the kind of an order to a runner.
type OrderKind uint8

// Kinds of orders.
const (
	OrderRenewLease OrderKind = iota + 1 // renew the task leases and report all runs
	OrderStart                           // start a run of a task
	OrderStop                            // stop a run of a task
)

// Order is a request to a runner. The caller passes its reply to LeaseReplied, StartReplied or
// StopReplied. The caller doesn't retry an order that got no reply.
type Order struct {
	Kind         OrderKind
	Runner       string // instance ID of the incarnation that the order is for
	Address      string
	Token        uint64 // fencing token: the leader's epoch
	Task         job.TaskRef
	Attempt      int
	Spec         string // start only: the job's text for the runner
	Checkpoint   string // start only: the checkpoint to resume from; empty if there is none
	DeadlineMs   int64  // on the runner's clock: end of the leases, or latest time to carry out a start; 0 means none
	AckedThrough uint64 // renewal only: reported ends up to this number are committed
	WaitMs       int64  // renewal only: how long the runner may wait for a run to end before it replies
	Sequence     uint64 // renewal only: increases with each renewal
}

// Runner is one entry of the platform's list of runners.
type Runner struct {
	ID          string // instance ID of the incarnation
	Address     string
	Service     string
	Labels      []string
	Capacity    job.Resources
	Draining    bool
	RemainingMs int64 // minimum time until a draining runner leaves; 0 means unknown
}

// ReportedRun is an active run in a runner's report.
type ReportedRun struct {
	Task       job.TaskRef
	Attempt    int
	Checkpoint string
	Percent    int // percentage of the work that is done
}

// ReportedEnd is the end of a run in a runner's report. The runner reports it until a renewal
// acknowledges that it is committed.
type ReportedEnd struct {
	Number     uint64 // increases by one with each end at this incarnation
	Task       job.TaskRef
	Attempt    int
	Reason     job.EndReason
	Checkpoint string
}

// RunnerReport is a runner's reply to a lease renewal.
type RunnerReport struct {
	ClockMs     int64 // the runner's clock when it made the report
	Running     []ReportedRun
	Finished    []ReportedEnd // at most maxReportedEnds, the lowest numbers first
	RemainingMs int64         // time until a draining runner leaves; 0 means unknown
}

// LeaseReply is a runner's reply to a lease renewal.
type LeaseReply uint8

// Replies to lease renewals.
const (
	LeaseRenewed          LeaseReply = iota + 1
	LeaseOtherIncarnation            // 421: another incarnation runs at the address
	LeaseFenced                      // the runner has accepted a newer leader's token
	LeaseNoReply                     // no reply, or an invalid one
)

// StartReply is a runner's reply to an order to start.
type StartReply uint8

// Replies to orders to start.
const (
	StartAccepted         StartReply = iota + 1
	StartNoCapacity                  // 409 room
	StartRefused                     // other 409, 400, 429, 503: the run is not active and never will be
	StartOtherIncarnation            // 421: another incarnation runs at the address
	StartNoReply                     // no reply
)

// StopReply is a runner's reply to an order to stop.
type StopReply uint8

// Replies to orders to stop.
const (
	StopConfirmed        StopReply = iota + 1 // the run is over or never started
	StopOtherIncarnation                      // 421: another incarnation runs at the address
	StopNotConfirmed                          // no reply, or one that doesn't confirm that the run is over
)

// String returns the reply's name, for logs.
func (r StartReply) String() string {
	names := [...]string{"", "accepted", "no capacity", "refused", "other incarnation", "no reply"}
	if int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}
