package replica

import "time"

// The cold start check; it is not part of Raft.
//
// A replica that starts grants no vote for MinElectionTimeout, since its previous incarnation may
// support a leader that still holds its lease. Where all processes of a group were killed at once,
// that wait protects no lease: a lease ends with the incarnation that held it. So a replica asks, at
// its start, whether all voters have restarted and have had no contact to a leader since; the one
// with the most complete log then begins an election at once, and its voters disregard the wait.
//
// Two rounds of responses by the same incarnations are needed. Each voter's second response came
// after every voter's first one. Had one of them led before, with a lease that rests on the support
// of some voter's earlier incarnation, its second response would not have come: it would have led
// since its start. And a voter grants this vote only in the incarnation that responded, and while
// it has had no contact to a leader: any leader elected after its second response needs a majority that
// has.

// coldStartInterval is the pause between two rounds.
const coldStartInterval = 60 * time.Millisecond

// coldStart is what a replica knows of the other voters' restarts.
type coldStart struct {
	nextRoundDue time.Duration
	round        uint64
	responses    map[string]Message // of this round, by ID
	previous     map[string]Message // of the round before; nil: not all voters responded to it
}

// tickColdStart begins a round that is due.
func (n *Node) tickColdStart(now time.Duration) {
	if n.hadLeader || !n.awaitsElection() || now < n.coldStart.nextRoundDue || !n.Membership().IsVoter(n.id) {
		return
	}
	n.beginColdStartRound(now)
}

// awaitsElection reports whether the replica is no candidate. One that asks for pre-votes, which
// others that support an earlier leader withhold, may learn meanwhile that all have restarted.
func (n *Node) awaitsElection() bool { return n.role == Follower || n.role == PreCandidate }

// beginColdStartRound asks all other voters. The round before counts only where all of them responded to it.
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

// allVotersResponded reports whether all other voters have responded in this round.
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

// handleColdStartResponse begins the second round after the first is complete, and an election after the
// second, where this replica goes first.
func (n *Node) handleColdStartResponse(now time.Duration, response Message) {
	if n.hadLeader || !n.awaitsElection() || response.Round != n.coldStart.round {
		return
	}
	n.coldStart.responses[response.From] = response
	switch {
	case !n.allVotersResponded():
	case n.coldStart.previous == nil:
		n.beginColdStartRound(now)
	case n.isFirstCandidate():
		n.campaign(now, Candidate, campaignReason{coldStart: true})
	}
}

// isFirstCandidate reports whether the same incarnations responded in both rounds and this replica
// goes first among them: by its log, and by its rank where logs are equal.
func (n *Node) isFirstCandidate() bool {
	for _, id := range n.otherVoters() {
		response := n.coldStart.responses[id]
		if n.coldStart.previous[id].Life != response.Life || !n.precedes(response) {
			return false
		}
	}
	return true
}

// precedes reports whether this replica goes before the one that responded.
func (n *Node) precedes(response Message) bool {
	last := n.log.last()
	term := n.log.term(last)
	if term != response.LogTerm || last != response.Index {
		return term > response.LogTerm || term == response.LogTerm && last > response.Index
	}
	own, other := n.rankOf(n.id), n.rankOf(response.From)
	return own < other || own == other && n.id < response.From
}

// rankOf orders the voters of a group. Each group has another order, so that where all processes restart
// at once the leaders of their groups spread over them. By the ID alone one process would lead all groups
// whose logs are equal.
func (n *Node) rankOf(id string) uint64 { return hashOf(n.group + "/" + id) }
