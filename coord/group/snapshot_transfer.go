package group

import (
	"maps"
	"slices"
	"time"

	"basaltloft/coord/replica"
)

// A snapshot is sent to a member in chunks, of which a few are in flight at a time. The member responds
// to each chunk with the number of contiguous bytes that it has received. Lost chunks are sent again, and
// a transfer may take any time as long as the member responds. The log after the snapshot's index stays
// in memory during the transfer, so that the member can continue from there even if the log is compacted
// meanwhile.

const (
	// maxChunksInFlight limits the chunks that are sent and not acknowledged, and the out-of-order
	// chunks that a receiver buffers.
	maxChunksInFlight = 4
	// chunkResendTimeout is how long a sender waits for a response before it sends chunks again.
	chunkResendTimeout = 600 * time.Millisecond
	// transferTimeout is how long a member may be unresponsive before its transfer is aborted. A new
	// transfer starts when the member responds to heartbeats again.
	transferTimeout = 10 * time.Second
	// installTimeout is how long a member that has received the whole snapshot may take to write it
	// before another one is sent.
	installTimeout = 5 * time.Second
	// maxSnapshotBytes limits the size of a snapshot that a member receives, since it is held in memory.
	maxSnapshotBytes = 256 << 20
)

// snapshotSender is the transfer of a snapshot to one member.
type snapshotSender struct {
	snapshot     replica.Snapshot
	term         uint64        // of the sending leader
	sent         int           // bytes sent
	acked        int           // the most bytes that the member has acknowledged
	lastAcked    int           // bytes in its latest response; fewer than acked if it has restarted
	lastResponse time.Duration // time of its latest response, or of the start of the transfer
	lastSend     time.Duration
}

// complete reports whether the member has received the whole snapshot. The member may not have written
// it to disk yet.
func (s *snapshotSender) complete() bool { return s.acked >= len(s.snapshot.Data) }

// expired reports whether the transfer has timed out.
func (s *snapshotSender) expired(now time.Duration) bool {
	if s.complete() {
		return now > s.lastResponse+installTimeout
	}
	return now > s.lastResponse+transferTimeout
}

// beginSnapshotTransfer starts to send the current state to a member, unless a transfer to it is in
// progress. A transfer whose snapshot the member has installed already does not count: the log was
// compacted further since then, so the member needs a newer snapshot.
func (e *Engine) beginSnapshotTransfer(now time.Duration, message replica.Message) {
	running := e.senders[message.To]
	if running != nil && running.term == e.node.Term() && !running.expired(now) && e.node.Match(message.To) < running.snapshot.Index {
		return
	}
	snapshot, err := e.snapshotToSend()
	if err != nil {
		return
	}
	e.senders[message.To] = &snapshotSender{snapshot: snapshot, term: e.node.Term(), lastResponse: now}
	e.sendChunks(now, message.To)
}

// snapshotToSend returns a snapshot of the applied state. It returns the same bytes as long as the state is
// that of the same index: two encodings of one state may differ, and a receiver that kept the first chunks of
// an aborted transfer continues with those of the next one.
func (e *Engine) snapshotToSend() (replica.Snapshot, error) {
	if e.sent != nil && e.sent.Index == e.node.Applied() {
		return *e.sent, nil
	}
	snapshot, err := e.takeSnapshot()
	if err != nil {
		return replica.Snapshot{}, err
	}
	e.sent = &snapshot
	return snapshot, nil
}

// releaseSentSnapshot frees the last snapshot that was sent, once no transfer needs it and it will not be sent
// again.
func (e *Engine) releaseSentSnapshot() {
	if e.sent != nil && len(e.senders) == 0 && (e.sent.Index != e.node.Applied() || e.node.Role() != replica.Leader) {
		e.sent = nil
	}
}

// sendChunks sends further chunks up to the limit of maxChunksInFlight. It sends a first chunk even if
// the state is empty, so that the member responds.
func (e *Engine) sendChunks(now time.Duration, to string) {
	sender := e.senders[to]
	end := min(len(sender.snapshot.Data), sender.acked+maxChunksInFlight*e.settings.SnapshotChunkBytes)
	for isFirst := sender.sent == 0; isFirst || sender.sent < end; isFirst = false {
		e.sendChunk(now, to, sender)
	}
}

// sendChunk sends the next chunk.
func (e *Engine) sendChunk(now time.Duration, to string, sender *snapshotSender) {
	total := len(sender.snapshot.Data)
	end := min(total, sender.sent+e.settings.SnapshotChunkBytes)
	chunk := sender.snapshot
	chunk.Data = sender.snapshot.Data[sender.sent:end]
	e.enqueue(replica.Message{
		Kind:      replica.SnapshotChunk,
		Group:     e.settings.Name,
		From:      e.settings.Self.ID,
		To:        to,
		Term:      sender.term,
		Snapshot:  &chunk,
		Offset:    sender.sent,
		Total:     total,
		Addresses: e.node.Membership().AllMembers(),
	})
	sender.sent = end
	sender.lastSend = now
}

