// Package poolmember is the transport of flows and probes to pool members that use the platform's HTTP
// protocol: a job is submitted with POST and accepted with 202, its end is reported by a callback to the HTTP
// front, and a DELETE abandons it.
//
// The status with which a flow ends decides whether its job may run again. The transport therefore tracks for
// each request whether the whole request may have reached its member; conn delays the last byte for that.
//
// Each flow, DELETE and probe in progress has one goroutine, which ends by its deadline. The Transport owns
// these goroutines: Close aborts them, as the end of the process would, and waits for them. The goroutines of
// the connections belong to http.Transport, and end with their requests.
package poolmember

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// ResultSink receives the results of flows and probes; engine.Engine implements it.
type ResultSink interface {
	EndFlow(f *engine.Flow, s policy.Status, result []byte)
	EndFlowWithLoad(f *engine.Flow, s policy.Status, load policy.Report)
	EndProbe(m *engine.Member, s policy.Status, r policy.Report, sentAt time.Time)
}

const (
	// probeTimeout is the time within which a probe must be answered.
	probeTimeout = 500 * time.Millisecond
	// deleteTimeout is the time within which a member must answer the DELETE of a flow.
	deleteTimeout = 2 * time.Second
	// crossedDeleteTimeout replaces deleteTimeout where a 202 may have crossed the closing of the
	// connection. It is shorter because the job is not sent elsewhere before the DELETE is answered.
	crossedDeleteTimeout = 300 * time.Millisecond
	// drainTime is how long the rest of an answer is read after the flow's status is known, and how long
	// the transport waits for a 202 that may have crossed the end of a flow.
	drainTime = 100 * time.Millisecond
	// maxReplyBytes bounds the header and the body of an answer.
	maxReplyBytes = 64 << 10
	// firstByteWithin is the longest time from the decision to send a flow to its first byte. Nothing may
	// be sent to a member 2 s after it was told to drain. Half of that time is left for the list of members
	// to reach this dispatcher.
	firstByteWithin = time.Second
)

// Transport implements engine.Transport for HTTP pool members.
type Transport struct {
	sink            ResultSink
	roundTripper    http.RoundTripper
	submissionSlots chan struct{} // holds one item for each connection that a flow uses
	controlSlots    chan struct{} // the same for probes and DELETEs, which flows must not block

	options   Options
	drainTime time.Duration

	lifetime context.Context // ended by Close, which aborts all flows, DELETEs and probes
	stop     context.CancelFunc
	running  sync.WaitGroup // the goroutines of flows, DELETEs and probes
}

// Options are the deployment's settings for members and connections.
type Options struct {
	ConnectTimeout time.Duration
	// LastByteDelay is how long the last byte of a request is delayed. A member starts a request once it
	// has the whole of it. If a member breaks the connection while the request arrives, it does so during
	// this delay, and the request can't have run. A request that was sent in one piece may have run.
	LastByteDelay  time.Duration
	MaxSubmissions int // concurrent submissions of flows; probes and DELETEs: half as many, in addition
	// ProbeStats states that members report their load: a probe then gets /stats, whose body is the load
	// report, otherwise /health/live.
	ProbeStats bool
}

// New returns a transport that reports the results of its flows and probes to the sink.
func New(sink ResultSink, o Options) *Transport {
	lifetime, stop := context.WithCancel(context.Background())
	return &Transport{
		sink:            sink,
		roundTripper:    newRoundTripper(o),
		submissionSlots: make(chan struct{}, o.MaxSubmissions),
		controlSlots:    make(chan struct{}, max(1, o.MaxSubmissions/2)),
		options:         o,
		drainTime:       drainTime,
		lifetime:        lifetime,
		stop:            stop,
	}
}

// Close closes the connections of all flows, DELETEs and probes in progress, and returns once their goroutines
// have ended. After that nothing more is sent, and the sink has received the results of the flows and probes.
// No other method may be called during or after Close.
func (t *Transport) Close() {
	t.stop()
	t.running.Wait()
}

