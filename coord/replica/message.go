package replica

import "time"

// MessageKind is the kind of a message. The numbers are sent: new kinds go to the end.
type MessageKind uint8

// Kinds of messages.
const (
	// PreVoteRequest asks whether the receiver would vote for the sender in Term, the sender's next
	// one (dissertation 9.6).
	PreVoteRequest MessageKind = iota
	// PreVoteResponse grants a pre-vote for Term, or with Reject tells a candidate of a newer Term.
	PreVoteResponse
	// VoteRequest asks for a vote in Term.
	VoteRequest
	// VoteResponse grants a vote; a vote that is withheld is not answered.
	VoteResponse
	// AppendRequest carries entries of the leader, or none as a heartbeat.
	AppendRequest
	// AppendResponse acknowledges entries or an installed snapshot, or with Reject tells that the log
	// differs at the entry before them.
	AppendResponse
	// InstallSnapshot carries a whole snapshot. A Node emits it with an empty snapshot, by which it asks
	// the driver to send the newest one.
	InstallSnapshot
	// TimeoutNow transfers the leadership: the receiver begins an election at once (dissertation 3.10).
	TimeoutNow
	// ColdStartRequest asks a voter whether it has had contact to a leader since its start.
	ColdStartRequest
	// ColdStartResponse tells that the sender has had none; one that has does not answer.
	ColdStartResponse
	// SnapshotChunk carries a part of a snapshot. Drivers exchange chunks; a Node never sees them.
	SnapshotChunk
	// SnapshotChunkResponse tells how much of a snapshot has arrived.
	SnapshotChunkResponse
)

// Message is sent from one replica of a group to another. It is sent by encoding/gob, so that its
// field names stay. Fields that a kind does not use are zero.
type Message struct {
	Kind     MessageKind
	Group    string // name of the group; a process has replicas of several groups
	From, To string // IDs of members
	Term     uint64 // the sender's term; of pre-votes the term that is asked for or granted

	// Index is, by kind: of an AppendRequest the index before Entries; of the requests for votes and a
	// ColdStartResponse the sender's last index; of an AppendResponse the highest index that matches
	// the leader's log and is on disk, or with Reject the highest that may match; of a
	// SnapshotChunkResponse the snapshot's index.
	Index   uint64
	LogTerm uint64 // term of the entry at Index
	Commit  uint64 // the leader's commit index
	Entries []Entry
	Reject  bool

	// SentAt is the leader's clock when it sent an AppendRequest. The response returns it: the lease
	// counts from the sending, which is before the follower's contact.
	SentAt time.Duration

	Handover bool   // VoteRequest: the leader gave its lease up for this election
	Fresh    bool   // VoteRequest: all voters have restarted, so that no lease is left
	Round    uint64 // of the cold start check
	Life     uint64 // incarnation: ColdStartResponse: the sender's; VoteRequest with Fresh: the receiver's

	Snapshot *Snapshot
	Offset   int // SnapshotChunk: offset of Snapshot.Data in bytes; its response: bytes that have arrived without a gap
	Total    int // SnapshotChunk: size of the whole in bytes

	// Addresses are the group's members, for a receiver that may not know them yet: it would find no
	// address for its response.
	Addresses []Member
}

// Ready is what a Node asks of its driver; see the package comment for the order.
type Ready struct {
	// HardState is to be written; nil: it is unchanged.
	HardState *HardState
	// Entries are to be written. The first one's index cuts off what the log on disk has there and
	// after.
	Entries []Entry
	// Snapshot replaces the application's state and the whole log; nil: there is none.
	Snapshot *Snapshot
	// Messages may be sent at once.
	Messages []Message
	// MessagesAfterSync may be sent once everything above is synced.
	MessagesAfterSync []Message
	// CommittedEntries are to be applied, in order. They may not be on this replica's disk yet: a
	// majority has them.
	CommittedEntries []Entry
}

// Empty reports whether nothing is asked for.
func (r *Ready) Empty() bool {
	return r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil && len(r.Messages) == 0 && len(r.MessagesAfterSync) == 0 && len(r.CommittedEntries) == 0
}

// Ready returns what the inputs since the last call ask for, and counts its committed entries as
// applied.
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

// setHardState changes the term and vote and asks for their write. Messages that rest on them must be sent
// by sendAfterSync.
func (n *Node) setHardState(term uint64, vote string) {
	n.hardState = HardState{Term: term, Vote: vote}
	state := n.hardState
	n.ready.HardState = &state
}

// send sends a message that promises nothing that is not on disk yet.
func (n *Node) send(message Message) {
	n.ready.Messages = append(n.ready.Messages, n.withSender(message))
}

// sendAfterSync sends a message once all that this Ready asks to write is synced.
func (n *Node) sendAfterSync(message Message) {
	n.ready.MessagesAfterSync = append(n.ready.MessagesAfterSync, n.withSender(message))
}

// withSender fills in what all messages of this node have in common.
func (n *Node) withSender(message Message) Message {
	message.Group, message.From = n.group, n.id
	if message.Term == 0 {
		message.Term = n.hardState.Term
	}
	return message
}
