package replica

import "slices"

// Member is one replica of a group. Its ID was drawn when its disk was first used, so that
// a replica that lost its disk comes back as another member.
type Member struct {
	ID      string
	Address string // host:port at which it hears its peers
}

// Membership says who votes. While Outgoing is not empty a change is under way, and every
// decision needs a majority of both sets of voters.
type Membership struct {
	Voters   []Member
	Outgoing []Member
	Learners []Member // they receive the log and do not vote
}

// IsJoint tells whether a change of the voters is under way.
func (m Membership) IsJoint() bool { return len(m.Outgoing) > 0 }

// Find returns the member of that ID, in whatever capacity.
func (m Membership) Find(id string) (Member, bool) {
	for _, set := range [][]Member{m.Voters, m.Outgoing, m.Learners} {
		if at := indexOf(set, id); at >= 0 {
			return set[at], true
		}
	}
	return Member{}, false
}

// IsVoter tells whether the member of that ID has a vote.
func (m Membership) IsVoter(id string) bool {
	return indexOf(m.Voters, id) >= 0 || indexOf(m.Outgoing, id) >= 0
}

// AllMembers lists each member once.
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

// WithLearner returns the membership with one more learner. A learner that was at the same
// address has lost its disk and leaves.
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

// EnterJoint returns the joint membership in which a learner becomes a voter in place of
// leaving; an empty leaving only adds the learner.
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

// quorum returns the largest value that a majority of each set of voters has reached.
func (m Membership) quorum(value func(id string) int64) int64 {
	reached := majorityOf(m.Voters, value)
	if m.IsJoint() {
		reached = min(reached, majorityOf(m.Outgoing, value))
	}
	return reached
}

// majorityOf returns the largest value that more than half of the members have reached.
func majorityOf(members []Member, value func(id string) int64) int64 {
	if len(members) == 0 {
		return 0
	}
	values := make([]int64, len(members))
	for i, member := range members {
		values[i] = value(member.ID)
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func indexOf(members []Member, id string) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}
