package replica

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"basaltloft/coord/replica/progress"
)

// Role is what a replica is in its group at present (paper, section 5.1).
type Role uint8

// Roles. The numbers are sent in a group's status.
const (
	Follower Role = iota
	// PreCandidate asks whether an election would have a chance (dissertation 9.6).
	PreCandidate
	Candidate
	Leader
)

// Timing holds the durations of a group; all are positive and equal at each of its members.
// MinElectionTimeout must exceed LeaseDuration by more than the members' clocks may drift apart
// within a lease: two leaders could hold a lease at the same time otherwise.
type Timing struct {
	// HeartbeatInterval is the pause between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long a leader's lease lasts after the sending of the messages that a
	// majority responded to.
	LeaseDuration time.Duration
	// MinElectionTimeout is how long a follower grants no vote after its last contact to a leader.
	MinElectionTimeout time.Duration
	// ElectionJitter bounds the random time after MinElectionTimeout before a follower begins an
	// election.
	ElectionJitter time.Duration
}

// Node is one replica. Its methods must not be called concurrently.
type Node struct {
	id     string
	group  string
	timing Timing
	random *rand.Rand

	hardState HardState
	role      Role
	leaderID  string // of the term's leader; empty: not known
	log       raftLog
	commit    uint64 // highest index known to be committed; never falls
	applied   uint64 // highest index handed out by Ready; at most commit

	// Contact to leaders, and elections.

	lastLeaderContact time.Duration // no vote is granted for MinElectionTimeout from here
	hadLeader         bool          // it had contact to a leader, or was one, since its start
	incarnation       uint64        // drawn at its start
	coldStart         coldStart
	electionDue       time.Duration
	votes             map[string]bool // by ID: who granted a pre-vote or vote; of candidates

	// State of a leader.

	progress       map[string]*progress.Progress // by ID: all other members
	heartbeatDue   time.Duration
	leaseExpiry    time.Duration
	termStartIndex uint64 // of the no-op that began the term
	leaderSince    time.Duration
	transferee     string        // ID of the member that takes over; empty: no transfer is under way
	transferEnd    time.Duration // the leader steps down then, where no other has taken over

	ready Ready
}

// NewNode returns a replica as its disk has it, at a time of the driver's clock. The seed must
// differ from one start to the next. The node grants no vote for MinElectionTimeout, since its
// previous incarnation may have had contact to a leader just before.
func NewNode(id, group string, timing Timing, persisted PersistedState, seed uint64, now time.Duration) *Node {
	n := &Node{
		id:     id,
		group:  group,
		timing: timing,
		random: rand.New(rand.NewPCG(seed, hashOf(group))),
	}
	n.incarnation = n.random.Uint64()
	n.hardState = persisted.HardState
	n.log.reset(persisted.Snapshot)
	n.log.append(persisted.Entries)
	n.log.stable = n.log.last()
	n.commit = persisted.Snapshot.Index
	n.applied = persisted.Snapshot.Index
	n.lastLeaderContact = now
	n.resetElectionTimer(now)
	return n
}

// hashOf makes the groups of one process draw different election timeouts, so that their leaders
// spread over the processes.
func hashOf(group string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(group)) // a hash returns no error
	return hash.Sum64()
}

// Role returns the node's present role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// LeaderID returns the ID of the leader as far as this node knows; empty: none is known.
func (n *Node) LeaderID() string { return n.leaderID }

// Membership returns the newest membership of the log, committed or not.
func (n *Node) Membership() Membership { return n.log.membership() }

// Commit returns the highest index that is known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// Applied returns the highest index handed out for application.
func (n *Node) Applied() uint64 { return n.applied }

// FirstIndex returns the first index of the log in memory. It may be at or before SnapshotIndex.
func (n *Node) FirstIndex() uint64 { return n.log.first }

// LastIndex returns the last index of the log.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// AppliedSnapshot returns a snapshot at the last applied index, without the application's state.
func (n *Node) AppliedSnapshot() Snapshot {
	return Snapshot{Index: n.applied, Term: n.log.term(n.applied), Membership: n.log.membershipAt(n.applied)}
}

