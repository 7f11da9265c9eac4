// Package poolmember carries server-side flows and probes to pool members
// that speak the platform's HTTP protocol.
package poolmember

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/loadreport"
	"basaltloft/internal/dispatcher/policy"
)

// ResultSink is told what becomes of flows and probes.
type ResultSink interface {
	EndFlow(f *engine.Flow, s policy.Status, result []byte)
	EndFlowWithLoad(f *engine.Flow, s policy.Status, load policy.Report)
	EndProbe(m *engine.Member, s policy.Status, r policy.Report, sentAt time.Time)
}

const (
	probeTimeout  = 500 * time.Millisecond // a probe without an answer has failed after this
	deleteTimeout = 2 * time.Second        // a runner is told so long that a flow is abandoned
	// crossedDeleteTimeout is how long a runner is told so whose 202 may have crossed the
	// closing of its connection: the job waits for it.
	crossedDeleteTimeout = 300 * time.Millisecond
	// drainTime is how long an answer is read on that decides nothing any more, and a
	// 202 waited for that may have crossed a flow's end.
	drainTime     = 100 * time.Millisecond
	maxReplyBytes = 64 << 10
	// firstByteWithin is how long after its decision a flow's first byte goes out at the
	// latest. A member may have been told to drain meanwhile, and nothing may be sent
	// to it 2 s after that; the half of it is left to the list's own way.
	firstByteWithin = time.Second
)

// Transport implements core.Transport for HTTP pool members.
type Transport struct {
	sink            ResultSink
	roundTripper    http.RoundTripper
	submissionSlots chan struct{} // one for each connection that may be in use by a flow
	controlSlots    chan struct{} // and by a probe or the end of a flow, which flows must not shut out

	options   Options
	drainTime time.Duration
}

// Options are what the deployment says of connections to members.
type Options struct {
	ConnectTimeout time.Duration // a connection that is not up by then has failed
	// LastByteDelay is how long the last byte of a request is kept back. A member starts
	// a request once it is whole; one that breaks the connection while a request
	// comes does so in that time, and the request, a ticket too, has then never
	// run. Sent in one piece it may have run.
	LastByteDelay  time.Duration
	MaxSubmissions int // flows that are being submitted at a time; half as many probes and ends beside them
	// ProbeStats: members report their load, so a probe asks /stats, whose body is
	// the report; else /health/live.
	ProbeStats bool
}

// New returns a carrier.
func New(ends ResultSink, f Options) *Transport {
	return &Transport{sink: ends, roundTripper: newRoundTripper(f), submissionSlots: make(chan struct{}, f.MaxSubmissions), controlSlots: make(chan struct{}, max(1, f.MaxSubmissions/2)), options: f, drainTime: drainTime}
}

// submission is the carrier's part of a flow. A flow is abandoned by closing its
// connection while the member has not answered, and by DELETE afterwards.
type submission struct {
	mu                            sync.Mutex
	accepted, abandoned, recalled bool
	conn                          *conn // once there is one
	cancel                        context.CancelFunc
}

// Start implements core.Carrier.
func (c *Transport) Start(f *engine.Flow) {
	ctx, cancel := context.WithDeadline(context.Background(), f.Deadline)
	k := &submission{cancel: cancel}
	f.TransportState = k
	select {
	case c.submissionSlots <- struct{}{}:
	default: // no descriptor to spare: it was never sent, and no member is to blame
		cancel()
		c.sink.EndFlow(f, policy.NotSent, nil)
		return
	}
	go func() {
		defer cancel()
		defer func() { <-c.submissionSlots }()
		status, taken, load, rest := c.send(ctx, f, k)
		k.mu.Lock()
		k.accepted = taken
		abandoned, recalled := k.abandoned, k.recalled
		k.mu.Unlock()
		switch {
		case !taken && recalled && status == policy.Reset: // by closing the connection, which says nothing of the member
			// No 202 has come, so that by the protocol the close has abandoned it. The
			// member is told by DELETE as well, before the job may go elsewhere: it may
			// not have noticed the close.
			c.delete(f, time.Now().Add(crossedDeleteTimeout))
			c.sink.EndFlow(f, policy.Cancelled, nil)
		case !taken:
			c.sink.EndFlowWithLoad(f, status, load)
		case abandoned: // while the answer was under way: closing the connection told nobody
			c.deleteAndEnd(f, recalled)
		}
		if rest != nil { // it decides nothing; a close over unread bytes would reset the connection
			defer time.AfterFunc(c.drainTime, func() { k.conn.Close() }).Stop()
			io.Copy(io.Discard, io.LimitReader(rest, maxReplyBytes))
			rest.Close()
		}
	}()
}

