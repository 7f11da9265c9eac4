package poolmember

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
)

// acquireControlSlot waits for a descriptor that may be used beside those of flows; false: none was free
// before the context ended.
func (t *Transport) acquireControlSlot(ctx context.Context) bool {
	select {
	case t.controlSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// delete tells a member with DELETE that a flow is abandoned, and reports whether it has answered by
// then.
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
	_ = resp.Body.Close() // nothing of it is read
	return true
}

// deleteAndEnd tells a member that a flow is abandoned, and ends one that was recalled once the member
// has confirmed it.
func (t *Transport) deleteAndEnd(f *engine.Flow, recalled bool) {
	if t.delete(f, time.Now().Add(deleteTimeout)) && recalled {
		t.sink.EndFlow(f, policy.Cancelled, nil)
	}
}
