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

// exchange is the transport's state of a flow. A flow is abandoned by closing its connection while
// the member has not answered, and by DELETE afterwards.
type exchange struct {
	mu        sync.Mutex
	accepted  bool  // the member has answered 202
	abandoned bool  // nobody waits for the flow any more
	recalled  bool  // it is abandoned, and its end is to be told once the member has confirmed that
	conn      *conn // nil: not connected yet
	cancel    context.CancelFunc
}

// sendResult is how a flow was sent.
type sendResult struct {
	accepted bool          // the member answered 202: the flow's end comes by callback
	status   policy.Status // how the flow ended, unless it was accepted
	load     policy.Report // of the answer that ended it
	rest     io.ReadCloser // of the answer, to be read and closed; nil: nothing
}

// mayBeWhole reports whether the request's last byte was written or is being written. The lock is held.
func (sub *exchange) mayBeWhole() bool { return sub.conn != nil && sub.conn.sending.Load() }

// close ends the flow's connection, or its dial, before it returns: the last byte is not written any
// more. The lock is held.
func (sub *exchange) close() {
	if sub.conn != nil {
		_ = sub.conn.Close() // it is abandoned
	}
	sub.cancel()
}

// send submits a flow. What an answer means its header says.
func (t *Transport) send(ctx context.Context, f *engine.Flow, sub *exchange) sendResult {
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
				sub.mu.Lock()
				defer sub.mu.Unlock()
				if sub.conn = at; sub.abandoned {
					_ = at.Close() // it is abandoned
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
	case err != nil && at == nil:
		return sendResult{status: policy.ConnectFailed}
	case err != nil && !at.mayHaveSent(): // it came up, so the member is there
		return sendResult{status: policy.NotSent}
	case err != nil:
		return sendResult{status: policy.Reset}
	case accepted && !at.sending.Load() && !at.mayHaveSent(): // it can't have what it accepted
		_ = resp.Body.Close() // nothing more is read
		return sendResult{status: policy.NotSent}
	case accepted:
		return sendResult{accepted: true, status: policy.OK, rest: resp.Body}
	}
	// This answer ends the flow: its report is the member's last one. One that can't be read is left out.
	load, _ := loadreport.Parse([]byte(resp.Header.Get("X-Load-Report")))
	return sendResult{status: rejectionStatus(resp), load: load, rest: resp.Body}
}

// rejectionStatus is what an answer other than 202 means.
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

// invalidRequestStatuses are the answers that blame the request alone. Other answers of their hundred
// may come of a member that is set up wrong: those count as errors.
var invalidRequestStatuses = []int{
	http.StatusBadRequest, http.StatusLengthRequired, http.StatusRequestEntityTooLarge, http.StatusRequestURITooLong,
	http.StatusUnsupportedMediaType, http.StatusUnprocessableEntity, http.StatusRequestHeaderFieldsTooLarge,
}

// newRequest returns a flow's request in the platform's form. Path, query, body, id and key are the
// client's own, to the letter.
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
