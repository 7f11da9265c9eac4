package leader

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/group"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/protocol"
)

// retryAfterMs is when a client whose command found the queue full may send it again.
const retryAfterMs = 500

// Responses that need no further facts.
var (
	accepted       = protocol.JobResponse{Status: http.StatusOK}
	unknownJob     = protocol.JobResponse{Status: http.StatusGone, Reason: "there is no such job"}
	unknownQueue   = protocol.JobResponse{Status: http.StatusNotFound, Reason: "there is no such queue any more"}
	idConflict     = protocol.JobResponse{Status: http.StatusConflict, Reason: "another job has this ID: choose a new one"}
	cancelledEarly = protocol.JobResponse{Status: http.StatusServiceUnavailable, Never: true, Reason: "the job was cancelled before it was handed in: it never runs"}
	outcomeUnknown = protocol.JobResponse{Status: http.StatusBadGateway, Unknown: true, Reason: "whether it was done is not known: send the same again"}
)

// queueMoved says that a configuration of that version sends the queue to another shard.
func queueMoved(version int64) protocol.JobResponse {
	return protocol.JobResponse{Status: http.StatusServiceUnavailable, Moved: version, Reason: "a newer configuration sends the queue elsewhere"}
}

func (s *Shard) notLeader() protocol.JobResponse {
	return protocol.JobResponse{Owner: s.group.Leader().Address}
}

// ifLeader returns a response that was read from the state, if the leader's lease is still held.
func (s *Shard) ifLeader(response protocol.JobResponse) protocol.JobResponse {
	if !s.group.IsLeader() {
		return s.notLeader()
	}
	return response
}

// notCommitted is the response for a command that was not seen to be committed.
func (s *Shard) notCommitted(err error) protocol.JobResponse {
	switch {
	case errors.Is(err, group.ErrNotLeader):
		return s.notLeader()
	case errors.Is(err, group.ErrBusy):
		return protocol.JobResponse{Status: http.StatusServiceUnavailable, RetryAfterMs: retryAfterMs, Reason: err.Error()}
	}
	return outcomeUnknown
}

// resubmitted is the response to a submission whose ID is known: see job.Job.Resubmitted.
func resubmitted(outcome job.Outcome) protocol.JobResponse {
	switch outcome {
	case job.AlreadyApplied:
		return accepted
	case job.CancelledBeforeAcceptance:
		return cancelledEarly
	}
	return idConflict
}
