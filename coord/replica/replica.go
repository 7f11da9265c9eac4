// Package replica is a replicated log's state machine: election, leader lease, replication,
// commitment, change of membership and transfer of snapshots. It does no I/O and keeps no
// clock: each input brings the time of the caller's steady clock, and what is to be sent,
// written and applied is collected in an Output.
//
// The agreement is Raft's, with a vote before the vote, a leader lease and joint changes of
// membership. A leader may act alone while its lease lasts: a majority has promised, at the
// time when the leader sent the message that they answered, to vote for nobody else for
// Timing.Promise. The lease ends at the holder after Timing.Lease, which is shorter.
package replica

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Role is what a replica is in its group at present.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// EntryKind tells what an entry of the log holds.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand    EntryKind = iota // Data is for the state machine above
	EntryNoop                        // a new leader's first entry
	EntryMembership                  // Membership is in force from the append on
)

// Entry is one place of the log.
type Entry struct {
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership *Membership
}

// HardState is what a replica must not forget: its term, and whom it voted for in it.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Kinds of messages.
const (
	PreVoteRequest MessageKind = iota
	PreVoteResponse
	VoteRequest
	VoteResponse
	AppendRequest
	AppendResponse
	InstallSnapshot
	TimeoutNow       // the leader hands the lead over: the receiver is to stand at once
	ColdStartRequest // has the receiver heard of no leader since its start?
	ColdStartResponse
	SnapshotChunk         // a part of a snapshot; the driver cuts InstallSnapshot into these, the machine sees neither
	SnapshotChunkResponse // how much of a snapshot has come
)

// Message is what one replica tells another.
type Message struct {
	Kind      MessageKind
	Group     string
	From, To  string // IDs of members
	Term      uint64
	Index     uint64 // Append: place before Entries; votes: the candidate's last; answers: matched or wanted
	LogTerm   uint64 // term of the entry at Index
	Commit    uint64
	Entries   []Entry
	Reject    bool
	SentAt    time.Duration // the leader's clock at an Append, returned by its answer
	Handover  bool          // AskVote: the leader gave its lease up for this
	Fresh     bool          // AskVote: all voters have started anew, so that no lease is left
	Round     uint64        // AskFresh and its answer
	Life      uint64        // AnswerFresh: the sender's; AskVote: the receiver's, where Fresh is set
	Snapshot  *Snapshot
	Offset    int      // SnapshotPart: place of Snapshot.Data in the whole; AnswerPart: bytes that have come
	Total     int      // SnapshotPart: bytes of the whole
	Addresses []Member // AskVote, Append: where the sender's membership is unknown to the receiver
}

// Timing are the spans of a group. Promise must be longer than Lease by more than the
// clocks' drift.
type Timing struct {
	HeartbeatInterval  time.Duration
	LeaseDuration      time.Duration
	MinElectionTimeout time.Duration // a follower hears no other candidate for so long after its leader
	ElectionJitter     time.Duration // candidates stand up to so long after Promise
}

// Ready is what a step of the machine asks of its driver. The driver sends Send at once,
// writes State and Entries, and after their sync sends AfterSync and calls Synced.
type Ready struct {
	HardState         *HardState // nil: unchanged
	Entries           []Entry    // to be appended; the first one's index cuts off what was there
	Snapshot          *Snapshot  // replaces all state and log
	Messages          []Message
	MessagesAfterSync []Message
	CommittedEntries  []Entry // newly committed, in order
}

// Empty tells whether nothing is asked.
func (o *Ready) Empty() bool {
	return o.HardState == nil && len(o.Entries) == 0 && o.Snapshot == nil && len(o.Messages) == 0 && len(o.MessagesAfterSync) == 0 && len(o.CommittedEntries) == 0
}

// maxAppendBytes bounds the entries of one message, beyond its first entry.
const maxAppendBytes = 256 << 10

// resendAfter is how long a leader waits for an answer before it sends entries again.
const resendAfter = 600 * time.Millisecond

// progress is what a leader knows of another member.
type progress struct {
	match, next uint64
	heardAt     time.Duration // sending time of the last message that it answered
	answeredAt  time.Duration // when its last answer came
	sentAt      time.Duration // when entries were last sent
	snapshotAt  time.Duration // when a snapshot was last sent
}

// Node is one replica. Its methods must not be called concurrently.
type Node struct {
	id     string
	group  string
	timing Timing
	random *rand.Rand

	state   HardState
	role    Role
	leader  string
	log     log
	commit  uint64
	applied uint64

	lastHeard   time.Duration // from a leader; a promise runs from here
	heardOnce   bool          // it has heard of a leader, or led, since its start
	life        uint64        // drawn at its start
	fresh       freshness
	standAt     time.Duration
	votes       map[string]bool
	peers       map[string]*progress
	heartbeatAt time.Duration
	lease       time.Duration // end of the leader's lease
	firstOwn    uint64        // a leader's no-op
	leading     time.Duration // since when it leads
	handingOver string
	handOverEnd time.Duration // a handover that was not taken by then is given up, and the lead with it

	out Ready
}

