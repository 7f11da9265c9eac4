package replica

import "time"

// The cold start check; it is not part of Raft.
//
// A replica that starts grants no vote for MinElectionTimeout, since its previous incarnation may
// support a leader that still holds its lease. If all processes of a group were killed at once, that
// wait protects no lease, because a lease ends with the incarnation that held it. Therefore a replica
// asks at its start whether all voters have restarted and have had no contact to a leader since. If so,
// the voter with the most complete log begins an election at once, and the other voters grant their
// votes without the wait.
//
// Two rounds of responses by the same incarnations are needed. Each voter's second response is later
// than every voter's first one. If one of the responding incarnations held a lease that depends on the
// support of some voter's earlier incarnation, it would have become leader after its own start but before
// its second response, and a replica that has been a leader sends no response. A voter grants this vote
// only in the incarnation that responded, and only while it has had no contact to a leader: a leader that
// is elected after the voter's second response needs a majority of voters that have had contact to it.

// coldStartInterval is the time between two rounds.
const coldStartInterval = 60 * time.Millisecond

// coldStart is the state of a replica's cold start check.
type coldStart struct {
	nextRoundDue time.Duration
	round        uint64
	responses    map[string]Message // responses in this round, by ID
	previous     map[string]Message // responses in the round before; nil if not all voters responded in it
}

// tickColdStart begins the next round if it is due.
func (n *Node) tickColdStart(now time.Duration) {
	if n.hadLeader || !n.isFollowerOrPreCandidate() || now < n.coldStart.nextRoundDue || !n.Membership().IsVoter(n.id) {
		return
	}
	n.beginColdStartRound(now)
}

// isFollowerOrPreCandidate reports whether the cold start check may run in the node's role. It also
// runs during a pre-vote: while voters that support an earlier leader refuse their pre-votes, the check
// may find that all voters have restarted.
func (n *Node) isFollowerOrPreCandidate() bool { return n.role == Follower || n.role == PreCandidate }

// beginColdStartRound sends a request to all other voters. The previous round counts only if all of
// them responded in it.
func (n *Node) beginColdStartRound(now time.Duration) {
	n.coldStart.previous = nil
	if n.allVotersResponded() {
		n.coldStart.previous = n.coldStart.responses
	}
	n.coldStart.responses = map[string]Message{}
	n.coldStart.round++
	n.coldStart.nextRoundDue = now + coldStartInterval
	for _, voter := range n.otherVoters() {
		n.send(Message{Kind: ColdStartRequest, To: voter, Round: n.coldStart.round})
	}
}

// allVotersResponded reports whether all other voters have responded in this round. It is false if
// there are no other voters.
func (n *Node) allVotersResponded() bool {
	for _, id := range n.otherVoters() {
		if _, ok := n.coldStart.responses[id]; !ok {
			return false
		}
	}
	return len(n.coldStart.responses) > 0
}

// handleColdStartRequest responds, unless this replica has had contact to a leader.
func (n *Node) handleColdStartRequest(request Message) {
	if n.hadLeader {
		return
	}
	last := n.log.last()
	n.send(Message{Kind: ColdStartResponse, To: request.From, Index: last, LogTerm: n.log.term(last), Round: request.Round, Life: n.incarnation})
}

// handleColdStartResponse begins the second round once the first is complete. Once the second is
// complete, it begins an election if this replica is the preferred candidate.
func (n *Node) handleColdStartResponse(now time.Duration, response Message) {
	if n.hadLeader || !n.isFollowerOrPreCandidate() || response.Round != n.coldStart.round {
		return
	}
	n.coldStart.responses[response.From] = response
	switch {
	case !n.allVotersResponded():
	case n.coldStart.previous == nil:
		n.beginColdStartRound(now)
	case n.isPreferredCandidate():
		n.campaign(now, Candidate, campaignReason{coldStart: true})
	}
}

// isPreferredCandidate reports whether the same incarnations responded in both rounds and this replica
// precedes all of them.
func (n *Node) isPreferredCandidate() bool {
	for _, id := range n.otherVoters() {
		response := n.coldStart.responses[id]
		if n.coldStart.previous[id].Life != response.Life || !n.precedes(response) {
			return false
		}
	}
	return true
}

// precedes reports whether this replica, rather than the one that responded, is the preferred candidate:
// the more complete log decides, and the rank if the logs are equal.
func (n *Node) precedes(response Message) bool {
	last := n.log.last()
	term := n.log.term(last)
	if term != response.LogTerm || last != response.Index {
		return term > response.LogTerm || term == response.LogTerm && last > response.Index
	}
	own, other := n.rankOf(n.id), n.rankOf(response.From)
	return own < other || own == other && n.id < response.From
}

// rankOf returns the rank of a voter in this group; the lowest rank is preferred. The order of the voters
// differs from group to group, so that the leaders of the groups spread over the processes if all restart
// at once. With the ID alone as the rank, one process would lead all groups whose logs are equal.
func (n *Node) rankOf(id string) uint64 { return hashOf(n.group + "/" + id) }
