package controlplane

import (
	"net/http"
	"sync"
	"time"

	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
)

// shardLoop drives a shard: it runs the scheduler's cycles and sends the scheduler's orders.
type shardLoop struct {
	shard   *leader.Shard
	number  int
	runners *runnerClient
	counts  orderCounts
	wake    chan struct{} // buffered: the shard has something to do
	stop    <-chan struct{}
	tasks   *sync.WaitGroup // of the node: the goroutines that send orders
}

const (
	// idleTick is the pause between cycles while nothing happens.
	idleTick = 50 * time.Millisecond
	// pendingCycleTick is the pause where the scheduler has more to do.
	pendingCycleTick = 3 * time.Millisecond
)

// wakeUp wakes the reader of a channel with room for one signal, unless it is woken already.
func wakeUp(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// newShardLoop returns the driver of a shard, which does not run yet.
func (n *Node) newShardLoop(number int, runners *runnerClient) *shardLoop {
	loop := &shardLoop{number: number, runners: runners, wake: make(chan struct{}, 1), stop: n.stop, tasks: &n.tasks}
	wake := func() { wakeUp(loop.wake) }
	clocks := leader.Clocks{Monotonic: n.now, UnixMs: func() int64 { return time.Now().UnixMilli() }}
	loop.shard = leader.NewShard(number, n.schedulerConfig(), clocks, wake, n.log)
	return loop
}

// schedulerConfig returns the bounds of the settings that scheduling depends on.
func (n *Node) schedulerConfig() scheduler.Config {
	bounds := n.settings.Bounds
	return scheduler.Config{
		MaxLease:        bounds.MaxLease(),
		RemoteSlowdown:  bounds.RemoteSlowdown,
		RestoreTime:     time.Duration(bounds.RestoreMs) * time.Millisecond,
		StatusRetention: time.Duration(bounds.StatusRetentionS * float64(time.Second)),
	}
}

// run drives the shard until the node stops.
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

// send sends an order, if the lease under which its issuer gave it is still held, and passes the reply
// to the issuer. An order that may not be sent is reported as one without a reply.
// An order is sent once; whether one without a reply is sent again is the scheduler's decision.
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

// replyFunc takes the response to a request. It is called once and must not block.
type replyFunc = func(protocol.JobResponse)

// call makes a call of the shard whose response comes by a callback, and waits for it. Where the node
// stops first, the outcome is not known.
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
