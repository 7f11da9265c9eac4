// Package protocol has the messages between the processes of the cluster scheduler, and the map
// from services to shards. Messages travel by package rpc, which encodes them by encoding/gob: the
// names of fields and the registered names of types are sent. Processes of different builds run
// beside each other during a rolling upgrade: a field may be added, none may be renamed or change its
// meaning. Some fields have older names than the code that uses them; their comments say what they
// hold.
package protocol

import (
	"basaltloft/coord/replica"
	"basaltloft/coord/rpc"
)

// Names under which messages travel: the import paths that the types had in the first build.
// They are part of the protocol between builds and don't follow the types' own names.
const (
	replicaNames  = "basaltloft/coord/replica."
	protocolNames = "basaltloft/internal/protocol."
)

func init() {
	rpc.RegisterName(replicaNames+"Message", replica.Message{})
	rpc.RegisterName(protocolNames+"Submit", SubmitRequest{})
	rpc.RegisterName(protocolNames+"Ask", JobRequest{})
	rpc.RegisterName(protocolNames+"Answer", JobResponse{})
	rpc.RegisterName(protocolNames+"Feed", WatchRequest{})
	rpc.RegisterName(protocolNames+"FeedAnswer", WatchResponse{})
	rpc.RegisterName(protocolNames+"Operate", OperatorRequest{})
	rpc.RegisterName(protocolNames+"OperateAnswer", OperatorResponse{})
	rpc.RegisterName(protocolNames+"Leave", LeaveNotice{})
	rpc.RegisterName(protocolNames+"Join", JoinRequest{})
	rpc.RegisterName(protocolNames+"Runners", RunnerList{})
	rpc.RegisterName(protocolNames+"AskStatus", StatusRequest{})
	rpc.RegisterName(protocolNames+"StatusAnswer", StatusResponse{})
}
