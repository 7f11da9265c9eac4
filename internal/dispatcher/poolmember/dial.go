package poolmember

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// newRoundTripper returns a transport that does nothing of its own accord: no proxy from the environment,
// no HTTP/2, no compression, no redirects (which are http.Client's).
func newRoundTripper(o Options) *http.Transport {
	// No keep-alive of the system's: a connection lives for one request, and what
	// is waited for has a deadline. It would cost four calls a connection.
	dialer := &net.Dialer{KeepAlive: -1}
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			due := time.Now().Add(o.ConnectTimeout)
			last := due
			if of, ok := ctx.Value(dialScope{}).(dialScope); ok {
				defer context.AfterFunc(of.request, cancel)()
				last = of.latest
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
		// Each request has a connection of its own. A kept one may have been
		// dropped on the way, or lead to a machine that has vanished, which shows
		// only after the request was written to it: then it may have run. A new
		// one that does not come up proves that it never ran.
		DisableKeepAlives: true,
		// What precedes an answer, 1xx included, is bounded, as its body is.
		MaxResponseHeaderBytes: maxReplyBytes,
	}
}

// dialScope is the request that a dial is for, and the latest moment to which the dial may be extended.
// http.Transport keeps a dial whose request was cancelled, for requests to come; here none can use it,
// and its descriptor is counted with its request. It is its own key in a context.
type dialScope struct {
	request context.Context
	latest  time.Time
}

// dialUntil makes the dial for a request end with its context, and at the latest then.
func dialUntil(ctx context.Context, last time.Time) context.Context {
	return context.WithValue(ctx, dialScope{}, dialScope{ctx, last})
}

// lateShare: a dial's end is noticed late if that is by more than this fraction (1/lateShare) of its time.
const lateShare = 8

// extendLateDial cancels a dial once its time is up, unless this process is what was late: if the end is
// noticed late by more than a part of the dial's time, a connection that has come up meanwhile was not
// noticed either. The dial then has its time again, in the same attempt, up to the last moment, and the
// member is not blamed. The returned function must be called once the dial has ended.
func extendLateDial(due, last time.Time, now func() time.Time, cancel func()) (stop func()) {
	var mu sync.Mutex
	var t *time.Timer
	ended := false
	within := due.Sub(now())
	mu.Lock()
	defer mu.Unlock()
	t = time.AfterFunc(within, func() {
		mu.Lock()
		defer mu.Unlock()
		switch at := now(); {
		case ended:
		case at.Sub(due) > within/lateShare && at.Before(last):
			if due = at.Add(within); due.After(last) {
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
