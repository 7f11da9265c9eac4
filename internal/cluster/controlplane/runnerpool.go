package controlplane

import (
	"container/list"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basaltloft/coord/rpc"
)

const (
	// usualConnsPerRunner is the number of connections to a runner in normal operation: one for the lease
	// renewal, which the runner may keep waiting, and the others for further orders. If all of them are in
	// use, an order waits for one for usualConnWait; then it opens another one, up to maxConnsPerRunner.
	usualConnsPerRunner = 3
	maxConnsPerRunner   = 6
	usualConnWait       = 50 * time.Millisecond // a few round trips
	idleConnTimeout     = 60 * time.Second
)

var (
	errPoolClosed    = errors.New("the node stops")
	errAllConnsInUse = errors.New("all connections to the runner are in use")
)

// runnerPool manages the connections to all runners. Its methods may be called concurrently.
type runnerPool struct {
	lifetime context.Context // the connections end with it
	dialer   *net.Dialer
	connWait time.Duration // how long an order waits for one of the usual connections

	mu      sync.Mutex
	closed  bool
	maxOpen int // above this number idle connections are closed; 0: not limited
	runners map[string]*runnerConns
	open    map[*runnerConn]struct{}
	idle    list.List // of *runnerConn, least recently used first
}

// runnerConns are the connections to one address.
type runnerConns struct {
	open    int           // number of open connections and of those that are being opened: the slots in use
	idle    []*runnerConn // most recently used last
	waiters []connWaiter  // orders that wait for a connection, in order of arrival
}

// connWaiter is a channel on which an order waits. It receives a connection that another order has released,
// or nil, which permits the receiver to open a connection.
type connWaiter chan *runnerConn

// newRunnerPool returns a pool. All its connections are closed when lifetime ends.
func newRunnerPool(lifetime context.Context) *runnerPool {
	p := &runnerPool{
		lifetime: lifetime, dialer: rpc.Dialer(), connWait: usualConnWait,
		runners: map[string]*runnerConns{}, open: map[*runnerConn]struct{}{},
	}
	context.AfterFunc(lifetime, p.close)
	return p
}

// limitOpen sets the number of open connections above which idle ones are closed.
func (p *runnerPool) limitOpen(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = connections
}

// acquire returns a connection: an idle one, a new one, or one that another order releases before the
// deadline. The caller must pass it to release, or to discard after an error.
func (p *runnerPool) acquire(address string, deadline time.Time) (*runnerConn, error) {
	until := time.Now().Add(p.connWait)
	if until.After(deadline) {
		until = deadline
	}
	for _, phase := range []struct {
		maxOpen int
		until   time.Time
	}{{usualConnsPerRunner, until}, {maxConnsPerRunner, deadline}} {
		conn, waiter := p.tryAcquire(address, phase.maxOpen)
		if waiter != nil {
			var ok bool
			if conn, ok = p.waitForConn(address, waiter, phase.until); !ok {
				continue
			}
		}
		if conn != nil {
			return conn, nil
		}
		return p.connect(address, deadline)
	}
	return nil, errAllConnsInUse
}

// tryAcquire returns an idle connection if there is one. Otherwise, if fewer than maxOpen connections to the
// runner are open, it reserves a slot and returns nil for both: the caller opens a connection. Otherwise it
// returns a connWaiter on which the caller has to wait.
func (p *runnerPool) tryAcquire(address string, maxOpen int) (*runnerConn, connWaiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runner := p.runners[address]
	if runner == nil {
		runner = &runnerConns{}
		p.runners[address] = runner
	}
	if last := len(runner.idle) - 1; last >= 0 {
		conn := runner.idle[last]
		runner.idle = runner.idle[:last]
		p.idle.Remove(conn.idleElement)
		conn.idleElement = nil
		return conn, nil
	}
	if runner.open < maxOpen {
		runner.open++
		return nil, nil
	}
	waiter := make(connWaiter, 1)
	runner.waiters = append(runner.waiters, waiter)
	return nil, waiter
}

