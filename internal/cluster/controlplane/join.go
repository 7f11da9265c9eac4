package controlplane

import (
	"time"

	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/protocol"
)

const (
	joinInterval            = 400 * time.Millisecond // between requests to join
	membershipCheckInterval = 2 * time.Second        // once the node is a voter in all groups
)

// joinGroups makes this node a member of its groups. It bootstraps the groups of which the node is an
// initial member, starts the replicas, and sends requests to join while the node is not a voter, also
// after it has lost its vote. It returns when the node stops.
func (n *Node) joinGroups() {
	n.bootstrapGroups()
	n.startReplicas()
	for {
		pause := n.sendJoinRequests()
		select {
		case <-n.stop:
			return
		case <-time.After(pause):
		}
	}
}

// bootstrapGroups bootstraps this node's replicas that are not bootstrapped yet, if the node is an initial
// member of the groups.
func (n *Node) bootstrapGroups() {
	founding := n.identity.Founding
	if founding == nil {
		return
	}
	if _, isFounder := founding.Find(n.self.ID); !isFounder {
		return
	}
	for name, g := range n.groups {
		if g.IsBootstrapped() {
			continue
		}
		if err := g.Bootstrap(*founding); err != nil {
			n.log.Error("group bootstrap failed, check the disk", "group", name, "error", err)
		}
	}
}

// sendJoinRequests sends requests to join each group in which this node is not a voter. It returns the
// pause before the next call.
func (n *Node) sendJoinRequests() time.Duration {
	sent := false
	for name, g := range n.groups {
		for _, address := range leader.JoinTargets(g.Membership(), g.Leader(), n.self.ID, n.seeds()) {
			sent = true
			n.peers.sendOneWay(address, protocol.JoinRequest{Group: name, Member: n.self})
		}
	}
	if sent {
		return joinInterval
	}
	return membershipCheckInterval
}

// handleJoin passes a request to join to this node's replica. It also forwards the request to the group's
// leader, unless the request was forwarded before.
func (n *Node) handleJoin(request protocol.JoinRequest) {
	g := n.groups[request.Group]
	if g == nil || !n.replicasRunning.Load() {
		return
	}
	n.runnerListReader.joinRequested(request.Member.Address)
	g.RequestJoin(request.Member)
	address := leader.JoinRelayAddress(request, g.Leader(), n.self.ID)
	request.Relayed = true
	n.peers.sendOneWay(address, request)
}

// handleLeave passes the notice that a member is shutting down to this node's replica.
func (n *Node) handleLeave(notice protocol.LeaveNotice) {
	if g := n.groups[notice.Group]; g != nil && n.replicasRunning.Load() {
		g.RequestLeave(notice.ID)
	}
}

// sendLeaveNotices notifies the leaders of its groups that this node is shutting down, so that a learner
// replaces it as a voter immediately. It reports whether this node is still a voter in some group that has
// a learner to replace it.
func (n *Node) sendLeaveNotices() (canGiveUpVote bool) {
	for name, g := range n.groups {
		for _, address := range leader.LeaveTargets(g.Membership(), n.self.ID, n.seeds()) {
			canGiveUpVote = true
			n.peers.sendOneWay(address, protocol.LeaveNotice{Group: name, ID: n.self.ID})
		}
	}
	return canGiveUpVote
}
