package rpc

import (
	"context"
	"fmt"
	"sync"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/state"
)

// Session is one incarnation of a process at the raft nodes. It is safe for concurrent use.
type Session struct {
	*Client
	Process     string
	Incarnation uint64

	mu      sync.Mutex
	lastSeq uint64
	pending map[uint64]bool // commands without a reply, by sequence number
	acked   uint64          // no command up to this sequence number is pending
}

// Join requests an incarnation for one start of a process, which the nonce identifies.
func (c *Client) Join(ctx context.Context, process, nonce, version string) (*Session, state.JoinReply, error) {
	var j state.JoinReply
	body, err := codec.Encode(state.JoinBody{Process: process, Nonce: nonce, Version: version})
	if err != nil {
		return nil, j, err
	}
	r, err := c.Do(ctx, state.Command{Kind: state.Join, Body: body})
	if err == nil {
		err = codec.Decode(r.Body, &j)
	}
	if err != nil {
		return nil, j, fmt.Errorf("joining the fleet as %s: %w", process, err)
	}
	return &Session{Client: c, Process: process, Incarnation: j.Incarnation, pending: make(map[uint64]bool)}, j, nil
}

// Execute executes a command exactly once, however often it is retried, and decodes the reply's
// body into a value unless that is nil. After an error that wraps ErrUnavailable the command may
// have been carried out.
func (s *Session) Execute(ctx context.Context, kind state.Kind, body, into any) error {
	text, err := codec.Encode(body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.lastSeq++
	seq, acked := s.lastSeq, s.acked
	s.pending[seq] = true
	s.mu.Unlock()
	r, err := s.Do(ctx, state.Command{Process: s.Process, Incarnation: s.Incarnation, Seq: seq, Acked: acked, Kind: kind, Body: text})
	// A command without a reply counts as acknowledged, too: from the next command on a late copy
	// of it is refused, and the state need not keep all later replies because of it.
	s.mu.Lock()
	delete(s.pending, seq)
	for s.acked < s.lastSeq && !s.pending[s.acked+1] {
		s.acked++
	}
	s.mu.Unlock()
	if err != nil || into == nil {
		return err
	}
	return codec.Decode(r.Body, into)
}

// Renew renews the lease, and sends messages to partitions.
func (s *Session) Renew(ctx context.Context, messages map[string][]byte) (state.RenewReply, error) {
	var reply state.RenewReply
	body, err := codec.Encode(state.RenewBody{Partitions: messages})
	if err != nil {
		return reply, err
	}
	r, err := s.Do(ctx, state.Command{Process: s.Process, Incarnation: s.Incarnation, Kind: state.Renew, Body: body})
	if err != nil {
		return reply, err
	}
	return reply, codec.Decode(r.Body, &reply)
}
