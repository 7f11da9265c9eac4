package leader

import (
	"hash/fnv"
	"net/http"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

// BodyHash returns the hash by which the body of a submitted job is told from others.
func BodyHash(body []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(body) // it never fails
	return hash.Sum64()
}

// Submit accepts a job: the response confirms it once a majority of the replicas has it on disk. It
// calls reply once.
func (s *Shard) Submit(request protocol.SubmitRequest, reply func(protocol.JobResponse)) {
	if !s.group.IsLeader() {
		reply(s.notLeader())
		return
	}
	submission, response, decided := s.checkSubmission(&request)
	if decided {
		reply(s.ifLeader(response))
		return
	}
	s.enqueue(job.Command{Kind: job.AcceptJob, Submission: &submission}, func(outcome job.Outcome, err error) {
		reply(s.submitted(outcome, err, submission.ConfigVersion))
	})
}

// checkSubmission returns the job to be accepted, or the response where the state decides it.
func (s *Shard) checkSubmission(request *protocol.SubmitRequest) (submission job.Submission, response protocol.JobResponse, decided bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bodyHash := BodyHash(request.Body)
	if j := s.store.Jobs[request.ID]; j != nil {
		return submission, resubmitted(j.Resubmitted(request.Queue, bodyHash)), true
	}
	route, version, ok := s.route(request)
	if !ok {
		return submission, unknownQueue, true
	}
	if protocol.ShardOf(route.Backend) != s.number {
		return submission, queueMoved(version), true
	}
	spec, err := job.ParseSpec(request.Body)
	if err != nil {
		return submission, protocol.JobResponse{Status: http.StatusBadRequest, Reason: err.Error()}, true
	}
	submission = job.Submission{
		ID:            request.ID,
		Queue:         request.Queue,
		Service:       route.Backend,
		BodyHash:      bodyHash,
		Spec:          spec,
		Priority:      route.Priority,
		Retries:       route.Retries,
		TargetMs:      int64(route.TargetMs),
		Extension:     route.Extension,
		ConfigVersion: request.Version,
	}
	return submission, protocol.JobResponse{}, false
}

// route returns the route of a submission and the version of the configuration that it is of: this
// node's configuration or the sender's, whichever is newer. The job is accepted under the sender's
// version all the same: by it the sender knew which shards had the queue before and asked their
// leaders, and it may have missed that the queue was elsewhere and came back since.
func (s *Shard) route(request *protocol.SubmitRequest) (route opconfig.Route, version int64, ok bool) {
	own := s.operatorConfig
	if own == nil || own.Version <= request.Version {
		return request.Route, request.Version, true
	}
	newer, ok := own.Route(request.Queue)
	if !ok {
		return opconfig.Route{}, own.Version, false
	}
	return *newer, own.Version, true
}

// submitted is the response for the outcome of AcceptJob under a version of the configuration.
func (s *Shard) submitted(outcome job.Outcome, err error, version int64) protocol.JobResponse {
	if err != nil {
		return s.notCommitted(err)
	}
	switch outcome {
	case job.Applied:
		return accepted
	case job.QueueMoved:
		return queueMoved(version + 1)
	case job.AlreadyApplied, job.CancelledBeforeAcceptance, job.Rejected:
		return resubmitted(outcome)
	}
	return outcomeUnknown
}
