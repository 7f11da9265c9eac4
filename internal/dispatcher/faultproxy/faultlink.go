// Package faultproxy is a loopback TCP link with faults, for tests of several
// processes: whoever dials its address talks to another address, until the link
// is told to misbehave. A link is one way's dials: of A to B, with bytes forth
// (from A) and back (to A).
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

// Direction is a direction of a link's bytes.
type Direction int

// The ways of a link: from who dials, and to who dials.
const (
	Forward Direction = iota
	Backward
)

const (
	maxQueuedPieces = 64       // of a way's bytes that wait in the link; then its sender waits
	pieceSize       = 16 << 10 // bytes
	maxRecording    = 64 << 10 // bytes of a connection that can be replayed
	maxRecordings   = 8        // connections that can be
)

// fault is what one way does to bytes.
type fault struct {
	held, lost    bool
	delay, jitter time.Duration
	rate          int // bytes a second; 0: as they come
}

// Counts tell what a link has done. By way: bytes that it passed, that wait in
// it, and that it lost.
type Counts struct {
	Open, Made         int // connections
	Passed, Held, Lost [2]int
}

// Proxy is one link. Its methods may be called concurrently.
type Proxy struct {
	target, addr   string
	seed           uint64
	reservedSocket int // a socket that is bound and never listens: it keeps the port while the link refuses
	ctx            context.Context
	cancel         context.CancelFunc
	workers        sync.WaitGroup

	mu         sync.Mutex
	listener   net.Listener // nil: refuses
	faults     [2]fault
	changed    chan struct{}
	conns      map[*conn]struct{}
	counts     Counts
	recordings [][]byte
	random     *rand.Rand
}

// New starts a link to an address, which need not be there yet. The seed decides
// its jitter, and what it replays.
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

// Addr is where the link is dialled.
func (l *Proxy) Addr() string { return l.addr }

// Counts tells what the link has done so far.
func (l *Proxy) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Open = len(l.conns)
	return c
}

// Cut silences both ways: connections stay open, and what is sent waits, to
// arrive after Heal as a network's own repeats would. New connections are
// refused, or come up and are as silent.
func (l *Proxy) Cut(refuse bool) error {
	l.updateFaults(func(f *fault) { f.held = true }, Forward, Backward)
	if refuse {
		return l.Refuse()
	}
	return nil
}

// DropOneWay swallows one way's bytes. A connection that has lost any never carries
// more that way, and Heal resets it.
func (l *Proxy) DropOneWay(w Direction) { l.updateFaults(func(f *fault) { f.lost = true }, w) }

// Delay lets bytes come late, in their order, by so much and up to jitter more.
func (l *Proxy) Delay(by, jitter time.Duration) {
	l.updateFaults(func(f *fault) { f.delay, f.jitter = by, jitter }, Forward, Backward)
}

// LimitRate lets so many bytes a second through, each way.
func (l *Proxy) LimitRate(rate int) {
	l.updateFaults(func(f *fault) { f.rate = rate }, Forward, Backward)
}

// Reset resets all connections that are open, at both ends.
func (l *Proxy) Reset() {
	for _, c := range l.openConns() {
		c.reset()
	}
}

// Refuse refuses new connections. Those that are open stay.
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

// Replay plays what a connection that has ended was sent, from its first byte
// on, on a new one: a call is delivered twice. It returns how many bytes it
// wrote, 0 if no connection has ended yet. What is answered is read and dropped.
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

// Close ends the link and all that runs for it.
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
