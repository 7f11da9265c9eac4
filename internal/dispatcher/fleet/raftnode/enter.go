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

// A keeper with an empty folder has forgotten what it voted for and what it took
// into its log. Were it to vote again under its name, an entry that a majority had
// might be lost. So it takes no part until those that do have put it out of the
// configuration, and taken it in as one that does not vote yet; it may vote again
// once it has all that was committed by then. Only where every other keeper says
// that it has nothing either is a fleet founded.
const joinRetryInterval = 200 * time.Millisecond

// joinWithEmptyDir tells whether the fleet is to be founded, once that is known, or returns
// when the others have taken this keeper in.
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
			k.log.Info("taken in by the fleet with an empty folder")
			return false, nil
		}
		if nothing == len(k.settings.Peers)-1 {
			k.log.Info("no keeper has a state: the fleet is founded")
			return true, nil
		}
		if !waited {
			k.log.Info("waiting for the other keepers, to be taken in or to found the fleet")
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
	return false, nil
}

// queryPeers asks the other keepers what they have, side by side; those that do not
// answer are left out.
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

// isStaleCopy tells whether another keeper knows of a later start of this one than
// its folder does. Such a folder has forgotten, like an empty one.
func (k *Node) isStaleCopy(ctx context.Context, own *dataDir) bool {
	for _, a := range k.queryPeers(ctx) {
		if a.BootCounts[k.settings.Name] > own.identity.Starts {
			return true
		}
	}
	return false
}

// superviseReplica does what a keeper does while raft runs: it leads when elected, tells the
// others of its start, asks for its vote, and compares digests. It returns when the
// context ends, or with true when the state must be taken anew.
func (k *Node) superviseReplica(ctx context.Context, n *replica, own *dataDir) (anew bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sums := make(chan state.DigestsBody, 1)
	told, broken := make(chan struct{}, 1), make(chan struct{}, 1)
	k.fsm.mu.Lock()
	k.fsm.onDigests = func(index uint64, parts map[string]uint64, err error) {
		if err != nil { // it is wrong for sure: nobody needs to be asked
			k.log.WithError(err).Error("the state can't be summed up")
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
				k.log.WithError(err).Debug("digests could not be told")
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

// updateLeadership notes that this keeper has begun to lead, or leads no more.
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
	k.log.WithField("at", l.startTime.String()).Info("leads the fleet")
}

// advanceTime lets fleet time go on while nobody asks, and has digests taken when due.
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
		k.log.WithError(err).Debug("a tick was lost")
	}
}

// submit has one of the keepers' own commands carried out by whoever leads.
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

// requestPromotion asks the leader to let this keeper vote again, once it has caught up. It
// also asks when no leader has turned to it for long: a late copy of its own call to
// be taken in, or a leader that failed half-way, may have put it out of the
// configuration, and who is out hears of nothing.
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
		k.log.Info("votes again")
	}
}

// leaderlessElections elections without a leader: then a keeper asks whether it was put out.
const leaderlessElections = 4

type membershipRequest struct {
	Name  string
	Index uint64
}

// checkDivergence tells whether this replica's state is not the others'. It serves nothing
// from then on.
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

// stopServing keeps this replica from serving anything until it has taken the state anew.
func (k *Node) stopServing(n *replica, differs []string) {
	k.mu.Lock()
	k.divergent = differs
	k.mu.Unlock()
	k.log.WithField("parts", differs).Error("this replica's state is not the others': it serves nothing and takes the state anew")
	if n.raft.State() == raft.Leader {
		if err := n.raft.LeadershipTransfer().Error(); err != nil {
			k.log.WithError(err).Debug("the lead could not be handed over")
		}
	}
}
