package protocol

import (
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
)

// Status is the result of a request: a status code of HTTP, or StatusNotLeader.
type Status int

// StatusNotLeader says that the process that answers does not lead the group, and did nothing: the
// request may be sent to another one. It is the zero value, so that a response without a status says
// the same.
const StatusNotLeader Status = 0

// SubmitRequest submits a job to the leader of a shard. The answer is a JobResponse.
type SubmitRequest struct {
	Shard   int
	Queue   string // opconfig.Route.Queue
	ID      string // chosen by the client; the same request may be sent again under it
	Body    []byte // as the client sent it
	Version int64  // of the configuration that Route is of
	Route   opconfig.Route
}

// JobOperation says what a JobRequest wants.
type JobOperation uint8

// Operations of a JobRequest.
const (
	GetJobState  JobOperation = iota + 1
	CancelJob                 // also one that is not known yet: a late submission is then rejected
	CountPending              // jobs of the queue that were accepted and not started
	// CheckFormerShard asks the leader of a shard that had the queue before whether it has the ID.
	// It first seals the queue there: from then on nothing is accepted under older configurations.
	CheckFormerShard
)

// JobRequest asks the leader of a shard about a job or a queue. The answer is a JobResponse.
type JobRequest struct {
	Verb    JobOperation
	Shard   int
	Queue   string
	ID      string // unless CountPending
	Version int64  // of the configuration that the sender has
	Since   int64  // CheckFormerShard: the version that moved the queue
	Hash    uint64 // CheckFormerShard: of the job's body
}

// JobResponse is the answer to a SubmitRequest or a JobRequest.
type JobResponse struct {
	Status       Status
	State        job.State
	Pending      int    // CountPending: jobs
	RetryAfterMs int64  // where Status is 503: when to send it again; 0: not said
	Owner        string // with StatusNotLeader: address of the shard's leader; empty: not known
	Reason       string
	Unknown      bool // whether it was done is not known: send the same request again
	Never        bool // the job was not accepted and never will be, however often it is sent
	// Moved is the version of a configuration, newer than the sender's, that sends the queue to
	// another shard; nothing was done here. 0: none does.
	Moved int64
}
