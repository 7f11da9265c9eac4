package httpdrain

import (
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// listener accepts connections whose received bytes can be observed.
type listener struct {
	*net.TCPListener
	accepted func(*connection) // called for each connection before it is served
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err //nolint:wrapcheck // http.Server examines the error
	}
	c := &connection{TCPConn: conn}
	l.accepted(c)
	return c, nil
}

// hasBacklog reports whether a connection waits to be accepted.
func (l *listener) hasBacklog() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(descriptor uintptr) {
		ready := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}} //nolint:gosec // a file descriptor fits
		n, pollErr := unix.Poll(ready, 0)
		waiting = pollErr == nil && n > 0
	})
	return err == nil && waiting
}

// connection is a client's connection.
type connection struct {
	*net.TCPConn
	received atomic.Bool // the server has read bytes since the connection last became idle
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err //nolint:wrapcheck // http.Server examines the error
}

// requestArrived reports whether bytes of a request have arrived since the connection last became
// idle, whether the server has read them or not. The receive buffer is examined first: bytes that the
// server reads meanwhile are then found in received.
func (c *connection) requestArrived() bool { return c.hasUnreadBytes() || c.received.Load() }

// hasUnreadBytes reports whether the connection's receive buffer has bytes.
func (c *connection) hasUnreadBytes() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(descriptor uintptr) {
		n, _, receiveErr := unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = receiveErr == nil && n > 0
	})
	return err == nil && unread
}
