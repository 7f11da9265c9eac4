package virtualserver

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// patience is how long a connection is left to send its request before it may
// be closed for another's sake. A usual client sends at once; what it sent may
// lie unread for a while on a busy machine, and its first request is lost if
// its connection is closed without an answer.
const patience = 250 * time.Millisecond

// limited is a listener that holds so many connections at a time, to stay
// within the descriptors. When all are taken it closes one that can best be
// spared, so that clients that only connect, or only stay, shut out neither
// those with jobs nor the call-backs that end jobs. It never closes one whose
// request is being served.
type limited struct {
	net.Listener
	most   int
	done   chan struct{}
	closed sync.Once
	change chan struct{} // something that enter waits for may have happened

	mu   sync.Mutex
	held int
	// Each connection is in one of these, the longest there first, or in none
	// while it is served.
	fresh list.List // its request is not whole: silent, trickling or just come
	spare list.List // idle, and it never carried a job or a call-back
	kept  list.List // idle after one
}

type limitedConn struct {
	net.Conn
	of    *limited
	in    *list.List
	at    *list.Element
	since time.Time // it is fresh
	heard bool      // since then
	used  bool      // it carried a job or a call-back
	gone  bool
	// early: a byte of the next request came while one was served. net/http reads it
	// then, to notice a client that leaves, and would wait for the rest as long as
	// for a connection that is idle.
	early bool
	asked time.Time // the read deadline that net/http set
}

// silentFor is how long a client that has begun a request, or only connected,
// may send nothing. One that goes on sending, in pieces of any size, is read
// until net/http's deadline for a header or a whole request.
const silentFor = 2 * time.Second

func newLimited(l net.Listener, most int) *limited {
	return &limited{Listener: l, most: most, done: make(chan struct{}), change: make(chan struct{}, 1)}
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	lc := &limitedConn{Conn: c, of: l, since: time.Now()}
	for until := l.enter(lc); !until.IsZero(); until = l.enter(lc) {
		wake := time.NewTimer(time.Until(until))
		select {
		case <-l.change:
		case <-wake.C:
		case <-l.done:
			c.Close()
			return nil, net.ErrClosed
		}
		wake.Stop()
	}
	return lc, nil
}

// Close implements net.Listener.
func (l *limited) Close() error {
	l.closed.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// over tells whether the listener has been closed.
func (l *limited) over() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// holds is how many connections are open.
func (l *limited) holds() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// enter lets a connection in, in another's place if need be. Where none can be
// spared it returns when to try again.
func (l *limited) enter(c *limitedConn) (until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held >= l.most {
		victim, until := l.victim(time.Now())
		if victim == nil {
			return until
		}
		victim.end()
	}
	l.held++
	c.move(&l.fresh)
	return time.Time{}
}

// victim is the connection that can best be spared: an idle one that was never
// of use, one that has sent nothing in the time a usual client needs, one that
// has not sent all in that time, an idle one. A client may always meet the
// close of an idle connection, and sends again what crosses it.
func (l *limited) victim(now time.Time) (c *limitedConn, until time.Time) {
	if at := l.spare.Front(); at != nil {
		return at.Value.(*limitedConn), until
	}
	until = now.Add(time.Hour)
	var slow *limitedConn
	for at := l.fresh.Front(); at != nil; at = at.Next() {
		c := at.Value.(*limitedConn)
		if due := c.since.Add(patience); due.After(now) {
			until = due
			break
		}
		if !c.heard {
			return c, until
		}
		if slow == nil {
			slow = c
		}
	}
	if slow != nil {
		return slow, until
	}
	if at := l.kept.Front(); at != nil {
		return at.Value.(*limitedConn), until
	}
	return nil, until
}

// state is told what becomes of connections.
func (l *limited) state(c net.Conn, s http.ConnState) {
	lc, ok := c.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case s == http.StateIdle && lc.early:
		lc.since, lc.heard = time.Now(), true
		lc.move(&l.fresh)
	case s == http.StateIdle && lc.used:
		lc.move(&l.kept)
	case s == http.StateIdle:
		lc.move(&l.spare)
	case s == http.StateActive:
		lc.early = false
		lc.begin()
	}
}

// begin takes in that a request begins. The lock is held.
func (c *limitedConn) begin() {
	if c.in == &c.of.spare || c.in == &c.of.kept {
		c.since, c.heard = time.Now(), true
		c.move(&c.of.fresh)
	}
}

// move puts a connection into a list, or into none. The lock is held.
func (c *limitedConn) move(to *list.List) {
	if c.gone {
		return
	}
	if c.in != nil {
		c.in.Remove(c.at)
	}
	if c.in = to; to != nil {
		c.at = to.PushBack(c)
		select {
		case c.of.change <- struct{}{}:
		default:
		}
	}
}

// serve takes in that a request is whole. It reports whether the connection is
// still there: one that was closed for another's sake meanwhile must not have
// its request served, since its client sends it again elsewhere.
func (c *limitedConn) serve(used bool) bool {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.used, c.early = c.used || used, false
	c.move(nil)
	return !c.gone
}

// Read implements net.Conn. From the first byte of a request on its rest is
// due, also of one that follows another: net/http counts from the fifth byte.
func (c *limitedConn) Read(b []byte) (int, error) {
	c.of.mu.Lock()
	if c.in == &c.of.fresh {
		due := time.Now().Add(silentFor)
		if !c.asked.IsZero() && c.asked.Before(due) {
			due = c.asked
		}
		c.Conn.SetReadDeadline(due)
	}
	c.of.mu.Unlock()
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.of.mu.Lock()
		defer c.of.mu.Unlock()
		if c.heard = true; c.in == &c.of.spare || c.in == &c.of.kept {
			c.begin()
			c.asked = c.since.Add(headerFor)
		}
		c.early = c.early || c.in == nil && !c.gone
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The rest of a request whose first byte came
// early is due as soon as that of any other.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if due := c.since.Add(headerFor); c.early && c.in == &c.of.fresh && (t.IsZero() || t.After(due)) {
		t = due
	}
	c.asked = t
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn and gives the place back.
func (c *limitedConn) Close() error {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	return c.end()
}

// end closes the connection. The lock is held.
func (c *limitedConn) end() error {
	if c.gone {
		return net.ErrClosed
	}
	c.move(nil)
	c.gone = true
	c.of.held--
	select {
	case c.of.change <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}
