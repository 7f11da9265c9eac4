package poolmember

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn knows whether the request on it may have reached the other side whole. A connection carries one
// request. It scans what is written for the request's last byte, which alone is kept back.
type conn struct {
	net.Conn
	lastByteDelay time.Duration
	closed        chan struct{} // closed by Close
	once          sync.Once     // of closed

	sending atomic.Bool // the last byte is being written, or was

	mu          sync.Mutex
	clientGone  func() bool // whether the client has left: then nothing more is written; nil: it stays
	firstByteBy time.Time   // the first byte is written before then or not at all; zero: whenever
	lastByteBy  time.Time   // and the last one
	started     bool        // the first byte was written
	bodyLeft    int         // bytes of the request's body that are still to come
	headerEnd   int         // how many bytes of the end of its header have come, of 4
	whole       bool        // the last byte was due
	failed      bool        // a write has failed, or was not made
}

// setLimits sets when the request's first and its last byte must have been written; zero: no matter.
func (c *conn) setLimits(first, latest time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstByteBy, c.lastByteBy = first, latest
}

// setClientGone sets how to learn that nobody waits for the request.
func (c *conn) setClientGone(gone func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clientGone = gone
}

// setBodySize sets the size of the request's body; it is 0 without.
func (c *conn) setBodySize(body int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyLeft = body
}

// endsRequest scans what is about to be written, and reports whether it holds the request's last byte.
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

// Write implements net.Conn. It keeps the request's last byte back.
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
			// The other side may not read: what is held up here must not go out later. It fails only on a
			// connection that is closed, as the write then does.
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

// awaitLastByte waits until the last byte may be written. It fails if that is too late, as the connection
// came up late or this process was late, and if the connection is closed before: by http.Transport, whose
// read has found it broken, or since the flow was cancelled. The byte is then not written, though the
// system might still take it, and the attempt is known never to have run.
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

// past reports whether a moment has come; zero: never.
func past(at time.Time) bool { return !at.IsZero() && !time.Now().Before(at) }

// errStale says that it is too late to send a request: its member may drain by now or may have forgotten
// its key, or nobody waits any more.
var errStale = errors.New("it is too late to send the request")

// endWrites closes the connection for writing; what the other side answers can still be read. It fails
// where a connection can't do that.
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

// mayHaveSent reports whether the system took the whole request. It closes the connection first: a write
// in progress could otherwise still succeed after the attempt was said never to have run.
func (c *conn) mayHaveSent() bool {
	_ = c.Close() // its error says nothing of what was sent
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.whole && !c.failed
}