// PersistedState is what a replica found on its disk.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// NewNode returns a replica as it was left on disk. The seed must differ from life to life. It votes for nobody for a promise's length,
// since it may have made one before its restart.
func NewNode(id, group string, timing Timing, found PersistedState, seed uint64, now time.Duration) *Node {
	m := &Node{id: id, group: group, timing: timing, random: rand.New(rand.NewPCG(seed, hashOf(group)))}
	m.life = m.random.Uint64()
	m.state = found.HardState
	m.log.reset(found.Snapshot)
	m.log.append(found.Entries)
	m.log.stable = m.log.last()
	m.commit, m.applied = found.Snapshot.Index, found.Snapshot.Index
	m.lastHeard = now
	m.rest(now)
	return m
}

// hashOf lets the groups of one process stand at different times, so that their leads spread.
func hashOf(group string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(group))
	return hash.Sum64()
}

// Role returns what the replica is.
func (m *Node) Role() Role { return m.role }

// Term returns the current term.
func (m *Node) Term() uint64 { return m.state.Term }

// LeaderID returns the member that leads as far as this one knows, or nothing.
func (m *Node) LeaderID() string { return m.leader }

// Membership returns the newest membership of the log.
func (m *Node) Membership() Membership { return m.log.membership() }

// Applied returns the last index handed out for applying.
func (m *Node) Applied() uint64 { return m.applied }

// LastIndex returns the last index of the log.
func (m *Node) LastIndex() uint64 { return m.log.last() }

// LeaseUntil returns when this replica's lease as a leader ends; zero: it has none. A
// leader holds it only once an entry of its own term is applied, so that all that was
// committed before is too.
func (m *Node) LeaseUntil() time.Duration {
	if m.role != Leader || m.handingOver != "" || m.applied < m.firstOwn {
		return 0
	}
	return m.lease
}

// Ready returns what the steps since the last Take ask for.
func (m *Node) Ready() Ready {
	m.collectCommitted()
	out := m.out
	m.out = Ready{}
	return out
}

func (m *Node) collectCommitted() {
	if m.applied >= m.commit {
		return
	}
	m.out.CommittedEntries = append(m.out.CommittedEntries, m.log.slice(m.applied+1, m.commit)...)
	m.applied = m.commit
}

// Propose appends a command. It returns the place it will have if it is committed, or
// false where this replica does not lead.
func (m *Node) Propose(now time.Duration, data []byte) (index, term uint64, ok bool) {
	if m.role != Leader || m.handingOver != "" {
		return 0, 0, false
	}
	return m.lead(now, Entry{Kind: EntryCommand, Data: data}), m.state.Term, true
}

// ChangeMembers proposes a membership. Only one change may be under way.
func (m *Node) ChangeMembers(now time.Duration, next Membership) bool {
	if m.role != Leader || m.handingOver != "" || m.log.membershipIndex() > m.commit || m.applied < m.firstOwn {
		return false
	}
	m.lead(now, Entry{Kind: EntryMembership, Membership: &next})
	return true
}

// CaughtUp tells whether a member has all entries but the last few.
func (m *Node) CaughtUp(id string, within uint64) bool {
	peer := m.peers[id]
	return m.role == Leader && peer != nil && peer.match > 0 && peer.match+within >= m.commit
}

// UnresponsiveFor returns how long a member has not answered this leader.
func (m *Node) UnresponsiveFor(id string, now time.Duration) time.Duration {
	peer := m.peers[id]
	if peer == nil {
		return 0
	}
	return now - max(peer.answeredAt, m.leading)
}

// TransferLeadership gives the lead to the voter that has most of the log. The lease ends at once and
// is not taken up again in this term: a late TimeoutNow finds no lease beside it. Where the
// other one does not take the lead, this one gives it up all the same, so that anyone can.
func (m *Node) TransferLeadership(now time.Duration) bool {
	if m.role != Leader {
		return false
	}
	best, bestMatch := "", uint64(0)
	for _, voter := range m.Membership().Voters {
		peer := m.peers[voter.ID]
		if peer != nil && peer.match >= bestMatch && m.UnresponsiveFor(voter.ID, now) < 2*m.timing.HeartbeatInterval {
			best, bestMatch = voter.ID, peer.match
		}
	}
	if best == "" {
		return false
	}
	m.handingOver, m.handOverEnd = best, now+2*m.timing.MinElectionTimeout
	m.handOverIfReady()
	return true
}

