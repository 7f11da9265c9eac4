package leader

import (
	"hash/fnv"
	"net/http"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/shared/saturating"
)

// BodyHash returns the hash by which the bodies of submitted jobs are compared.
func BodyHash(body []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(body) // Write of a hash never fails
	return hash.Sum64()
}

// Submit handles a submission of a job. The response confirms it once a majority of the replicas have it on
// disk. It calls reply once.
func (s *Shard) Submit(request protocol.SubmitRequest, reply func(protocol.JobResponse)) {
	if !s.group.IsLeader() {
		reply(s.notLeaderResponse())
		return
	}
	submission, pending, response := s.checkSubmission(&request)
	if submission == nil {
		reply(s.ifLeader(response))
		return
	}
	s.enqueue(job.Command{Kind: job.AcceptJob, Submission: submission}, func(outcome job.Outcome, err error) {
		s.submissionDecided(pending)
		reply(s.submittedResponse(outcome, err, submission.ConfigVersion))
	})
}

// checkSubmission returns the submission to be proposed, with the pending submission to be passed to
// submissionDecided. If the request or the state already determines the response, it returns a nil
// submission and that response.
func (s *Shard) checkSubmission(request *protocol.SubmitRequest) (*job.Submission, *pendingSubmission, protocol.JobResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.store.Jobs[request.ID]; j != nil {
		return nil, nil, resubmittedResponse(j.Resubmitted(request.Queue, BodyHash(request.Body)))
	}
	route, version, ok := s.route(request)
	if !ok {
		return nil, nil, unknownQueueResponse
	}
	if protocol.ShardOf(route.Backend) != s.number {
		return nil, nil, queueMovedResponse(version)
	}
	if retryAfter, refused := s.shedder.refuse(request.Queue, request.ID); refused {
		return nil, nil, overloadedResponse(retryAfter) // before the body is parsed: a refusal must be cheap
	}
	spec, err := job.ParseSpec(request.Body)
	if err != nil {
		return nil, nil, protocol.JobResponse{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	submission := &job.Submission{
		ID:            request.ID,
		Queue:         request.Queue,
		Service:       route.Backend,
		BodyHash:      BodyHash(request.Body),
		Spec:          spec,
		Priority:      route.Priority,
		Retries:       route.Retries,
		TargetMs:      saturating.Int64(route.TargetMs),
		Extension:     route.Extension,
		ConfigVersion: request.Version,
	}
	return submission, s.shedder.submitting(submission), protocol.JobResponse{}
}

func (s *Shard) submissionDecided(pending *pendingSubmission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shedder.decided(pending)
}

// route returns the route of a submission and the version of the configuration that the route is from: this
// node's configuration or the sender's, whichever is newer. ok is false if the newer one has no such queue.
// The job is still accepted under the sender's version. The sender used that version to determine which
// shards had the queue before and asked their leaders; it may have missed that the queue has since been
// assigned to another shard and back.
func (s *Shard) route(request *protocol.SubmitRequest) (route opconfig.Route, version int64, ok bool) {
	config := s.operatorConfig
	if config == nil || config.Version <= request.Version {
		return request.Route, request.Version, true
	}
	newer, ok := config.Route(request.Queue)
	if !ok {
		return opconfig.Route{}, config.Version, false
	}
	return *newer, config.Version, true
}

// submittedResponse returns the response for the outcome of AcceptJob under a version of the configuration.
func (s *Shard) submittedResponse(outcome job.Outcome, err error, version int64) protocol.JobResponse {
	if err != nil {
		return s.notCommittedResponse(err)
	}
	switch outcome {
	case job.Applied:
		return acceptedResponse
	case job.QueueMoved:
		return queueMovedResponse(version + 1) // the outcome does not include which newer version moved it
	case job.AlreadyApplied, job.CancelledBeforeAcceptance, job.Rejected:
		return resubmittedResponse(outcome)
	}
	return outcomeUnknownResponse
}