// Persisted tells that all entries up to one, or an installed snapshot that ends with it, are on
// this replica's disk. It has no effect where the log has another entry there by now.
func (n *Node) Persisted(now time.Duration, index, term uint64) {
	if n.log.term(index) != term {
		return
	}
	n.log.stable = max(n.log.stable, index)
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Compact drops entries that a snapshot on disk covers, except the last ones within the bounds:
// a replica that was away for a moment catches up from them.
func (n *Node) Compact(snapshot Snapshot, retention LogRetention) {
	n.log.compact(snapshot, retention)
}

// Step handles a message that was sent to this node.
func (n *Node) Step(now time.Duration, message Message) {
	switch message.Kind { // these change the term by rules of their own
	case PreVoteRequest, VoteRequest:
		n.handleVoteRequest(now, message)
		return
	case PreVoteResponse:
		n.handlePreVoteResponse(now, message)
		return
	case ColdStartRequest:
		n.handleColdStartRequest(message)
		return
	case ColdStartResponse:
		n.handleColdStartResponse(now, message)
		return
	}
	if message.Term < n.hardState.Term {
		n.rejectOutdated(message)
		return
	}
	if message.Term > n.hardState.Term {
		n.enterTerm(now, message.Term)
	}
	switch message.Kind {
	case VoteResponse:
		n.handleVoteResponse(now, message)
	case AppendRequest:
		n.handleAppendRequest(now, message)
	case AppendResponse:
		n.handleAppendResponse(now, message)
	case InstallSnapshot:
		n.handleInstallSnapshot(now, message)
	case TimeoutNow:
		n.campaign(now, Candidate, campaignReason{leaseGivenUp: true})
	}
}

// rejectOutdated tells a leader of an older term of the newer one.
func (n *Node) rejectOutdated(message Message) {
	if message.Kind == AppendRequest || message.Kind == InstallSnapshot {
		n.send(Message{Kind: AppendResponse, To: message.From, Reject: true, Index: n.log.last()})
	}
}

// Tick does what is due by now. It may be called earlier than NextTick.
func (n *Node) Tick(now time.Duration) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	n.tickColdStart(now)
	if now < n.electionDue {
		return
	}
	if n.Membership().IsVoter(n.id) {
		n.campaign(now, PreCandidate, campaignReason{})
		return
	}
	n.leaderID = "" // a learner begins no election, and would name a lost leader for ever
	n.resetElectionTimer(now)
}

// NextTick returns when Tick has something to do next.
func (n *Node) NextTick() time.Duration {
	if n.role == Leader {
		return n.heartbeatDue
	}
	if !n.hadLeader && n.Membership().IsVoter(n.id) {
		return min(n.electionDue, n.coldStart.nextRoundDue)
	}
	return n.electionDue
}

// resetElectionTimer draws a new time for this node's next election.
func (n *Node) resetElectionTimer(now time.Duration) {
	n.electionDue = now + n.timing.MinElectionTimeout + time.Duration(n.random.Int64N(int64(n.timing.ElectionJitter)))
}

// enterTerm enters a newer term as a follower that has not voted in it.
func (n *Node) enterTerm(now time.Duration, term uint64) {
	n.setHardState(term, "")
	n.becomeFollower(now, "")
}

// becomeFollower gives up a candidacy or leadership in the current term; an empty ID: its leader is not
// known.
func (n *Node) becomeFollower(now time.Duration, leaderID string) {
	n.role = Follower
	n.leaderID = leaderID
	n.votes = nil
	n.progress = nil
	n.transferee = ""
	n.resetElectionTimer(now)
}

// acceptLeader records contact to the leader of the current term.
func (n *Node) acceptLeader(now time.Duration, leaderID string) {
	if n.role != Follower || n.leaderID != leaderID {
		n.becomeFollower(now, leaderID)
	}
	n.lastLeaderContact = now
	n.hadLeader = true
	n.resetElectionTimer(now)
}
