package simworld_test

import (
	"net/http"
	"time"

	"basaltloft/internal/cluster/protocol"
)

// serve serves a call of another process. It calls reply at most once.
func (c *controlNode) serve(message any, reply func(any)) {
	if c.groups == nil || c.groups[protocol.ConfigGroup] == nil {
		return
	}
	reply = c.w.recorder.served(c, message, reply)
	switch request := message.(type) {
	case protocol.SubmitRequest:
		if shard := c.shards[request.Shard]; shard != nil {
			shard.Submit(request, func(a protocol.JobResponse) { reply(a) })
		}
	case protocol.JobRequest:
		c.handleJobRequest(request, func(a protocol.JobResponse) { reply(a) })
	case protocol.WatchRequest:
		c.watch(request, reply)
	case protocol.OperatorRequest:
		c.handleOperator(request, func(a protocol.OperatorResponse) { reply(a) })
	}
}

// watch answers a watch request at the next change, or after the requested wait, as package
// controlplane does.
func (c *controlNode) watch(request protocol.WatchRequest, reply func(any)) {
	arrived := c.clock()
	answer := func() {
		owners := make([]string, protocol.ShardCount)
		for number := range c.shards {
			owners[number] = c.groups[protocol.ShardGroup(number)].leader.Address
		}
		cores := []string{}
		for _, member := range c.groups[protocol.ConfigGroup].engine.Membership().AllMembers() {
			cores = append(cores, member.Address)
		}
		held := c.clock() - arrived
		got := c.config.Watch(request.Have)
		got.Owners, got.Cores, got.HeldMs = owners, cores, held.Milliseconds()
		if c.w.planted == holdTimeOverstated {
			got.HeldMs += 3 * request.WaitMs
		}
		reply(got)
	}
	changed, version := c.config.Changed()
	if version > request.Have || !c.groups[protocol.ConfigGroup].IsLeader() {
		answer()
		return
	}
	end := c.clock() + time.Duration(request.WaitMs)*time.Millisecond
	var poll func()
	poll = func() {
		select {
		case <-changed:
		default:
			if c.clock() < end {
				c.after(watchPoll, poll)
				return
			}
		}
		answer()
	}
	poll()
}

// handleOperator handles an operator's request at this node, and answers 504 after commitTimeout.
func (c *controlNode) handleOperator(request protocol.OperatorRequest, reply func(protocol.OperatorResponse)) {
	finished := false
	finish := func(answer protocol.OperatorResponse) {
		if !finished {
			finished = true
			reply(answer)
		}
	}
	c.after(commitTimeout, func() { finish(protocol.OperatorResponse{Status: http.StatusGatewayTimeout}) })
	c.config.HandleOperatorRequest(request, finish)
}

// serveOperator serves an operator's request and forwards it to the configuration's leader, once.
func (c *controlNode) serveOperator(request protocol.OperatorRequest, reply func(protocol.OperatorResponse)) {
	if c.groups == nil || c.groups[protocol.ConfigGroup] == nil {
		return
	}
	c.handleOperator(request, func(got protocol.OperatorResponse) {
		if got.Status != 0 || got.Leader == "" || got.Leader == c.name {
			if got.Status == protocol.StatusNotLeader {
				got.Status = http.StatusServiceUnavailable
			}
			reply(got)
			return
		}
		c.call(got.Leader, forwardTimeout, func(answer func(any)) { c.w.nodeNamed(got.Leader).serve(request, answer) }, func(answer any, ok bool) {
			forwarded, _ := answer.(protocol.OperatorResponse)
			switch {
			case !ok:
				forwarded.Status = http.StatusGatewayTimeout
			case forwarded.Status == protocol.StatusNotLeader:
				forwarded.Status = http.StatusServiceUnavailable
			}
			reply(forwarded)
		})
	})
}
