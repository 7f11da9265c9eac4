package group

import (
	"maps"
	"slices"
	"time"

	"basaltloft/coord/replica"
)

// A snapshot goes to a member in chunks, a few of them in flight at a time. The member responds to
// each with how many bytes it has without a gap: a lost chunk is sent again, and a transfer continues
// where it was, however long it takes. The log after the snapshot's index stays in memory
// meanwhile, so that compaction does not overtake the transfer.

const (
	// maxChunksInFlight bounds the chunks that are sent and not acknowledged, and those that a
	// receiver holds behind a gap.
	maxChunksInFlight = 4
	// chunkResendTimeout is the wait for a response before chunks are sent again.
	chunkResendTimeout = 600 * time.Millisecond
	// transferTimeout is how long a member may respond to nothing before its transfer is given up. A
	// new one begins when the member responds to heartbeats again.
	transferTimeout = 10 * time.Second
	// installTimeout is how long a member that has the whole snapshot may take to write it before
	// another one is sent.
	installTimeout = 5 * time.Second
	// maxSnapshotBytes bounds what a member receives into memory.
	maxSnapshotBytes = 256 << 20
)

// snapshotSender is the transfer of a snapshot to one member.
type snapshotSender struct {
	snapshot     replica.Snapshot
	term         uint64        // of the leadership that sends it
	sent         int           // bytes
	acked        int           // most bytes that the member has acknowledged
	lastAcked    int           // bytes that it acknowledged last: fewer than acked after its restart
	lastResponse time.Duration // or the beginning of the transfer
	lastSend     time.Duration
}

// complete reports whether the member has the whole snapshot; it may not be on its disk yet.
func (s *snapshotSender) complete() bool { return s.acked >= len(s.snapshot.Data) }

// expired reports whether the transfer is given up.
func (s *snapshotSender) expired(now time.Duration) bool {
	if s.complete() {
		return now > s.lastResponse+installTimeout
	}
	return now > s.lastResponse+transferTimeout
}

// beginSnapshotTransfer begins to send the newest state to a member, unless a transfer is under way.
// One whose snapshot the member has installed is not: the log was compacted further since.
func (e *Engine) beginSnapshotTransfer(now time.Duration, message replica.Message) {
	running := e.senders[message.To]
	if running != nil && running.term == e.node.Term() && !running.expired(now) && e.node.Match(message.To) < running.snapshot.Index {
		return
	}
	snapshot, err := e.takeSnapshot()
	if err != nil {
		return
	}
	e.senders[message.To] = &snapshotSender{snapshot: snapshot, term: e.node.Term(), lastResponse: now}
	e.sendChunks(now, message.To)
}

// sendChunks sends the chunks that may be in flight. The first one goes also where the state is
// empty: the member responds to it.
func (e *Engine) sendChunks(now time.Duration, to string) {
	sender := e.senders[to]
	end := min(len(sender.snapshot.Data), sender.acked+maxChunksInFlight*e.settings.SnapshotChunkBytes)
	for isFirst := sender.sent == 0; isFirst || sender.sent < end; isFirst = false {
		e.sendChunk(now, to, sender)
	}
}

// sendChunk sends the chunk after those that were sent.
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

// tickSnapshotSenders sends chunks again that got no response, and ends transfers that expired.
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
}

// handleSnapshotChunkResponse continues a transfer.
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

// lowestSentSnapshotIndex returns the lowest index of the snapshots that are being sent; 0: none is.
func (e *Engine) lowestSentSnapshotIndex() uint64 {
	lowest := uint64(0)
	for _, sender := range e.senders {
		if lowest == 0 || sender.snapshot.Index < lowest {
			lowest = sender.snapshot.Index
		}
	}
	return lowest
}

// snapshotReceiver is a snapshot that is arriving.
type snapshotReceiver struct {
	from  string // ID of the leader that sends it
	term  uint64 // of that leader
	index uint64 // the snapshot's
	// snapshotTerm is the term of the entry at index.
	snapshotTerm uint64
	data         []byte         // without a gap
	early        map[int][]byte // chunks behind a gap, by offset; at most maxChunksInFlight
}

// matches reports whether a chunk belongs to this snapshot.
func (r *snapshotReceiver) matches(message replica.Message) bool {
	return r != nil && r.from == message.From && r.term == message.Term && r.index == message.Snapshot.Index && r.snapshotTerm == message.Snapshot.Term
}

// add appends a chunk and those that follow it without a gap; one behind a gap is kept for later.
func (r *snapshotReceiver) add(offset int, chunk []byte) {
	if offset > len(r.data) && len(r.early) < maxChunksInFlight {
		r.early[offset] = chunk
	}
	for offset == len(r.data) && len(chunk) > 0 {
		r.data = append(r.data, chunk...)
		offset, chunk = len(r.data), r.early[len(r.data)]
		delete(r.early, offset)
	}
}

// handleSnapshotChunk handles a chunk at its receiver. The complete snapshot goes to the node as one
// message.
func (e *Engine) handleSnapshotChunk(now time.Duration, message replica.Message) {
	chunk := message.Snapshot
	if message.Term < e.node.Term() || chunk == nil || message.Total > maxSnapshotBytes {
		return
	}
	if !e.receiver.matches(message) {
		e.receiver = &snapshotReceiver{from: message.From, term: message.Term, index: chunk.Index, snapshotTerm: chunk.Term, early: map[int][]byte{}}
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

// installMessage returns the message that installs a complete snapshot, from its last chunk.
func installMessage(lastChunk replica.Message, data []byte) replica.Message {
	complete := *lastChunk.Snapshot
	complete.Data = data
	install := lastChunk
	install.Kind = replica.InstallSnapshot
	install.Snapshot = &complete
	install.Offset = 0
	install.Total = 0
	install.SentAt = 0 // it renews no lease: its first chunk may be old
	return install
}
