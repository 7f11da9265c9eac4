package group

import (
	"maps"
	"slices"
	"time"

	"basaltloft/coord/replica"
)

const (
	membershipCheckInterval = 250 * time.Millisecond
	// replaceableAfter: a voter that is unresponsive for so long may be replaced, where a learner
	// has caught up.
	replaceableAfter = 1500 * time.Millisecond
	// removableAfter: a learner that is unresponsive for so long is removed.
	removableAfter = 10 * replaceableAfter
	// caughtUpWithin: a learner that lacks no more entries has caught up, as the rest is on its way.
	caughtUpWithin = 500
	// requestValidFor: a replica that wants to join or leave repeats its request more often than that.
	requestValidFor = 3 * time.Second
	maxLearners     = 2
)

// joinRequest is the wish of a replica to become a member.
type joinRequest struct {
	member replica.Member
	at     time.Duration
}

// RequestJoin records that a replica wants to become a member. Only the leader acts on it.
func (e *Engine) RequestJoin(now time.Duration, member replica.Member) {
	e.joinRequests[member.Address] = joinRequest{member: member, at: now}
}

// RequestLeave records that a member is about to stop: a learner that has caught up may replace it at
// once. Only the leader acts on it.
func (e *Engine) RequestLeave(now time.Duration, id string) { e.leaveRequests[id] = now }

// manageMembership lets the leader change the membership, one step at a time: a replica that wants
// to join becomes a learner; a learner that has caught up becomes a voter, in place of one that is
// lost.
func (e *Engine) manageMembership(now time.Duration) {
	if !e.isLeader || now < e.nextMembershipCheck {
		return
	}
	e.nextMembershipCheck = now + membershipCheckInterval
	members := e.node.Membership()
	if members.IsJoint() {
		return
	}
	if next, ok := e.nextMembership(now, members); ok && e.node.ChangeMembers(now, next) {
		e.logger.Info("membership change proposed", "voters", len(next.Voters), "learners", len(next.Learners))
	}
}

// nextMembership returns the membership after the most urgent change; false: none is needed.
func (e *Engine) nextMembership(now time.Duration, members replica.Membership) (replica.Membership, bool) {
	if next, ok := e.promoteLearner(now, members); ok {
		return next, true
	}
	if next, ok := e.admitLearner(now, members); ok {
		return next, true
	}
	return e.removeLostLearner(now, members)
}

// promoteLearner makes a learner that has caught up a voter, where there is a place for it.
func (e *Engine) promoteLearner(now time.Duration, members replica.Membership) (replica.Membership, bool) {
	for _, learner := range members.Learners {
		if !e.node.CaughtUp(learner.ID, caughtUpWithin) || e.node.UnresponsiveFor(learner.ID, now) > replaceableAfter {
			continue
		}
		if leaving, ok := e.voterToReplace(now, members, learner); ok {
			return members.EnterJoint(leaving, learner), true
		}
	}
	return members, false
}

// voterToReplace returns the ID of the voter that a learner replaces: the one whose address it has,
// since that one's disk is lost; none where there are too few voters; else one that is
// unresponsive or stops. False: the learner has to wait.
func (e *Engine) voterToReplace(now time.Duration, members replica.Membership, learner replica.Member) (id string, ok bool) {
	for _, voter := range members.Voters {
		if voter.Address == learner.Address {
			return voter.ID, true
		}
	}
	if len(members.Voters) < e.settings.VoterCount {
		return "", true
	}
	for _, voter := range members.Voters {
		if voter.ID != e.settings.Self.ID && (e.node.UnresponsiveFor(voter.ID, now) > replaceableAfter || e.hasLeaveRequest(now, voter.ID)) {
			return voter.ID, true
		}
	}
	return "", false
}

// hasLeaveRequest tells whether a member's request to leave is valid, and drops one that is not.
func (e *Engine) hasLeaveRequest(now time.Duration, id string) bool {
	at, ok := e.leaveRequests[id]
	if ok && now-at > requestValidFor {
		delete(e.leaveRequests, id)
	}
	return ok && now-at <= requestValidFor
}

// admitLearner makes a replica that wants to join a learner.
func (e *Engine) admitLearner(now time.Duration, members replica.Membership) (replica.Membership, bool) {
	for _, address := range slices.Sorted(maps.Keys(e.joinRequests)) {
		request := e.joinRequests[address]
		if now-request.at > requestValidFor {
			delete(e.joinRequests, address)
			continue
		}
		_, isMember := members.Find(request.member.ID)
		if isMember || len(members.Learners) >= maxLearners && !replacesLearner(members, request.member) {
			continue
		}
		return members.WithLearner(request.member), true
	}
	return members, false
}

// replacesLearner tells whether a member has the address of a learner: that one's disk is lost.
func replacesLearner(members replica.Membership, member replica.Member) bool {
	return slices.ContainsFunc(members.Learners, func(l replica.Member) bool { return l.Address == member.Address })
}

// removeLostLearner removes a learner that is unresponsive for long.
func (e *Engine) removeLostLearner(now time.Duration, members replica.Membership) (replica.Membership, bool) {
	for i, learner := range members.Learners {
		if e.node.UnresponsiveFor(learner.ID, now) > removableAfter {
			next := members
			next.Learners = slices.Concat(members.Learners[:i], members.Learners[i+1:])
			return next, true
		}
	}
	return members, false
}
