package router

import (
	"net/http"

	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
)

// Call is a client's request on its way to the owners that can answer it.
//
// What may be asked again: each of its questions, since an owner tells a job by its ID. What
// an answer is worth after a try that had none: that a job was taken, cancelled, or is not
// held, is a fact, whoever was asked before; a refusal says nothing of the earlier try, which
// may have been taken, so that the client is told that the outcome is not known.
type Call struct {
	steps   []step
	at      int
	silent  bool // a try had no answer, or one that did not say
	unknown bool // and it was one that may have had an effect
	pending int  // counted so far
}

// step is one question to a shard's owner.
type step struct {
	shard   int
	message any
	kind    stepKind
}

type stepKind uint8

const (
	stepRead   stepKind = iota // a state: the first shard that holds the job answers
	stepCancel                 // likewise
	stepCount                  // all shards' counts are added
	stepCheck                  // an earlier shard that does not hold the ID lets it pass
	stepSubmit
)

// Progress is what an answer leads to.
type Progress uint8

// What an answer leads to.
const (
	Retry Progress = iota // ask Next after a pause
	Continue
	Finished       // the answer is the client's
	ConfigOutdated // a newer configuration is needed: its version is in the answer's Moved
)

const (
	givenUpRetryMs = 1000
)

// NewJobCall returns a client's question for a job's state, its cancelling, or a queue's count.
func NewJobCall(v *View, route *opconfig.Route, verb protocol.JobOperation, id string) *Call {
	kinds := map[protocol.JobOperation]stepKind{protocol.GetJobState: stepRead, protocol.CancelJob: stepCancel, protocol.CountPending: stepCount}
	c := &Call{}
	for _, shard := range v.shards(route) {
		ask := protocol.JobRequest{Verb: verb, Shard: shard, Queue: route.Queue(), ID: id, Version: v.Config.Version}
		c.steps = append(c.steps, step{shard: shard, message: ask, kind: kinds[verb]})
	}
	return c
}

// NewSubmitCall returns a client's job. Where the queue was in other shards before, their owners
// are asked first whether they hold the ID, and take nothing more of the queue from then on.
func NewSubmitCall(v *View, route *opconfig.Route, id string, body []byte) *Call {
	c := &Call{}
	shards := v.shards(route)
	for _, earlier := range shards[1:] {
		check := protocol.JobRequest{Verb: protocol.CheckFormerShard, Shard: earlier, Queue: route.Queue(), ID: id, Version: v.Config.Version,
			Since: v.ServiceHistories[route.Queue()].Since, Hash: leader.BodyHash(body)}
		c.steps = append(c.steps, step{shard: earlier, message: check, kind: stepCheck})
	}
	submit := protocol.SubmitRequest{Shard: shards[0], Queue: route.Queue(), ID: id, Body: body, Version: v.Config.Version, Route: *route}
	c.steps = append(c.steps, step{shard: shards[0], message: submit, kind: stepSubmit})
	return c
}

// InheritOutcome lets a call go on from an earlier one that needed a newer configuration.
func (c *Call) InheritOutcome(earlier *Call) { c.silent, c.unknown = earlier.silent, earlier.unknown }

// Next returns the shard whose owner is to be asked, and what.
func (c *Call) Next() (shard int, message any) {
	return c.steps[c.at].shard, c.steps[c.at].message
}

// NoResponse tells that a try had no answer.
func (c *Call) NoResponse() {
	kind := c.steps[c.at].kind
	c.silent = true
	c.unknown = c.unknown || kind == stepSubmit || kind == stepCancel
}

// HandleResponse takes in an answer to the present question.
func (c *Call) HandleResponse(answer protocol.JobResponse) (protocol.JobResponse, Progress) {
	switch {
	case answer.Status == 0:
		return answer, Retry
	case answer.Unknown:
		c.NoResponse()
		return answer, Retry
	case answer.Moved > 0:
		return answer, ConfigOutdated
	}
	switch c.steps[c.at].kind {
	case stepCount:
		return c.counted(answer)
	case stepRead, stepCancel, stepCheck:
		if answer.Status == http.StatusGone {
			return c.passed(answer)
		}
	}
	return c.final(answer), Finished
}

func (c *Call) counted(answer protocol.JobResponse) (protocol.JobResponse, Progress) {
	if answer.Status != http.StatusOK {
		return answer, Finished
	}
	c.pending += answer.Pending
	answer.Pending = c.pending
	return c.passed(answer)
}

// passed goes on to the next shard; the last one's answer is the client's.
func (c *Call) passed(answer protocol.JobResponse) (protocol.JobResponse, Progress) {
	if c.at == len(c.steps)-1 {
		return answer, Finished
	}
	c.at++
	return answer, Continue
}

// final returns what an answer is worth to the client.
func (c *Call) final(answer protocol.JobResponse) protocol.JobResponse {
	if c.unknown && answer.Status != http.StatusOK && !answer.Never {
		return c.TimeoutResponse()
	}
	return answer
}

// TimeoutResponse returns the answer where no other came in time.
func (c *Call) TimeoutResponse() protocol.JobResponse {
	if c.silent {
		return protocol.JobResponse{Status: http.StatusGatewayTimeout, Reason: "an owner did not answer, and what became of it is not known: send the same again"}
	}
	return protocol.JobResponse{Status: http.StatusServiceUnavailable, RetryAfterMs: givenUpRetryMs, Reason: "nobody owns this queue at this moment"}
}
