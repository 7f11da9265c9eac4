// Package faultproxy is a loopback TCP proxy that injects faults, for tests of several
// processes: connections to its address are forwarded to another address until the proxy is
// told to misbehave. A proxy serves one direction of dialling, from a client to a target;
// its bytes flow forward (from the client) and backward (to it).
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

// Direction is a direction of a proxy's bytes.
type Direction int

// Directions.
const (
	Forward  Direction = iota // from the client to the target
	Backward                  // from the target to the client
)

// Bounds of a proxy.
const (
	maxQueuedPieces = 64       // in one direction of a connection; beyond it the sender is not read
	pieceSize       = 16 << 10 // bytes read at a time
	maxRecording    = 64 << 10 // bytes of a connection that can be replayed
	maxRecordings   = 8        // connections that can be replayed
)

// fault is what one direction does to bytes.
type fault struct {
	held, lost    bool
	delay, jitter time.Duration
	rate          int // bytes a second; 0: as they come
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
	reservation  *portreservation.Reservation // of addr: it keeps the port while the proxy refuses connections
	ctx          context.Context
	cancel       context.CancelFunc
	workers      sync.WaitGroup

	mu         sync.Mutex
	listener   net.Listener // nil: connections are refused
	faults     [2]fault
	changed    chan struct{}
	conns      map[*conn]struct{}
	counts     Counts
	recordings [][]byte
	random     *rand.Rand
}

// New starts a proxy to an address, which need not be served yet. The seed determines its
// jitter and which connection it replays. The caller must Close it.
func New(to string, seed uint64) (*Proxy, error) {
	l := &Proxy{target: to, seed: seed, changed: make(chan struct{}), conns: make(map[*conn]struct{}), random: rand.New(rand.NewPCG(seed, 5))}
	var err error
	if l.reservation, err = portreservation.Reserve(); err != nil {
		return nil, fmt.Errorf("reserving a proxy's port: %w", err)
	}
	l.addr = l.reservation.Addr()
	l.ctx, l.cancel = context.WithCancel(context.Background())
	if err := l.listen(); err != nil {
		_ = l.reservation.Close()
		return nil, err
	}
	return l, nil
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

// Cut stops both directions: connections stay open, and what is sent arrives after Heal, as
// a network's retransmissions would. New connections are refused, or accepted and stopped
// too.
func (p *Proxy) Cut(refuse bool) error {
	p.updateFaults(func(f *fault) { f.held = true }, Forward, Backward)
	if refuse {
		return p.Refuse()
	}
	return nil
}

// DropOneWay drops the bytes of one direction. A connection that has lost bytes forwards no
// more in that direction, and Heal resets it.
func (p *Proxy) DropOneWay(w Direction) { p.updateFaults(func(f *fault) { f.lost = true }, w) }

// Delay delays bytes, in their order, by a time and up to jitter more.
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

// Heal ends all faults.
func (p *Proxy) Heal() error {
	for _, c := range p.openConns() {
		if c.hasLostBytes() {
			c.reset()
		}
	}
	p.updateFaults(func(f *fault) { *f = fault{} }, Forward, Backward)
	return p.listen()
}

// Replay sends what the client of an ended connection sent, from its first byte on, on a
// new connection: the target receives a call twice. It returns the number of bytes written,
// 0 if no connection has ended yet. The response is dropped.
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

func (p *Proxy) updateFaults(change func(*fault), ways ...Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range ways {
		change(&p.faults[w])
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

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

func (p *Proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.ctx.Err() != nil {
		return nil
	}
	listener, err := new(net.ListenConfig).Listen(p.ctx, "tcp", p.addr)
	if err != nil {
		return fmt.Errorf("a link's listener: %w", err)
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
