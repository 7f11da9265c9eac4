package group

import (
	"maps"
	"slices"
	"time"

	"basaltloft/coord/replica"
)

// A snapshot goes to a member in parts, of which a few are on their way at once. The member
// answers each with how many bytes it has, so that a lost part is sent again and a transfer
// goes on where it stood, however long it takes. The log after the snapshot's index stays in
// memory meanwhile, so that compaction does not overtake a transfer.

// DefaultSnapshotChunkBytes is how much of a snapshot goes in one message where Settings say nothing else.
const DefaultSnapshotChunkBytes = 96 << 10

const (
	partsAhead    = 4
	partLateAfter = 600 * time.Millisecond
	// transferEnds: a member that has answered nothing for so long is given up, and begins
	// anew when it answers heartbeats again.
	transferEnds = 10 * time.Second
	// installedWithin: a member that has the whole snapshot may take so long to write it
	// before another one is sent.
	installedWithin = 5 * time.Second
	// mostSnapshot bounds what a member takes in.
	mostSnapshot = 256 << 20
)

// outgoing is a snapshot on its way to a member.
type outgoing struct {
	snapshot   replica.Snapshot
	term       uint64 // of the lead that sends it
	sent       int    // bytes
	answered   int    // most bytes that the member has told of
	last       int    // bytes that it told of last: fewer, where it has begun anew
	answeredAt time.Duration
	sentAt     time.Duration
}

func (o *outgoing) whole() bool { return o.answered >= len(o.snapshot.Data) }

// incoming is a snapshot that is arriving.
type incoming struct {
	from        string
	term        uint64
	index       uint64
	snapshotsOf uint64         // its term
	data        []byte         // without a gap
	later       map[int][]byte // parts behind a gap, by their place
}

// take adds a part.
func (in *incoming) take(offset int, part []byte) {
	if offset > len(in.data) && len(in.later) < partsAhead {
		in.later[offset] = part
	}
	for offset == len(in.data) && len(part) > 0 {
		in.data = append(in.data, part...)
		offset, part = len(in.data), in.later[len(in.data)]
		delete(in.later, offset)
	}
}

// beginTransfer begins to send the newest state to a member, unless a transfer is under way.
// One that was installed is not: more was compacted since.
func (e *Engine) beginTransfer(now time.Duration, message replica.Message) {
	running := e.outgoing[message.To]
	if running != nil && running.term == e.machine.Term() && !running.over(now) && e.machine.Match(message.To) < running.snapshot.Index {
		return
	}
	snapshot, err := e.wholeSnapshot()
	if err != nil {
		return
	}
	e.outgoing[message.To] = &outgoing{snapshot: snapshot, term: e.machine.Term(), answeredAt: now}
	e.sendParts(now, message.To)
}

// over tells whether a transfer is of no use any more.
func (o *outgoing) over(now time.Duration) bool {
	if o.whole() {
		return now > o.answeredAt+installedWithin
	}
	return now > o.answeredAt+transferEnds
}

// sendParts sends what is due of a transfer.
func (e *Engine) sendParts(now time.Duration, to string) {
	o := e.outgoing[to]
	whole := len(o.snapshot.Data)
	for first := o.sent == 0; first || o.sent < min(whole, o.answered+partsAhead*e.settings.SnapshotChunkBytes); first = false {
		end := min(whole, o.sent+e.settings.SnapshotChunkBytes)
		part := o.snapshot
		part.Data = o.snapshot.Data[o.sent:end]
		e.send(now, replica.Message{Kind: replica.SnapshotChunk, Group: e.settings.Name, From: e.settings.Self.ID, To: to, Term: o.term,
			Snapshot: &part, Offset: o.sent, Total: whole, Addresses: e.machine.Membership().AllMembers()})
		o.sent, o.sentAt = end, now
	}
}

// tickTransfers sends late parts again and ends transfers that are over.
func (e *Engine) tickTransfers(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(e.outgoing)) {
		o := e.outgoing[id]
		if _, member := e.machine.Membership().Find(id); !member || o.over(now) || e.machine.Role() != replica.Leader {
			delete(e.outgoing, id)
			continue
		}
		if !o.whole() && now > o.sentAt+partLateAfter {
			o.answered = o.last
			o.sent = o.answered
			e.sendParts(now, id)
		}
	}
}

// partAnswered goes on with a transfer.
func (e *Engine) partAnswered(now time.Duration, message replica.Message) {
	o := e.outgoing[message.From]
	if o == nil || message.Term != o.term || message.Index != o.snapshot.Index {
		return
	}
	o.answeredAt, o.last = now, message.Offset
	progress := message.Offset > o.answered
	o.answered = max(o.answered, message.Offset)
	o.sent = max(o.sent, o.answered)
	if progress && !o.whole() {
		e.sendParts(now, message.From)
	}
}

// transferring returns the lowest index of the snapshots that are on their way; 0: none is.
func (e *Engine) transferring() uint64 {
	lowest := uint64(0)
	for _, o := range e.outgoing {
		if lowest == 0 || o.snapshot.Index < lowest {
			lowest = o.snapshot.Index
		}
	}
	return lowest
}

// takePart takes a part of a snapshot in. The whole goes to the machine as one message.
func (e *Engine) takePart(now time.Duration, message replica.Message) {
	part := message.Snapshot
	if message.Term < e.machine.Term() || part == nil || message.Total > mostSnapshot {
		return
	}
	if !e.incoming.continues(message) {
		e.incoming = &incoming{from: message.From, term: message.Term, index: part.Index, snapshotsOf: part.Term, later: map[int][]byte{}}
	}
	in := e.incoming
	in.take(message.Offset, part.Data)
	e.send(now, replica.Message{Kind: replica.SnapshotChunkResponse, Group: e.settings.Name, From: e.settings.Self.ID, To: message.From,
		Term: message.Term, Index: part.Index, Offset: len(in.data)})
	if len(in.data) < message.Total || part.Index <= e.machine.Commit() {
		return
	}
	whole := *part
	whole.Data = in.data
	e.incoming = nil
	message.Kind, message.Snapshot, message.Offset, message.Total = replica.InstallSnapshot, &whole, 0, 0
	message.SentAt = 0 // it renews no lease: its first part may be old
	e.machine.Step(now, message)
}

// continues tells whether a part belongs to what is arriving.
func (in *incoming) continues(message replica.Message) bool {
	return in != nil && in.from == message.From && in.term == message.Term && in.index == message.Snapshot.Index && in.snapshotsOf == message.Snapshot.Term
}
