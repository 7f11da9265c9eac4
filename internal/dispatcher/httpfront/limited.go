package httpfront

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freshGrace is how long a new connection may say nothing before it may be closed
	// for another's sake. A usual client sends at once. What it sent and nobody has
	// read yet, on a busy machine, is seen before the close.
	freshGrace = 100 * time.Millisecond
	// partialRequestGrace is how long one that has begun a request is left to send the rest.
	partialRequestGrace = 250 * time.Millisecond
	// evictionRetry is when to look again where all that could be spared have bytes waiting.
	evictionRetry = 5 * time.Millisecond
)

// limitedListener is a listener that holds so many connections at a time, to stay
// within the descriptors. When all are taken it closes one that can best be
// spared, so that clients that only connect, or only stay, shut out neither
// those with jobs nor the callbacks that end jobs. It never closes one whose
// request is being served.
type limitedListener struct {
	net.Listener
	maxConns int
	done     chan struct{}
	closed   sync.Once
	changed  chan struct{} // something that enter waits for may have happened
	// closingIdle ends connections between requests, and cutting those with half a request.
	closingIdle    *atomic.Bool
	closingPartial atomic.Bool

	mu             sync.Mutex
	open           int
	readAheadBytes int // bytes read ahead on all connections
	// Each connection is in one of these, the longest there first, or in none
	// while it is served.
	fresh      list.List // its request is not whole: silent, trickling or just come
	idleUnused list.List // idle, and it never carried a job or a callback
	idleUsed   list.List // idle after one
}

type limitedConn struct {
	net.Conn
	listener    *limitedListener
	class       *list.List
	element     *list.Element
	since       time.Time // it is fresh
	sentBytes   bool      // since then
	carriedWork bool      // it carried a job or a callback
	closed      bool
	// nextStarted: a byte of the next request came while one was served. net/http reads it
	// then, to notice a client that leaves, and would wait for the rest as long as
	// for a connection that is idle.
	nextStarted  bool
	readDeadline time.Time // the read deadline that net/http set
	// answeredEarly: its request was answered before it was whole, as bad input is: its rest
	// may be on its way.
	answeredEarly bool
	// backgroundRead: net/http looks whether the client leaves, which it begins once a request is
	// whole and perhaps before serve hears of it.
	backgroundRead bool
	raw            syscall.RawConn // nil: not a connection of the system's, but one that wraps it
	peeked         []byte          // read by waiting, for the next Read
	readAhead
}

// pastDeadline is a read deadline that is over.
var pastDeadline = time.Unix(1, 0)

// lingerTime is how long the rest of a request that was answered already is read, so that
// no close over unread bytes resets the connection before the answer is read.
const lingerTime = 500 * time.Millisecond

// silentTimeout is how long a client that has begun a request, or only connected,
// may send nothing. One that goes on sending, in pieces of any size, is read
// until net/http's deadline for a header or a whole request.
const silentTimeout = 2 * time.Second