func (m *Node) handOverIfReady() {
	peer := m.peers[m.handingOver]
	if peer == nil || peer.match < m.log.last() { // one that was removed is waited for until the handover ends
		return
	}
	m.send(Message{Kind: TimeoutNow, To: m.handingOver})
}

// Persisted tells that all entries up to that one, or an installed snapshot that ends with it,
// are on this replica's disk. It says nothing
// where the log has meanwhile another entry there.
func (m *Node) Persisted(now time.Duration, index, term uint64) {
	if m.log.term(index) != term {
		return
	}
	m.log.stable = max(m.log.stable, index)
	if m.role == Leader {
		m.advance(now)
	}
}

// LogRetention bounds what stays in memory of the entries that a snapshot stands for.
type LogRetention struct {
	Entries    uint64
	Bytes      int    // of the entries' data
	AfterIndex uint64 // all entries after this index stay, whatever the other bounds; 0: none
}

// Compact forgets entries that a snapshot stands for, but for the last ones within the
// bounds: a replica that was away for a moment catches up by them.
func (m *Node) Compact(snapshot Snapshot, keep LogRetention) { m.log.compact(snapshot, keep) }

// Commit returns the last index that is known to be committed.
func (m *Node) Commit() uint64 { return m.commit }

// FirstIndex returns the first index of the log in memory, and SnapshotIndex the one up to
// which a snapshot stands for the log.
func (m *Node) FirstIndex() uint64 { return m.log.first }

// SnapshotIndex returns the index of the newest snapshot.
func (m *Node) SnapshotIndex() uint64 { return m.log.base.Index }

// Match returns the last index that a member has on its disk, as far as this leader knows.
func (m *Node) Match(id string) uint64 {
	if peer := m.peers[id]; peer != nil {
		return peer.match
	}
	return 0
}

// Lag returns how many entries a member lacks, as far as this leader knows.
func (m *Node) Lag(id string) uint64 {
	if id == m.id {
		return m.log.last() - min(m.log.stable, m.log.last())
	}
	if peer := m.peers[id]; peer != nil {
		return m.log.last() - min(peer.match, m.log.last())
	}
	return m.log.last()
}

// AppliedSnapshot returns a snapshot's head at the last applied index.
func (m *Node) AppliedSnapshot() Snapshot {
	return Snapshot{Index: m.applied, Term: m.log.term(m.applied), Membership: m.log.membershipAt(m.applied)}
}

// Tick lets time pass.
func (m *Node) Tick(now time.Duration) {
	if m.role == Leader {
		m.tickLeader(now)
		return
	}
	m.askFresh(now)
	if now < m.standAt {
		return
	}
	if m.Membership().IsVoter(m.id) {
		m.stand(now, PreCandidate, Message{})
		return
	}
	m.leader = "" // one without a vote has no other way to find that its leader is gone
	m.rest(now)
}

func (m *Node) tickLeader(now time.Duration) {
	m.renewLease(now)
	if m.handingOver != "" && now > m.handOverEnd {
		m.follow(now, "")
		return
	}
	if now > m.lease+m.timing.MinElectionTimeout && now > m.leading+2*m.timing.MinElectionTimeout {
		m.follow(now, "")
		return
	}
	if now < m.heartbeatAt {
		return
	}
	m.heartbeatAt = now + m.timing.HeartbeatInterval
	for _, id := range m.others() {
		m.replicate(now, id, true)
	}
}

// NextTick returns when Tick has something to do.
func (m *Node) NextTick() time.Duration {
	if m.role == Leader {
		return m.heartbeatAt
	}
	if !m.heardOnce && m.Membership().IsVoter(m.id) {
		return min(m.standAt, m.fresh.askAt)
	}
	return m.standAt
}

func (m *Node) rest(now time.Duration) {
	m.standAt = now + m.timing.MinElectionTimeout + time.Duration(m.random.Int64N(int64(m.timing.ElectionJitter)))
}

func (m *Node) follow(now time.Duration, leader string) {
	m.role, m.leader, m.votes, m.peers, m.handingOver = Follower, leader, nil, nil, ""
	m.rest(now)
}

func (m *Node) setState(term uint64, vote string) {
	m.state = HardState{Term: term, Vote: vote}
	state := m.state
	m.out.HardState = &state
}

func (m *Node) send(message Message) {
	m.out.Messages = append(m.out.Messages, m.stamped(message))
}

func (m *Node) sendAfterSync(message Message) {
	m.out.MessagesAfterSync = append(m.out.MessagesAfterSync, m.stamped(message))
}

func (m *Node) stamped(message Message) Message {
	message.Group, message.From = m.group, m.id
	if message.Term == 0 {
		message.Term = m.state.Term
	}
	return message
}
