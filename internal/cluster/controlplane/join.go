package controlplane

import (
	"time"

	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/protocol"
)

const (
	joinInterval            = 400 * time.Millisecond // between requests to join
	membershipCheckInterval = 2 * time.Second        // once the node is a voter of all groups
)

// joinGroups makes this node a member of its groups: it bootstraps those of which it is a founder, and
// asks the leaders of the others to be taken in, again whenever it has lost its vote. It returns when
// the node stops.
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

// bootstrapGroups bootstraps the groups of which this node is a founder and that were not yet.
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

// sendJoinRequests asks to join each group in which this node has no vote, and returns when to do so
// again.
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

// handleJoin passes a request to join to this node's replica, and forwards it to the leader once.
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

// handleLeave passes on that a member shuts down.
func (n *Node) handleLeave(notice protocol.LeaveNotice) {
	if g := n.groups[notice.Group]; g != nil && n.replicasRunning.Load() {
		g.RequestLeave(notice.ID)
	}
}

// sendLeaveNotices tells the leaders of its groups that this node shuts down, so that a learner takes
// its vote at once. It returns whether a learner can do so in some group where this node still votes.
func (n *Node) sendLeaveNotices() (stillVotes bool) {
	for name, g := range n.groups {
		for _, address := range leader.LeaveTargets(g.Membership(), n.self.ID, n.seeds()) {
			stillVotes = true
			n.peers.sendOneWay(address, protocol.LeaveNotice{Group: name, ID: n.self.ID})
		}
	}
	return stillVotes
}
