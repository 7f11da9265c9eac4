package replica

import "time"

// TransferLeadership begins to transfer the leadership to the voter in contact whose log is the
// most complete (dissertation 3.10); false: this node is not the leader, or there is no such voter.
//
// Unlike there, the lease ends at once and is not taken up again in this term: the transferee's
// election disregards it, and a late TimeoutNow must not meet a renewed one. Where the transferee
// does not take over in time, this node steps down nevertheless, so that any voter can be elected.
// No command is accepted meanwhile.
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

// sendTimeoutNowIfReady lets the transferee begin its election once it has the whole log. One that
// was removed meanwhile is waited for until the transfer ends.
func (n *Node) sendTimeoutNowIfReady() {
	peer := n.progress[n.transferee]
	if peer == nil || peer.Match < n.log.last() {
		return
	}
	n.send(Message{Kind: TimeoutNow, To: n.transferee})
}
