package replica

import (
	"cmp"
	"slices"
	"time"

	"basaltloft/coord/replica/quorum"
)

// Member is one replica of a group.
type Member struct {
	// ID is generated when the replica's disk is first used: a replica that lost its disk comes back
	// as another member.
	ID      string
	Address string // host:port at which it receives messages from its peers
}

// Membership is the configuration of a group (dissertation, chapter 4). It is stored and sent by
// encoding/gob: its field names are part of the format and must not change. A value is immutable once
// it is in the log.
type Membership struct {
	Voters []Member
	// Outgoing is the previous set of voters while a change of the voters is in progress, and empty
	// otherwise. Until the change ends, each decision needs a majority of both sets (joint consensus,
	// dissertation 4.3).
	Outgoing []Member
	// Learners receive the log and have no vote (dissertation 4.2.1).
	Learners []Member
}

// IsJoint reports whether a change of the voters is in progress.
func (m Membership) IsJoint() bool { return len(m.Outgoing) > 0 }

// Find returns the voter, outgoing voter or learner with that ID, and false if there is none.
func (m Membership) Find(id string) (Member, bool) {
	for _, set := range [][]Member{m.Voters, m.Outgoing, m.Learners} {
		if i := indexOf(set, id); i >= 0 {
			return set[i], true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the member with that ID has a vote, in either set of voters.
func (m Membership) IsVoter(id string) bool {
	return indexOf(m.Voters, id) >= 0 || indexOf(m.Outgoing, id) >= 0
}

// AllMembers returns each member once, in the order voters, outgoing voters, learners.
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

// WithLearner returns the membership with one more learner. An earlier learner at the same address is
// removed, since it must have lost its disk.
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

// EnterJoint returns the joint membership in which a learner becomes a voter and replaces the voter with
// the ID leaving. With an empty ID it adds the learner and removes no voter.
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

// LeaveJoint returns the membership that follows a joint one, without the outgoing voters.
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

// indexOf returns the index of the member with that ID, or a negative number if there is none.
func indexOf(members []Member, id string) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

// ChangeMembers proposes a membership at the leader. It returns false if this node is not the leader, is
// transferring its leadership, or another change is not committed yet. It also returns false before the
// leader has applied an entry of its own term: an uncommitted change of an earlier term may exist on
// other replicas (dissertation 4.1, with the correction of July 2015).
//
// The leader leaves a joint membership on its own as soon as that is committed.
func (n *Node) ChangeMembers(now time.Duration, next Membership) bool {
	if n.role != Leader || n.transferee != "" || n.log.membershipIndex() > n.commit || n.applied < n.termStartIndex {
		return false
	}
	n.appendAsLeader(now, Entry{Kind: EntryMembership, Membership: &next})
	return true
}

// finishMembershipChange completes a change once its membership is committed: the leader leaves a joint
// membership, and steps down if it is not a voter any more (dissertation 4.2.2).
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
