package replica

import (
	"math"
	"time"
)

// LeaseUntil returns the time at which this node's lease as a leader expires, or zero if it has none. A
// leader holds a lease only once an entry of its own term is applied, so that everything that was
// committed before is applied too (dissertation 6.4).
func (n *Node) LeaseUntil() time.Duration {
	if n.role != Leader || n.transferee != "" || n.applied < n.termStartIndex {
		return 0
	}
	return n.leaseExpiry
}

// renewLease extends the lease to LeaseDuration after the sending of the newest messages that a majority
// has responded to. The followers' contact, from which they support this leader for MinElectionTimeout,
// is not earlier than the sending.
func (n *Node) renewLease(now time.Duration) {
	const alwaysInContact = time.Duration(math.MaxInt64)
	contact := majority(n.Membership(), func(id string) time.Duration {
		if id == n.id {
			return alwaysInContact
		}
		if peer := n.progress[id]; peer != nil {
			return peer.AckedSentAt()
		}
		return 0
	})
	switch {
	case contact == alwaysInContact: // this node is the only voter
		n.leaseExpiry = max(n.leaseExpiry, now+n.timing.LeaseDuration)
	case contact > 0:
		n.leaseExpiry = max(n.leaseExpiry, contact+n.timing.LeaseDuration)
	}
}

// lostMajority reports whether this leader has had no contact to a majority for so long that the others
// may have elected another leader. It must step down then (dissertation 6.2).
func (n *Node) lostMajority(now time.Duration) bool {
	return now > n.leaseExpiry+n.timing.MinElectionTimeout && now > n.leaderSince+2*n.timing.MinElectionTimeout
}

// tickLeader renews the lease and sends the heartbeats that are due. It steps down if the majority is lost
// or a leadership transfer has timed out.
func (n *Node) tickLeader(now time.Duration) {
	n.renewLease(now)
	if n.transferee != "" && now > n.transferEnd || n.lostMajority(now) {
		n.becomeFollower(now, "")
		return
	}
	if now < n.heartbeatDue {
		return
	}
	n.heartbeatDue = now + n.timing.HeartbeatInterval
	for _, id := range n.trackedMembers() {
		n.replicate(now, id, sendHeartbeat)
	}
}
