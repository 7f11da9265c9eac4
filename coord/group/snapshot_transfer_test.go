package group

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica"
)

// alternatingEncodings is a state machine whose state has two encodings of equal size, which it returns by
// turns.
type alternatingEncodings struct {
	lastCommand
	encodings [2][]byte
	taken     int
}

func (m *alternatingEncodings) Snapshot() ([]byte, error) {
	m.taken++
	return m.encodings[m.taken%2], nil
}

// newInterruptedTransfer returns a pair in which the leader's state has two encodings, and part of the first
// one has reached the receiver, which is then silent until the leader has given the transfer up.
func newInterruptedTransfer(t *testing.T) (*pair, *alternatingEncodings) {
	const size, received = 30_000, 9_000
	p := newPair(t, nil)
	states := &alternatingEncodings{encodings: [2][]byte{bytes.Repeat([]byte("ab"), size/2), bytes.Repeat([]byte("ba"), size/2)}}
	p.engines["a"].stateMachine = states
	for p.engines["b"].Status(p.now).Receiving < received {
		p.run(5 * time.Millisecond)
	}
	p.drops = func(replica.Message) bool { return true }
	p.run(transferTimeout + time.Second)
	p.drops = func(replica.Message) bool { return false }
	return p, states
}

// TestInterruptedTransferJoinsNoTwoEncodings guards against accepted jobs that are lost: a receiver joined the
// first part of one encoding of the state to the rest of another (review/4).
func TestInterruptedTransferJoinsNoTwoEncodings(t *testing.T) {
	p, states := newInterruptedTransfer(t)
	p.run(15 * time.Second)
	installed := p.stateMachines["b"].content
	require.Len(t, installed, len(states.encodings[0]))
	require.True(t, bytes.Equal(installed, states.encodings[0]) || bytes.Equal(installed, states.encodings[1]), "parts of both encodings")
}

// TestSentSnapshotIsFreed checks that the bytes of a snapshot don't stay in memory once the state has changed.
func TestSentSnapshotIsFreed(t *testing.T) {
	p, _ := newInterruptedTransfer(t)
	require.NotNil(t, p.engines["a"].sent)
	p.run(15 * time.Second)
	p.engines["a"].Propose(p.now, []byte("next"), func(any, error) {})
	p.run(transferTimeout)
	require.Empty(t, p.engines["a"].senders)
	require.Nil(t, p.engines["a"].sent)
}

// TestTransferOfAnotherSizeStartsOver checks that a receiver keeps nothing of a transfer when a leader of an
// older build sends an encoding of another size.
func TestTransferOfAnotherSizeStartsOver(t *testing.T) {
	p := newPair(t, nil)
	receiver := p.engines["b"]
	chunk := func(offset, total int, content string) {
		snapshot := replica.Snapshot{Index: 5, Term: 1, Data: []byte(content)}
		receiver.Receive(p.now, replica.Message{Kind: replica.SnapshotChunk, Group: "g", From: "a", To: "b", Term: 1, Snapshot: &snapshot, Offset: offset, Total: total})
	}
	chunk(0, 9, "abc")
	require.Equal(t, 3, receiver.Status(p.now).Receiving)
	chunk(3, 8, "def")
	require.Zero(t, receiver.Status(p.now).Receiving)
}
