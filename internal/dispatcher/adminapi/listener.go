package adminapi

import (
	"net"
	"sync"
)

// limitedListener accepts a limited number of connections at a time. A further one waits until
// one of them is closed; the time-outs of the server bound how long that takes.
type limitedListener struct {
	net.Listener
	slots chan struct{} // holds one item for each open connection
}

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

// limitedConn frees its slot when it is closed first.
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
