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

// limitedConn is a connection of a limitedListener. The listener's mu guards its state; "the lock" below is
// that mutex.
type limitedConn struct {
	net.Conn
	listener    *limitedListener
	class       *list.List    // the list of the listener that contains it; nil while it is in none
	element     *list.Element // its element in that list
	since       time.Time     // when it became fresh
	sentBytes   bool          // whether the client has sent anything since then
	carriedWork bool          // whether it has carried a job or a callback
	closed      bool
	// nextStarted reports that a byte of the next request came while a request was served. net/http has
	// read this byte to detect a disconnect, and would wait for the rest as long as on an idle connection.
	nextStarted  bool
	readDeadline time.Time // as set by net/http
	// answeredEarly reports that its request was answered before it was complete, as bad input is; the rest
	// may still arrive.
	answeredEarly bool
	// backgroundRead reports that net/http is reading to detect a disconnect of the client. net/http starts
	// this read once a request is complete, which may be before serve is called.
	backgroundRead bool
	raw            syscall.RawConn // nil if Conn is not a *net.TCPConn itself but wraps one
	peeked         []byte          // bytes that hasUnread has read, for the next Read
	readAhead
}

// pastDeadline is a read deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// lingerTime is how long the rest of an already answered request is read. Closing a connection with unread
// bytes would reset it, possibly before the client has read the answer.
const lingerTime = 500 * time.Millisecond

// defaultSilentTimeout is how long a client that has begun a request, or only connected, may send nothing,
// unless the operator configures another time. A client that keeps sending, in pieces of any size, may do so
// until net/http's deadline for a header or a complete request.
const defaultSilentTimeout = 2 * time.Second

// expired reports whether the connection must be closed in its present state. The lock is held.
func (c *limitedConn) expired() bool {
	switch {
	case c.class == nil, c.backgroundRead:
		return false
	case c.class == &c.listener.fresh:
		return c.listener.closingPartial.Load()
	}
	return c.listener.closingIdle.Load()
}

// beginRequest moves an idle connection to the fresh list when a request begins. The lock is held.
func (c *limitedConn) beginRequest() {
	if c.class == &c.listener.idleUnused || c.class == &c.listener.idleUsed {
		c.since, c.sentBytes = time.Now(), true
		c.moveTo(&c.listener.fresh)
	}
}

// moveTo moves the connection to a list, or out of any list if to is nil. The lock is held.
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

// serve is called when a request is complete. It reports whether the connection is still open: the request of
// a connection that has been evicted must not be served, since the client sends it again.
func (c *limitedConn) serve(used bool) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.carriedWork, c.nextStarted, c.answeredEarly = c.carriedWork || used, c.done != nil, false
	c.moveTo(nil)
	// The deadline may have passed, and net/http's background read would fail. An error means that the
	// connection is closed.
	_ = c.setReadDeadline(c.readDeadline)
	return !c.closed
}

// Read implements net.Conn. The deadline of every request counts from its first byte; for a later request on
// a connection, net/http would count from the fifth byte.
func (c *limitedConn) Read(b []byte) (n int, err error) {
	c.stopReadAhead()
	background := len(b) == 1 // as net/http reads to detect a disconnect
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
	// Bytes are read from the socket and recorded under the same lock, so that a connection never counts as
	// idle after bytes of a request have been read.
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

// readAvailable reads the bytes that had arrived when a read deadline passed: closing the connection with
// unread bytes would reset it and lose the request. If there are none, it returns deadlineErr.
func (c *limitedConn) readAvailable(b []byte, deadlineErr error) (n int, err error) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.raw.Control(func(fd uintptr) { n, err = c.readNow(int(fd), b) }) != nil || err != nil || n == 0 {
		return 0, deadlineErr
	}
	c.recordRead(n, len(b) == 1)
	return n, nil
}

// setSilentDeadline sets the read deadline for the next byte of an incomplete request. The lock is held.
func (c *limitedConn) setSilentDeadline() {
	if c.class != &c.listener.fresh {
		return
	}
	due := time.Now().Add(c.listener.silentTimeout)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(due) {
		due = c.readDeadline
	}
	_ = c.setReadDeadline(due) // fails if c is closed, as the read then does
}

// recordRead updates the state after n bytes have been read; background reports that net/http's background
// read got them, which ends with its first byte. The lock is held.
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

// readNow reads what is available without waiting, beginning with the bytes that hasUnread has read. It
// returns EAGAIN if nothing is available. The lock is held.
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

// hasUnread reports whether bytes have arrived that the server has not read, including those read ahead. It
// reads the first byte into peeked, so that this check and a close are done under one lock even while a Read
// is waiting. While another goroutine reads ahead, it must not read here and returns true. The lock is held.
func (c *limitedConn) hasUnread() bool {
	if len(c.unread) > 0 || c.done != nil {
		return true
	}
	if c.raw == nil {
		return false
	}
	if len(c.peeked) == 0 {
		// An error means that the connection is closed; nothing is read then.
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
	c.setSilentDeadline() // a waiting Read may not be woken for this byte; this deadline wakes it
	return true
}

// SetReadDeadline implements net.Conn. A request whose first byte came while the previous one was served gets
// the same deadline as any other request.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if due := c.since.Add(headerTimeout); c.nextStarted && c.class == &c.listener.fresh && (t.IsZero() || t.After(due)) {
		t = due
	}
	c.readDeadline = t
	return c.setReadDeadline(t)
}

// setReadDeadline sets the read deadline, or a deadline in the past if the connection must be closed. The
// lock is held.
func (c *limitedConn) setReadDeadline(t time.Time) error {
	if c.expired() {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. It records whether a request is answered before it is complete.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.listener.mu.Lock()
	c.answeredEarly = c.class == &c.listener.fresh
	c.listener.mu.Unlock()
	return c.Conn.Write(b)
}

// CloseWrite is called by net/http after some answers to incomplete requests.
func (c *limitedConn) CloseWrite() error {
	c.linger()
	return nil
}

// linger closes the connection for writing and reads the rest of its request. It does nothing if the request
// was complete, since what follows is another request.
func (c *limitedConn) linger() {
	c.listener.mu.Lock()
	early := c.answeredEarly && !c.closed
	c.answeredEarly = false
	c.listener.mu.Unlock()
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !early || !ok || halfCloser.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails if the connection is closed
	_, _ = io.Copy(io.Discard, struct{ io.Reader }{c.Conn})
}

// Close implements net.Conn and removes the connection from the listener's count. A Close while a request is
// served is ignored: net/http checks that a connection is idle and then closes it, and a request may begin in
// between. net/http only does so when it no longer keeps connections open, so this one is closed after its
// answer.
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

// release removes the connection from the listener's count, and reports false if that was done before. The
// lock is held. A caller that gets true must close the connection after it has released the lock: the close
// waits for a Read in progress, and that Read waits for the lock. Such a Read then reads nothing.
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
