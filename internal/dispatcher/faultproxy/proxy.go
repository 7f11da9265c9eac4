// Package faultproxy is a loopback TCP proxy that injects faults, for tests of several
// processes. It forwards connections to its address to a target address, with the faults that
// its methods set. Only the client dials: bytes flow forward (from the client to the target)
// and backward (from the target to the client).
package faultproxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"basaltloft/internal/shared/portreservation"
)

// Direction is the direction in which a proxy forwards bytes.
type Direction int

// Directions.
const (
	Forward  Direction = iota // from the client to the target
	Backward                  // from the target to the client
)

// Bounds of a proxy.
const (
	maxQueuedPieces = 64       // by direction of a connection; while the queue is full, the sender is not read
	pieceSize       = 16 << 10 // bytes read at a time
	maxRecording    = 64 << 10 // bytes; a connection whose client sent more can't be replayed
	maxRecordings   = 8        // ended connections that can be replayed: the latest ones
)

// fault holds the faults of one direction.
type fault struct {
	held, lost    bool
	delay, jitter time.Duration
	rate          int // bytes a second; 0: unlimited
}

// Counts are the statistics of a proxy. Passed, Held and Lost are bytes by direction:
// forwarded, waiting in the proxy, and dropped.
type Counts struct {
	Open, Made         int // connections
	Passed, Held, Lost [2]int
}

// Proxy forwards connections and injects faults. It is safe for concurrent use.
type Proxy struct {
	target, addr string
	seed         uint64
	reservation  *portreservation.Reservation // of addr: keeps the port while the proxy refuses connections
	ctx          context.Context
	cancel       context.CancelFunc
	workers      sync.WaitGroup

	mu         sync.Mutex
	listener   net.Listener // nil: connections are refused
	faults     [2]fault
	changed    chan struct{} // closed and replaced when faults change
	conns      map[*conn]struct{}
	counts     Counts
	recordings [][]byte // what clients of ended connections sent
	random     *rand.Rand
}

// New starts a proxy to a target address; the target need not listen yet. The seed determines
// the jitter and which connection Replay selects. The caller must call Close.
func New(to string, seed uint64) (*Proxy, error) {
	p := &Proxy{target: to, seed: seed, changed: make(chan struct{}), conns: make(map[*conn]struct{}), random: rand.New(rand.NewPCG(seed, 5))}
	var err error
	if p.reservation, err = portreservation.Reserve(); err != nil {
		return nil, fmt.Errorf("reserving a proxy's port: %w", err)
	}
	p.addr = p.reservation.Addr()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if err := p.listen(); err != nil {
		_ = p.reservation.Close()
		return nil, err
	}
	return p, nil
}

// Addr returns the address to dial.
func (p *Proxy) Addr() string { return p.addr }

// Counts returns the statistics so far.
func (p *Proxy) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Open = len(p.conns)
	return c
}

// Cut holds the bytes of both directions: connections stay open, and what is sent arrives after
// Heal, as it would by a network's retransmissions. New connections are refused if refuse is
// true; else they are accepted and held too.
func (p *Proxy) Cut(refuse bool) error {
	p.updateFaults(func(f *fault) { f.held = true }, Forward, Backward)
	if refuse {
		return p.Refuse()
	}
	return nil
}

// DropOneWay drops the bytes of one direction. A connection that has lost bytes forwards nothing
// more in that direction, and Heal resets it.
func (p *Proxy) DropOneWay(w Direction) { p.updateFaults(func(f *fault) { f.lost = true }, w) }

// Delay delays the bytes of both directions by a time plus a random part of jitter. Their order stays.
func (p *Proxy) Delay(by, jitter time.Duration) {
	p.updateFaults(func(f *fault) { f.delay, f.jitter = by, jitter }, Forward, Backward)
}

// LimitRate limits each direction to a rate in bytes a second.
func (p *Proxy) LimitRate(rate int) {
	p.updateFaults(func(f *fault) { f.rate = rate }, Forward, Backward)
}

// Reset resets all open connections, at both ends.
func (p *Proxy) Reset() {
	for _, c := range p.openConns() {
		c.reset()
	}
}

// Refuse refuses new connections. Open connections stay.
func (p *Proxy) Refuse() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return nil
	}
	err := p.listener.Close()
	p.listener = nil
	return err
}

// Heal ends all faults: it resets connections that have lost bytes, and accepts new connections again.
func (p *Proxy) Heal() error {
	for _, c := range p.openConns() {
		if c.hasLostBytes() {
			c.reset()
		}
	}
	p.updateFaults(func(f *fault) { *f = fault{} }, Forward, Backward)
	return p.listen()
}

// Replay opens a new connection to the target and sends what the client of an ended connection
// sent, from its first byte on, so that the target receives a call twice. It returns the number
// of bytes written, or 0 if no connection has ended yet. The response is dropped.
func (p *Proxy) Replay() (int, error) {
	p.mu.Lock()
	if len(p.recordings) == 0 {
		p.mu.Unlock()
		return 0, nil
	}
	text := p.recordings[p.random.IntN(len(p.recordings))]
	p.mu.Unlock()
	c, err := p.dial()
	if err != nil {
		return 0, fmt.Errorf("replaying: %w", err)
	}
	n, err := c.Write(text)
	stop := context.AfterFunc(p.ctx, func() { _ = c.Close() })
	p.workers.Go(func() {
		defer stop()
		defer func() { _ = c.Close() }()
		for rest := make([]byte, pieceSize); err == nil; {
			_, err = c.Read(rest)
		}
	})
	return n, nil
}

// Close closes the proxy and waits for its goroutines.
func (p *Proxy) Close() {
	p.cancel()
	_ = p.Refuse()
	p.Reset()
	p.workers.Wait()
	_ = p.reservation.Close()
}

// updateFaults changes the faults of directions and wakes the connections that wait.
func (p *Proxy) updateFaults(change func(*fault), directions ...Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range directions {
		change(&p.faults[w])
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// faultOf returns the faults of a direction and a channel that is closed when they change.
func (p *Proxy) faultOf(w Direction) (fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[w], p.changed
}

func (p *Proxy) openConns() (all []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		all = append(all, c)
	}
	return all
}

// listen starts to accept connections, unless the proxy does so already or is closed.
func (p *Proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.ctx.Err() != nil {
		return nil
	}
	listener, err := new(net.ListenConfig).Listen(p.ctx, "tcp", p.addr)
	if err != nil {
		return fmt.Errorf("listening on a proxy's address: %w", err)
	}
	p.listener = listener
	p.workers.Go(func() {
		for {
			a, err := listener.Accept()
			if err != nil {
				return
			}
			p.serveConn(a.(*net.TCPConn))
		}
	})
	return nil
}

func (p *Proxy) dial() (*net.TCPConn, error) {
	c, err := new(net.Dialer).DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}
