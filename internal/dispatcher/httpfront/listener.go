package httpfront

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener limits the number of open connections, to stay within the limit of file descriptors. At the
// limit it evicts a connection for each new one (eviction.go), so that clients that only connect, or keep idle
// connections, can't block those with jobs or the callbacks that end jobs. It never closes a connection whose
// request is being served.
type limitedListener struct {
	net.Listener
	maxConns int
	// silentTimeout is how long a client may send nothing while its request is incomplete.
	silentTimeout time.Duration

	done    chan struct{} // closed by Close
	closed  sync.Once     // closes done
	changed chan struct{} // signals that tryAdd may succeed now; buffer of one
	// closingIdle closes connections that are between requests, closingPartial those with an incomplete
	// request.
	closingIdle    *atomic.Bool
	closingPartial atomic.Bool

	// mu guards what follows and the state of all connections.
	mu             sync.Mutex
	open           int // number of open connections
	readAheadBytes int // bytes read ahead and not yet read by the server, on all connections
	// Each connection is in one of these lists, in order of arrival there, or in none while it is served.
	fresh      list.List // its request is incomplete: it is new, or sends slowly or not at all
	idleUnused list.List // idle, and has never carried a job or a callback
	idleUsed   list.List // idle, and has carried a job or a callback
}

// newLimitedListener returns a listener with at most maxConns open connections.
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
	if s, ok := c.(*net.TCPConn); ok { // not for a type that embeds one: its own Read must be called
		if lc.raw, err = s.SyscallConn(); err != nil {
			_ = c.Close() // err is returned instead
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

// closeIdle closes all connections that are between requests, now and from now on. It only sets their read
// deadlines: the reader of a connection closes it, and only if nothing has arrived. A request that has been
// read is answered; one that arrives later stays unread, so that its client sends it again. Closing the
// connections here would lose a request that is being read at that moment.
func (l *limitedListener) closeIdle() {
	l.closingIdle.Store(true)
	l.expire(&l.idleUnused, &l.idleUsed)
}

// closePartial closes, in the same way, all connections whose request is incomplete.
func (l *limitedListener) closePartial() {
	l.closingPartial.Store(true)
	l.expire(&l.fresh)
}

// expire sets a read deadline in the past on the connections of some lists that must be closed.
func (l *limitedListener) expire(lists ...*list.List) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conns := range lists {
		for element := conns.Front(); element != nil; element = element.Next() {
			if c := element.Value.(*limitedConn); c.expired() {
				_ = c.Conn.SetReadDeadline(pastDeadline) // fails if c is closed
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
	if s == http.StateIdle { // the request has been read to its end, even if it was answered before
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
