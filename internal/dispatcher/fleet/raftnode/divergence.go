package raftnode

import (
	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/hashicorp/raft"
)

// checkDivergence reports whether this replica's state differs from the majority's. If so,
// the replica serves nothing from then on.
func (node *Node) checkDivergence(n *replica) bool {
	voters := 0
	if f := n.raft.GetConfiguration(); f.Error() == nil {
		for _, s := range f.Configuration().Servers {
			if s.Suffrage == raft.Voter {
				voters++
			}
		}
	}
	var divergent []string
	node.fsm.read(func(m *state.Machine) { divergent = m.DivergentPartitions(node.settings.Name, voters) })
	if len(divergent) == 0 {
		return false
	}
	node.stopServing(n, divergent)
	return true
}

// stopServing stops this replica from serving anything until its state has been restored
// from the other nodes.
func (node *Node) stopServing(n *replica, partitions []string) {
	node.mu.Lock()
	node.divergent = partitions
	node.mu.Unlock()
	node.log.Error("replica diverges from the majority; it serves nothing until its state is restored", "partitions", partitions)
	if n.raft.State() == raft.Leader {
		if err := n.raft.LeadershipTransfer().Error(); err != nil {
			node.log.Debug("leadership transfer failed", "error", err)
		}
	}
}
