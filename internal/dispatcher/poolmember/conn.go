package poolmember

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection that carries one request and tracks whether the whole request may have reached the
// other side. It scans the written bytes for the request's last byte, and delays only that byte.
type conn struct {
	net.Conn
	lastByteDelay time.Duration
	closed        chan struct{} // closed by Close
	once          sync.Once     // for closing closed

	sending atomic.Bool // the last byte is being written, or was written

	mu          sync.Mutex
	clientGone  func() bool // reports that the client has left: nothing more is written then; nil: never
	firstByteBy time.Time   // the first byte must be written before this, or none is; zero: no limit
	lastByteBy  time.Time   // the same for the last byte
	started     bool        // writing has begun
	bodyLeft    int         // bytes of the request's body that have not been passed to Write yet
	headerEnd   int         // how many of the 4 bytes that end the header have been scanned
	whole       bool        // the last byte was passed to Write
	failed      bool        // a write has failed, or was not attempted
}

// setLimits sets the times by which the request's first and last byte must be written; zero: no limit.
func (c *conn) setLimits(first, latest time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstByteBy, c.lastByteBy = first, latest
}

// setClientGone sets the function that reports whether the request's client has left.
func (c *conn) setClientGone(gone func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clientGone = gone
}

// setBodySize sets the size of the request's body, 0 if it has none.
func (c *conn) setBodySize(body int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyLeft = body
}

// endsRequest scans bytes that are about to be written, and reports whether they end the request.
func (c *conn) endsRequest(b []byte) bool {
	const end = "\r\n\r\n"
	for len(b) > 0 && c.headerEnd < len(end) {
		switch b[0] {
		case end[c.headerEnd]:
			c.headerEnd++
		case '\r':
			c.headerEnd = 1
		default:
			c.headerEnd = 0
		}
		b = b[1:]
	}
	c.bodyLeft -= len(b)
	return c.headerEnd == len(end) && c.bodyLeft <= 0
}

// Write implements net.Conn. It delays the request's last byte; see awaitLastByte.
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
			// If the other side does not read, the write blocks: the byte must not go out later.
			// SetWriteDeadline fails only on a closed connection, on which the write fails too.
			_ = c.SetWriteDeadline(c.lastByteBy)
			c.sending.Store(true)
			var more int
			more, err = c.Conn.Write(b[last:])
			n += more
		}
	}
	c.whole, c.failed = true, c.failed || err != nil
	return n, err
}

// awaitLastByte waits until the last byte may be written. It returns an error if that is too late, because
// the connection came up late or this process was late, if the client has left, and if the connection is
// closed meanwhile, either by http.Transport, whose read found it broken, or because the flow was cancelled.
// The byte is then not written, even if the system would still accept it, so the attempt can't have run.
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

// errGone is returned by Write when the request's client has left.
var errGone = errors.New("the client has left")

// past reports whether a time has come; a zero time never comes.
func past(at time.Time) bool { return !at.IsZero() && !time.Now().Before(at) }

// errStale is returned by Write when it is too late to send the request: the member may be draining or may
// have forgotten the request's key by now, or the deadline has passed.
var errStale = errors.New("it is too late to send the request")

// endWrites closes the connection for writing; the other side's answer can still be read. It returns an error
// if the connection does not support that.
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

// mayHaveSent reports whether the system accepted the whole request. It closes the connection first: a write
// in progress could otherwise still succeed after the attempt was reported as never run.
func (c *conn) mayHaveSent() bool {
	_ = c.Close() // its error doesn't show what was sent
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.whole && !c.failed
}
