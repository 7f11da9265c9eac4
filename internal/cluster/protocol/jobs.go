package protocol

import (
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
)

// Status is the result of a request: an HTTP status code, or StatusNotLeader.
type Status int

// StatusNotLeader means that the responding process does not lead the group and has done nothing, so that the
// request may be sent to another process. It is the zero value, so that a response without a status means the
// same.
const StatusNotLeader Status = 0

// SubmitRequest submits a job to the leader of a shard. The response is a JobResponse.
type SubmitRequest struct {
	Shard   int
	Queue   string // opconfig.Route.Queue
	ID      string // chosen by the client; a retry of the request has the same ID
	Body    []byte // as the client sent it
	Version int64  // version of the configuration that contains Route
	Route   opconfig.Route
}

// JobOperation is the operation that a JobRequest requests.
type JobOperation uint8

// Operations of a JobRequest.
const (
	GetJobState  JobOperation = iota + 1
	CancelJob                 // cancels also an unknown job: a submission that arrives later is rejected
	CountPending              // counts the queue's jobs that are accepted and not started
	// CheckFormerShard asks the leader of a shard to which the queue was routed before whether it has a job
	// with the ID. The leader first seals the queue: from then on it accepts no job for the queue under an
	// older configuration.
	CheckFormerShard
)

// JobRequest requests an operation on a job or a queue from the leader of a shard. The response is a
// JobResponse.
type JobRequest struct {
	Verb    JobOperation
	Shard   int
	Queue   string
	ID      string // ID of the job; empty for CountPending
	Version int64  // version of the sender's configuration
	Since   int64  // CheckFormerShard: configuration version that moved the queue
	Hash    uint64 // CheckFormerShard: hash of the job's body
}

// JobResponse is the response to a SubmitRequest or a JobRequest.
type JobResponse struct {
	Status       Status
	State        job.State
	Pending      int    // CountPending: number of jobs
	RetryAfterMs int64  // with Status 503: time until a retry; 0: not specified
	Owner        string // with StatusNotLeader: address of the shard's leader; empty: not known
	Reason       string
	Unknown      bool // the outcome is not known: the sender should retry the same request
	Never        bool // the job was not accepted and never will be, even if the submission is retried
	// Moved is the version of a configuration, newer than the sender's, that routes the queue to another
	// shard; the request was not carried out. 0: there is none.
	Moved int64
}
