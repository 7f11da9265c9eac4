package group

import (
	"time"

	"basaltloft/coord/replica"
)

// TransferLeadership lets another replica take over the leadership, where this one has it. It may
// fail without notice; the group then elects a leader.
func (e *Engine) TransferLeadership(now time.Duration) { e.node.TransferLeadership(now) }

// updateLeadership tells the state machine of changes of the leadership, and proposers of its loss.
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
	if len(e.proposals) > 0 { // also those of a leadership that ended before its first lease
		e.failProposals(func(p proposal) bool { return !isLeader || p.term != e.node.Term() })
	}
}

// lease returns the lease to publish. The state machine knows of the leadership before it is published.
func (e *Engine) lease() Lease {
	if !e.isLeader {
		return Lease{Epoch: e.node.Term()}
	}
	return Lease{Epoch: e.node.Term(), Until: e.node.LeaseUntil()}
}

// leader returns the leader as far as this replica knows; the zero value: none is known.
func (e *Engine) leader() replica.Member {
	member, _ := e.node.Membership().Find(e.node.LeaderID())
	return member
}
