package raftnode

import (
	"basaltloft/internal/dispatcher/fleet/state"

	"github.com/hashicorp/raft"
)

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
