package processes

import (
	"context"
	"fmt"
	"time"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/protocol"
)

// statusTimeout bounds one question for a node's status.
const statusTimeout = time.Second

// Statuses asks the control-plane nodes at the internal addresses what they hold. One that does not answer
// holds nothing.
func Statuses(addresses []string) []protocol.StatusResponse {
	var answers []protocol.StatusResponse
	for _, address := range addresses {
		client := rpc.NewClient(address)
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		got, _ := client.Call(ctx, protocol.StatusRequest{})
		cancel()
		client.Close()
		answer, _ := got.(protocol.StatusResponse)
		answers = append(answers, answer)
	}
	return answers
}

// HighestApplied returns, by group, the highest index that a control-plane node has applied.
func HighestApplied(answers []protocol.StatusResponse) map[string]uint64 {
	most := map[string]uint64{}
	for _, asked := range answers {
		for _, shown := range asked.Groups {
			most[shown.Name] = max(most[shown.Name], shown.Applied)
		}
	}
	return most
}

// FindFault returns what shows that not all nodes vote with the same state; empty: nothing. Each group is to
// have so many voters, and the wanted index applied at each control-plane node.
func FindFault(answers []protocol.StatusResponse, wanted map[string]uint64, voters int) string {
	type point struct {
		group   string
		applied uint64
	}
	digests := map[point]uint64{}
	for _, asked := range answers {
		if len(asked.Groups) != protocol.ShardCount+1 {
			return fmt.Sprintf("a control-plane node shows %d groups: %+v", len(asked.Groups), asked)
		}
		for _, shown := range asked.Groups {
			if fault := findGroupFault(shown, asked.Member.ID, voters); fault != "" {
				return fmt.Sprintf("%s as %s sees it %s", shown.Name, asked.Node, fault)
			}
			if shown.Applied < wanted[shown.Name] {
				return fmt.Sprintf("%s has applied %d of %d entries at %s", shown.Name, shown.Applied, wanted[shown.Name], asked.Node)
			}
			at := point{group: shown.Name, applied: shown.Applied}
			if digest, known := digests[at]; known && digest != shown.Digest {
				return fmt.Sprintf("%s has another state at %s than elsewhere, at entry %d", shown.Name, asked.Node, shown.Applied)
			}
			digests[at] = shown.Digest
		}
	}
	return ""
}

// findGroupFault tells what is wrong with a group as one of its members shows it.
func findGroupFault(shown protocol.GroupStatus, member string, voters int) string {
	switch {
	case shown.Halted != "":
		return "has halted: " + shown.Halted
	case shown.Leader == "":
		return "has no leader"
	case len(shown.Members.Voters) != voters || shown.Members.IsJoint():
		return fmt.Sprintf("has the voters %v, before a change %v", shown.Members.Voters, shown.Members.Outgoing)
	case !shown.Members.IsVoter(member):
		return "does not let it vote"
	}
	return ""
}
