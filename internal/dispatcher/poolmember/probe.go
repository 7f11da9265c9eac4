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

// unrepeatableBody is an empty body that can't be read a second time. http.Transport sends a request
// without a body again by itself when an idle connection turns out to be broken; without GetBody, and
// with a body that is not http.NoBody, it must not. A resent probe would count as a second one.
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

// probe asks a member for a sign of life, at /stats where the deployment's members report their load
// (its body is the report), else at /health/live. A report that can't be read is left out.
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
	// Without a body the transport would send a probe again by itself when a
	// kept connection breaks, and each one costs the member work.
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
	_ = resp.Body.Close() // what there is has been read
	var r policy.Report
	if err == nil && t.options.ProbeStats {
		r, _ = loadreport.ParseBody(body)
	}
	if resp.StatusCode != http.StatusOK {
		return policy.Error, r
	}
	return policy.OK, r
}
