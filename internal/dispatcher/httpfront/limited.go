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
	// silence is how long a new connection may say nothing before it may be closed
	// for another's sake. A usual client sends at once. What it sent and nobody has
	// read yet, on a busy machine, is seen before the close.
	silence = 100 * time.Millisecond
	// patience is how long one that has begun a request is left to send the rest.
	patience = 250 * time.Millisecond
	// soon is when to look again where all that could be spared have bytes waiting.
	soon = 5 * time.Millisecond
)

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
	// parting ends connections between requests, and cutting those with half a request.
	parting *atomic.Bool
	cutting atomic.Bool

	mu     sync.Mutex
	held   int
	unread int // bytes read ahead on all connections
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
	// short: its request was answered before it was whole, as bad input is: its rest
	// may be on its way.
	short bool
	// looks: net/http looks whether the client leaves, which it begins once a request is
	// whole and perhaps before serve hears of it.
	looks  bool
	raw    syscall.RawConn // nil: not a connection of the system's, but one that wraps it
	peeked []byte          // read by waiting, for the next Read
	ahead
}

// atOnce is a read deadline that is over.
var atOnce = time.Unix(1, 0)

// lingering is how long the rest of a request that was answered already is read, so that
// no close over unread bytes resets the connection before the answer is read.
const lingering = 500 * time.Millisecond

// silentFor is how long a client that has begun a request, or only connected,
// may send nothing. One that goes on sending, in pieces of any size, is read
// until net/http's deadline for a header or a whole request.
const silentFor = 2 * time.Second

