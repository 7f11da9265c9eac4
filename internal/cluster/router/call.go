package router

import (
	"net/http"

	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

// Call is the state of a client's request: the requests to leaders of shards that it needs, and what is
// known of their outcomes so far. It is used by one goroutine.
//
// Each request to a leader may be retried, since leaders identify a job by its ID. The response that a job
// was accepted, was cancelled or is unknown to the leader holds whatever the outcome of earlier attempts
// was. A rejection doesn't: an earlier attempt without a response may have been accepted, so that the
// client's response is that the outcome is unknown. docs/control-safety.md has the complete table.
type Call struct {
	requests []leaderRequest
	current  int // index into requests
	// unanswered is set once an attempt had no response, or one that left its outcome open.
	unanswered bool
	// mayHaveEffect is set once such an attempt may have changed something.
	mayHaveEffect bool
	pending       int // sum of the shards' counts of pending jobs so far
}

// leaderRequest is one request to a shard's leader.
type leaderRequest struct {
	shard   int
	message any // a protocol.JobRequest or a protocol.SubmitRequest
	kind    requestKind
}

type requestKind uint8

const (
	requestState  requestKind = iota // state of a job: from the first shard that has the job
	requestCancel                    // cancellation of a job: by the first shard that has the job
	requestCount                     // pending jobs of a queue: the sum over all shards
	requestCheck                     // sent to a former shard of the queue: ends the call if that has the ID
	requestSubmit
)

// Progress is what the caller has to do after a response.
type Progress uint8

// Values of Progress.
const (
	// Retry means: send the request of Next again after a pause.
	Retry Progress = iota
	// Continue means: send the request of Next, which is now a different one.
	Continue
	// Finished means: send the response to the client.
	Finished
	// ConfigOutdated means: wait for the configuration with the version in the response's Moved, and create
	// a new call.
	ConfigOutdated
)

// noLeaderRetryMs is the time after which a client is asked to retry if a shard has no leader.
const noLeaderRetryMs = 1000

// NewJobCall returns the call for a job's state, its cancellation, or the number of a queue's pending jobs
// (with an empty ID). Clients can't request any other operation.
func NewJobCall(v *View, route *opconfig.Route, operation protocol.JobOperation, id string) *Call {
	kinds := map[protocol.JobOperation]requestKind{
		protocol.GetJobState: requestState, protocol.CancelJob: requestCancel, protocol.CountPending: requestCount,
	}
	c := &Call{}
	for _, shard := range v.shards(route) {
		request := protocol.JobRequest{Verb: operation, Shard: shard, Queue: route.Queue(), ID: id, Version: v.Config.Version}
		c.requests = append(c.requests, leaderRequest{shard: shard, message: request, kind: kinds[operation]})
	}
	return c
}

// NewSubmitCall returns the call that submits a job. If the queue was in other shards before, the call first
// asks their leaders whether they have the ID. From that request on those leaders accept no more jobs of the
// queue.
func NewSubmitCall(v *View, route *opconfig.Route, id string, body []byte) *Call {
	c := &Call{}
	shards := v.shards(route)
	present, former := shards[0], shards[1:]
	for _, shard := range former {
		check := protocol.JobRequest{
			Verb: protocol.CheckFormerShard, Shard: shard, Queue: route.Queue(), ID: id, Version: v.Config.Version,
			Since: v.ServiceHistories[route.Queue()].Since, Hash: leader.BodyHash(body),
		}
		c.requests = append(c.requests, leaderRequest{shard: shard, message: check, kind: requestCheck})
	}
	submit := protocol.SubmitRequest{Shard: present, Queue: route.Queue(), ID: id, Body: body, Version: v.Config.Version, Route: *route}
	c.requests = append(c.requests, leaderRequest{shard: present, message: submit, kind: requestSubmit})
	return c
}

// InheritOutcome prepares a call that replaces an earlier one of the same client's request, which ended with
// ConfigOutdated: attempts of the earlier call whose outcome is unknown count for the new call too.
func (c *Call) InheritOutcome(earlier *Call) {
	c.unanswered, c.mayHaveEffect = earlier.unanswered, earlier.mayHaveEffect
}

// Next returns the shard to whose leader the next request is to be sent, and that request.
func (c *Call) Next() (shard int, message any) {
	return c.requests[c.current].shard, c.requests[c.current].message
}

// NoResponse records that an attempt at the request of Next had no response.
func (c *Call) NoResponse() {
	kind := c.requests[c.current].kind
	c.unanswered = true
	c.mayHaveEffect = c.mayHaveEffect || kind == requestSubmit || kind == requestCancel
}

// HandleResponse applies a response to the request of Next. If the progress is Finished, the response that
// it returns is the one for the client.
func (c *Call) HandleResponse(response protocol.JobResponse) (protocol.JobResponse, Progress) {
	switch {
	case response.Status == protocol.StatusNotLeader:
		return response, Retry
	case response.Unknown:
		c.NoResponse()
		return response, Retry
	case response.Moved > 0:
		return response, ConfigOutdated
	}
	switch c.requests[c.current].kind {
	case requestCount:
		return c.addCount(response)
	case requestState, requestCancel, requestCheck:
		if response.Status == http.StatusGone {
			return c.nextRequest(response)
		}
	}
	return c.finalResponse(response), Finished
}

// addCount adds a shard's pending jobs to those of the previous shards.
func (c *Call) addCount(response protocol.JobResponse) (protocol.JobResponse, Progress) {
	if response.Status != http.StatusOK {
		return response, Finished
	}
	c.pending += response.Pending
	response.Pending = c.pending
	return c.nextRequest(response)
}

// nextRequest advances to the next request. The response to the last one is the client's.
func (c *Call) nextRequest(response protocol.JobResponse) (protocol.JobResponse, Progress) {
	if c.current == len(c.requests)-1 {
		return response, Finished
	}
	c.current++
	return response, Continue
}

// finalResponse returns the client's response after a leader's last response. A rejection by the leader
// becomes an unknown outcome if an earlier attempt may have had an effect.
func (c *Call) finalResponse(response protocol.JobResponse) protocol.JobResponse {
	if c.mayHaveEffect && response.Status != http.StatusOK && !response.Never {
		return c.TimeoutResponse()
	}
	return response
}

// TimeoutResponse returns the client's response if the call isn't finished in time: 504 if the outcome of an
// attempt is unknown, else 503.
func (c *Call) TimeoutResponse() protocol.JobResponse {
	if c.unanswered {
		return protocol.JobResponse{Status: http.StatusGatewayTimeout, Reason: "an owner did not answer, and what became of it is not known: send the same again"}
	}
	return protocol.JobResponse{Status: http.StatusServiceUnavailable, RetryAfterMs: noLeaderRetryMs, Reason: "nobody owns this queue at this moment"}
}
