package controlplane

import (
	"maps"
	"net/http"
	"slices"

	"basaltloft/coord/replica"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/protocol"
)

// HandleOneWay implements rpc.Handler.
func (n *Node) HandleOneWay(body any) {
	switch message := body.(type) {
	case replica.Message:
		n.receive(message)
	case protocol.JoinRequest:
		n.handleJoin(message)
	case protocol.LeaveNotice:
		n.handleLeave(message)
	case protocol.RunnerList:
		n.runnerListReader.update(message)
	}
}

// HandleCall implements rpc.Handler.
func (n *Node) HandleCall(body any) any {
	if !n.replicasRunning.Load() {
		// Senders of other requests treat a response of this unexpected type as a failed call.
		return protocol.JobResponse{Status: protocol.StatusNotLeader}
	}
	switch request := body.(type) {
	case protocol.SubmitRequest:
		return n.callShard(request.Shard, func(shard *leader.Shard, reply replyFunc) { shard.Submit(request, reply) })
	case protocol.JobRequest:
		return n.callShard(request.Shard, func(shard *leader.Shard, reply replyFunc) { shard.HandleJobRequest(request, reply) })
	case protocol.WatchRequest:
		return n.configAPI.watch(request)
	case protocol.OperatorRequest:
		return n.configAPI.handle(request)
	case protocol.StatusRequest:
		return n.status()
	}
	return protocol.JobResponse{Status: http.StatusBadRequest, Reason: "this message is not known here: run the same version everywhere"}
}

// callShard passes a request to a shard and waits for its response. For a shard that does not exist, it
// returns StatusNotLeader.
func (n *Node) callShard(number int, request func(shard *leader.Shard, reply replyFunc)) protocol.JobResponse {
	if number < 0 || number >= len(n.shards) {
		return protocol.JobResponse{Status: protocol.StatusNotLeader}
	}
	return n.shards[number].call(request)
}

// status returns the state of this node's replicas, sorted by group name.
func (n *Node) status() protocol.StatusResponse {
	response := protocol.StatusResponse{Node: n.settings.NodeName, Member: n.self}
	if config := n.config.Current(); config != nil {
		response.Version = config.Version
	}
	for _, name := range slices.Sorted(maps.Keys(n.groups)) {
		g := n.groups[name]
		response.Groups = append(response.Groups, protocol.GroupStatus{Name: name, Leader: g.Leader().Address, Status: g.Status()})
	}
	return response
}
