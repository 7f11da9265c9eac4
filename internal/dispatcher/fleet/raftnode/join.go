package raftnode

import (
	"context"
	"time"

	"basaltloft/internal/dispatcher/fleet/codec"
	"basaltloft/internal/dispatcher/fleet/rpc"
)

// joinRetryInterval is the time between two attempts to join with an empty data directory.
//
// A node with an empty data directory has lost its votes and the log entries that it
// acknowledged. If it voted again under its name, an entry that a majority had might be
// lost. So raft is not started on it until the others have removed it from the configuration
// and added it again without a vote. It gets its vote back once it has all that was
// committed by then. A new fleet is bootstrapped only if every other node answers that it
// has no state either.
const joinRetryInterval = 200 * time.Millisecond

// joinWithEmptyDir waits until the other nodes have added this one, or until it is known that
// no node has state, so that the fleet must be bootstrapped. It returns true in the second
// case only.
func (node *Node) joinWithEmptyDir(ctx context.Context) (bootstrap bool, err error) {
	node.mu.Lock()
	node.empty = true
	node.mu.Unlock()
	self, err := codec.Encode(node.settings.Name)
	if err != nil {
		return false, err
	}
	for waited := false; ctx.Err() == nil; waited = true {
		withoutState, readmitted := 0, false
		for _, a := range node.queryPeers(ctx) {
			if !a.Bootstrapped {
				withoutState++
				continue
			}
			var ok bool
			if _, err := node.peers.Post(ctx, a.Name, rpc.PathRejoin, self, &ok); err == nil && ok {
				readmitted = true
				break
			}
		}
		if readmitted {
			node.log.Info("added to the raft group with an empty data directory")
			return false, nil
		}
		if withoutState == len(node.settings.Peers)-1 {
			node.log.Info("no raft node has state; bootstrapping the fleet")
			return true, nil
		}
		if !waited {
			node.log.Info("waiting for the other raft nodes, to be added or to bootstrap the fleet")
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
	return false, nil
}

// queryPeers queries the status of the other nodes concurrently. Nodes that don't answer are
// left out.
func (node *Node) queryPeers(ctx context.Context) (all []rpc.NodeStatus) {
	answers := make(chan *rpc.NodeStatus)
	others := 0
	for _, name := range sortedKeys(node.settings.Peers) {
		if name == node.settings.Name {
			continue
		}
		others++
		go func() {
			var a rpc.NodeStatus
			if _, err := node.peers.Post(ctx, name, rpc.PathStatus, nil, &a); err != nil {
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

// isStaleCopy reports whether another node has recorded more starts of this node than its
// data directory has. A stale directory has lost votes and entries, like an empty one.
func (node *Node) isStaleCopy(ctx context.Context, dir *dataDir) bool {
	for _, a := range node.queryPeers(ctx) {
		if a.BootCounts[node.settings.Name] > dir.identity.Starts {
			return true
		}
	}
	return false
}
