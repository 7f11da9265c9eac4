package poolmember

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/loadreport"
	"basaltloft/internal/dispatcher/policy"
)

// unrepeatableBody is an empty body that can't be sent a second time. http.Transport resends a request
// without a body by itself when an idle connection turns out to be broken. It must not resend a request whose
// body is not http.NoBody and that has no GetBody. A resent probe would count as a second one.
type unrepeatableBody struct{}

// Read implements io.Reader.
func (*unrepeatableBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (*unrepeatableBody) Close() error { return nil }

// Probe implements engine.Transport. Its goroutine ends within probeTimeout.
func (t *Transport) Probe(m *engine.Member) {
	t.running.Go(func() {
		sentAt := time.Now()
		s, r := t.probe(m, sentAt.Add(probeTimeout))
		t.sink.EndProbe(m, s, r, sentAt)
	})
}

// probe checks whether a member is alive, with GET /stats if the deployment's members report their load (the
// answer's body is the report), else with GET /health/live. A report that can't be parsed is ignored.
func (t *Transport) probe(m *engine.Member, until time.Time) (policy.Status, policy.Report) {
	ctx, cancel := context.WithDeadline(t.lifetime, until)
	defer cancel()
	if !t.acquireControlSlot(ctx) {
		return policy.TimedOut, policy.Report{}
	}
	defer func() { <-t.controlSlots }()
	var connected bool
	ctx = httptrace.WithClientTrace(dialUntil(ctx, until), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	u := &url.URL{Scheme: "http", Host: m.Addr, Path: "/health/live"}
	if t.options.ProbeStats {
		u.Path = "/stats"
	}
	// Without a body http.Transport would resend a probe by itself when a reused connection breaks, and
	// each probe costs the member work.
	req := (&http.Request{
		Method: http.MethodGet, URL: u, Host: u.Host, Header: make(http.Header), Body: &unrepeatableBody{},
	}).WithContext(ctx)
	resp, err := t.roundTripper.RoundTrip(req)
	switch {
	case err != nil && !connected:
		return policy.ConnectFailed, policy.Report{}
	case errors.Is(err, context.DeadlineExceeded):
		return policy.TimedOut, policy.Report{}
	case err != nil:
		return policy.Reset, policy.Report{}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	_ = resp.Body.Close() // the body has been read
	var r policy.Report
	if err == nil && t.options.ProbeStats {
		r, _ = loadreport.ParseBody(body)
	}
	if resp.StatusCode != http.StatusOK {
		return policy.Error, r
	}
	return policy.OK, r
}