// Start implements engine.Transport. The goroutine of a flow ends by the flow's deadline, a DELETE and
// the drain time.
func (t *Transport) Start(f *engine.Flow) {
	ctx, cancel := context.WithDeadline(t.lifetime, f.Deadline)
	sub := &exchange{cancel: cancel}
	f.TransportState = sub
	select {
	case t.submissionSlots <- struct{}{}:
	default: // all connections are in use: the flow was never sent, which does not count against the member
		cancel()
		t.sink.EndFlow(f, policy.NotSent, nil)
		return
	}
	t.running.Go(func() {
		defer cancel()
		defer func() { <-t.submissionSlots }()
		t.submit(ctx, f, sub)
	})
}

// submit sends a flow, ends it unless its member has accepted it, and reads the rest of the answer.
func (t *Transport) submit(ctx context.Context, f *engine.Flow, sub *exchange) {
	sent := t.send(ctx, f, sub)
	sub.mu.Lock()
	sub.accepted = sent.accepted
	abandoned, recalled := sub.abandoned, sub.recalled
	sub.mu.Unlock()
	switch {
	case !sent.accepted && recalled && sent.status == policy.Reset:
		// Reset because this side closed the connection, which indicates no fault of the member. No 202 has
		// arrived, so by the protocol the close has abandoned the flow. The member may not have noticed the
		// close, so it also gets a DELETE before the job may be sent elsewhere.
		t.delete(f, time.Now().Add(crossedDeleteTimeout))
		t.sink.EndFlow(f, policy.Cancelled, nil)
	case !sent.accepted:
		t.sink.EndFlowWithLoad(f, sent.status, sent.load)
	case abandoned: // while the answer was on its way: the member did not notice the closed connection
		t.deleteAndEnd(f, recalled)
	}
	if sent.rest != nil { // closing the connection with unread bytes would reset it
		defer time.AfterFunc(t.drainTime, func() { _ = sub.conn.Close() }).Stop()
		_, _ = io.Copy(io.Discard, io.LimitReader(sent.rest, maxReplyBytes))
		_ = sent.rest.Close()
	}
}

// Abandon implements engine.Transport.
func (t *Transport) Abandon(f *engine.Flow) { t.abandon(f, false) }

// Recall implements engine.Transport. If the member can't be reached, the flow stays live: the member may
// still run it or report its end.
func (t *Transport) Recall(f *engine.Flow) { t.abandon(f, true) }

// abandon abandons a flow at its member. With recall, the flow ends for the engine once the member has
// confirmed that.
func (t *Transport) abandon(f *engine.Flow, recall bool) {
	sub, ok := f.TransportState.(*exchange)
	if !ok {
		return
	}
	sub.mu.Lock()
	defer sub.mu.Unlock()
	if sub.abandoned {
		return
	}
	sub.abandoned, sub.recalled = true, recall
	switch {
	case sub.accepted:
		t.running.Go(func() { t.deleteAndEnd(f, recall) })
	case recall && sub.mayBeWhole() && sub.conn.endWrites() == nil: // a 202 may be on its way, and then counts
		time.AfterFunc(t.drainTime, sub.cancel)
	default:
		sub.close()
	}
}

// EndedOutOfBand implements engine.Transport. The member has reported the end of the flow by callback. If its
// 202 has not arrived yet, the transport waits for it no longer than the drain time. A request of which not
// all was sent is not completed: the callback belongs to an earlier attempt at that member.
func (t *Transport) EndedOutOfBand(f *engine.Flow) {
	sub, ok := f.TransportState.(*exchange)
	if !ok {
		return
	}
	sub.mu.Lock()
	defer sub.mu.Unlock()
	switch {
	case sub.accepted:
	case sub.mayBeWhole():
		time.AfterFunc(t.drainTime, sub.cancel)
	default:
		sub.abandoned = true
		sub.close()
	}
}
