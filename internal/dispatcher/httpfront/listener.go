package httpfront

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener holds at most so many connections at a time, to stay within the descriptors. When all
// are taken it evicts the one that can best be spared (eviction.go), so that clients that only connect, or
// only stay, shut out neither those with jobs nor the callbacks that end jobs. It never closes one whose
// request is being served.
type limitedListener struct {
	net.Listener
	maxConns int
	// silentTimeout is how long a client may send nothing while its request is not whole.
	silentTimeout time.Duration

	done    chan struct{} // closed by Close
	closed  sync.Once     // of done
	changed chan struct{} // what tryAdd waits for may have happened; holds one
	// closingIdle ends connections between requests, closingPartial those with a part of a request.
	closingIdle    *atomic.Bool
	closingPartial atomic.Bool

	// mu guards what follows and the state of all connections.
	mu             sync.Mutex
	open           int // connections
	readAheadBytes int // of all connections
	// Each connection is in one of these lists, the longest there first, or in none while it is served.
	fresh      list.List // its request is not whole: it is new, or sends slowly or not at all
	idleUnused list.List // idle, and it never carried a job or a callback
	idleUsed   list.List // idle after one
}

// newLimitedListener returns a listener that holds at most so many connections.
func newLimitedListener(l net.Listener, maxConns int) *limitedListener {
	return &limitedListener{
		Listener: l, maxConns: maxConns, silentTimeout: defaultSilentTimeout, done: make(chan struct{}), changed: make(chan struct{}, 1),
		closingIdle: new(atomic.Bool),
	}
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
			_ = c.Close() // the error that is returned is the cause
			return nil, err
		}
	}
	for until := l.tryAdd(lc); !until.IsZero(); until = l.tryAdd(lc) {
		wake := time.NewTimer(time.Until(until))
		select {
		case <-l.changed:
		case <-wake.C:
		case <-l.done: // the client has been accepted, and may have sent its request
			l.addBeyondLimit(lc)
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

// isClosed reports whether the listener has been closed.
func (l *limitedListener) isClosed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// closeIdle ends all connections between requests, now and from here on. Each is ended by whoever reads
// it, and only if nothing has come: what has been read is answered, and what comes later stays unread, so
// that its client sends it again. Were they closed here, a request that is being read in that moment would
// be lost.
func (l *limitedListener) closeIdle() {
	l.closingIdle.Store(true)
	l.expire(&l.idleUnused, &l.idleUsed)
}

// closePartial ends, in the same way, all connections whose request is not whole.
func (l *limitedListener) closePartial() {
	l.closingPartial.Store(true)
	l.expire(&l.fresh)
}

// expire ends the connections in some lists that are to be ended, by their read deadlines.
func (l *limitedListener) expire(lists ...*list.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conns := range lists {
		for element := conns.Front(); element != nil; element = element.Next() {
			if c := element.Value.(*limitedConn); c.expired() {
				_ = c.Conn.SetReadDeadline(pastDeadline) // it fails on one that is closed already
			}
		}
	}
}

// openConns returns how many connections are open.
func (l *limitedListener) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// connState is http.Server's ConnState hook.
func (l *limitedListener) connState(c net.Conn, s http.ConnState) {
	lc, ok := c.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateIdle { // its request has been read to its end, also where the answer came first
		lc.answeredEarly, lc.backgroundRead = false, false
	}
	switch {
	case s == http.StateIdle && (lc.nextStarted || len(lc.unread) > 0):
		lc.since, lc.sentBytes = time.Now(), true
		lc.moveTo(&l.fresh)
	case s == http.StateIdle && lc.carriedWork:
		lc.moveTo(&l.idleUsed)
	case s == http.StateIdle:
		lc.moveTo(&l.idleUnused)
	case s == http.StateActive:
		lc.nextStarted = false
		lc.beginRequest()
	}
}
