package leader

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/protocol"
)

// retryAfterMs is the Retry-After time for a client whose command was rejected because too many commands
// were waiting.
const retryAfterMs = 500

// Responses that are the same for all requests.
var (
	acceptedResponse       = protocol.JobResponse{Status: http.StatusOK}
	unknownJobResponse     = protocol.JobResponse{Status: http.StatusGone, Reason: "there is no such job"}
	unknownQueueResponse   = protocol.JobResponse{Status: http.StatusNotFound, Reason: "there is no such queue any more"}
	idConflictResponse     = protocol.JobResponse{Status: http.StatusConflict, Reason: "another job has this ID: choose a new one"}
	cancelledEarlyResponse = protocol.JobResponse{Status: http.StatusServiceUnavailable, Never: true, Reason: "the job was cancelled before it was handed in: it never runs"}
	outcomeUnknownResponse = protocol.JobResponse{Status: http.StatusBadGateway, Unknown: true, Reason: "whether it was done is not known: send the same again"}
)

// queueMovedResponse returns the response that a configuration of that version, or a newer one, assigns
// the queue to another shard.
func queueMovedResponse(version int64) protocol.JobResponse {
	return protocol.JobResponse{Status: http.StatusServiceUnavailable, Moved: version, Reason: "a newer configuration sends the queue elsewhere"}
}

// overloadedResponse returns the refusal of a job that would take too long. The job is not accepted, and does
// not run unless the client sends it again.
func overloadedResponse(retryAfter time.Duration) protocol.JobResponse {
	return protocol.JobResponse{Status: http.StatusServiceUnavailable, RetryAfterMs: retryAfter.Milliseconds(), Reason: "the queue is overloaded: come again later"}
}

// notLeaderResponse returns the response of a process that is not the leader. It has the leader's address,
// if that is known here.
func (s *Shard) notLeaderResponse() protocol.JobResponse {
	return protocol.JobResponse{Status: protocol.StatusNotLeader, Owner: s.group.Leader().Address}
}

// ifLeader returns a response that was read from the state if this process still holds the leader's lease,
// and notLeaderResponse otherwise.
func (s *Shard) ifLeader(response protocol.JobResponse) protocol.JobResponse {
	if !s.group.IsLeader() {
		return s.notLeaderResponse()
	}
	return response
}

// notCommittedResponse returns the response for a command that is not known to be committed.
func (s *Shard) notCommittedResponse(err error) protocol.JobResponse {
	switch {
	case errors.Is(err, group.ErrNotLeader):
		return s.notLeaderResponse()
	case errors.Is(err, group.ErrBusy):
		return protocol.JobResponse{Status: http.StatusServiceUnavailable, RetryAfterMs: retryAfterMs, Reason: err.Error()}
	}
	return outcomeUnknownResponse
}

// resubmittedResponse returns the response to a submission whose ID is known: see job.Job.Resubmitted.
func resubmittedResponse(outcome job.Outcome) protocol.JobResponse {
	switch outcome {
	case job.AlreadyApplied:
		return acceptedResponse
	case job.CancelledBeforeAcceptance:
		return cancelledEarlyResponse
	}
	return idConflictResponse
}
