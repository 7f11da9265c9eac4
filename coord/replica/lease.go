package replica

import (
	"math"
	"time"
)

// LeaseUntil returns when this node's lease as a leader expires; zero: it has none. A leader holds
// a lease only once an entry of its own term is applied, so that everything that was committed
// before is applied too (dissertation 6.4).
func (n *Node) LeaseUntil() time.Duration {
	if n.role != Leader || n.transferee != "" || n.applied < n.termStartIndex {
		return 0
	}
	return n.leaseExpiry
}

// renewLease extends the lease by what a majority has responded to. It counts from the sending of
// the messages: the followers' contact, from which they support this leader for MinElectionTimeout,
// is not older.
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
	case contact == alwaysInContact: // it is the only voter
		n.leaseExpiry = max(n.leaseExpiry, now+n.timing.LeaseDuration)
	case contact > 0:
		n.leaseExpiry = max(n.leaseExpiry, contact+n.timing.LeaseDuration)
	}
}

// lostMajority reports whether this leader has had no contact to a majority for so long that others
// may have elected another one; it steps down then (dissertation 6.2).
func (n *Node) lostMajority(now time.Duration) bool {
	return now > n.leaseExpiry+n.timing.MinElectionTimeout && now > n.leaderSince+2*n.timing.MinElectionTimeout
}

// tickLeader renews the lease, gives up a leadership without a majority or whose transfer has taken too
// long, and sends heartbeats that are due.
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
