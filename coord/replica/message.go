package replica

import "time"

// MessageKind is the kind of a message. The numeric values are part of the wire format: new kinds go
// to the end.
type MessageKind uint8

// Kinds of messages.
const (
	// PreVoteRequest asks whether the receiver would vote for the sender in Term, which is one more
	// than the sender's current term (dissertation 9.6).
	PreVoteRequest MessageKind = iota
	// PreVoteResponse grants a pre-vote for Term. With Reject it carries the sender's current term,
	// which is at least the requested one.
	PreVoteResponse
	// VoteRequest asks for a vote in Term.
	VoteRequest
	// VoteResponse grants a vote. A replica that refuses a vote sends no response.
	VoteResponse
	// AppendRequest carries entries of the leader's log; without entries it is a heartbeat.
	AppendRequest
	// AppendResponse acknowledges entries or an installed snapshot. With Reject it reports that the
	// sender's log does not match at the entry before them.
	AppendResponse
	// InstallSnapshot carries a complete snapshot. A Node emits it with an empty snapshot, which asks
	// the driver to send the newest one.
	InstallSnapshot
	// TimeoutNow transfers leadership: the receiver begins an election at once (dissertation 3.10).
	TimeoutNow
	// ColdStartRequest asks a voter whether it has had contact to a leader since its start.
	ColdStartRequest
	// ColdStartResponse states that the sender has had no such contact. A replica that has had contact
	// to a leader sends no response.
	ColdStartResponse
	// SnapshotChunk carries a part of a snapshot. Drivers exchange chunks; a Node never handles them.
	SnapshotChunk
	// SnapshotChunkResponse reports how much of a snapshot has arrived.
	SnapshotChunkResponse
)

// Message is a message between two replicas of a group. It is encoded by encoding/gob: its field names
// are part of the wire format and must not change. Fields that a kind does not use are zero.
type Message struct {
	Kind     MessageKind
	Group    string // name of the group; a process has replicas of several groups
	From, To string // IDs of members
	Term     uint64 // the sender's term; in pre-vote messages the requested or granted term

	// Index depends on the kind. AppendRequest: the index before Entries. PreVoteRequest, VoteRequest
	// and ColdStartResponse: the sender's last index. AppendResponse: the highest index that matches
	// the leader's log and is on disk, or with Reject the highest index that may match.
	// SnapshotChunkResponse: the snapshot's index.
	Index   uint64
	LogTerm uint64 // term of the entry at Index
	Commit  uint64 // the leader's commit index
	Entries []Entry
	Reject  bool

	// SentAt is the time on the leader's clock at which it sent an AppendRequest or InstallSnapshot. The
	// response returns it. The lease counts from it, because it is before the follower's contact.
	SentAt time.Duration

	Handover bool   // VoteRequest: the leader gave up its lease for this election (leadership transfer)
	Fresh    bool   // VoteRequest: the cold start check found that all voters restarted, so no lease is valid
	Round    uint64 // number of the round of the cold start check
	Life     uint64 // incarnation of the sender (ColdStartResponse) or receiver (VoteRequest with Fresh)

	Snapshot *Snapshot
	// Offset is the offset of Snapshot.Data in bytes (SnapshotChunk), or the number of bytes that have
	// arrived without a gap (SnapshotChunkResponse).
	Offset int
	Total  int // SnapshotChunk: size of the complete snapshot in bytes

	// Addresses are the group's members, for a receiver whose log may not contain them yet: without
	// them it would have no address for its response.
	Addresses []Member
}

// Ready is the work that a Node requests from its driver; see the package comment for the order.
type Ready struct {
	// HardState is to be written; nil if it is unchanged.
	HardState *HardState
	// Entries are to be written. They replace all entries on disk from the first one's index on.
	Entries []Entry
	// Snapshot replaces the application's state and the whole log; nil if there is none.
	Snapshot *Snapshot
	// Messages may be sent at once.
	Messages []Message
	// MessagesAfterSync may be sent once everything above is synced.
	MessagesAfterSync []Message
	// CommittedEntries are to be applied, in order. A majority has them on disk; this replica may not
	// yet.
	CommittedEntries []Entry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil && len(r.Messages) == 0 && len(r.MessagesAfterSync) == 0 && len(r.CommittedEntries) == 0
}

// Ready returns the work that results from the inputs since the last call. The node counts the
// returned committed entries as applied.
func (n *Node) Ready() Ready {
	n.collectCommitted()
	ready := n.ready
	n.ready = Ready{}
	return ready
}

// collectCommitted adds to the Ready the entries that were committed since the last one.
func (n *Node) collectCommitted() {
	if n.applied >= n.commit {
		return
	}
	n.ready.CommittedEntries = append(n.ready.CommittedEntries, n.log.slice(n.applied+1, n.commit)...)
	n.applied = n.commit
}

// setHardState changes the term and vote and adds them to the Ready to be written. Messages that depend
// on them must be sent by sendAfterSync.
func (n *Node) setHardState(term uint64, vote string) {
	n.hardState = HardState{Term: term, Vote: vote}
	state := n.hardState
	n.ready.HardState = &state
}

// send sends a message that depends on no state that is not on disk yet.
func (n *Node) send(message Message) {
	n.ready.Messages = append(n.ready.Messages, n.withSender(message))
}

// sendAfterSync sends a message once all writes of this Ready are synced.
func (n *Node) sendAfterSync(message Message) {
	n.ready.MessagesAfterSync = append(n.ready.MessagesAfterSync, n.withSender(message))
}

// withSender returns the message with this node's group, ID and, unless it is set already, term.
func (n *Node) withSender(message Message) Message {
	message.Group, message.From = n.group, n.id
	if message.Term == 0 {
		message.Term = n.hardState.Term
	}
	return message
}
