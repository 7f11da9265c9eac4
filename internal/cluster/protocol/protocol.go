// Package protocol has the messages between the processes of the system, and the map from
// services to shards. They travel by package rpc, encoded by encoding/gob.
package protocol

import (
	"hash/fnv"
	"strconv"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
)

// ConfigGroup is the group that holds the configuration.
const ConfigGroup = "config"

// ShardCount is how many shards the jobs are spread over, by a hash of their service's name.
const ShardCount = 4

// ShardGroup returns the group of a shard.
func ShardGroup(shard int) string { return "jobs-" + strconv.Itoa(shard) }

// ShardOf returns the shard of a service.
func ShardOf(service string) int {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(service))
	sum := hash.Sum64()
	return int((sum ^ sum>>32) % ShardCount)
}

// Status is how a request of a client fared, in the numbers of HTTP.
type Status int

// SubmitRequest hands a job in.
type SubmitRequest struct {
	Shard   int
	Queue   string
	ID      string
	Body    []byte
	Version int64 // of the configuration that Route is of
	Route   opconfig.Route
}

// JobOperation says what a client asks of a job.
type JobOperation uint8

// Verbs.
const (
	GetJobState JobOperation = iota + 1
	CancelJob
	CountPending
	// CheckFormerShard asks the owner of a shard that had the queue before whether it holds the
	// ID, after it has sealed the queue: from then on it takes nothing more of it.
	CheckFormerShard
)

// JobRequest asks for a job's state or its cancelling, or for a queue's count.
type JobRequest struct {
	Verb    JobOperation
	Shard   int
	Queue   string
	ID      string
	Version int64  // of the asking dispatcher's configuration
	Since   int64  // CheckEarlier: the version that moved the queue
	Hash    uint64 // CheckEarlier: of the job's body
}

// JobResponse is the owner's answer to a Submit or an Ask.
type JobResponse struct {
	Status       Status // 0: this process does not own the shard, and nothing was done
	State        job.State
	Pending      int
	RetryAfterMs int64
	Owner        string // where Status is 0: who may own it
	Reason       string
	Unknown      bool // it may have been done: ask again under the same ID
	Never        bool // the job was not taken and never will be, by whatever try
	// Moved is the version of a configuration, newer than the asking one's, that sends the
	// queue elsewhere; nothing was done here. 0: none does.
	Moved int64
}

// WatchRequest asks for the configuration from a version on, and renews the asking dispatcher's lease.
type WatchRequest struct {
	Node   string
	Have   int64
	WaitMs int64
}

// WatchResponse is what the owner of the configuration answers.
type WatchResponse struct {
	Leads   bool // the answering process owned the configuration when it answered
	Leader  string
	Version int64
	Content []byte                             // empty where Have is the newest
	Moved   map[string]opconfig.ServiceHistory // queues that were sent to more than one service
	Cores   []string
	Owners  []string // by shard; empty: not known
	HeldMs  int64    // how long the question had been held here when Version was read
}

// OperatorRequest passes an operator's call on to the owner of the configuration.
type OperatorRequest struct {
	Replace bool // else: read
	Base    int64
	Content []byte
}

// OperatorResponse is the owner's answer.
type OperatorResponse struct {
	Status  Status // 0: this process does not own the configuration
	Leader  string
	Content []byte
	Reason  string
}

// LeaveNotice tells that a member ends for now.
type LeaveNotice struct {
	Group string
	ID    string
}

// JoinRequest asks for a place in a group.
type JoinRequest struct {
	Group   string
	Member  replica.Member
	Relayed bool
}

// RunnerList is the platform's list as its reader got it.
type RunnerList struct {
	Epoch    uint64 // of the reader
	Sequence uint64
	List     []Runner
}

// Runner is an entry of the platform's list.
type Runner struct {
	ID          string
	Service     string
	Address     string
	Labels      []string
	Capacity    job.Resources
	Draining    bool
	RemainingMs int64
}

// StatusRequest asks a core process what it holds.
type StatusRequest struct{}

// StatusResponse is what a core process holds.
type StatusResponse struct {
	Node    string
	Member  replica.Member
	Version int64 // of the configuration that this process has applied
	Groups  []GroupStatus
}

// GroupStatus is one group as a replica of it sees it.
type GroupStatus struct {
	Name   string
	Leader string // address; empty: not known
	group.Status
}

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