// Abandon implements core.Carrier.
func (c *Transport) Abandon(f *engine.Flow) { c.abandon(f, false) }

// Recall implements core.Carrier. A member that can't be reached keeps the
// flow: it may run, or report, yet.
func (c *Transport) Recall(f *engine.Flow) { c.abandon(f, true) }

func (c *Transport) abandon(f *engine.Flow, recall bool) {
	k, ok := f.TransportState.(*submission)
	if !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.abandoned {
		return
	}
	k.abandoned, k.recalled = true, recall
	switch {
	case k.accepted:
		go c.deleteAndEnd(f, recall)
	case recall && k.mayBeWhole() && k.conn.endWrites() == nil: // a 202 may be on its way, which then binds
		time.AfterFunc(c.drainTime, k.cancel)
	default:
		k.close()
	}
}

// EndedOutOfBand implements core.Carrier. The member has told the end of the flow by
// call-back: its 202, if it is yet to come, is waited for only so long. A request that
// isn't whole stays so: what was told is of an earlier attempt at that member.
func (c *Transport) EndedOutOfBand(f *engine.Flow) {
	k, ok := f.TransportState.(*submission)
	if !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.accepted:
	case k.mayBeWhole():
		time.AfterFunc(c.drainTime, k.cancel)
	default:
		k.abandoned = true
		k.close()
	}
}

// mayBeWhole tells whether the request's last byte was written or is being written. The
// lock is held.
func (k *submission) mayBeWhole() bool { return k.conn != nil && k.conn.sending.Load() }

// close ends the flow's connection, or its dial, before it returns: the last byte is
// not written then any more. The lock is held.
func (k *submission) close() {
	if k.conn != nil {
		k.conn.Close()
	}
	k.cancel()
}

// send submits the job. It returns taken if the member answered 202: then the
// outcome comes by call-back. What an answer means its header says; the rest of it, if
// there was one, is left to the caller to read and close. The load report is that of
// an answer which ends the flow.
func (c *Transport) send(ctx context.Context, f *engine.Flow, k *submission) (status policy.Status, taken bool, load policy.Report, rest io.ReadCloser) {
	var at *conn
	begin, latest := f.SentAt.Add(firstByteWithin), f.Deadline
	if f.TooLate(latest) {
		latest = f.LatestSend
	}
	ctx = dialUntil(ctx, begin)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if at, _ = info.Conn.(*conn); at != nil {
				at.setBodySize(len(f.Transaction.Body))
				at.setLimits(begin, latest)
				at.setClientGone(f.Transaction.Gone)
				k.mu.Lock()
				defer k.mu.Unlock()
				if k.conn = at; k.abandoned {
					at.Close()
				}
			}
		},
	})
	req, err := newRequest(ctx, f)
	if err != nil {
		return policy.NotSent, false, load, nil
	}
	resp, err := c.roundTripper.RoundTrip(req)
	switch {
	case err != nil && at == nil:
		return policy.ConnectFailed, false, load, nil
	case err != nil && !at.mayHaveSent(): // it came up, so the member is there
		return policy.NotSent, false, load, nil
	case err != nil:
		return policy.Reset, false, load, nil
	case resp.StatusCode == http.StatusAccepted && !at.sending.Load() && !at.mayHaveSent(): // it can't have what it took
		resp.Body.Close()
		return policy.NotSent, false, load, nil
	case resp.StatusCode == http.StatusAccepted:
		return policy.OK, true, load, resp.Body
	}
	// This answer ends the flow: its report is the member's last word.
	load, _ = loadreport.Parse([]byte(resp.Header.Get("X-Load-Report")))
	status = policy.Error
	switch rejected := resp.Header.Get("X-Rejected") == "1"; {
	case rejected && (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout):
		status = policy.Rejected
	case slices.Contains(invalidRequestStatuses, resp.StatusCode):
		status = policy.InvalidRequest
	}
	return status, false, load, resp.Body
}

// invalidRequestStatuses are the answers that blame the request alone. Others of their hundred
// may come of a member that is set up wrong: those count as errors.
var invalidRequestStatuses = []int{
	http.StatusBadRequest, http.StatusLengthRequired, http.StatusRequestEntityTooLarge, http.StatusRequestURITooLong,
	http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity, http.StatusRequestHeaderFieldsTooLarge,
}

