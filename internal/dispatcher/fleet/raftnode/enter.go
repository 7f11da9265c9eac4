package raftnode

import (
	"context"
	"errors"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/rpc"
	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/hashicorp/raft"
)

// joinRetryInterval is the time between two attempts to join with an empty data directory.
//
// A node with an empty data directory has forgotten its votes and the log entries that it
// acknowledged. If it voted again under its name, an entry that a majority had might be
// lost. So it takes no part until the others have removed it from the configuration and
// added it again without a vote, and it votes again once it has all that was committed by
// then. Only if every other node says that it has no state either is a new fleet
// bootstrapped.
const joinRetryInterval = 200 * time.Millisecond

// joinWithEmptyDir returns once the other nodes have added this one, or returns true once
// it is known that the fleet is to be bootstrapped.
func (k *Node) joinWithEmptyDir(ctx context.Context, own *dataDir) (found bool, err error) {
	k.mu.Lock()
	k.empty = true
	k.mu.Unlock()
	self, err := codec.Encode(k.settings.Name)
	if err != nil {
		return false, err
	}
	for waited := false; ctx.Err() == nil; waited = true {
		nothing, taken := 0, false
		for _, a := range k.queryPeers(ctx) {
			if !a.Bootstrapped {
				nothing++
				continue
			}
			var ok bool
			if _, err := k.peers.Post(ctx, a.Name, rpc.PathRejoin, self, &ok); err == nil && ok {
				taken = true
				break
			}
		}
		if taken {
			k.log.Info("added to the raft group with an empty data directory")
			return false, nil
		}
		if nothing == len(k.settings.Peers)-1 {
			k.log.Info("no raft node has state; bootstrapping the fleet")
			return true, nil
		}
		if !waited {
			k.log.Info("waiting for the other raft nodes, to be added or to bootstrap the fleet")
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
	return false, nil
}

// queryPeers asks the other nodes for their status, concurrently. Nodes that don't answer
// are left out.
func (k *Node) queryPeers(ctx context.Context) (all []rpc.NodeStatus) {
	answers := make(chan *rpc.NodeStatus)
	others := 0
	for _, name := range sortedKeys(k.settings.Peers) {
		if name == k.settings.Name {
			continue
		}
		others++
		go func() {
			var a rpc.NodeStatus
			if _, err := k.peers.Post(ctx, name, rpc.PathStatus, nil, &a); err != nil {
				answers <- nil
				return
			}
			a.Name = name
			answers <- &a
		}()
	}
	for range others {
		if a := <-answers; a != nil {
			all = append(all, *a)
		}
	}
	return all
}

// isStaleCopy reports whether another node knows of a later start of this one than its data
// directory does. A stale directory has lost votes and entries, like an empty one.
func (k *Node) isStaleCopy(ctx context.Context, own *dataDir) bool {
	for _, a := range k.queryPeers(ctx) {
		if a.BootCounts[k.settings.Name] > own.identity.Starts {
			return true
		}
	}
	return false
}

// superviseReplica does the node's own work while raft runs: it follows the leadership,
// reports the node's start, asks for its vote, and compares digests. It returns when the
// context ends, or returns true when the state must be discarded.
func (k *Node) superviseReplica(ctx context.Context, n *replica, own *dataDir) (anew bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sums := make(chan state.DigestsBody, 1)
	told, broken := make(chan struct{}, 1), make(chan struct{}, 1)
	k.fsm.mu.Lock()
	k.fsm.onDigests = func(index uint64, parts map[string]uint64, err error) {
		if err != nil { // it is wrong for sure: nobody needs to be asked
			k.log.WithError(err).Error("state digest failed")
			select {
			case broken <- struct{}{}:
			default:
			}
			return
		}
		select {
		case sums <- state.DigestsBody{Replica: k.settings.Name, Index: index, Parts: parts}:
		default: // the last ones are still on their way
		}
	}
	k.fsm.onPeerDigests = func() {
		select {
		case told <- struct{}{}:
		default:
		}
	}
	k.fsm.mu.Unlock()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	booted, summed := false, time.Now()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
			k.updateLeadership(ctx, n)
			k.advanceTime(&summed)
			if !booted {
				booted = k.submit(ctx, state.ReportBoot, state.BootBody{Process: k.settings.Name, Count: own.identity.Starts}) == nil
			}
			k.requestPromotion(ctx, n)
		case s := <-sums:
			if err := k.submit(ctx, state.ReportDigests, s); err != nil {
				k.log.WithError(err).Debug("reporting digests failed")
			}
		case <-told:
			if k.checkDivergence(n) {
				return true
			}
		case <-broken:
			k.stopServing(n, []string{"unsound"})
			return true
		}
	}
}

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

// requestPromotion asks the leader for this node's vote once it has caught up. It also asks
// when there has been no leader for long: a delayed copy of its own rejoin call, or a
// leader that failed half-way, may have removed it from the configuration, and a removed
// node hears nothing.
func (k *Node) requestPromotion(ctx context.Context, n *replica) {
	f := n.raft.GetConfiguration()
	if f.Error() != nil || n.raft.State() == raft.Leader || len(k.settings.Peers) == 1 {
		return
	}
	votes := false
	for _, s := range f.Configuration().Servers {
		votes = votes || string(s.ID) == k.settings.Name && s.Suffrage == raft.Voter
	}
	if votes && time.Since(n.raft.LastContact()) < leaderlessElections*k.settings.ElectionTimeout {
		return
	}
	self, err := codec.Encode(membershipRequest{k.settings.Name, n.raft.AppliedIndex()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(k.settings.ElectionTimeout))
	defer cancel()
	var ok bool
	if err := k.peers.PostToLeader(ctx, rpc.PathPromote, self, &ok); err == nil && ok && !votes {
		k.log.Info("got its vote back")
	}
}

// leaderlessElections is the number of election timeouts without a leader after which a
// node asks whether it was removed.
const leaderlessElections = 4

// membershipRequest is the body of a rejoin or promotion call.
type membershipRequest struct {
	Name  string
	Index uint64 // the node's applied index
}

// checkDivergence reports whether this replica's state differs from the majority's. If so
// it serves nothing from then on.
func (k *Node) checkDivergence(n *replica) bool {
	voters := 0
	if f := n.raft.GetConfiguration(); f.Error() == nil {
		for _, s := range f.Configuration().Servers {
			if s.Suffrage == raft.Voter {
				voters++
			}
		}
	}
	var differs []string
	k.fsm.read(func(m *state.Machine) { differs = m.DivergentPartitions(k.settings.Name, voters) })
	if len(differs) == 0 {
		return false
	}
	k.stopServing(n, differs)
	return true
}

// stopServing keeps this replica from serving anything until its state has been restored
// from the others.
func (k *Node) stopServing(n *replica, differs []string) {
	k.mu.Lock()
	k.divergent = differs
	k.mu.Unlock()
	k.log.WithField("partitions", differs).Error("replica diverges from the majority; it serves nothing until its state is restored")
	if n.raft.State() == raft.Leader {
		if err := n.raft.LeadershipTransfer().Error(); err != nil {
			k.log.WithError(err).Debug("leadership transfer failed")
		}
	}
}
