package poolmember

import (
	"bytes"
	"context"
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

// exchange is the transport's state of a flow. A flow is abandoned by closing its connection until the
// member has answered, and by DELETE afterwards.
type exchange struct {
	mu        sync.Mutex
	accepted  bool  // the member has answered 202
	abandoned bool  // the flow's result is not needed any more
	recalled  bool  // the flow is abandoned and ends once the member has confirmed that
	conn      *conn // nil: not connected yet
	cancel    context.CancelFunc
}

// sendResult is the result of sending a flow.
type sendResult struct {
	accepted bool          // the member answered 202: the flow's end comes by callback
	status   policy.Status // how the flow ended, unless it was accepted
	load     policy.Report // load report in the answer that ended the flow
	rest     io.ReadCloser // rest of the answer, to be read and closed; nil: none
}

// mayBeWhole reports whether the request's last byte was written or is being written. The caller holds the
// lock.
func (sub *exchange) mayBeWhole() bool { return sub.conn != nil && sub.conn.sending.Load() }

// close closes the flow's connection or cancels its dial; after close returns, the last byte is not written
// any more. The caller holds the lock.
func (sub *exchange) close() {
	if sub.conn != nil {
		_ = sub.conn.Close() // the connection is abandoned
	}
	sub.cancel()
}

// send submits a flow. It interprets an answer by its status and header alone.
func (t *Transport) send(ctx context.Context, f *engine.Flow, sub *exchange) sendResult {
	var c *conn
	begin, latest := f.SentAt.Add(firstByteWithin), f.Deadline
	if f.TooLate(latest) {
		latest = f.LatestSend
	}
	ctx = dialUntil(ctx, begin)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, _ = info.Conn.(*conn); c != nil {
				c.setBodySize(len(f.Transaction.Body))
				c.setLimits(begin, latest)
				c.setClientGone(f.Transaction.Gone)
				sub.mu.Lock()
				defer sub.mu.Unlock()
				if sub.conn = c; sub.abandoned {
					_ = c.Close() // the flow is abandoned
				}
			}
		},
	})
	req, err := newRequest(ctx, f)
	if err != nil {
		return sendResult{status: policy.NotSent}
	}
	resp, err := t.roundTripper.RoundTrip(req)
	accepted := err == nil && resp.StatusCode == http.StatusAccepted
	switch {
	case err != nil && c == nil:
		return sendResult{status: policy.ConnectFailed}
	case err != nil && !c.mayHaveSent(): // the connection came up, so the member is reachable
		return sendResult{status: policy.NotSent}
	case err != nil:
		return sendResult{status: policy.Reset}
	case accepted && !c.sending.Load() && !c.mayHaveSent(): // the member can't have the whole request
		_ = resp.Body.Close() // the rest is not read
		return sendResult{status: policy.NotSent}
	case accepted:
		return sendResult{accepted: true, status: policy.OK, rest: resp.Body}
	}
	// This answer ends the flow; its load report is the flow's last. One that can't be parsed is ignored.
	load, _ := loadreport.Parse([]byte(resp.Header.Get("X-Load-Report")))
	return sendResult{status: rejectionStatus(resp), load: load, rest: resp.Body}
}

// rejectionStatus returns the status of a flow that its member answered with another status than 202.
func rejectionStatus(resp *http.Response) policy.Status {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case unavailable && resp.Header.Get("X-Rejected") == "1":
		return policy.Rejected
	case slices.Contains(invalidRequestStatuses, resp.StatusCode):
		return policy.InvalidRequest
	}
	return policy.Error
}

// invalidRequestStatuses are the HTTP statuses that only an invalid request can cause. Other 4xx statuses may
// come from a misconfigured member, and count as errors.
var invalidRequestStatuses = []int{
	http.StatusBadRequest, http.StatusLengthRequired, http.StatusRequestEntityTooLarge, http.StatusRequestURITooLong,
	http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity, http.StatusRequestHeaderFieldsTooLarge,
}

// newRequest returns the HTTP request for a flow in the platform's protocol. Path, query, body, id and key are
// exactly the client's.
func newRequest(ctx context.Context, f *engine.Flow) (*http.Request, error) {
	t := f.Transaction
	target := t.Target
	if target == "" { // the client's protocol has no paths
		target = "/" + url.PathEscape(t.Class)
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, err
	}
	u.Scheme, u.Host = "http", f.Member.Addr
	// http.Transport recognises this type of body as in memory, and sends it in one write with the header.
	// It never resends a request on a connection that is not reused, and without GetBody it can't.
	req := (&http.Request{
		Method: http.MethodPost, URL: u, Host: f.Member.Addr, Header: make(http.Header),
		Body: io.NopCloser(bytes.NewReader(t.Body)), ContentLength: int64(len(t.Body)),
	}).WithContext(ctx)
	if len(t.Body) == 0 {
		// Any other empty body is sent in chunks, so its end follows the header in a second write. If a
		// member treated the header as the whole request, and the connection broke between the two
		// writes, a request that ran would be reported as never sent.
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
