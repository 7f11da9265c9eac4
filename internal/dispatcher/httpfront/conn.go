package httpfront

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// limitedConn is a connection of a limitedListener. Its state is guarded by the listener's lock.
type limitedConn struct {
	net.Conn
	listener    *limitedListener
	class       *list.List    // the listener's list that it is in; nil: none
	element     *list.Element // there
	since       time.Time     // when it became fresh
	sentBytes   bool          // since then
	carriedWork bool          // it carried a job or a callback
	closed      bool
	// nextStarted: a byte of the next request came while one was served. net/http reads it then, to
	// notice a client that leaves, and would wait for the rest as long as for an idle connection.
	nextStarted  bool
	readDeadline time.Time // as net/http set it
	// answeredEarly: its request was answered before it was whole, as bad input is: the rest may be on
	// its way.
	answeredEarly bool
	// backgroundRead: net/http reads to notice whether the client leaves. It begins that once a request
	// is whole, and perhaps before serve is called.
	backgroundRead bool
	raw            syscall.RawConn // nil: not a connection of the system's, but one that wraps it
	peeked         []byte          // read by hasUnread, for the next Read
	readAhead
}

// pastDeadline is a read deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// lingerTime is how long the rest of a request is read that was answered already, so that no close over
// unread bytes resets the connection before the client has read the answer.
const lingerTime = 500 * time.Millisecond

// defaultSilentTimeout is how long a client that has begun a request, or only connected, may send nothing,
// unless the operator says otherwise. One that goes on sending, in pieces of any size, is read until
// net/http's deadline for a header or a whole request.
const defaultSilentTimeout = 2 * time.Second

// expired reports whether a connection is to be ended in its present state. The lock is held.
func (c *limitedConn) expired() bool {
	switch {
	case c.class == nil, c.backgroundRead:
		return false
	case c.class == &c.listener.fresh:
		return c.listener.closingPartial.Load()
	}
	return c.listener.closingIdle.Load()
}

// beginRequest makes an idle connection fresh, as a request begins. The lock is held.
func (c *limitedConn) beginRequest() {
	if c.class == &c.listener.idleUnused || c.class == &c.listener.idleUsed {
		c.since, c.sentBytes = time.Now(), true
		c.moveTo(&c.listener.fresh)
	}
}

// moveTo puts a connection into a list, or into none (nil). The lock is held.
func (c *limitedConn) moveTo(to *list.List) {
	if c.closed {
		return
	}
	if c.class != nil {
		c.class.Remove(c.element)
	}
	if c.class = to; to != nil {
		c.element = to.PushBack(c)
		select {
		case c.listener.changed <- struct{}{}:
		default:
		}
	}
}

// serve is called when a request is whole. It reports whether the connection is still open: the request
// of one that was evicted meanwhile must not be served, since its client sends it again.
func (c *limitedConn) serve(used bool) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.carriedWork, c.nextStarted, c.answeredEarly = c.carriedWork || used, c.done != nil, false
	c.moveTo(nil)
	// It may have passed: net/http's background read would fail. It can't be set on one that is closed.
	_ = c.setReadDeadline(c.readDeadline)
	return !c.closed
}

// Read implements net.Conn. The deadline of a request counts from its first byte, also of one that follows
// another: net/http counts from the fifth byte.
func (c *limitedConn) Read(b []byte) (n int, err error) {
	c.stopReadAhead()
	background := len(b) == 1 // as net/http reads to notice a client that leaves
	c.listener.mu.Lock()
	c.backgroundRead = background
	c.setSilentDeadline()
	n, available, err := c.takeReadAhead(b)
	c.recordRead(n, background)
	c.listener.mu.Unlock()
	if available {
		return n, err
	}
	if c.raw == nil {
		n, err = c.Conn.Read(b)
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.recordRead(n, background)
		return n, err
	}
	// Bytes are read from the system and recorded under one lock: there is no moment in which a request
	// was read and its connection still counts as idle.
	failed := c.raw.Read(func(fd uintptr) bool {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		if n, err = c.readNow(int(fd), b); !errors.Is(err, syscall.EAGAIN) {
			c.recordRead(n, background)
			return true
		}
		return false
	})
	if errors.Is(failed, os.ErrDeadlineExceeded) {
		return c.readAvailable(b, failed)
	}
	if failed != nil {
		return 0, failed
	}
	return n, err
}

// readAvailable reads what has come by the time that a deadline has passed: a close over it would reset
// the connection, and lose what it asks. Where nothing has come it fails with the deadline's error.
func (c *limitedConn) readAvailable(b []byte, deadlineErr error) (n int, err error) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.raw.Control(func(fd uintptr) { n, err = c.readNow(int(fd), b) }) != nil || err != nil || n == 0 {
		return 0, deadlineErr
	}
	c.recordRead(n, len(b) == 1)
	return n, nil
}

