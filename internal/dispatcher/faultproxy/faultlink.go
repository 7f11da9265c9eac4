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

// Way is a direction of a link's bytes.
type Way int

// The ways of a link: from who dials, and to who dials.
const (
	Forth Way = iota
	Back
)

const (
	pieces   = 64       // of a way's bytes that wait in the link; then its sender waits
	pieceLen = 16 << 10 // bytes
	mostKept = 64 << 10 // bytes of a connection that can be replayed
	keepLast = 8        // connections that can be
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

// Link is one link. Its methods may be called concurrently.
type Link struct {
	to, addr string
	seed     uint64
	guard    int // a socket that is bound and never listens: it keeps the port while the link refuses
	ctx      context.Context
	end      context.CancelFunc
	all      sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener // nil: refuses
	ways     [2]fault
	changed  chan struct{}
	conns    map[*conn]struct{}
	counts   Counts
	kept     [][]byte
	random   *rand.Rand
}

// New starts a link to an address, which need not be there yet. The seed decides
// its jitter, and what it replays.
func New(to string, seed uint64) (*Link, error) {
	l := &Link{to: to, seed: seed, changed: make(chan struct{}), conns: make(map[*conn]struct{}), random: rand.New(rand.NewPCG(seed, 5))}
	var err error
	if l.guard, l.addr, err = reserve(); err != nil {
		return nil, fmt.Errorf("reserving a link's port: %w", err)
	}
	l.ctx, l.end = context.WithCancel(context.Background())
	if err := l.listen(); err != nil {
		syscall.Close(l.guard)
		return nil, err
	}
	return l, nil
}

// reserve binds a loopback port without listening at it.
func reserve() (fd int, addr string, err error) {
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
func (l *Link) Addr() string { return l.addr }

// Counts tells what the link has done so far.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Open = len(l.conns)
	return c
}

// Cut silences both ways: connections stay open, and what is sent waits, to
// arrive after Heal as a network's own repeats would. New connections are
// refused, or come up and are as silent.
func (l *Link) Cut(refuse bool) error {
	l.set(func(f *fault) { f.held = true }, Forth, Back)
	if refuse {
		return l.Refuse()
	}
	return nil
}

// OneWay swallows one way's bytes. A connection that has lost any never carries
// more that way, and Heal resets it.
func (l *Link) OneWay(w Way) { l.set(func(f *fault) { f.lost = true }, w) }

// Delay lets bytes come late, in their order, by so much and up to jitter more.
func (l *Link) Delay(by, jitter time.Duration) {
	l.set(func(f *fault) { f.delay, f.jitter = by, jitter }, Forth, Back)
}

// Trickle lets so many bytes a second through, each way.
func (l *Link) Trickle(rate int) { l.set(func(f *fault) { f.rate = rate }, Forth, Back) }

// Reset resets all connections that are open, at both ends.
func (l *Link) Reset() {
	for _, c := range l.open() {
		c.reset()
	}
}

// Refuse refuses new connections. Those that are open stay.
func (l *Link) Refuse() error {
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
func (l *Link) Heal() error {
	for _, c := range l.open() {
		if c.holed() {
			c.reset()
		}
	}
	l.set(func(f *fault) { *f = fault{} }, Forth, Back)
	return l.listen()
}

// Replay plays what a connection that has ended was sent, from its first byte
// on, on a new one: a call is delivered twice. It returns how many bytes it
// wrote, 0 if no connection has ended yet. What is answered is read and dropped.
func (l *Link) Replay() (int, error) {
	l.mu.Lock()
	if len(l.kept) == 0 {
		l.mu.Unlock()
		return 0, nil
	}
	text := l.kept[l.random.IntN(len(l.kept))]
	l.mu.Unlock()
	c, err := l.dial()
	if err != nil {
		return 0, fmt.Errorf("replaying: %w", err)
	}
	n, err := c.Write(text)
	stop := context.AfterFunc(l.ctx, func() { c.Close() })
	l.all.Go(func() {
		defer stop()
		defer c.Close()
		for rest := make([]byte, pieceLen); err == nil; {
			_, err = c.Read(rest)
		}
	})
	return n, nil
}

// Close ends the link and all that runs for it.
func (l *Link) Close() {
	l.end()
	l.Refuse()
	l.Reset()
	l.all.Wait()
	syscall.Close(l.guard)
}

func (l *Link) set(change func(*fault), ways ...Way) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range ways {
		change(&l.ways[w])
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) way(w Way) (fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ways[w], l.changed
}

func (l *Link) open() (all []*conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

func (l *Link) listen() error {
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
	l.all.Go(func() {
		for {
			a, err := listener.Accept()
			if err != nil {
				return
			}
			l.take(a.(*net.TCPConn))
		}
	})
	return nil
}

func (l *Link) dial() (*net.TCPConn, error) {
	c, err := new(net.Dialer).DialContext(l.ctx, "tcp", l.to)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}
