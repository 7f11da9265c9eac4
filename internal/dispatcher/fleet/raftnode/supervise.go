package raftnode

import (
	"context"
	"time"

	"basaltloft/internal/dispatcher/fleet/state"
)

// superviseReplica does the node's own work while raft runs: it tracks the leadership,
// reports the node's start, asks for its vote, and compares digests. It returns when the
// context ends, or returns true when the state must be discarded.
func (node *Node) superviseReplica(ctx context.Context, n *replica, dir *dataDir) (discard bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	digests := make(chan state.DigestsBody, 1)
	peerDigests, digestFailed := make(chan struct{}, 1), make(chan struct{}, 1)
	node.fsm.mu.Lock()
	node.fsm.onDigests = func(index uint64, byPartition map[string]uint64, err error) {
		if err != nil { // the state is certainly invalid: no comparison is needed
			node.log.Error("state digest failed", "error", err)
			select {
			case digestFailed <- struct{}{}:
			default:
			}
			return
		}
		select {
		case digests <- state.DigestsBody{Replica: node.settings.Name, Index: index, Partitions: byPartition}:
		default: // the previous digests have not been reported yet
		}
	}
	node.fsm.onPeerDigests = func() {
		select {
		case peerDigests <- struct{}{}:
		default:
		}
	}
	node.fsm.mu.Unlock()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	bootReported, lastDigest := false, time.Now()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
			node.updateLeadership(n)
			node.advanceTime(&lastDigest)
			if !bootReported {
				bootReported = node.submit(ctx, state.ReportBoot, state.BootBody{Process: node.settings.Name, Count: dir.identity.Starts}) == nil
			}
			node.requestPromotion(ctx, n)
		case s := <-digests:
			if err := node.submit(ctx, state.ReportDigests, s); err != nil {
				node.log.Debug("reporting digests failed", "error", err)
			}
		case <-peerDigests:
			if node.checkDivergence(n) {
				return true
			}
		case <-digestFailed:
			node.stopServing(n, []string{"unsound"})
			return true
		}
	}
}
