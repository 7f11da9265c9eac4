package poolmember

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// newRoundTripper returns a transport that does nothing of its own accord: no
// proxy from the environment, no HTTP/2, no compression, no redirects (they
// are http.Client's, which is not used).
func newRoundTripper(f Options) *http.Transport {
	// No keep-alive of the system's: a connection lives for one request, and what
	// is waited for has a deadline. It would cost four calls a connection.
	dialer := &net.Dialer{KeepAlive: -1}
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			due := time.Now().Add(f.ConnectTimeout)
			last := due
			if of, ok := ctx.Value(dialContextKey{}).(dialContextKey); ok {
				defer context.AfterFunc(of.request, cancel)()
				last = of.latest
			}
			stop := extendLateDial(due, last, time.Now, cancel)
			defer stop()
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c, lastByteDelay: f.LastByteDelay, closed: make(chan struct{})}, nil
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

// dialContextKey is what a dial is for, and the latest moment to which it may be given its
// time again. http.Transport keeps a dial whose request was called off, for requests
// to come; here none can use it, and its descriptor is counted with its request.
type dialContextKey struct {
	request context.Context
	latest  time.Time
}

// dialUntil makes the dial for a request end with its context.
func dialUntil(ctx context.Context, last time.Time) context.Context {
	return context.WithValue(ctx, dialContextKey{}, dialContextKey{ctx, last})
}

// lateShare is the share of its time by which a dial's end may be noticed late.
const lateShare = 8

// extendLateDial ends a dial once its time is up, unless this process is what was late:
// an end that is noticed late by more than a part of the dial's time says that
// what has come up meanwhile was not noticed either. The dial then has its time
// again, in the same attempt, up to the last moment, and the member is not blamed.
// The function that it returns must be called once the dial has ended.
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

// conn knows whether the request on it may have reached the other side whole.
// A connection carries one request at a time. It reads along what is written, to
// know which byte is the request's last: that one alone is kept back.
type conn struct {
	net.Conn
	lastByteDelay time.Duration
	closed        chan struct{}
	once          sync.Once

	sending atomic.Bool // the last byte is being written, or was

	mu                      sync.Mutex
	clientGone              func() bool // whether the client has left: then nothing goes out, nor the last byte; nil: it stays
	firstByteBy, lastByteBy time.Time   // the first and the last byte go out before then or not at all; zero: whenever
	started                 bool
	bodyLeft                int // bytes of the request's body that are still to come
	headerEnd               int // how much of the end of its header has come: 4 is all
	whole, failed           bool
}

// setLimits says when the request's first and its last byte must have gone out; zero: no
// matter.
func (c *conn) setLimits(first, latest time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstByteBy, c.lastByteBy = first, latest
}

// setClientGone says how to learn that nobody waits for the request.
func (c *conn) setClientGone(gone func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clientGone = gone
}

// setBodySize tells the size of the request's body. Without it the request has none.
func (c *conn) setBodySize(body int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyLeft = body
}

// endsRequest counts what is about to be written, and tells whether it holds the request's
// last byte.
func (c *conn) endsRequest(b []byte) bool {
	const end = "\r\n\r\n"
	for len(b) > 0 && c.headerEnd < len(end) {
		switch {
		case b[0] == end[c.headerEnd]:
			c.headerEnd++
		case b[0] == '\r':
			c.headerEnd = 1
		default:
			c.headerEnd = 0
		}
		b = b[1:]
	}
	c.bodyLeft -= len(b)
	return c.headerEnd == len(end) && c.bodyLeft <= 0
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clientGone != nil && c.clientGone() {
		c.failed = true
		return 0, errGone
	}
	if !c.started {
		if past(c.firstByteBy) {
			return 0, errStale
		}
		c.started = true
	}
	if !c.endsRequest(b) {
		n, err := c.Conn.Write(b)
		c.failed = c.failed || err != nil
		return n, err
	}
	last := max(0, len(b)-1)
	n, err := c.Conn.Write(b[:last])
	if err == nil {
		if err = c.awaitLastByte(); err == nil {
			c.Conn.SetWriteDeadline(c.lastByteBy) // the other side may not read: what is held up here mustn't go out later
			c.sending.Store(true)
			var more int
			more, err = c.Conn.Write(b[last:])
			n += more
		}
	}
	c.whole, c.failed = true, c.failed || err != nil
	return n, err
}

// awaitLastByte waits for the last byte's time. It fails if that is past the latest, for a
// connection that came up late or a process that was, and if the connection is closed
// before: by the transport, whose read has found it broken, or since the flow was
// called off. The byte then stays here, though the system might still take it,
// and the attempt is known never to have run.
func (c *conn) awaitLastByte() error {
	t := time.NewTimer(c.lastByteDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.closed:
	}
	select {
	case <-c.closed:
		return net.ErrClosed
	default:
	}
	if past(c.lastByteBy) {
		return errStale
	}
	if c.clientGone != nil && c.clientGone() {
		return errGone
	}
	return nil
}

// errGone says that nobody waits for a request any more.
var errGone = errors.New("the client has left")

// past tells whether a moment has come; zero: never.
func past(at time.Time) bool { return !at.IsZero() && !time.Now().Before(at) }

// errStale says that a request came too late to be sent: its member may drain by now
// or may have forgotten its key, or nobody waits any more.
var errStale = errors.New("it is too late to send the request")

// endWrites tells the other side that nothing more comes, and leaves what it answers to
// be read. It fails where a connection can't do that.
func (c *conn) endWrites() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// mayHaveSent tells whether the whole request was taken by the system. It closes
// the connection first: a write that is under way would otherwise still go out
// after the attempt was told never to have run.
func (c *conn) mayHaveSent() bool {
	c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.whole && !c.failed
}

// unrepeatableBody is an empty body that cannot be had a second time. http.Transport sends a
// request without a body again by itself when an idle connection turns out to be
// broken; without GetBody, and with a body that is never http.NoBody, it must not.
// A resent probe would count as a second one.
type unrepeatableBody struct{}

func (*unrepeatableBody) Read([]byte) (int, error) { return 0, io.EOF }
func (*unrepeatableBody) Close() error             { return nil }