func newLimited(l net.Listener, most int) *limitedListener {
	return &limitedListener{Listener: l, maxConns: most, done: make(chan struct{}), changed: make(chan struct{}, 1), closingIdle: new(atomic.Bool)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	lc := &limitedConn{Conn: c, listener: l, since: time.Now()}
	if s, ok := c.(*net.TCPConn); ok { // the Read of another that only embeds one must be called
		if lc.raw, err = s.SyscallConn(); err != nil {
			c.Close()
			return nil, err
		}
	}
	for until := l.enter(lc); !until.IsZero(); until = l.enter(lc) {
		wake := time.NewTimer(time.Until(until))
		select {
		case <-l.changed:
		case <-wake.C:
		case <-l.done: // the client has been accepted, and may have sent its request
			l.admit(lc)
			wake.Stop()
			return lc, nil
		}
		wake.Stop()
	}
	return lc, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closed.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// isClosed tells whether the listener has been closed.
func (l *limitedListener) isClosed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// closeIdle ends all connections between requests, now and from here on. Each is ended by
// whoever reads it, and only if nothing has come: what has been read is answered, and
// what comes later stays unread, so that its client sends it again. Were they closed
// from here, a request that is being read in that moment would be lost.
func (l *limitedListener) closeIdle() {
	l.closingIdle.Store(true)
	l.expire(&l.idleUnused, &l.idleUsed)
}

// closePartial ends, in the same way, all connections whose request is not whole.
func (l *limitedListener) closePartial() {
	l.closingPartial.Store(true)
	l.expire(&l.fresh)
}

func (l *limitedListener) expire(lists ...*list.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, in := range lists {
		for at := in.Front(); at != nil; at = at.Next() {
			if c := at.Value.(*limitedConn); c.ended() {
				c.Conn.SetReadDeadline(pastDeadline)
			}
		}
	}
}

// ended tells whether a connection is to be ended where it is now. The lock is held.
func (c *limitedConn) ended() bool {
	switch {
	case c.class == nil, c.backgroundRead:
		return false
	case c.class == &c.listener.fresh:
		return c.listener.closingPartial.Load()
	}
	return c.listener.closingIdle.Load()
}

// holds is how many connections are open.
func (l *limitedListener) holds() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// enter lets a connection in, in another's place if need be. Where none can be
// spared it returns when to try again.
func (l *limitedListener) enter(c *limitedConn) (until time.Time) {
	l.mu.Lock()
	var victim *limitedConn
	if l.open >= l.maxConns {
		if victim, until = l.victim(time.Now()); victim == nil {
			l.mu.Unlock()
			return until
		}
		victim.release()
	}
	l.open++
	c.move(&l.fresh)
	l.mu.Unlock()
	if victim != nil {
		victim.Conn.Close()
	}
	return time.Time{}
}

// admit lets a connection in beside the others: the last, which waited for a place as
// the listener was closed, and has its descriptor already.
func (l *limitedListener) admit(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.move(&l.fresh)
}

// victim is the connection that can best be spared: an idle one that was never
// of use, one that has sent nothing in the time a usual client needs, one that
// has not sent all in that time, an idle one. A client may always meet the
// close of an idle connection, and sends again what crosses it. One on which bytes
// wait is no victim: the close would reset it, and what they ask would be lost.
func (l *limitedListener) victim(now time.Time) (c *limitedConn, until time.Time) {
	until = now.Add(time.Hour)
	spared := func(c *limitedConn) bool {
		if c.waiting() {
			until = earlier(until, now.Add(evictionRetry))
			return false
		}
		return true
	}
	if c := first(&l.idleUnused, spared); c != nil {
		return c, until
	}
	var slow []*limitedConn
	for at := l.fresh.Front(); at != nil; at = at.Next() {
		c := at.Value.(*limitedConn)
		wait := freshGrace
		if c.sentBytes {
			wait = partialRequestGrace
		}
		switch due := c.since.Add(wait); {
		case due.After(now):
			until = earlier(until, due)
		case c.sentBytes:
			slow = append(slow, c)
		case spared(c):
			return c, until
		}
	}
	for _, c := range slow {
		if spared(c) {
			return c, until
		}
	}
	c = first(&l.idleUsed, spared)
	return c, until
}

// first is the first connection of a list that passes.
func first(l *list.List, passes func(*limitedConn) bool) *limitedConn {
	for at := l.Front(); at != nil; {
		c := at.Value.(*limitedConn)
		at = at.Next() // before the connection may leave the list
		if passes(c) {
			return c
		}
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// state is told what becomes of connections.
func (l *limitedListener) state(c net.Conn, s http.ConnState) {
	lc, ok := c.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateIdle { // also where the answer came first, its request has been read to its end
		lc.answeredEarly, lc.backgroundRead = false, false
	}
	switch {
	case s == http.StateIdle && (lc.nextStarted || len(lc.unread) > 0):
		lc.since, lc.sentBytes = time.Now(), true
		lc.move(&l.fresh)
	case s == http.StateIdle && lc.carriedWork:
		lc.move(&l.idleUsed)
	case s == http.StateIdle:
		lc.move(&l.idleUnused)
	case s == http.StateActive:
		lc.nextStarted = false
		lc.begin()
	}
}

// begin takes in that a request begins. The lock is held.
func (c *limitedConn) begin() {
	if c.class == &c.listener.idleUnused || c.class == &c.listener.idleUsed {
		c.since, c.sentBytes = time.Now(), true
		c.move(&c.listener.fresh)
	}
}

// move puts a connection into a list, or into none. The lock is held.
func (c *limitedConn) move(to *list.List) {
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

// serve takes in that a request is whole. It reports whether the connection is
// still there: one that was closed for another's sake meanwhile must not have
// its request served, since its client sends it again elsewhere.
func (c *limitedConn) serve(used bool) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.carriedWork, c.nextStarted, c.answeredEarly = c.carriedWork || used, c.done != nil, false
	c.move(nil)
	c.until(c.readDeadline) // it may have been over: the look whether the client leaves would fail
	return !c.closed
}

// Read implements net.Conn. From the first byte of a request on its rest is
// due, also of one that follows another: net/http counts from the fifth byte.
func (c *limitedConn) Read(b []byte) (n int, err error) {
	c.stopReadAhead()
	looks := len(b) == 1
	c.listener.mu.Lock()
	c.backgroundRead = looks
	c.hurry()
	n, err, ahead := c.takeReadAhead(b)
	c.note(n, looks)
	c.listener.mu.Unlock()
	if ahead {
		return n, err
	}
	if c.raw == nil {
		n, err = c.Conn.Read(b)
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.note(n, looks)
		return n, err
	}
	// Bytes are taken from the system and noted under one lock: there is no moment
	// in which a request was read and its connection still passes for idle.
	failed := c.raw.Read(func(fd uintptr) bool {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		if n, err = c.take(int(fd), b); err != syscall.EAGAIN {
			c.note(n, looks)
			return true
		}
		return false
	})
	if errors.Is(failed, os.ErrDeadlineExceeded) {
		return c.last(b, failed)
	}
	if failed != nil {
		return 0, failed
	}
	return n, err
}

// last reads what has come by the time that a deadline is over: a close over it would
// reset the connection, and lose what it asks. Where nothing has, it fails as told.
func (c *limitedConn) last(b []byte, over error) (n int, err error) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.raw.Control(func(fd uintptr) { n, err = c.take(int(fd), b) }) != nil || err != nil || n == 0 {
		return 0, over
	}
	c.note(n, len(b) == 1)
	return n, nil
}

// hurry sets when the next byte of a request that is not whole is due. The lock is held.
func (c *limitedConn) hurry() {
	if c.class != &c.listener.fresh {
		return
	}
	due := time.Now().Add(silentTimeout)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(due) {
		due = c.readDeadline
	}
	c.until(due)
}

// note takes in that bytes were read, as by net/http's look whether the client leaves,
// which ends with a byte. The lock is held.
func (c *limitedConn) note(n int, looks bool) {
	if n <= 0 {
		return
	}
	if looks {
		c.startReadAhead()
	}
	if c.sentBytes = true; c.class == &c.listener.idleUnused || c.class == &c.listener.idleUsed {
		c.begin()
		c.readDeadline = c.since.Add(headerTimeout)
	}
	c.nextStarted = c.nextStarted || c.class == nil && !c.closed
}

// take reads what is there: first what waiting has read. It fails with EAGAIN where
// nothing is. The lock is held.
func (c *limitedConn) take(fd int, b []byte) (int, error) {
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
			return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
		case n == 0 && len(b) > 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// waiting tells whether bytes have come that the server has not read. It takes the
// first of them, so that one lock holds over the look and the close, while a
// Read may be waiting. What is read ahead waits as well, and while somebody reads
// ahead no byte may be taken beside him. The lock is held.
func (c *limitedConn) waiting() bool {
	if len(c.unread) > 0 || c.done != nil {
		return true
	}
	if c.raw == nil {
		return false
	}
	if len(c.peeked) == 0 {
		c.raw.Control(func(fd uintptr) {
			one := make([]byte, 1)
			if n, err := c.take(int(fd), one); err == nil {
				c.peeked = one[:n]
			}
		})
	}
	if len(c.peeked) == 0 {
		return false
	}
	c.note(len(c.peeked), false)
	c.hurry() // where there is no second byte, the Read that waits need not learn of the first
	return true
}

// SetReadDeadline implements net.Conn. The rest of a request whose first byte came
// early is due as soon as that of any other.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if due := c.since.Add(headerTimeout); c.nextStarted && c.class == &c.listener.fresh && (t.IsZero() || t.After(due)) {
		t = due
	}
	c.readDeadline = t
	return c.until(t)
}

// until sets the read deadline, one that is over where the connection is to be ended.
// The lock is held.
func (c *limitedConn) until(t time.Time) error {
	if c.ended() {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
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

// linger tells the client that nothing more is said, and takes the rest of its request.
// Nothing is read where a request was whole: what follows it is another one.
func (c *limitedConn) linger() {
	c.listener.mu.Lock()
	short := c.answeredEarly && !c.closed
	c.answeredEarly = false
	c.listener.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !short || !ok || half.CloseWrite() != nil {
		return
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	io.Copy(io.Discard, struct{ io.Reader }{c.Conn})
}

// Close implements net.Conn and gives the place back. While a request is served only
// another can ask for it: net/http, which closes what is idle, reads the state of a
// connection first and closes it then, with a request begun in between. No connection
// is kept from there on, so this one ends with its answer.
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
	first := c.release()
	c.listener.mu.Unlock()
	if !first {
		return net.ErrClosed
	}
	return c.Conn.Close()
}

// release gives the place back and reports whether it still had one. The lock is held;
// whoever gets true closes the connection, without the lock: a close waits for a
// Read under way, and that for the lock. Such a Read takes nothing any more.
func (c *limitedConn) release() bool {
	if c.closed {
		return false
	}
	c.move(nil)
	c.closed = true
	c.dropReadAhead(len(c.unread))
	c.listener.open--
	select {
	case c.listener.changed <- struct{}{}:
	default:
	}
	return true
}
