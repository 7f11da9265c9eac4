package group

import (
	"maps"
	"slices"
	"time"

	"basaltloft/coord/replica"
)

const (
	// membershipCheckInterval is the pause between two checks by the leader whether the membership
	// should change.
	membershipCheckInterval = 250 * time.Millisecond
	// voterReplacementTimeout is how long a voter must be unresponsive before a learner that has
	// caught up may replace it. A learner that is unresponsive for so long is not promoted.
	voterReplacementTimeout = 1500 * time.Millisecond
	// learnerRemovalTimeout is how long a learner must be unresponsive before it is removed.
	learnerRemovalTimeout = 10 * voterReplacementTimeout
	// maxPromotionLag is the most committed entries that a learner may lack and still count as caught
	// up: under load some entries are always in flight.
	maxPromotionLag = 500
	// requestLifetime is how long a request to join or leave counts; its sender repeats it more often.
	requestLifetime = 3 * time.Second
	// maxLearners bounds the learners of a group, since each receives the whole log.
	maxLearners = 2
)

// joinRequest is the request of a replica to become a member.
type joinRequest struct {
	member     replica.Member
	receivedAt time.Duration // by the driver's clock
}

// RequestJoin records that a replica wants to become a member. Only the leader acts on it.
func (e *Engine) RequestJoin(now time.Duration, member replica.Member) {
	e.joinRequests[member.Address] = joinRequest{member: member, receivedAt: now}
}

// RequestLeave records that a member is about to stop: a learner that has caught up may replace it at
// once. Only the leader acts on it.
func (e *Engine) RequestLeave(now time.Duration, id string) { e.leaveRequests[id] = now }

// manageMembership lets the leader change the membership, one step at a time: a replica that asked
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
		if !e.node.CaughtUp(learner.ID, maxPromotionLag) || e.node.UnresponsiveFor(learner.ID, now) > voterReplacementTimeout {
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
		if voter.ID != e.settings.Self.ID && (e.node.UnresponsiveFor(voter.ID, now) > voterReplacementTimeout || e.hasLeaveRequest(now, voter.ID)) {
			return voter.ID, true
		}
	}
	return "", false
}

// hasLeaveRequest reports whether a member's request to leave is valid, and drops one that is not.
func (e *Engine) hasLeaveRequest(now time.Duration, id string) bool {
	receivedAt, ok := e.leaveRequests[id]
	if !ok {
		return false
	}
	if now-receivedAt > requestLifetime {
		delete(e.leaveRequests, id)
		return false
	}
	return true
}

// admitLearner makes a replica that asked to join a learner, and drops requests that are too old.
func (e *Engine) admitLearner(now time.Duration, members replica.Membership) (replica.Membership, bool) {
	for _, address := range slices.Sorted(maps.Keys(e.joinRequests)) {
		request := e.joinRequests[address]
		if now-request.receivedAt > requestLifetime {
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

// replacesLearner reports whether a member has the address of a learner: that one's disk is lost.
func replacesLearner(members replica.Membership, member replica.Member) bool {
	return slices.ContainsFunc(members.Learners, func(l replica.Member) bool { return l.Address == member.Address })
}

// removeLostLearner removes a learner that is unresponsive for long.
func (e *Engine) removeLostLearner(now time.Duration, members replica.Membership) (replica.Membership, bool) {
	for i, learner := range members.Learners {
		if e.node.UnresponsiveFor(learner.ID, now) > learnerRemovalTimeout {
			next := members
			next.Learners = slices.Concat(members.Learners[:i], members.Learners[i+1:])
			return next, true
		}
	}
	return members, false
}