// waitForConn waits until something is sent to the waiter, and returns it. If nothing is sent in time, it
// removes the waiter and returns false.
func (p *runnerPool) waitForConn(address string, waiter connWaiter, until time.Time) (*runnerConn, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case conn := <-waiter:
		return conn, true
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if runner := p.runners[address]; runner != nil {
		if i := slices.Index(runner.waiters, waiter); i >= 0 {
			runner.waiters = slices.Delete(runner.waiters, i, i+1)
			return nil, false
		}
	}
	return <-waiter, true // it was sent after the timer expired
}

// connect opens a connection. The caller must have reserved a slot for it.
func (p *runnerPool) connect(address string, deadline time.Time) (*runnerConn, error) {
	ctx, cancel := context.WithDeadline(p.lifetime, deadline)
	defer cancel()
	tcp, err := p.dialer.DialContext(ctx, "tcp", address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		_ = tcp.Close() // nothing was sent on it
		err = errPoolClosed
	}
	if err != nil {
		p.releaseSlot(address)
		return nil, errors.Wrap(err, "connect to a runner")
	}
	conn := newRunnerConn(address, tcp)
	p.open[conn] = struct{}{}
	p.closeIdle()
	go conn.readReplies(func() { p.discard(conn) }) // ends when the connection does
	return conn, nil
}

// release makes a connection available to other orders.
func (p *runnerPool) release(conn *runnerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, open := p.open[conn]; !open {
		return // it was closed with the reply or after it
	}
	runner := p.runners[conn.address]
	if len(runner.waiters) > 0 {
		runner.serveFirstWaiter(conn)
		return
	}
	conn.idleSince = time.Now()
	conn.idleElement = p.idle.PushBack(conn)
	runner.idle = append(runner.idle, conn)
	p.closeIdle()
}

// serveFirstWaiter sends the first waiter a connection, or nil as permission to open one.
func (r *runnerConns) serveFirstWaiter(conn *runnerConn) {
	r.waiters[0] <- conn
	r.waiters = slices.Delete(r.waiters, 0, 1)
}

// releaseSlot releases the slot of a connection that was closed or could not be opened. The first waiter gets
// the slot, if there is one. The caller must hold the mutex.
func (p *runnerPool) releaseSlot(address string) {
	runner := p.runners[address]
	switch {
	case len(runner.waiters) > 0:
		runner.serveFirstWaiter(nil)
	case runner.open > 1:
		runner.open--
	default:
		delete(p.runners, address)
	}
}

// discard closes a connection and removes it from the pool. It has no effect on one that was discarded
// before.
func (p *runnerPool) discard(conn *runnerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(conn)
}

// discardLocked is like discard. The caller must hold the mutex.
func (p *runnerPool) discardLocked(conn *runnerConn) {
	if _, open := p.open[conn]; !open {
		return
	}
	delete(p.open, conn)
	_ = conn.conn.Close() // the connection is not used again
	if conn.idleElement != nil {
		p.idle.Remove(conn.idleElement)
		conn.idleElement = nil
		runner := p.runners[conn.address]
		runner.idle = slices.DeleteFunc(runner.idle, func(other *runnerConn) bool { return other == conn })
	}
	p.releaseSlot(conn.address)
}

// closeIdle closes connections that have been idle for idleConnTimeout. While more than maxOpen connections
// are open, it also closes idle ones, least recently used first. The caller must hold the mutex.
func (p *runnerPool) closeIdle() {
	for oldest := p.idle.Front(); oldest != nil; oldest = p.idle.Front() {
		conn := oldest.Value.(*runnerConn)
		if (p.maxOpen == 0 || len(p.open) <= p.maxOpen) && time.Since(conn.idleSince) < idleConnTimeout {
			return
		}
		p.discardLocked(conn)
	}
}

// close closes all connections, which fails the orders that they carry.
func (p *runnerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for conn := range p.open {
		p.discardLocked(conn)
	}
}