// tickSnapshotSenders resends chunks without a response. It drops transfers that have timed out or whose
// receiver is no longer a member, and all transfers once this replica is not the leader.
func (e *Engine) tickSnapshotSenders(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(e.senders)) {
		sender := e.senders[id]
		if _, isMember := e.node.Membership().Find(id); !isMember || sender.expired(now) || e.node.Role() != replica.Leader {
			delete(e.senders, id)
			continue
		}
		if !sender.complete() && now > sender.lastSend+chunkResendTimeout {
			sender.acked = sender.lastAcked
			sender.sent = sender.acked
			e.sendChunks(now, id)
		}
	}
	e.releaseSentSnapshot()
}

// handleSnapshotChunkResponse records how much a member has received, and sends further chunks.
func (e *Engine) handleSnapshotChunkResponse(now time.Duration, response replica.Message) {
	sender := e.senders[response.From]
	if sender == nil || response.Term != sender.term || response.Index != sender.snapshot.Index {
		return
	}
	sender.lastResponse = now
	sender.lastAcked = response.Offset
	advanced := response.Offset > sender.acked
	sender.acked = max(sender.acked, response.Offset)
	sender.sent = max(sender.sent, sender.acked)
	if advanced && !sender.complete() {
		e.sendChunks(now, response.From)
	}
}

// lowestSentSnapshotIndex returns the lowest index of the snapshots that are being sent, or 0 if there
// are none.
func (e *Engine) lowestSentSnapshotIndex() uint64 {
	lowest := uint64(0)
	for _, sender := range e.senders {
		if lowest == 0 || sender.snapshot.Index < lowest {
			lowest = sender.snapshot.Index
		}
	}
	return lowest
}

// snapshotReceiver is a snapshot that is being received.
type snapshotReceiver struct {
	from  string // ID of the sending leader
	term  uint64 // of that leader
	index uint64 // of the snapshot
	// snapshotTerm is the term of the entry at index.
	snapshotTerm uint64
	total        int            // size of the snapshot
	data         []byte         // the contiguous bytes received so far
	outOfOrder   map[int][]byte // chunks after a gap, by offset; at most maxChunksInFlight
}

// matches reports whether a chunk belongs to this snapshot. A leader of an older build may send another
// encoding of the same state, which is told only by its size.
func (r *snapshotReceiver) matches(message replica.Message) bool {
	return r != nil && r.from == message.From && r.term == message.Term && r.total == message.Total &&
		r.index == message.Snapshot.Index && r.snapshotTerm == message.Snapshot.Term
}

// add appends a chunk, and the out-of-order chunks that now follow without a gap. A chunk after a gap is
// buffered.
func (r *snapshotReceiver) add(offset int, chunk []byte) {
	if offset > len(r.data) && len(r.outOfOrder) < maxChunksInFlight {
		r.outOfOrder[offset] = chunk
	}
	for offset == len(r.data) && len(chunk) > 0 {
		r.data = append(r.data, chunk...)
		offset, chunk = len(r.data), r.outOfOrder[len(r.data)]
		delete(r.outOfOrder, offset)
	}
}

// handleSnapshotChunk stores a received chunk and responds to it. It passes the complete snapshot to the
// node as one InstallSnapshot message.
func (e *Engine) handleSnapshotChunk(now time.Duration, message replica.Message) {
	chunk := message.Snapshot
	if message.Term < e.node.Term() || chunk == nil || message.Total > maxSnapshotBytes {
		return
	}
	if !e.receiver.matches(message) {
		e.receiver = &snapshotReceiver{from: message.From, term: message.Term, index: chunk.Index, snapshotTerm: chunk.Term, total: message.Total, outOfOrder: map[int][]byte{}}
	}
	receiver := e.receiver
	receiver.add(message.Offset, chunk.Data)
	e.enqueue(replica.Message{
		Kind:   replica.SnapshotChunkResponse,
		Group:  e.settings.Name,
		From:   e.settings.Self.ID,
		To:     message.From,
		Term:   message.Term,
		Index:  chunk.Index,
		Offset: len(receiver.data),
	})
	if len(receiver.data) < message.Total || chunk.Index <= e.node.Commit() {
		return
	}
	e.receiver = nil
	e.node.Step(now, installMessage(message, receiver.data))
}

// installMessage returns the InstallSnapshot message for a complete snapshot, built from the message of
// its last chunk.
func installMessage(lastChunk replica.Message, data []byte) replica.Message {
	complete := *lastChunk.Snapshot
	complete.Data = data
	install := lastChunk
	install.Kind = replica.InstallSnapshot
	install.Snapshot = &complete
	install.Offset = 0
	install.Total = 0
	install.SentAt = 0 // it must not renew the lease, since its first chunk may be old
	return install
}
