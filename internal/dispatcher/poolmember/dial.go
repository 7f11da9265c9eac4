package poolmember

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// newRoundTripper returns an http.Transport without automatic features: no proxy from the environment, no
// HTTP/2 and no compression. It follows no redirects either, which only http.Client does.
func newRoundTripper(o Options) *http.Transport {
	// TCP keep-alive is off: a connection lives for one request, and all waits have a deadline. Keep-alive
	// would cost four system calls for each connection.
	dialer := &net.Dialer{KeepAlive: -1}
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			due := time.Now().Add(o.ConnectTimeout)
			last := due
			if scope, ok := ctx.Value(dialScope{}).(dialScope); ok {
				defer context.AfterFunc(scope.request, cancel)()
				last = scope.latest
			}
			stop := extendLateDial(due, last, time.Now, cancel)
			defer stop()
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c, lastByteDelay: o.LastByteDelay, closed: make(chan struct{})}, nil
		},
		TLSNextProto:       map[string]func(string, *tls.Conn) http.RoundTripper{},
		DisableCompression: true,
		// Each request has its own connection. A connection that is kept for reuse may have been dropped
		// by the network, or its machine may be gone. That is noticed only after a request was written to
		// it, and the request may then have run. If a new connection can't be made, the request can't have
		// run.
		DisableKeepAlives: true,
		// The header of an answer, including 1xx answers before it, is bounded like its body.
		MaxResponseHeaderBytes: maxReplyBytes,
	}
}

// dialScope holds the context of the request that a dial is for, and the latest time to which the dial may be
// extended. http.Transport continues the dial of a cancelled request so that later requests can use the
// connection. Here no later request can, and the dial's file descriptor counts as the request's, so the dial
// is cancelled with the request. The type is also the key of its value in a context.
type dialScope struct {
	request context.Context
	latest  time.Time
}

// dialUntil returns a context for a request whose dial ends with ctx, and at the given time at the latest.
func dialUntil(ctx context.Context, last time.Time) context.Context {
	return context.WithValue(ctx, dialScope{}, dialScope{ctx, last})
}

// lateShare defines when the end of a dial's timeout is noticed late: by more than 1/lateShare of the timeout.
const lateShare = 8

// extendLateDial cancels a dial after its timeout, unless this process itself was late: if the end of the
// timeout is noticed late by more than 1/lateShare of it, a connection that came up meanwhile may not have
// been noticed either. The dial then gets its timeout again within the same attempt, at most until last, and
// this process's lateness does not count against the member. The returned function must be called once the
// dial has ended.
func extendLateDial(due, last time.Time, now func() time.Time, cancel func()) (stop func()) {
	var mu sync.Mutex
	var t *time.Timer
	ended := false
	timeout := due.Sub(now())
	mu.Lock()
	defer mu.Unlock()
	t = time.AfterFunc(timeout, func() {
		mu.Lock()
		defer mu.Unlock()
		switch at := now(); {
		case ended:
		case at.Sub(due) > timeout/lateShare && at.Before(last):
			if due = at.Add(timeout); due.After(last) {
				due = last
			}
			t.Reset(due.Sub(at))
		default:
			cancel()
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
		t.Stop()
	}
}
