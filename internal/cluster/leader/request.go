package leader

import (
	"net/http"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/protocol"
)

// HandleJobRequest handles a client's request about a job or a queue. It calls reply once. Only a leader that
// holds its lease replies that a job is unknown, and it replies so to a cancellation only once a late
// submission of the job can no longer be accepted.
func (s *Shard) HandleJobRequest(request protocol.JobRequest, reply func(protocol.JobResponse)) {
	if !s.group.IsLeader() {
		reply(s.notLeaderResponse())
		return
	}
	switch request.Verb {
	case protocol.CancelJob:
		s.cancel(request, reply)
	case protocol.CheckFormerShard:
		s.checkFormerShard(request, reply)
	default:
		reply(s.ifLeader(s.read(request)))
	}
}

// read returns a job's state or the number of a queue's pending jobs.
func (s *Shard) read(request protocol.JobRequest) protocol.JobResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Verb == protocol.CountPending {
		return protocol.JobResponse{Status: http.StatusOK, Pending: s.store.Pending[request.Queue]}
	}
	if j, known := s.store.Lookup(request.Queue, request.ID); known {
		return protocol.JobResponse{Status: http.StatusOK, State: j.State}
	}
	if sealed := s.store.Sealed[request.Queue]; request.Version < sealed {
		return queueMovedResponse(sealed)
	}
	return unknownJobResponse
}

// cancel cancels a job by a committed command, unless the job is already over.
func (s *Shard) cancel(request protocol.JobRequest, reply func(protocol.JobResponse)) {
	s.mu.Lock()
	j, known := s.store.Lookup(request.Queue, request.ID)
	over := known && j.State.Terminal()
	s.mu.Unlock()
	if over {
		reply(s.ifLeader(acceptedResponse))
		return
	}
	command := job.Command{Kind: job.CancelJob, Task: job.TaskRef{Job: request.ID}, Queue: request.Queue, ConfigVersion: request.Version}
	s.enqueue(command, func(outcome job.Outcome, err error) { reply(s.cancelledResponse(outcome, err, request.Version)) })
}

// cancelledResponse returns the response for the outcome of CancelJob under a version of the configuration.
func (s *Shard) cancelledResponse(outcome job.Outcome, err error, version int64) protocol.JobResponse {
	if err != nil {
		return s.notCommittedResponse(err)
	}
	switch outcome {
	case job.Applied, job.AlreadyApplied:
		return acceptedResponse
	case job.UnknownJob:
		return unknownJobResponse
	case job.QueueMoved:
		return queueMovedResponse(version + 1) // the outcome does not include which newer version moved it
	}
	return outcomeUnknownResponse
}

// checkFormerShard replies whether a job ID of a queue that was moved to another shard is known to this shard.
// Before it replies that the ID is unknown, it seals the queue, so that no dispatcher with an older
// configuration can submit the job here afterwards.
func (s *Shard) checkFormerShard(request protocol.JobRequest, reply func(protocol.JobResponse)) {
	s.mu.Lock()
	sealed := s.store.Sealed[request.Queue] >= request.Since
	s.mu.Unlock()
	if sealed {
		reply(s.ifLeader(s.findID(request)))
		return
	}
	command := job.Command{Kind: job.SealQueue, Queue: request.Queue, ConfigVersion: request.Since}
	s.enqueue(command, func(outcome job.Outcome, err error) {
		if err != nil || outcome != job.Applied && outcome != job.AlreadyApplied {
			reply(s.notCommittedResponse(err))
			return
		}
		reply(s.ifLeader(s.findID(request)))
	})
}

// findID returns the response to a submission whose ID may be that of a job of this shard.
func (s *Shard) findID(request protocol.JobRequest) protocol.JobResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.store.Jobs[request.ID]; j != nil {
		return resubmittedResponse(j.Resubmitted(request.Queue, request.Hash))
	}
	return unknownJobResponse
}
