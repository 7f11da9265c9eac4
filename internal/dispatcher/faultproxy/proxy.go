// Package faultproxy is a loopback TCP proxy that injects faults, for tests of several
// processes: connections to its address are forwarded to another address until the proxy is
// told to misbehave. A proxy serves one direction of dialling, from a client to a target;
// its bytes flow forward (from the client) and backward (to it).
package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
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
	target, addr   string
	seed           uint64
	reservedSocket int // bound and never listening: it keeps the port while the proxy refuses connections
	ctx            context.Context
	cancel         context.CancelFunc
	workers        sync.WaitGroup

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
	if l.reservedSocket, l.addr, err = reservePort(); err != nil {
		return nil, fmt.Errorf("reserving a link's port: %w", err)
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	if err := l.listen(); err != nil {
		syscall.Close(l.reservedSocket)
		return nil, err
	}
	return l, nil
}

// reservePort binds a loopback port without listening at it.
func reservePort() (fd int, addr string, err error) {
	if fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0); err != nil {
		return 0, "", err
	}
	err = errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	at, nameErr := syscall.Getsockname(fd)
	if err = errors.Join(err, nameErr); err != nil {
		syscall.Close(fd)
		return 0, "", err
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port), nil
}

// Addr returns the address to dial.
func (l *Proxy) Addr() string { return l.addr }

// Counts returns the statistics so far.
func (l *Proxy) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Open = len(l.conns)
	return c
}

// Cut stops both directions: connections stay open, and what is sent arrives after Heal, as
// a network's retransmissions would. New connections are refused, or accepted and stopped
// too.
func (l *Proxy) Cut(refuse bool) error {
	l.updateFaults(func(f *fault) { f.held = true }, Forward, Backward)
	if refuse {
		return l.Refuse()
	}
	return nil
}

// DropOneWay drops the bytes of one direction. A connection that has lost bytes forwards no
// more in that direction, and Heal resets it.
func (l *Proxy) DropOneWay(w Direction) { l.updateFaults(func(f *fault) { f.lost = true }, w) }

// Delay delays bytes, in their order, by a time and up to jitter more.
func (l *Proxy) Delay(by, jitter time.Duration) {
	l.updateFaults(func(f *fault) { f.delay, f.jitter = by, jitter }, Forward, Backward)
}

// LimitRate limits each direction to a rate in bytes a second.
func (l *Proxy) LimitRate(rate int) {
	l.updateFaults(func(f *fault) { f.rate = rate }, Forward, Backward)
}

// Reset resets all open connections, at both ends.
func (l *Proxy) Reset() {
	for _, c := range l.openConns() {
		c.reset()
	}
}

// Refuse refuses new connections. Open connections stay.
func (l *Proxy) Refuse() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return nil
	}
	err := l.listener.Close()
	l.listener = nil
	return err
}

// Heal ends all faults.
func (l *Proxy) Heal() error {
	for _, c := range l.openConns() {
		if c.hasLostBytes() {
			c.reset()
		}
	}
	l.updateFaults(func(f *fault) { *f = fault{} }, Forward, Backward)
	return l.listen()
}

// Replay sends what the client of an ended connection sent, from its first byte on, on a
// new connection: the target receives a call twice. It returns the number of bytes written,
// 0 if no connection has ended yet. The response is dropped.
func (l *Proxy) Replay() (int, error) {
	l.mu.Lock()
	if len(l.recordings) == 0 {
		l.mu.Unlock()
		return 0, nil
	}
	text := l.recordings[l.random.IntN(len(l.recordings))]
	l.mu.Unlock()
	c, err := l.dial()
	if err != nil {
		return 0, fmt.Errorf("replaying: %w", err)
	}
	n, err := c.Write(text)
	stop := context.AfterFunc(l.ctx, func() { c.Close() })
	l.workers.Go(func() {
		defer stop()
		defer c.Close()
		for rest := make([]byte, pieceSize); err == nil; {
			_, err = c.Read(rest)
		}
	})
	return n, nil
}

// Close closes the proxy and waits for its goroutines.
func (l *Proxy) Close() {
	l.cancel()
	l.Refuse()
	l.Reset()
	l.workers.Wait()
	syscall.Close(l.reservedSocket)
}

func (l *Proxy) updateFaults(change func(*fault), ways ...Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range ways {
		change(&l.faults[w])
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Proxy) faultOf(w Direction) (fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[w], l.changed
}

func (l *Proxy) openConns() (all []*conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

func (l *Proxy) listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil || l.ctx.Err() != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.addr)
	if err != nil {
		return fmt.Errorf("a link's listener: %w", err)
	}
	l.listener = listener
	l.workers.Go(func() {
		for {
			a, err := listener.Accept()
			if err != nil {
				return
			}
			l.serveConn(a.(*net.TCPConn))
		}
	})
	return nil
}

func (l *Proxy) dial() (*net.TCPConn, error) {
	c, err := new(net.Dialer).DialContext(l.ctx, "tcp", l.target)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}
