package controlplane

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/internal/cluster/scheduler"
	"basaltloft/internal/shared/saturating"
)

// runnerClient sends orders to runners, each order once. Its methods may be called concurrently.
type runnerClient struct {
	conns *runnerPool
}

// Paths of the orders in the runners' protocol, and the header that names the incarnation to which an order
// is addressed. Another incarnation at the same address replies with status 421.
const (
	startPath         = "/-/run-start"
	stopPath          = "/-/run-stop"
	leasePath         = "/-/hold"
	incarnationHeader = "Expect-Instance"
)

const (
	startTimeout    = 300 * time.Millisecond // a runner does not carry out older start orders
	stopTimeout     = time.Second
	leaseReplyGrace = 900 * time.Millisecond // added to the time that the runner may wait
)

// newRunnerClient returns a client. All its calls end when lifetime ends.
func newRunnerClient(lifetime context.Context) *runnerClient {
	return &runnerClient{conns: newRunnerPool(lifetime)}
}

// runnerConnShare is the share of the process's file descriptors above which idle connections to runners are
// closed. The rest is for dispatchers, other nodes and files.
const runnerConnShare = 0.7

// limitFDs sets the number of connections above which idle ones are closed to runnerConnShare of maxFDs, the
// number of file descriptors that the platform allows the process. 0 means no limit.
func (c *runnerClient) limitFDs(maxFDs int) {
	c.conns.limitOpen(saturating.Int(runnerConnShare * float64(maxFDs)))
}

// startRequest is the body of an order to start a run.
type startRequest struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FenceToken   uint64 `json:"fence_token"`
	Checkpointed string `json:"checkpointed,omitempty"`
}

// stopRequest is the body of an order to stop a run.
type stopRequest struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	FenceToken uint64 `json:"fence_token"`
}

// leaseRequest is the body of an order to renew the lease of a runner's tasks and to report their state.
type leaseRequest struct {
	DeadlineMs int64  `json:"deadline_ms,omitempty"` // end of the lease on the runner's clock; 0: it is not renewed
	FenceToken uint64 `json:"fence_token"`
	LastSeen   uint64 `json:"last_seen"`         // number of the last reported end of a run that is committed
	WaitMs     int64  `json:"wait_ms,omitempty"` // how long the runner may wait for a run to end before it replies
}

// reasonNoCapacity is the reason in a reply that rejects a start for lack of capacity.
const reasonNoCapacity = "room"

// post sends an order and parses the reply. An error means that there was no readable reply.
func (c *runnerClient) post(timeout time.Duration, order scheduler.Order, path string, body any) (status int, reply runnerReply, err error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, runnerReply{}, errors.Wrap(err, "encode an order")
	}
	answer, err := c.send(time.Now().Add(timeout), order, path, content)
	if err != nil {
		return 0, runnerReply{}, err
	}
	if len(answer.body) == 0 {
		return answer.status, reply, nil
	}
	reply, err = parseReply(answer.body)
	if err != nil && answer.status == http.StatusOK {
		return 0, runnerReply{}, err
	}
	return answer.status, reply, nil // with other statuses an unreadable body is not an error
}

// send sends an order on an idle or a new connection. It does not follow redirects: it returns them like any
// other reply.
func (c *runnerClient) send(deadline time.Time, order scheduler.Order, path string, content []byte) (httpReply, error) {
	for {
		conn, err := c.conns.acquire(order.Address, deadline)
		if err != nil {
			return httpReply{}, err
		}
		answer, err := conn.send(deadline, path, order.Runner, content)
		switch {
		case err == nil:
			c.conns.release(conn)
			return answer, nil
		case errors.Is(err, errConnClosed):
			continue // nothing of the order was written, and the pool has dropped the connection
		}
		c.conns.discard(conn)
		return httpReply{}, err
	}
}

// start sends an order to start a run. clockMs is the runner's clock in milliseconds, or 0 if the reply has
// none.
func (c *runnerClient) start(order scheduler.Order) (result scheduler.StartReply, clockMs int64) {
	status, reply, err := c.post(startTimeout, order, startPath, startRequest{
		Task:         order.Task.String(),
		Attempt:      order.Attempt,
		Spec:         order.Spec,
		DeadlineMs:   order.DeadlineMs,
		FenceToken:   order.Token,
		Checkpointed: order.Checkpoint,
	})
	switch {
	case err != nil, status >= 500 && status != http.StatusServiceUnavailable:
		return scheduler.StartNoReply, 0
	case status == http.StatusOK:
		return scheduler.StartAccepted, reply.report.ClockMs
	case status == http.StatusMisdirectedRequest:
		return scheduler.StartOtherIncarnation, 0
	case reply.reason == reasonNoCapacity:
		return scheduler.StartNoCapacity, reply.report.ClockMs
	}
	return scheduler.StartRefused, reply.report.ClockMs
}

// stop sends an order to stop a run. clockMs is the runner's clock in milliseconds, or 0 if the reply has
// none.
func (c *runnerClient) stop(order scheduler.Order) (stopped scheduler.StopReply, clockMs int64) {
	status, reply, err := c.post(stopTimeout, order, stopPath, stopRequest{
		Task:       order.Task.String(),
		Attempt:    order.Attempt,
		FenceToken: order.Token,
	})
	if err != nil {
		return scheduler.StopNotConfirmed, 0
	}
	switch status {
	case http.StatusOK:
		return scheduler.StopConfirmed, reply.report.ClockMs
	case http.StatusMisdirectedRequest:
		return scheduler.StopOtherIncarnation, reply.report.ClockMs
	}
	return scheduler.StopNotConfirmed, reply.report.ClockMs
}

// renewLease renews the lease of a runner's tasks. It returns the runner's report on them if the result is
// LeaseRenewed.
func (c *runnerClient) renewLease(order scheduler.Order) (scheduler.LeaseReply, scheduler.RunnerReport) {
	timeout := time.Duration(order.WaitMs)*time.Millisecond + leaseReplyGrace
	status, reply, err := c.post(timeout, order, leasePath, leaseRequest{
		DeadlineMs: order.DeadlineMs,
		FenceToken: order.Token,
		LastSeen:   order.AckedThrough,
		WaitMs:     order.WaitMs,
	})
	switch {
	case err != nil:
		return scheduler.LeaseNoReply, scheduler.RunnerReport{}
	case status == http.StatusMisdirectedRequest:
		return scheduler.LeaseOtherIncarnation, scheduler.RunnerReport{}
	case status == http.StatusConflict:
		return scheduler.LeaseFenced, scheduler.RunnerReport{}
	case status != http.StatusOK:
		return scheduler.LeaseNoReply, scheduler.RunnerReport{}
	}
	// A reply without a clock has no report: used as an empty report, it would mean that nothing runs.
	if reply.reportErr != nil || reply.report.ClockMs == 0 {
		return scheduler.LeaseNoReply, scheduler.RunnerReport{}
	}
	return scheduler.LeaseRenewed, reply.report
}
