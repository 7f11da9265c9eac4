package replica

import (
	"cmp"
	"slices"
	"time"

	"basaltloft/coord/replica/quorum"
)

// Member is one replica of a group.
type Member struct {
	// ID is drawn when the replica's disk is first used: a replica that lost its disk comes back as
	// another member.
	ID      string
	Address string // host:port where it receives messages of its peers
}

// Membership is the configuration of a group (dissertation, chapter 4). It is stored and sent by
// encoding/gob, so that its field names stay. A value is immutable once it is in the log.
type Membership struct {
	Voters []Member
	// Outgoing are the voters before a change that is under way; empty: there is none. Until it ends
	// each decision needs a majority of both sets (joint consensus, dissertation 4.3).
	Outgoing []Member
	// Learners receive the log and have no vote (dissertation 4.2.1).
	Learners []Member
}

// IsJoint reports whether a change of the voters is under way.
func (m Membership) IsJoint() bool { return len(m.Outgoing) > 0 }

// Find returns the voter, outgoing voter or learner of that ID.
func (m Membership) Find(id string) (Member, bool) {
	for _, set := range [][]Member{m.Voters, m.Outgoing, m.Learners} {
		if i := indexOf(set, id); i >= 0 {
			return set[i], true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the member of that ID has a vote, in either set.
func (m Membership) IsVoter(id string) bool {
	return indexOf(m.Voters, id) >= 0 || indexOf(m.Outgoing, id) >= 0
}

// AllMembers lists each member once: voters, outgoing voters, learners.
func (m Membership) AllMembers() []Member {
	var all []Member
	for _, set := range [][]Member{m.Voters, m.Outgoing, m.Learners} {
		for _, member := range set {
			if indexOf(all, member.ID) < 0 {
				all = append(all, member)
			}
		}
	}
	return all
}

// WithLearner returns the membership with one more learner. A learner that was at the same address
// has lost its disk and is removed.
func (m Membership) WithLearner(learner Member) Membership {
	next := m
	next.Learners = nil
	for _, old := range m.Learners {
		if old.Address != learner.Address {
			next.Learners = append(next.Learners, old)
		}
	}
	next.Learners = append(next.Learners, learner)
	return next
}

// EnterJoint returns the joint membership in which a learner becomes a voter in place of the voter
// with the ID leaving; an empty ID only adds the learner.
func (m Membership) EnterJoint(leaving string, learner Member) Membership {
	next := Membership{Outgoing: m.Voters}
	for _, voter := range m.Voters {
		if voter.ID != leaving {
			next.Voters = append(next.Voters, voter)
		}
	}
	next.Voters = append(next.Voters, learner)
	for _, other := range m.Learners {
		if other.ID != learner.ID {
			next.Learners = append(next.Learners, other)
		}
	}
	return next
}

// LeaveJoint returns the membership after a change: the outgoing voters have left.
func (m Membership) LeaveJoint() Membership {
	return Membership{Voters: m.Voters, Learners: m.Learners}
}

// majority returns the largest value that a majority of each set of voters has reached.
func majority[V cmp.Ordered](m Membership, value func(id string) V) V {
	reached := quorum.Majority(valuesOf(m.Voters, value))
	if m.IsJoint() {
		reached = min(reached, quorum.Majority(valuesOf(m.Outgoing, value)))
	}
	return reached
}

func valuesOf[V any](members []Member, value func(id string) V) []V {
	values := make([]V, len(members))
	for i, member := range members {
		values[i] = value(member.ID)
	}
	return values
}

// indexOf returns the index of the member of that ID; negative: there is none.
func indexOf(members []Member, id string) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// ChangeMembers proposes a membership at the leader; false: this node is not the leader, transfers
// its leadership, or another change is not committed yet. A change is also refused before the
// leader has committed an entry of its own term: an uncommitted change of an earlier term may
// exist elsewhere (dissertation 4.1, with the correction of July 2015).
//
// A joint membership is left by the leader itself, as soon as it is committed.
func (n *Node) ChangeMembers(now time.Duration, next Membership) bool {
	if n.role != Leader || n.transferee != "" || n.log.membershipIndex() > n.commit || n.applied < n.termStartIndex {
		return false
	}
	n.appendAsLeader(now, Entry{Kind: EntryMembership, Membership: &next})
	return true
}

// finishMembershipChange takes the next step of a change once its membership is committed: a joint one is
// left, and a leader that is no voter any more steps down (dissertation 4.2.2).
func (n *Node) finishMembershipChange(now time.Duration) {
	if n.log.membershipIndex() > n.commit {
		return
	}
	members := n.Membership()
	if members.IsJoint() {
		settled := members.LeaveJoint()
		n.appendAsLeader(now, Entry{Kind: EntryMembership, Membership: &settled})
		return
	}
	if !members.IsVoter(n.id) {
		n.becomeFollower(now, "")
	}
}
