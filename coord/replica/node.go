package replica

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"basaltloft/coord/replica/progress"
)

// Role is the current role of a replica in its group (paper, section 5.1).
type Role uint8

// Roles. Their numeric values are part of a group's status on the wire.
const (
	Follower Role = iota
	// PreCandidate requests pre-votes to find out whether it could win an election (dissertation 9.6).
	PreCandidate
	Candidate
	Leader
)

// Timing holds the durations of a group; all are positive and equal at each of its members.
// MinElectionTimeout must exceed LeaseDuration by more than the members' clocks may drift apart
// within a lease; otherwise two leaders could hold a lease at the same time.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// LeaseDuration is the length of a leader's lease, counted from the time at which it sent the
	// messages that a majority responded to.
	LeaseDuration time.Duration
	// MinElectionTimeout is the time after its last contact to a leader during which a follower
	// grants no vote.
	MinElectionTimeout time.Duration
	// ElectionJitter is the upper bound of the random time that a follower adds to
	// MinElectionTimeout before it begins an election.
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
	leaderID  string // leader of the current term; empty if it is not known
	log       raftLog
	commit    uint64 // highest index known to be committed; never decreases
	applied   uint64 // highest index returned by Ready for application; at most commit

	// Contact to leaders, and elections.

	lastLeaderContact time.Duration // no vote is granted for MinElectionTimeout after this time
	hadLeader         bool          // since its start this node had contact to a leader or was one
	incarnation       uint64        // random; drawn at each start
	coldStart         coldStart
	electionDue       time.Duration
	votes             map[string]bool // pre-votes or votes granted to this candidate, by member ID

	// State of a leader.

	progress       map[string]*progress.Progress // all other members, by ID
	heartbeatDue   time.Duration
	leaseExpiry    time.Duration
	termStartIndex uint64 // index of the no-op that began the term
	leaderSince    time.Duration
	transferee     string        // ID of the member that is to take over; empty if no transfer is in progress
	transferEnd    time.Duration // the leader steps down then, if no other has taken over

	ready Ready
}

// NewNode returns a replica with the state that its disk holds; now is the driver's current time. The
// seed must differ from one start to the next. The node grants no vote for MinElectionTimeout, since
// its previous incarnation may have had contact to a leader just before.
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

// hashOf returns the FNV-1a hash of a text. In NewNode it makes the groups of one process draw
// different election timeouts, so that their leaders spread over the processes.
func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // a hash returns no error
	return hash.Sum64()
}

// Role returns the node's current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// LeaderID returns the ID of the leader of the current term, or an empty string if it is not known.
func (n *Node) LeaderID() string { return n.leaderID }

// Membership returns the newest membership of the log, committed or not.
func (n *Node) Membership() Membership { return n.log.membership() }

// Commit returns the highest index that is known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// Applied returns the highest index that Ready has returned for application.
func (n *Node) Applied() uint64 { return n.applied }

// FirstIndex returns the first index of the log in memory. It may be at or before SnapshotIndex.
func (n *Node) FirstIndex() uint64 { return n.log.first }

// LastIndex returns the last index of the log.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// AppliedSnapshot returns a snapshot at the last applied index, with an empty Data field.
func (n *Node) AppliedSnapshot() Snapshot {
	return Snapshot{Index: n.applied, Term: n.log.term(n.applied), Membership: n.log.membershipAt(n.applied)}
}

// Persisted records that all entries up to an index, or an installed snapshot that ends there, are on
// this replica's disk. It has no effect if the entry at that index is now of another term.
func (n *Node) Persisted(now time.Duration, index, term uint64) {
	if n.log.term(index) != term {
		return
	}
	n.log.stable = max(n.log.stable, index)
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Compact drops entries that a snapshot on disk covers, except the last ones within the bounds of
// retention, from which a replica that was unreachable for a short time catches up.
func (n *Node) Compact(snapshot Snapshot, retention LogRetention) {
	n.log.compact(snapshot, retention)
}

// Step handles a message from another replica.
func (n *Node) Step(now time.Duration, message Message) {
	switch message.Kind { // these kinds have their own rules for changing the term
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
		n.campaign(now, Candidate, campaignReason{leadershipTransfer: true})
	}
}

// rejectOutdated responds to a leader of an older term with a rejection that carries the current term.
func (n *Node) rejectOutdated(message Message) {
	if message.Kind == AppendRequest || message.Kind == InstallSnapshot {
		n.send(Message{Kind: AppendResponse, To: message.From, Reject: true, Index: n.log.last()})
	}
}

// Tick begins the election, heartbeat or cold start round that is due. It may be called earlier than
// NextTick.
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
	n.leaderID = "" // a learner begins no election, so nothing else would clear an unreachable leader
	n.resetElectionTimer(now)
}

// NextTick returns the latest time at which Tick must be called next.
func (n *Node) NextTick() time.Duration {
	if n.role == Leader {
		return n.heartbeatDue
	}
	if !n.hadLeader && n.Membership().IsVoter(n.id) {
		return min(n.electionDue, n.coldStart.nextRoundDue)
	}
	return n.electionDue
}

// resetElectionTimer sets the time of this node's next election, with a new random jitter.
func (n *Node) resetElectionTimer(now time.Duration) {
	n.electionDue = now + n.timing.MinElectionTimeout + time.Duration(n.random.Int64N(int64(n.timing.ElectionJitter)))
}

// enterTerm enters a newer term as a follower that has not voted in it.
func (n *Node) enterTerm(now time.Duration, term uint64) {
	n.setHardState(term, "")
	n.becomeFollower(now, "")
}

// becomeFollower ends a candidacy or leadership in the current term. The leader's ID is empty if it is
// not known.
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
