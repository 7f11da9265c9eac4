package raftnode

import (
	"context"
	"time"

	"basaltloft/internal/dispatcher/fleet/state"
)

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
