package group

import (
	"maps"
	"slices"
	"time"

	"basaltloft/coord/replica"
)

const (
	// membershipCheckInterval is the interval at which the leader checks whether to change the
	// membership.
	membershipCheckInterval = 250 * time.Millisecond
	// voterReplacementTimeout is how long a voter must be unresponsive before a learner that has
	// caught up may replace it. A learner that has been unresponsive for longer is not promoted.
	voterReplacementTimeout = 1500 * time.Millisecond
	// learnerRemovalTimeout is how long a learner must be unresponsive before it is removed.
	learnerRemovalTimeout = 10 * voterReplacementTimeout
	// maxPromotionLag is the maximum number of committed entries that a learner may lack and still
	// count as caught up: under load some entries are always in flight.
	maxPromotionLag = 500
	// requestLifetime is how long a request to join or leave stays valid. Its sender repeats it at
	// shorter intervals.
	requestLifetime = 3 * time.Second
	// maxLearners limits the learners of a group, because each receives the whole log.
	maxLearners = 2
)

// joinRequest is a request from a replica to become a member.
type joinRequest struct {
	member     replica.Member
	receivedAt time.Duration // by the driver's clock
}

// RequestJoin records that a replica wants to become a member. Only the leader acts on it.
func (e *Engine) RequestJoin(now time.Duration, member replica.Member) {
	e.joinRequests[member.Address] = joinRequest{member: member, receivedAt: now}
}

// RequestLeave records that a member is about to stop, so that a learner that has caught up may replace
// it immediately. Only the leader acts on it.
func (e *Engine) RequestLeave(now time.Duration, id string) { e.leaveRequests[id] = now }

// manageMembership proposes at most one membership change at a time on the leader: it adds a replica
// that requested to join as a learner, promotes a learner that has caught up to a voter, possibly in
// place of another one, or removes an unresponsive learner.
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

// nextMembership returns the membership after the most urgent change. It returns false if no change is
// needed.
func (e *Engine) nextMembership(now time.Duration, members replica.Membership) (replica.Membership, bool) {
	if next, ok := e.promoteLearner(now, members); ok {
		return next, true
	}
	if next, ok := e.admitLearner(now, members); ok {
		return next, true
	}
	return e.removeLostLearner(now, members)
}

// promoteLearner returns a membership in which a learner that has caught up becomes a voter. It returns
// false if no learner can be promoted now.
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

// voterToReplace returns the ID of the voter that a learner replaces. This is the voter with the
// learner's address, because that voter's disk is lost; otherwise none (an empty ID) if there are fewer
// voters than Settings.VoterCount; otherwise a voter that is unresponsive or has requested to leave. ok
// is false if the learner can't be promoted now.
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

// hasLeaveRequest reports whether a member has a valid request to leave. It deletes an expired one.
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

// admitLearner returns a membership in which a replica that requested to join is a learner, and deletes
// expired requests. It returns false if no replica can be added now.
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

// replacesLearner reports whether a member has the address of a learner, whose disk is lost in this case.
func replacesLearner(members replica.Membership, member replica.Member) bool {
	return slices.ContainsFunc(members.Learners, func(l replica.Member) bool { return l.Address == member.Address })
}

// removeLostLearner returns a membership without a learner that has been unresponsive for longer than
// learnerRemovalTimeout. It returns false if there is no such learner.
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
