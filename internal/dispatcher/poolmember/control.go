package poolmember

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// acquireControlSlot acquires one of the connections that are reserved for probes and DELETEs. It returns
// false if none became free before the context ended.
func (t *Transport) acquireControlSlot(ctx context.Context) bool {
	select {
	case t.controlSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// delete sends a member the DELETE of an abandoned flow, and reports whether the member answered before the
// given time.
func (t *Transport) delete(f *engine.Flow, until time.Time) bool {
	ctx, cancel := context.WithDeadline(t.lifetime, until)
	defer cancel()
	if !t.acquireControlSlot(ctx) {
		return false
	}
	defer func() { <-t.controlSlots }()
	u := &url.URL{Scheme: "http", Host: f.Member.Addr, Path: "/jobs/" + f.Transaction.ID}
	req := (&http.Request{
		Method: http.MethodDelete, URL: u, Host: u.Host, Header: make(http.Header),
	}).WithContext(dialUntil(ctx, until))
	resp, err := t.roundTripper.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the body is not needed
	return true
}

// deleteAndEnd sends a member the DELETE of a flow. A recalled flow then ends if the member has confirmed it.
func (t *Transport) deleteAndEnd(f *engine.Flow, recalled bool) {
	if t.delete(f, time.Now().Add(deleteTimeout)) && recalled {
		t.sink.EndFlow(f, policy.Cancelled, nil)
	}
}
