package virtualserver

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// limited is a listener that holds so many connections at a time, to stay
// within the descriptors. When all are taken it closes the one that has been
// idle longest, which a client may always meet between requests; otherwise
// clients that only keep connections would shut out those with jobs, and the
// call-backs that end jobs.
type limited struct {
	net.Listener
	slots chan struct{}

	mu   sync.Mutex
	idle list.List // of *limitedConn, the longest idle first
	full bool      // a connection waits for a slot
}

type limitedConn struct {
	net.Conn
	of   *limited
	at   *list.Element // in idle
	once sync.Once
}

func newLimited(l net.Listener, most int) *limited {
	return &limited{Listener: l, slots: make(chan struct{}, most)}
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case l.slots <- struct{}{}:
	default:
		l.makeRoom(true)
		l.slots <- struct{}{}
		l.makeRoom(false)
	}
	return &limitedConn{Conn: c, of: l}, nil
}

// makeRoom closes the connection that has been idle longest, or else the next
// one to become idle.
func (l *limited) makeRoom(wanted bool) {
	l.mu.Lock()
	first := l.idle.Front()
	l.full = wanted && first == nil
	l.mu.Unlock()
	if wanted && first != nil {
		first.Value.(*limitedConn).Close()
	}
}

// state is told what becomes of connections.
func (l *limited) state(c net.Conn, s http.ConnState) {
	lc, ok := c.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	if lc.at != nil {
		l.idle.Remove(lc.at)
		lc.at = nil
	}
	evict := false
	if s == http.StateIdle {
		if evict = l.full; evict {
			l.full = false
		} else {
			lc.at = l.idle.PushBack(lc)
		}
	}
	l.mu.Unlock()
	if evict {
		lc.Close()
	}
}

// Close implements net.Conn and gives the slot back.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.of.slots })
	return c.Conn.Close()
}
