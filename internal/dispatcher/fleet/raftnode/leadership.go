package raftnode

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/hashicorp/raft"
)

// leadership is the clock by which a leader continues the fleet time.
type leadership struct {
	startTime   time.Duration // fleet time when the leadership began
	since       time.Time     // the same moment by the monotonic clock
	lastCommand atomic.Int64  // fleet time of the last proposed command
}

// now returns the fleet time: that of the last command when this node became the leader,
// plus the time since then by the monotonic clock. Fleet time stands still between two
// leaders, so that it never runs ahead of real time.
func (l *leadership) now() time.Duration { return l.startTime + time.Since(l.since) }

// updateLeadership records that this node has become the leader or has lost the leadership.
func (node *Node) updateLeadership(n *replica) {
	leads := n.raft.State() == raft.Leader
	node.mu.Lock()
	was := node.leadership
	if !leads {
		node.leadership = nil
	}
	node.mu.Unlock()
	if !leads || was != nil {
		return
	}
	if err := n.raft.Barrier(0).Error(); err != nil { // waits until all committed entries are applied here
		return
	}
	l := &leadership{since: time.Now()}
	node.fsm.read(func(m *state.Machine) { l.startTime = m.At() })
	node.mu.Lock()
	node.leadership = l
	node.mu.Unlock()
	node.log.Info("became leader of the fleet", "at", l.startTime.String())
}

// advanceTime advances the fleet time while there are no commands, and requests digests
// when they are due.
func (node *Node) advanceTime(lastDigest *time.Time) {
	node.mu.Lock()
	l := node.leadership
	node.mu.Unlock()
	if l == nil {
		return
	}
	c := state.Command{Kind: state.Tick}
	if time.Since(*lastDigest) >= node.settings.DigestInterval {
		*lastDigest, c.Body = time.Now(), digestRequest
	} else if l.now()-time.Duration(l.lastCommand.Load()) < tickInterval {
		return
	}
	if _, err := node.propose(c); err != nil {
		node.log.Debug("tick failed", "error", err)
	}
}

// propose appends a command to the log and waits for its reply. After an error the command
// may have been carried out, or may still be.
func (node *Node) propose(c state.Command) (state.Reply, error) {
	node.mu.Lock()
	n, l := node.replica, node.leadership
	if n == nil || l == nil || len(node.divergent) > 0 {
		node.mu.Unlock()
		return state.Reply{}, raft.ErrNotLeader
	}
	n.calls.Add(1)
	node.mu.Unlock()
	defer n.calls.Done()
	c.Version, c.At = state.Version, l.now()
	text, err := codec.Encode(c)
	if err != nil {
		return state.Reply{}, err
	}
	l.lastCommand.Store(int64(c.At))
	f := n.raft.Apply(text, 0)
	if err := f.Error(); err != nil {
		return state.Reply{}, err
	}
	return f.Response().(state.Reply), nil
}

// submit sends a command that the raft nodes themselves issue to the leader, which may be
// this node.
func (node *Node) submit(ctx context.Context, kind state.Kind, body any) error {
	text, err := codec.Encode(body)
	if err != nil {
		return err
	}
	c := state.Command{Version: state.Version, Kind: kind, Body: text}
	if r, err := node.propose(c); err == nil || !errors.Is(err, raft.ErrNotLeader) {
		return errors.Join(err, r.Err())
	}
	if len(node.settings.Peers) == 1 {
		return raft.ErrNotLeader
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(node.settings.ElectionTimeout))
	defer cancel()
	_, err = node.peers.Do(ctx, c)
	return err
}

// TransferLeadership transfers the leadership to another node, if this one has it, so that at
// a planned shutdown the other nodes need not wait for an election timeout.
func (node *Node) TransferLeadership() {
	node.mu.Lock()
	n, leads := node.replica, node.leadership != nil
	node.mu.Unlock()
	if n == nil || !leads {
		return
	}
	if err := n.raft.LeadershipTransfer().Error(); err != nil {
		node.log.Info("leadership transfer failed", "error", err)
	}
}

// IsLeader reports whether this node is the leader.
func (node *Node) IsLeader() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.leadership != nil
}
