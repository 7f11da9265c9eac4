// Package poolmember is the transport of flows and probes to pool members that speak the platform's HTTP
// protocol: a job is submitted with POST and accepted with 202, its end comes by callback to the HTTP
// front, and a DELETE abandons it.
//
// What a flow's end is called decides whether its job may run again. So the transport knows of each
// request whether it may have reached its member whole: conn keeps the last byte back for a moment.
//
// Each flow, DELETE and probe that is under way has one goroutine, which ends by its deadline. The Transport
// owns them: Close cuts them short, as the end of the process would, and waits for them. The connections'
// own goroutines are http.Transport's, and end with their requests.
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

// ResultSink is told what becomes of flows and probes; engine.Engine implements it.
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
	// crossedDeleteTimeout is that time where a 202 may have crossed the closing of the connection:
	// the job waits for the answer.
	crossedDeleteTimeout = 300 * time.Millisecond
	// drainTime is how long the rest of an answer is read that decides nothing any more, and how
	// long a 202 is waited for that may have crossed a flow's end.
	drainTime = 100 * time.Millisecond
	// maxReplyBytes bounds the header and the body of an answer.
	maxReplyBytes = 64 << 10
	// firstByteWithin is the time from a flow's decision to its first byte. A member may have been
	// told to drain meanwhile, and nothing may be sent to it 2 s after that; half of it is left to
	// the list's own way.
	firstByteWithin = time.Second
)

// Transport implements engine.Transport for HTTP pool members.
type Transport struct {
	sink            ResultSink
	roundTripper    http.RoundTripper
	submissionSlots chan struct{} // one for each connection that a flow may use
	controlSlots    chan struct{} // and that a probe or a DELETE may use, which flows must not shut out

	options   Options
	drainTime time.Duration

	lifetime context.Context // ends with Close, and with it all that is under way
	stop     context.CancelFunc
	running  sync.WaitGroup // the goroutines of flows, DELETEs and probes
}

// Options are what the deployment says of members and connections.
type Options struct {
	ConnectTimeout time.Duration
	// LastByteDelay is how long the last byte of a request is kept back. A member starts a request
	// once it is whole; one that breaks the connection while a request arrives does so in that time,
	// and the request has then never run. Sent in one piece it may have run.
	LastByteDelay  time.Duration
	MaxSubmissions int // flows that are submitted at a time; half as many probes and DELETEs beside them
	// ProbeStats says that members report their load: a probe gets /stats, whose body is the report,
	// and else /health/live.
	ProbeStats bool
}

// New returns a transport that tells the sink what becomes of its flows and probes.
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

// Close closes the connections of all flows, DELETEs and probes that are under way, and returns once their
// goroutines have ended: nothing more is sent, and the sink has been told of the flows and probes. Close
// must be called once no other method is called any more.
func (t *Transport) Close() {
	t.stop()
	t.running.Wait()
}

// Start implements engine.Transport. The goroutine of a flow ends by the flow's deadline, a DELETE and
// the drain time.
func (t *Transport) Start(f *engine.Flow) {
	ctx, cancel := context.WithDeadline(t.lifetime, f.Deadline)
	sub := &submission{cancel: cancel}
	f.TransportState = sub
	select {
	case t.submissionSlots <- struct{}{}:
	default: // no descriptor to spare: it was never sent, and no member is to blame
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
func (t *Transport) submit(ctx context.Context, f *engine.Flow, sub *submission) {
	sent := t.send(ctx, f, sub)
	sub.mu.Lock()
	sub.accepted = sent.accepted
	abandoned, recalled := sub.abandoned, sub.recalled
	sub.mu.Unlock()
	switch {
	case !sent.accepted && recalled && sent.status == policy.Reset:
		// Reset by closing the connection, which says nothing of the member. No 202 has come, so that by
		// the protocol the close has abandoned the flow. The member is told by DELETE as well, before the
		// job may go elsewhere: it may not have noticed the close.
		t.delete(f, time.Now().Add(crossedDeleteTimeout))
		t.sink.EndFlow(f, policy.Cancelled, nil)
	case !sent.accepted:
		t.sink.EndFlowWithLoad(f, sent.status, sent.load)
	case abandoned: // while the answer was on its way: closing the connection told nobody
		t.deleteAndEnd(f, recalled)
	}
	if sent.rest != nil { // it decides nothing; a close over unread bytes would reset the connection
		defer time.AfterFunc(t.drainTime, func() { _ = sub.conn.Close() }).Stop()
		_, _ = io.Copy(io.Discard, io.LimitReader(sent.rest, maxReplyBytes))
		_ = sent.rest.Close()
	}
}

// Abandon implements engine.Transport.
func (t *Transport) Abandon(f *engine.Flow) { t.abandon(f, false) }

// Recall implements engine.Transport. A member that can't be reached keeps the flow: it may still run or
// report it.
func (t *Transport) Recall(f *engine.Flow) { t.abandon(f, true) }

// abandon ends a flow for its member, and with recall for the engine once the member has confirmed it.
func (t *Transport) abandon(f *engine.Flow, recall bool) {
	sub, ok := f.TransportState.(*submission)
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
	case recall && sub.mayBeWhole() && sub.conn.endWrites() == nil: // a 202 may be on its way, which then binds
		time.AfterFunc(t.drainTime, sub.cancel)
	default:
		sub.close()
	}
}

// EndedOutOfBand implements engine.Transport. The member has reported the end of the flow by callback:
// its 202, if it is yet to come, is waited for only for the drain time. A request that isn't whole stays
// so: the report is of an earlier attempt at that member.
func (t *Transport) EndedOutOfBand(f *engine.Flow) {
	sub, ok := f.TransportState.(*submission)
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
