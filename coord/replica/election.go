package replica

import "time"

// campaignReason is the reason for which voters may grant their vote while a leader may hold a lease.
// With the zero value they may not.
type campaignReason struct {
	leadershipTransfer bool // the leader gave up its lease to transfer its leadership
	coldStart          bool // all voters have restarted, so that no lease is valid any more
}

// campaign begins an election, or with the role PreCandidate the pre-vote before it.
func (n *Node) campaign(now time.Duration, role Role, reason campaignReason) {
	if !n.Membership().IsVoter(n.id) {
		return
	}
	term, kind := n.hardState.Term+1, PreVoteRequest
	if role == Candidate {
		n.setHardState(term, n.id)
		kind = VoteRequest
	}
	n.role = role
	n.leaderID = ""
	n.progress = nil
	n.votes = map[string]bool{n.id: true}
	n.resetElectionTimer(now)
	lastIndex := n.log.last()
	for _, voter := range n.otherVoters() {
		n.sendAfterSync(Message{
			Kind:     kind,
			To:       voter,
			Term:     term,
			Index:    lastIndex,
			LogTerm:  n.log.term(lastIndex),
			Handover: reason.leadershipTransfer,
			Fresh:    reason.coldStart,
			Life:     n.coldStart.responses[voter].Life,
		})
	}
	n.countVotes(now)
}

// otherVoters returns the IDs of the other members that have a vote, in a fixed order.
func (n *Node) otherVoters() []string {
	var ids []string
	members := n.Membership()
	for _, member := range members.AllMembers() {
		if member.ID != n.id && members.IsVoter(member.ID) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// supportsLeader reports whether this node is a leader with recent contact to a majority, or its contact
// to a leader is so recent that it must not vote for another candidate, since that leader's lease depends
// on it (dissertation 4.2.3 and 6.4.1). It returns false for a request that may be granted in spite of a
// lease: one of a leadership transfer, or of a cold start of which this node is still a part.
func (n *Node) supportsLeader(now time.Duration, request Message) bool {
	if request.Handover || request.Fresh && !n.hadLeader && request.Life == n.incarnation {
		return false
	}
	ownSupportEnd := n.leaseExpiry - n.timing.LeaseDuration + n.timing.MinElectionTimeout
	return n.role == Leader && now < ownSupportEnd || now < n.lastLeaderContact+n.timing.MinElectionTimeout
}

// isUpToDate reports whether a candidate's log is at least as complete as this node's (paper, section
// 5.4.1).
func (n *Node) isUpToDate(request Message) bool {
	last := n.log.last()
	lastTerm := n.log.term(last)
	return request.LogTerm > lastTerm || request.LogTerm == lastTerm && request.Index >= last
}

// handleVoteRequest responds to a request for a vote or pre-vote. It sends no response while a leader
// that this node supports may hold a lease.
func (n *Node) handleVoteRequest(now time.Duration, request Message) {
	if n.supportsLeader(now, request) {
		return
	}
	if request.Kind == PreVoteRequest {
		n.respondToPreVote(request)
		return
	}
	if request.Term < n.hardState.Term {
		return
	}
	if request.Term > n.hardState.Term {
		n.enterTerm(now, request.Term)
	}
	mayVote := n.hardState.Vote == "" || n.hardState.Vote == request.From
	if !mayVote || !n.isUpToDate(request) {
		return
	}
	if n.hardState.Vote == "" {
		n.setHardState(n.hardState.Term, request.From)
	}
	n.resetElectionTimer(now)
	n.sendAfterSync(Message{Kind: VoteResponse, To: request.From})
}

// respondToPreVote grants a pre-vote, which changes no state of the voter, or rejects a candidate of an
// older term with the current term. Without the rejection, a candidate with the more complete log could
// wait forever for the vote of a voter with a newer term.
func (n *Node) respondToPreVote(request Message) {
	switch {
	case request.Term <= n.hardState.Term:
		n.send(Message{Kind: PreVoteResponse, To: request.From, Reject: true})
	case n.isUpToDate(request):
		n.send(Message{Kind: PreVoteResponse, To: request.From, Term: request.Term})
	}
}

// handlePreVoteResponse counts a granted pre-vote, or enters the newer term that a rejection carries.
func (n *Node) handlePreVoteResponse(now time.Duration, response Message) {
	if response.Reject {
		if response.Term > n.hardState.Term {
			n.enterTerm(now, response.Term)
		}
		return
	}
	if n.role != PreCandidate || response.Term != n.hardState.Term+1 {
		return
	}
	n.votes[response.From] = true
	n.countVotes(now)
}

// handleVoteResponse counts a granted vote. Step has compared its term with the current one.
func (n *Node) handleVoteResponse(now time.Duration, response Message) {
	if n.role != Candidate {
		return
	}
	n.votes[response.From] = true
	n.countVotes(now)
}

// countVotes begins the election once a majority has granted the pre-vote, and the leadership once a
// majority has granted the vote.
func (n *Node) countVotes(now time.Duration) {
	granted := majority(n.Membership(), func(id string) int {
		if n.votes[id] {
			return 1
		}
		return 0
	})
	if granted == 0 {
		return
	}
	if n.role == PreCandidate {
		n.campaign(now, Candidate, campaignReason{})
		return
	}
	n.becomeLeader(now)
}

// becomeLeader makes this node the leader of the current term. It has no lease until the no-op of the
// term is applied.
func (n *Node) becomeLeader(now time.Duration) {
	n.role = Leader
	n.leaderID = n.id
	n.votes = nil
	n.hadLeader = true
	n.leaseExpiry = 0
	n.leaderSince = now
	n.transferee = ""
	n.progress = nil
	n.trackMembers(now)
	n.termStartIndex = n.appendAsLeader(now, Entry{Kind: EntryNoop})
	n.heartbeatDue = now + n.timing.HeartbeatInterval
}
