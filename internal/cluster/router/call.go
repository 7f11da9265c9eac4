package router

import (
	"net/http"

	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

// Call is a client's request while the requests to shards' leaders that serve it are under way.
// It is used by one goroutine.
//
// Each request to a leader may be sent again, since a leader knows a job by its ID. That a job
// was accepted, cancelled or is unknown is a fact, whatever earlier attempts came to. A rejection
// is not: an earlier attempt without a response may have been accepted, so that the client is
// told that the outcome is unknown. docs/control-safety.md has the whole table.
type Call struct {
	requests []leaderRequest
	current  int // index into requests
	// unanswered tells that an attempt had no response, or one that left its outcome open.
	unanswered bool
	// mayHaveEffect tells that such an attempt would have changed something.
	mayHaveEffect bool
	pending       int // jobs counted by the shards so far
}

// leaderRequest is one request to a shard's leader.
type leaderRequest struct {
	shard   int
	message any // a protocol.JobRequest or a protocol.SubmitRequest
	kind    requestKind
}

type requestKind uint8

const (
	requestState  requestKind = iota // state of a job: the first shard that knows it responds for all
	requestCancel                    // likewise
	requestCount                     // pending jobs of a queue: the sum over all shards
	requestCheck                     // a former shard of the queue: goes on unless that knows the ID
	requestSubmit
)

// Progress is what the caller does after a response.
type Progress uint8

// What the caller does after a response.
const (
	// Retry: send the request of Next again after a pause.
	Retry Progress = iota
	// Continue: send the request of Next, which is another one now.
	Continue
	// Finished: the response is the client's.
	Finished
	// ConfigOutdated: wait for the version in the response's Moved, and build the call anew.
	ConfigOutdated
)

// noLeaderRetryMs is after how long a client is told to come back where a shard has no leader.
const noLeaderRetryMs = 1000

// NewJobCall returns the call for a job's state, its cancellation, or the number of a queue's
// pending jobs (with an empty ID). Other operations than these three are not for clients.
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

// NewSubmitCall returns the call that submits a job. Where the queue was in other shards before,
// their leaders are first asked whether they know the ID, and accept nothing more of the queue
// from then on.
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

// InheritOutcome lets a call replace an earlier one of the same request, which ended with
// ConfigOutdated: what that one's attempts left open stays open.
func (c *Call) InheritOutcome(earlier *Call) {
	c.unanswered, c.mayHaveEffect = earlier.unanswered, earlier.mayHaveEffect
}

// Next returns the shard whose leader is to be asked, and the message for it.
func (c *Call) Next() (shard int, message any) {
	return c.requests[c.current].shard, c.requests[c.current].message
}

// NoResponse records that an attempt at the request of Next had no response.
func (c *Call) NoResponse() {
	kind := c.requests[c.current].kind
	c.unanswered = true
	c.mayHaveEffect = c.mayHaveEffect || kind == requestSubmit || kind == requestCancel
}

// HandleResponse applies a response to the request of Next. The response that it returns is the
// client's where the progress is Finished.
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
			return c.nextStep(response)
		}
	}
	return c.finalResponse(response), Finished
}

// addCount adds a shard's pending jobs to those of the others.
func (c *Call) addCount(response protocol.JobResponse) (protocol.JobResponse, Progress) {
	if response.Status != http.StatusOK {
		return response, Finished
	}
	c.pending += response.Pending
	response.Pending = c.pending
	return c.nextStep(response)
}

// nextStep goes on to the next shard. The last shard's response is the client's.
func (c *Call) nextStep(response protocol.JobResponse) (protocol.JobResponse, Progress) {
	if c.current == len(c.requests)-1 {
		return response, Finished
	}
	c.current++
	return response, Continue
}

// finalResponse returns what a leader's last response allows the client to be told.
func (c *Call) finalResponse(response protocol.JobResponse) protocol.JobResponse {
	if c.mayHaveEffect && response.Status != http.StatusOK && !response.Never {
		return c.TimeoutResponse()
	}
	return response
}

// TimeoutResponse returns what the client is told where no response came in time: 504 where an
// attempt may have been carried out, else 503.
func (c *Call) TimeoutResponse() protocol.JobResponse {
	if c.unanswered {
		return protocol.JobResponse{Status: http.StatusGatewayTimeout, Reason: "an owner did not answer, and what became of it is not known: send the same again"}
	}
	return protocol.JobResponse{Status: http.StatusServiceUnavailable, RetryAfterMs: noLeaderRetryMs, Reason: "nobody owns this queue at this moment"}
}
