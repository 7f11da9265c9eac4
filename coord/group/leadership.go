package group

import (
	"time"

	"basaltloft/coord/replica"
)

// TransferLeadership starts a transfer of the leadership to another replica if this one is the leader.
// The transfer may fail without notice; the group then elects a leader.
func (e *Engine) TransferLeadership(now time.Duration) { e.node.TransferLeadership(now) }

// updateLeadership notifies the state machine when this replica gains or loses the leadership, and fails
// the proposals of a lost leadership.
func (e *Engine) updateLeadership(now time.Duration) {
	isLeader := e.node.Role() == replica.Leader
	if isLeader && !e.isLeader && e.node.LeaseUntil() > now {
		e.isLeader = true
		e.logger.Info("became leader", "epoch", e.node.Term())
		e.stateMachine.BecameLeader(e.node.Term())
	}
	if e.isLeader && !isLeader {
		e.isLeader = false
		e.logger.Info("lost leadership", "epoch", e.node.Term())
		e.stateMachine.LostLeadership()
	}
	if !isLeader {
		clear(e.senders)
	}
	if len(e.proposals) > 0 { // also those of a leadership that ended before it had a lease
		e.failProposals(func(p proposal) bool { return !isLeader || p.term != e.node.Term() })
	}
}

// lease returns the lease to publish. It is not valid before BecameLeader was called, so that the state
// machine is notified of the leadership before other goroutines can see it.
func (e *Engine) lease() Lease {
	if !e.isLeader {
		return Lease{Epoch: e.node.Term()}
	}
	return Lease{Epoch: e.node.Term(), Until: e.node.LeaseUntil()}
}

// leader returns the leader known to this replica, or the zero value if none is known.
func (e *Engine) leader() replica.Member {
	member, _ := e.node.Membership().Find(e.node.LeaderID())
	return member
}
