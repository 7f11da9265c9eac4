package processes

import (
	"context"
	"fmt"
	"time"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/protocol"
)

// statusTimeout bounds one request for a node's status.
const statusTimeout = time.Second

// Statuses returns the status of each of the control-plane nodes at the internal addresses, in their order.
// It is the zero value for a node that does not respond.
func Statuses(addresses []string) []protocol.StatusResponse {
	var statuses []protocol.StatusResponse
	for _, address := range addresses {
		client := rpc.NewClient(address)
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		got, _ := client.Call(ctx, protocol.StatusRequest{})
		cancel()
		client.Close()
		status, _ := got.(protocol.StatusResponse)
		statuses = append(statuses, status)
	}
	return statuses
}

// HighestApplied returns, by group, the highest index that any of the control-plane nodes has applied.
func HighestApplied(statuses []protocol.StatusResponse) map[string]uint64 {
	highest := map[string]uint64{}
	for _, status := range statuses {
		for _, group := range status.Groups {
			highest[group.Name] = max(highest[group.Name], group.Applied)
		}
	}
	return highest
}

// FindFault checks the statuses of the control-plane nodes and returns the first fault; empty: there is none.
// Each group must have a leader and the given number of voters, each node must be a voter of each group and
// have applied the wanted index of it, and nodes that have applied the same index must have the same state.
func FindFault(statuses []protocol.StatusResponse, wanted map[string]uint64, voters int) string {
	type point struct {
		group   string
		applied uint64
	}
	digests := map[point]uint64{}
	for _, node := range statuses {
		if len(node.Groups) != protocol.ShardCount+1 {
			return fmt.Sprintf("a control-plane node reports %d groups: %+v", len(node.Groups), node)
		}
		for _, status := range node.Groups {
			if fault := findGroupFault(status, node.Member.ID, voters); fault != "" {
				return fmt.Sprintf("%s, as reported by %s, %s", status.Name, node.Node, fault)
			}
			if status.Applied < wanted[status.Name] {
				return fmt.Sprintf("%s has applied %d of %d entries at %s", status.Name, status.Applied, wanted[status.Name], node.Node)
			}
			at := point{group: status.Name, applied: status.Applied}
			if digest, known := digests[at]; known && digest != status.Digest {
				return fmt.Sprintf("%s has a different state at %s than at another node, at entry %d", status.Name, node.Node, status.Applied)
			}
			digests[at] = status.Digest
		}
	}
	return ""
}

// findGroupFault returns what is wrong with a group, from the status that member reports; empty: nothing.
func findGroupFault(status protocol.GroupStatus, member string, voters int) string {
	switch {
	case status.Halted != "":
		return "has halted: " + status.Halted
	case status.Leader == "":
		return "has no leader"
	case len(status.Members.Voters) != voters || status.Members.IsJoint():
		return fmt.Sprintf("has the voters %v, outgoing %v", status.Members.Voters, status.Members.Outgoing)
	case !status.Members.IsVoter(member):
		return "doesn't have that node as a voter"
	}
	return ""
}
