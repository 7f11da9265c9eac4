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

// leadership is the clock of a leader, which continues the fleet time.
type leadership struct {
	startTime   time.Duration // fleet time when the leadership began
	since       time.Time     // the same moment by the monotonic clock
	lastCommand atomic.Int64  // fleet time of the last proposed command
}

// now returns the fleet time: that of the last command when this node became the leader,
// plus what has passed since by the monotonic clock. No fleet time passes between two
// leaders, so that it never runs ahead of real time.
func (l *leadership) now() time.Duration { return l.startTime + time.Since(l.since) }

// updateLeadership records that this node has become the leader or has lost the leadership.
func (k *Node) updateLeadership(ctx context.Context, n *replica) {
	leads := n.raft.State() == raft.Leader
	k.mu.Lock()
	was := k.leadership
	if !leads {
		k.leadership = nil
	}
	k.mu.Unlock()
	if !leads || was != nil {
		return
	}
	if err := n.raft.Barrier(0).Error(); err != nil { // all that was committed is applied here
		return
	}
	l := &leadership{since: time.Now()}
	k.fsm.read(func(m *state.Machine) { l.startTime = m.At() })
	k.mu.Lock()
	k.leadership = l
	k.mu.Unlock()
	k.log.WithField("at", l.startTime.String()).Info("became leader of the fleet")
}

// advanceTime advances the fleet time while there are no commands, and requests digests
// when they are due.
func (k *Node) advanceTime(summed *time.Time) {
	k.mu.Lock()
	l := k.leadership
	k.mu.Unlock()
	if l == nil {
		return
	}
	c := state.Command{Kind: state.Tick}
	if time.Since(*summed) >= k.settings.DigestInterval {
		*summed, c.Body = time.Now(), digestRequest
	} else if l.now()-time.Duration(l.lastCommand.Load()) < tickInterval {
		return
	}
	if _, err := k.propose(c); err != nil {
		k.log.WithError(err).Debug("tick failed")
	}
}

// propose appends a command to the log and waits for its reply. After an error the command
// may have been carried out, or may be yet.
func (k *Node) propose(c state.Command) (state.Reply, error) {
	k.mu.Lock()
	n, l := k.replica, k.leadership
	if n == nil || l == nil || len(k.divergent) > 0 {
		k.mu.Unlock()
		return state.Reply{}, raft.ErrNotLeader
	}
	n.calls.Add(1)
	k.mu.Unlock()
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

// submit has a command of the raft nodes themselves carried out by the leader.
func (k *Node) submit(ctx context.Context, kind state.Kind, body any) error {
	text, err := codec.Encode(body)
	if err != nil {
		return err
	}
	c := state.Command{Version: state.Version, Kind: kind, Body: text}
	if r, err := k.propose(c); err == nil || !errors.Is(err, raft.ErrNotLeader) {
		return errors.Join(err, r.Err())
	}
	if len(k.settings.Peers) == 1 {
		return raft.ErrNotLeader
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(k.settings.ElectionTimeout))
	defer cancel()
	_, err = k.peers.Do(ctx, c)
	return err
}

// TransferLeadership hands the leadership to another node, if this one has it, so that a
// planned shutdown costs no election.
func (k *Node) TransferLeadership() {
	k.mu.Lock()
	n, leads := k.replica, k.leadership != nil
	k.mu.Unlock()
	if n == nil || !leads {
		return
	}
	if err := n.raft.LeadershipTransfer().Error(); err != nil {
		k.log.WithError(err).Info("leadership transfer failed")
	}
}

// IsLeader reports whether this node is the leader.
func (k *Node) IsLeader() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leadership != nil
}
