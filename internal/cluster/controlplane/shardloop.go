package controlplane

import (
	"time"

	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
)

// shardLoop drives a shard: it lets the scheduler look at the time, and sends its orders.
type shardLoop struct {
	*leader.Shard
	runner *runnerClient
	wake   chan struct{}
	stop   chan struct{}
}

const (
	// idleTick is how often the scheduler looks at the time while nothing happens.
	idleTick = 50 * time.Millisecond
	// soonTick is the pause where the scheduler has more to look at.
	soonTick = 3 * time.Millisecond
)

// run drives the shard until the process ends.
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
		orders := s.RunCycle()
		for _, order := range orders.List {
			go s.send(orders.Scheduler, order)
		}
		if orders.CyclePending {
			timer.Reset(soonTick)
			continue
		}
		timer.Reset(idleTick)
	}
}

// send carries an order out while the lease lasts. An order is sent once; whether one without
// an answer is sent again is the scheduler's to say.
func (s *shardLoop) send(sender *scheduler.Scheduler, order scheduler.Order) {
	leads := s.MaySend(order)
	switch order.Kind {
	case scheduler.OrderRenewLease:
		reply, look := scheduler.LeaseNoReply, scheduler.RunnerReport{}
		if leads {
			reply, look = s.runner.hold(order)
		}
		s.OrderReplied(sender, func(now time.Duration) { sender.LeaseReplied(now, order, reply, look) })
	case scheduler.OrderStart:
		reply, clock := scheduler.StartNoReply, int64(0)
		if leads {
			reply, clock = s.runner.start(order)
		}
		s.OrderReplied(sender, func(now time.Duration) { sender.StartReplied(now, order, reply, clock) })
	case scheduler.OrderStop:
		ok, otherLife, clock := false, false, int64(0)
		if leads {
			ok, otherLife, clock = s.runner.stop(order)
		}
		s.OrderReplied(sender, func(now time.Duration) { sender.StopReplied(now, order, ok, otherLife, clock) })
	}
}

// wait runs a request whose answer comes by a callback, and waits for it.
func (s *shardLoop) wait(do func(reply func(protocol.JobResponse))) protocol.JobResponse {
	answer := make(chan protocol.JobResponse, 1)
	do(func(got protocol.JobResponse) { answer <- got })
	select {
	case got := <-answer:
		return got
	case <-s.stop:
		return protocol.JobResponse{Status: badGateway, Unknown: true}
	}
}