// setSilentDeadline sets the deadline of the next byte of a request that is not whole. The lock is held.
func (c *limitedConn) setSilentDeadline() {
	if c.class != &c.listener.fresh {
		return
	}
	due := time.Now().Add(c.listener.silentTimeout)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(due) {
		due = c.readDeadline
	}
	_ = c.setReadDeadline(due) // it fails on one that is closed, as the read then does
}

// recordRead takes in that bytes were read, perhaps by net/http's background read, which ends with a byte.
// The lock is held.
func (c *limitedConn) recordRead(n int, background bool) {
	if n <= 0 {
		return
	}
	if background {
		c.startReadAhead()
	}
	if c.sentBytes = true; c.class == &c.listener.idleUnused || c.class == &c.listener.idleUsed {
		c.beginRequest()
		c.readDeadline = c.since.Add(headerTimeout)
	}
	c.nextStarted = c.nextStarted || c.class == nil && !c.closed
}

// readNow reads what has come, what hasUnread has read first. It fails with EAGAIN where nothing has come.
// The lock is held.
func (c *limitedConn) readNow(fd int, b []byte) (int, error) {
	if c.closed {
		return 0, net.ErrClosed
	}
	if len(c.peeked) > 0 {
		n := copy(b, c.peeked)
		c.peeked = c.peeked[n:]
		return n, nil
	}
	for {
		switch n, err := syscall.Read(fd, b); {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return 0, err
		case err != nil:
			return 0, &net.OpError{
				Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err),
			}
		case n == 0 && len(b) > 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// hasUnread reports whether bytes have come that the server has not read. It reads the first of them, so
// that one lock holds over the look and the close, while a Read may be waiting. What is read ahead counts
// as well, and while the connection is read ahead no byte may be read here. The lock is held.
func (c *limitedConn) hasUnread() bool {
	if len(c.unread) > 0 || c.done != nil {
		return true
	}
	if c.raw == nil {
		return false
	}
	if len(c.peeked) == 0 {
		// It fails on a connection that is closed: then nothing is read.
		_ = c.raw.Control(func(fd uintptr) {
			firstByte := make([]byte, 1)
			if n, err := c.readNow(int(fd), firstByte); err == nil {
				c.peeked = firstByte[:n]
			}
		})
	}
	if len(c.peeked) == 0 {
		return false
	}
	c.recordRead(len(c.peeked), false)
	c.setSilentDeadline() // without a second byte the waiting Read need not learn of the first
	return true
}

// SetReadDeadline implements net.Conn. The rest of a request whose first byte came early has the same
// deadline as that of any other.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if due := c.since.Add(headerTimeout); c.nextStarted && c.class == &c.listener.fresh && (t.IsZero() || t.After(due)) {
		t = due
	}
	c.readDeadline = t
	return c.setReadDeadline(t)
}

// setReadDeadline sets the read deadline, one that has passed where the connection is to be ended. The lock
// is held.
func (c *limitedConn) setReadDeadline(t time.Time) error {
	if c.expired() {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. It records whether a request is answered before it is whole.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.listener.mu.Lock()
	c.answeredEarly = c.class == &c.listener.fresh
	c.listener.mu.Unlock()
	return c.Conn.Write(b)
}

// CloseWrite is called by net/http after some answers to requests that were not whole.
func (c *limitedConn) CloseWrite() error {
	c.linger()
	return nil
}

// linger closes the connection for writing, and reads the rest of its request.
// Nothing is read where a request was whole: what follows it is another one.
func (c *limitedConn) linger() {
	c.listener.mu.Lock()
	early := c.answeredEarly && !c.closed
	c.answeredEarly = false
	c.listener.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !early || !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // it fails on one that is closed
	_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.Conn})
}

// Close implements net.Conn and gives the place back. While a request is served nobody who knows of it
// closes the connection: net/http, which closes idle ones, reads the state of a connection first and closes
// it then, with a request begun in between. Such a close is ignored; no connection is kept from there on,
// so this one ends with its answer.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	if c.answeredEarly {
		c.listener.mu.Unlock()
		c.linger()
		c.listener.mu.Lock()
	}
	if c.cancelRequest != nil {
		c.listener.mu.Unlock()
		return nil
	}
	released := c.release()
	c.listener.mu.Unlock()
	if !released {
		return net.ErrClosed
	}
	return c.Conn.Close()
}

// release gives the place back and reports whether it still had one. The lock is held; a caller that gets
// true closes the connection, without the lock: a close waits for a Read in progress, and that for the
// lock. Such a Read reads nothing any more.
func (c *limitedConn) release() bool {
	if c.closed {
		return false
	}
	c.moveTo(nil)
	c.closed = true
	c.dropReadAhead(len(c.unread))
	c.listener.open--
	select {
	case c.listener.changed <- struct{}{}:
	default:
	}
	return true
}