func newLimited(l net.Listener, most int) *limited {
	return &limited{Listener: l, most: most, done: make(chan struct{}), change: make(chan struct{}, 1), parting: new(atomic.Bool)}
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	lc := &limitedConn{Conn: c, of: l, since: time.Now()}
	if s, ok := c.(*net.TCPConn); ok { // the Read of another that only embeds one must be called
		if lc.raw, err = s.SyscallConn(); err != nil {
			c.Close()
			return nil, err
		}
	}
	for until := l.enter(lc); !until.IsZero(); until = l.enter(lc) {
		wake := time.NewTimer(time.Until(until))
		select {
		case <-l.change:
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

// part ends all connections between requests, now and from here on. Each is ended by
// whoever reads it, and only if nothing has come: what has been read is answered, and
// what comes later stays unread, so that its client sends it again. Were they closed
// from here, a request that is being read in that moment would be lost.
func (l *limited) part() {
	l.parting.Store(true)
	l.expire(&l.spare, &l.kept)
}

// cut ends, in the same way, all connections whose request is not whole.
func (l *limited) cut() {
	l.cutting.Store(true)
	l.expire(&l.fresh)
}

func (l *limited) expire(lists ...*list.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, in := range lists {
		for at := in.Front(); at != nil; at = at.Next() {
			if c := at.Value.(*limitedConn); c.ended() {
				c.Conn.SetReadDeadline(atOnce)
			}
		}
	}
}

// ended tells whether a connection is to be ended where it is now. The lock is held.
func (c *limitedConn) ended() bool {
	switch {
	case c.in == nil, c.looks:
		return false
	case c.in == &c.of.fresh:
		return c.of.cutting.Load()
	}
	return c.of.parting.Load()
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
	var victim *limitedConn
	if l.held >= l.most {
		if victim, until = l.victim(time.Now()); victim == nil {
			l.mu.Unlock()
			return until
		}
		victim.release()
	}
	l.held++
	c.move(&l.fresh)
	l.mu.Unlock()
	if victim != nil {
		victim.Conn.Close()
	}
	return time.Time{}
}

// admit lets a connection in beside the others: the last, which waited for a place as
// the listener was closed, and has its descriptor already.
func (l *limited) admit(c *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held++
	c.move(&l.fresh)
}

// victim is the connection that can best be spared: an idle one that was never
// of use, one that has sent nothing in the time a usual client needs, one that
// has not sent all in that time, an idle one. A client may always meet the
// close of an idle connection, and sends again what crosses it. One on which bytes
// wait is no victim: the close would reset it, and what they ask would be lost.
func (l *limited) victim(now time.Time) (c *limitedConn, until time.Time) {
	until = now.Add(time.Hour)
	spared := func(c *limitedConn) bool {
		if c.waiting() {
			until = earlier(until, now.Add(soon))
			return false
		}
		return true
	}
	if c := first(&l.spare, spared); c != nil {
		return c, until
	}
	var slow []*limitedConn
	for at := l.fresh.Front(); at != nil; at = at.Next() {
		c := at.Value.(*limitedConn)
		wait := silence
		if c.heard {
			wait = patience
		}
		switch due := c.since.Add(wait); {
		case due.After(now):
			until = earlier(until, due)
		case c.heard:
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
	c = first(&l.kept, spared)
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
func (l *limited) state(c net.Conn, s http.ConnState) {
	lc, ok := c.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateIdle { // also where the answer came first, its request has been read to its end
		lc.short, lc.looks = false, false
	}
	switch {
	case s == http.StateIdle && (lc.early || len(lc.unread) > 0):
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
	c.used, c.early, c.short = c.used || used, c.reading != nil, false
	c.move(nil)
	c.until(c.asked) // it may have been over: the look whether the client leaves would fail
	return !c.gone
}

// Read implements net.Conn. From the first byte of a request on its rest is
// due, also of one that follows another: net/http counts from the fifth byte.
func (c *limitedConn) Read(b []byte) (n int, err error) {
	c.stop()
	looks := len(b) == 1
	c.of.mu.Lock()
	c.looks = looks
	c.hurry()
	n, err, ahead := c.taken(b)
	c.note(n, looks)
	c.of.mu.Unlock()
	if ahead {
		return n, err
	}
	if c.raw == nil {
		n, err = c.Conn.Read(b)
		c.of.mu.Lock()
		defer c.of.mu.Unlock()
		c.note(n, looks)
		return n, err
	}
	// Bytes are taken from the system and noted under one lock: there is no moment
	// in which a request was read and its connection still passes for idle.
	failed := c.raw.Read(func(fd uintptr) bool {
		c.of.mu.Lock()
		defer c.of.mu.Unlock()
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
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if c.raw.Control(func(fd uintptr) { n, err = c.take(int(fd), b) }) != nil || err != nil || n == 0 {
		return 0, over
	}
	c.note(n, len(b) == 1)
	return n, nil
}

// hurry sets when the next byte of a request that is not whole is due. The lock is held.
func (c *limitedConn) hurry() {
	if c.in != &c.of.fresh {
		return
	}
	due := time.Now().Add(silentFor)
	if !c.asked.IsZero() && c.asked.Before(due) {
		due = c.asked
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
		c.readAhead()
	}
	if c.heard = true; c.in == &c.of.spare || c.in == &c.of.kept {
		c.begin()
		c.asked = c.since.Add(headerFor)
	}
	c.early = c.early || c.in == nil && !c.gone
}

// take reads what is there: first what waiting has read. It fails with EAGAIN where
// nothing is. The lock is held.
func (c *limitedConn) take(fd int, b []byte) (int, error) {
	if c.gone {
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
	if len(c.unread) > 0 || c.reading != nil {
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
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if due := c.since.Add(headerFor); c.early && c.in == &c.of.fresh && (t.IsZero() || t.After(due)) {
		t = due
	}
	c.asked = t
	return c.until(t)
}

// until sets the read deadline, one that is over where the connection is to be ended.
// The lock is held.
func (c *limitedConn) until(t time.Time) error {
	if c.ended() {
		t = atOnce
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.of.mu.Lock()
	c.short = c.in == &c.of.fresh
	c.of.mu.Unlock()
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
	c.of.mu.Lock()
	short := c.short && !c.gone
	c.short = false
	c.of.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !short || !ok || half.CloseWrite() != nil {
		return
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingering))
	io.Copy(io.Discard, struct{ io.Reader }{c.Conn})
}

// Close implements net.Conn and gives the place back. While a request is served only
// another can ask for it: net/http, which closes what is idle, reads the state of a
// connection first and closes it then, with a request begun in between. No connection
// is kept from there on, so this one ends with its answer.
func (c *limitedConn) Close() error {
	c.of.mu.Lock()
	if c.short {
		c.of.mu.Unlock()
		c.linger()
		c.of.mu.Lock()
	}
	if c.leave != nil {
		c.of.mu.Unlock()
		return nil
	}
	first := c.release()
	c.of.mu.Unlock()
	if !first {
		return net.ErrClosed
	}
	return c.Conn.Close()
}

// release gives the place back and reports whether it still had one. The lock is held;
// whoever gets true closes the connection, without the lock: a close waits for a
// Read under way, and that for the lock. Such a Read takes nothing any more.
func (c *limitedConn) release() bool {
	if c.gone {
		return false
	}
	c.move(nil)
	c.gone = true
	c.spend(len(c.unread))
	c.of.held--
	select {
	case c.of.change <- struct{}{}:
	default:
	}
	return true
}
