package replica

import "time"

// TransferLeadership begins to transfer leadership to the responsive voter whose log is the most complete
// (dissertation 3.10). It returns false if this node is not the leader or there is no such voter.
//
// Unlike in the dissertation, the lease ends at once and is not renewed in this term: voters ignore it in
// the transferee's election, and a renewed lease could still be valid when a late TimeoutNow arrives. If
// the transferee does not take over in time, this node steps down nevertheless, so that any voter can be
// elected. No command is accepted during the transfer.
func (n *Node) TransferLeadership(now time.Duration) bool {
	if n.role != Leader {
		return false
	}
	best, bestMatch := "", uint64(0)
	for _, voter := range n.Membership().Voters {
		peer := n.progress[voter.ID]
		if peer != nil && peer.Match >= bestMatch && n.UnresponsiveFor(voter.ID, now) < 2*n.timing.HeartbeatInterval {
			best, bestMatch = voter.ID, peer.Match
		}
	}
	if best == "" {
		return false
	}
	n.transferee, n.transferEnd = best, now+2*n.timing.MinElectionTimeout
	n.sendTimeoutNowIfReady()
	return true
}

// sendTimeoutNowIfReady sends TimeoutNow to the transferee once it has the whole log. If the transferee is
// no longer a member, nothing is sent, and the transfer ends by its timeout.
func (n *Node) sendTimeoutNowIfReady() {
	peer := n.progress[n.transferee]
	if peer == nil || peer.Match < n.log.last() {
		return
	}
	n.send(Message{Kind: TimeoutNow, To: n.transferee})
}
