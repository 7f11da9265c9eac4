package controlplane

import (
	"net/http"
	"sync"
	"time"

	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
	"basaltloft/internal/shared/saturating"
)

// shardLoop runs the scheduling cycles of a shard and sends the scheduler's orders to runners.
type shardLoop struct {
	shard   *leader.Shard
	number  int
	runners *runnerClient
	counts  orderCounts
	wake    chan struct{} // buffered; signals that the shard has work
	stop    <-chan struct{}
	tasks   *sync.WaitGroup // the node's WaitGroup; counts the goroutines that send orders
}

const (
	// idleTick is the pause between cycles while nothing happens.
	idleTick = 50 * time.Millisecond
	// pendingCycleTick is the pause between cycles while the scheduler has more work.
	pendingCycleTick = 3 * time.Millisecond
)

// wakeUp sends a signal on a channel with a buffer of one, unless a signal is pending already.
func wakeUp(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// newShardLoop returns the loop of a shard, which does not run yet.
func (n *Node) newShardLoop(number int, runners *runnerClient) *shardLoop {
	loop := &shardLoop{number: number, runners: runners, wake: make(chan struct{}, 1), stop: n.stop, tasks: &n.tasks}
	wake := func() { wakeUp(loop.wake) }
	clocks := leader.Clocks{Monotonic: n.now, UnixMs: func() int64 { return time.Now().UnixMilli() }}
	loop.shard = leader.NewShard(number, n.schedulerConfig(), clocks, wake, n.log)
	return loop
}

// schedulerConfig returns the scheduler's configuration, which is taken from the bounds in the settings.
func (n *Node) schedulerConfig() scheduler.Config {
	bounds := n.settings.Bounds
	return scheduler.Config{
		MaxLease:        bounds.MaxLease(),
		RemoteSlowdown:  bounds.RemoteSlowdown,
		RestoreTime:     time.Duration(bounds.RestoreMs) * time.Millisecond,
		StatusRetention: saturating.Duration(bounds.StatusRetentionS * float64(time.Second)),
	}
}

// run runs the scheduling cycles of the shard until the node stops.
func (s *shardLoop) run() {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-s.wake:
		case <-timer.C:
		}
		orders := s.shard.RunCycle()
		s.counts.cycles.Add(1)
		for _, order := range orders.Orders {
			s.tasks.Go(func() { s.send(orders.Scheduler, order) })
		}
		if orders.CyclePending {
			timer.Reset(pendingCycleTick)
			continue
		}
		timer.Reset(idleTick)
	}
}

// send sends an order if the leader's lease under which the scheduler issued it is still held, and passes
// the reply to that scheduler. An order that must not be sent is treated as one without a reply.
// send sends an order only once; the scheduler decides whether to retry an order that got no reply.
func (s *shardLoop) send(issuer *scheduler.Scheduler, order scheduler.Order) {
	maySend := s.shard.MaySend(order)
	if !maySend {
		s.counts.neverSent.Add(1)
	}
	switch order.Kind {
	case scheduler.OrderRenewLease:
		reply, report := scheduler.LeaseNoReply, scheduler.RunnerReport{}
		if maySend {
			reply, report = s.runners.renewLease(order)
			s.counts.renewals.add(reply != scheduler.LeaseNoReply)
		}
		s.shard.OrderReplied(issuer, func(now time.Duration) { issuer.LeaseReplied(now, order, reply, report) })
	case scheduler.OrderStart:
		reply, clockMs := scheduler.StartNoReply, int64(0)
		if maySend {
			reply, clockMs = s.runners.start(order)
			s.counts.starts.add(reply != scheduler.StartNoReply)
		}
		s.shard.OrderReplied(issuer, func(now time.Duration) { issuer.StartReplied(now, order, reply, clockMs) })
	case scheduler.OrderStop:
		reply, clockMs := scheduler.StopNotConfirmed, int64(0)
		if maySend {
			reply, clockMs = s.runners.stop(order)
			s.counts.stops.add(reply != scheduler.StopNotConfirmed)
		}
		s.shard.OrderReplied(issuer, func(now time.Duration) { issuer.StopReplied(now, order, reply, clockMs) })
	}
}

// replyFunc receives the response to a request. It is called once and must not block.
type replyFunc = func(protocol.JobResponse)

// call passes a request to the shard, which responds by a callback, and waits for the response. If the node
// stops first, the returned response reports an unknown outcome.
func (s *shardLoop) call(request func(shard *leader.Shard, reply replyFunc)) protocol.JobResponse {
	responses := make(chan protocol.JobResponse, 1)
	request(s.shard, func(response protocol.JobResponse) { responses <- response })
	select {
	case response := <-responses:
		return response
	case <-s.stop:
		return protocol.JobResponse{Status: http.StatusBadGateway, Unknown: true}
	}
}