// newRequest writes a flow in the platform's form. Path, query, body, id and key
// are the client's own, to the letter.
func newRequest(ctx context.Context, f *engine.Flow) (*http.Request, error) {
	t := f.Transaction
	target := t.Target
	if target == "" { // it came by a wire without paths
		target = "/" + url.PathEscape(t.Class)
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, err
	}
	u.Scheme, u.Host = "http", f.Member.Addr
	// The body is of a kind that the transport knows to be in memory: it then goes
	// out with the header in one write, not after it. It sends no request again on
	// a connection that is not kept, and without GetBody couldn't.
	req := (&http.Request{
		Method: http.MethodPost, URL: u, Host: f.Member.Addr, Header: make(http.Header),
		Body: io.NopCloser(bytes.NewReader(t.Body)), ContentLength: int64(len(t.Body)),
	}).WithContext(ctx)
	if len(t.Body) == 0 {
		// Any other empty body is sent in chunks: its end follows the header in a
		// second write, and a member that takes the header for all there is, and
		// breaks off between the two, would be told never to have had the request.
		req.Body = http.NoBody
	}
	req.Header.Set("User-Agent", "")
	req.Header.Set("X-Call-Id", t.ID)
	req.Header.Set("X-Call-Class", t.Class)
	req.Header.Set("X-Budget", strconv.FormatFloat(time.Until(f.Deadline).Seconds(), 'f', 3, 64))
	if t.Tenant != "" {
		req.Header.Set("X-Caller", t.Tenant)
	}
	if t.Key != "" {
		req.Header.Set("Idempotency-Key", t.Key)
	}
	return req, nil
}

// deleteAndEnd tells a member to forget a flow, and ends one that was asked back.
func (c *Transport) deleteAndEnd(f *engine.Flow, recalled bool) {
	if c.delete(f, time.Now().Add(deleteTimeout)) && recalled {
		c.sink.EndFlow(f, policy.Cancelled, nil)
	}
}

// delete reports whether the member has heard by then.
func (c *Transport) delete(f *engine.Flow, until time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if !c.acquireControlSlot(ctx) {
		return false
	}
	defer func() { <-c.controlSlots }()
	u := &url.URL{Scheme: "http", Host: f.Member.Addr, Path: "/jobs/" + f.Transaction.ID}
	req := (&http.Request{Method: http.MethodDelete, URL: u, Host: u.Host, Header: make(http.Header)}).WithContext(dialUntil(ctx, until))
	resp, err := c.roundTripper.RoundTrip(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}

// acquireControlSlot waits for a descriptor that may be used beside the flows'.
func (c *Transport) acquireControlSlot(ctx context.Context) bool {
	select {
	case c.controlSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Probe implements core.Carrier.
func (c *Transport) Probe(m *engine.Member) {
	go func() {
		sentAt := time.Now()
		s, r := c.probe(m, sentAt.Add(probeTimeout))
		c.sink.EndProbe(m, s, r, sentAt)
	}()
}

// probe asks a member for a sign of life, at /stats where the deployment's
// members report their load (its body is the report), else at /health/live.
// A report that can't be read is left out: the sign of life stands.
func (c *Transport) probe(m *engine.Member, until time.Time) (policy.Status, policy.Report) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if !c.acquireControlSlot(ctx) {
		return policy.TimedOut, policy.Report{}
	}
	defer func() { <-c.controlSlots }()
	var connected bool
	ctx = httptrace.WithClientTrace(dialUntil(ctx, until), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	u := &url.URL{Scheme: "http", Host: m.Addr, Path: "/health/live"}
	if c.options.ProbeStats {
		u.Path = "/stats"
	}
	// Without a body the transport would send a probe again by itself when a
	// kept connection breaks, and each one costs the member work.
	req := (&http.Request{
		Method: http.MethodGet, URL: u, Host: u.Host, Header: make(http.Header), Body: &unrepeatableBody{},
	}).WithContext(ctx)
	resp, err := c.roundTripper.RoundTrip(req)
	switch {
	case err != nil && !connected:
		return policy.ConnectFailed, policy.Report{}
	case errors.Is(err, context.DeadlineExceeded):
		return policy.TimedOut, policy.Report{}
	case err != nil:
		return policy.Reset, policy.Report{}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	resp.Body.Close()
	var r policy.Report
	if err == nil && c.options.ProbeStats {
		r, _ = loadreport.ParseBody(body)
	}
	if resp.StatusCode != http.StatusOK {
		return policy.Error, r
	}
	return policy.OK, r
}
