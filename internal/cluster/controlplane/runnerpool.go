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
	// usualConnsPerRunner is one for the poll and the others for orders. Further orders at the same time wait
	// for these during usualPatience, and then get connections of their own, up to maxConnsPerRunner.
	usualConnsPerRunner = 3
	maxConnsPerRunner   = 6
	usualPatience       = 50 * time.Millisecond // a few round trips
	idleConnTimeout     = 60 * time.Second
)

var (
	errPoolClosed = errors.New("the node stops")
	errConnsBusy  = errors.New("all connections to the runner are in use")
)

// runnerPool holds the connections to all runners. Its methods may be called concurrently.
type runnerPool struct {
	lifetime context.Context // bounds the connections
	dialer   *net.Dialer
	patience time.Duration // how long an order waits for one of the usual connections

	mu      sync.Mutex
	closed  bool
	maxOpen int // beyond it idle connections are closed; 0: not limited
	runners map[string]*runnerConns
	open    map[*runnerConn]struct{}
	idle    list.List // of *runnerConn, the least recently used one first
}

// runnerConns are the connections to one address.
type runnerConns struct {
	open  int           // with those that are being opened
	idle  []*runnerConn // the last used one last
	turns []turn
}

// turn is what an order waits on: it gets a connection that another order no longer needs, or nil, by
// which it may open one.
type turn chan *runnerConn

// newRunnerPool returns a pool whose connections end with lifetime.
func newRunnerPool(lifetime context.Context) *runnerPool {
	p := &runnerPool{
		lifetime: lifetime, dialer: rpc.Dialer(), patience: usualPatience,
		runners: map[string]*runnerConns{}, open: map[*runnerConn]struct{}{},
	}
	context.AfterFunc(lifetime, p.close)
	return p
}

// limitOpen bounds how many connections stay open while some are idle.
func (p *runnerPool) limitOpen(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = connections
}

// acquire returns a connection that is idle, becomes so, or is opened, until the deadline. The caller
// passes it to release, or to discard after an error.
func (p *runnerPool) acquire(address string, deadline time.Time) (*runnerConn, error) {
	until := time.Now().Add(p.patience)
	if until.After(deadline) {
		until = deadline
	}
	for _, phase := range []struct {
		maxOpen int
		until   time.Time
	}{{usualConnsPerRunner, until}, {maxConnsPerRunner, deadline}} {
		conn, next := p.take(address, phase.maxOpen)
		if next != nil {
			var ok bool
			if conn, ok = p.await(address, next, phase.until); !ok {
				continue
			}
		}
		if conn != nil {
			return conn, nil
		}
		return p.connect(address, deadline)
	}
	return nil, errConnsBusy
}

// take returns an idle connection, or no connection and no turn where the caller may open one, or the turn
// on which the caller has to wait.
func (p *runnerPool) take(address string, maxOpen int) (*runnerConn, turn) {
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
		p.idle.Remove(conn.place)
		conn.place = nil
		return conn, nil
	}
	if runner.open < maxOpen {
		runner.open++
		return nil, nil
	}
	next := make(turn, 1)
	runner.turns = append(runner.turns, next)
	return nil, next
}

// await waits for a turn. It returns false where the turn has not come in time; it won't come any more.
func (p *runnerPool) await(address string, next turn, until time.Time) (*runnerConn, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case conn := <-next:
		return conn, true
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if runner := p.runners[address]; runner != nil {
		if i := slices.Index(runner.turns, next); i >= 0 {
			runner.turns = slices.Delete(runner.turns, i, i+1)
			return nil, false
		}
	}
	return <-next, true // it came just now
}

// connect opens a connection, for which the caller holds a place.
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
		p.leavePlace(address)
		return nil, errors.Wrap(err, "connect to a runner")
	}
	conn := newRunnerConn(address, tcp)
	p.open[conn] = struct{}{}
	p.closeIdle()
	go conn.read(func() { p.discard(conn) }) // ends with the connection
	return conn, nil
}

// release makes a connection available to another order.
func (p *runnerPool) release(conn *runnerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, open := p.open[conn]; !open {
		return // it ended with the reply, or since
	}
	runner := p.runners[conn.address]
	if len(runner.turns) > 0 {
		runner.passTurn(conn)
		return
	}
	conn.idleSince = time.Now()
	conn.place = p.idle.PushBack(conn)
	runner.idle = append(runner.idle, conn)
	p.closeIdle()
}

// passTurn gives the first turn a connection, or nil for the right to open one.
func (r *runnerConns) passTurn(conn *runnerConn) {
	r.turns[0] <- conn
	r.turns = slices.Delete(r.turns, 0, 1)
}

// leavePlace gives up the place of a connection that has ended or was not opened. The caller holds the
// mutex.
func (p *runnerPool) leavePlace(address string) {
	runner := p.runners[address]
	switch {
	case len(runner.turns) > 0:
		runner.passTurn(nil)
	case runner.open > 1:
		runner.open--
	default:
		delete(p.runners, address)
	}
}

// discard closes a connection, if that has not been done yet.
func (p *runnerPool) discard(conn *runnerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(conn)
}

// discardLocked is discard for a caller that holds the mutex.
func (p *runnerPool) discardLocked(conn *runnerConn) {
	if _, open := p.open[conn]; !open {
		return
	}
	delete(p.open, conn)
	_ = conn.conn.Close() // it is of no use any more
	if conn.place != nil {
		p.idle.Remove(conn.place)
		conn.place = nil
		runner := p.runners[conn.address]
		runner.idle = slices.DeleteFunc(runner.idle, func(other *runnerConn) bool { return other == conn })
	}
	p.leavePlace(conn.address)
}

// closeIdle closes connections that have been idle for long, and the least recently used ones beyond the
// limit. The caller holds the mutex.
func (p *runnerPool) closeIdle() {
	for oldest := p.idle.Front(); oldest != nil; oldest = p.idle.Front() {
		conn := oldest.Value.(*runnerConn)
		if (p.maxOpen == 0 || len(p.open) <= p.maxOpen) && time.Since(conn.idleSince) < idleConnTimeout {
			return
		}
		p.discardLocked(conn)
	}
}

// close ends all connections, and the orders that they carry.
func (p *runnerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for conn := range p.open {
		p.discardLocked(conn)
	}
}
