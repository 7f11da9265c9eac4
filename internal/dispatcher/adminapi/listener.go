package adminapi

import (
	"net"
	"sync"
)

// limitedListener limits the number of open connections. A further one waits until one of them is
// closed; the server's timeouts limit that wait.
type limitedListener struct {
	net.Listener
	slots chan struct{} // holds one item for each open connection
}

// newLimitedListener returns a listener with at most limit open connections.
func newLimitedListener(l net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// limitedConn is a connection that frees its slot when Close is called for the first time.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
