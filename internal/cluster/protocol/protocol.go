// Package protocol defines the messages between the processes of the cluster scheduler, and the mapping from
// services to shards. Messages are sent by package rpc, which encodes them with encoding/gob: the encoding
// contains the names of fields and the registered names of types. During a rolling upgrade, processes of
// different builds run at the same time. Therefore a field may be added, but none may be renamed or change
// its meaning. Some field names are older than the terms of the code that uses them; their comments say what
// they hold.
package protocol

import (
	"basaltloft/coord/replica"
	"basaltloft/coord/rpc"
)

// Prefixes of the names under which message types are registered: the import paths that the types had in the
// first build. The registered names are part of the protocol between builds, and stay when a type is renamed.
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
