package faultproxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// conn is one connection through a link: two, end to end.
type conn struct {
	l    *Link
	a    *net.TCPConn
	done chan struct{}

	mu      sync.Mutex
	b       *net.TCPConn // nil: not dialled yet
	over    bool
	hole    [2]bool
	sent    []byte // by A, so that it can be replayed
	tooMuch bool   // it can't
}

// piece is bytes on their way, or the end of them.
type piece struct {
	text []byte
	due  time.Time
	end  error // io.EOF, or what broke the connection
}

func (l *Link) take(a *net.TCPConn) {
	c := &conn{l: l, a: a, done: make(chan struct{})}
	l.mu.Lock()
	number := l.counts.Made
	l.counts.Made++
	l.conns[c] = struct{}{}
	ended := l.ctx.Err() != nil
	l.mu.Unlock()
	if ended {
		c.reset()
	}
	l.all.Go(func() { c.run(uint64(number)) })
}

// run carries both ways until both have ended.
func (c *conn) run(number uint64) {
	defer c.finish()
	if _, _, ok := c.pass(Forth, time.Time{}); !ok {
		return
	}
	b, err := c.l.dial()
	if err != nil {
		c.reset()
		return
	}
	c.mu.Lock()
	c.b = b
	over := c.over
	c.mu.Unlock()
	if over {
		b.Close()
		return
	}
	var ways sync.WaitGroup
	ways.Go(func() { c.carry(Forth, c.a, b, number) })
	c.carry(Back, b, c.a, number)
	ways.Wait()
}

func (c *conn) carry(w Way, from, to *net.TCPConn, number uint64) {
	queue := make(chan piece, pieces)
	c.l.all.Go(func() { c.read(w, from, queue, rand.New(rand.NewPCG(c.l.seed, 2*number+uint64(w)))) })
	for p := range queue {
		if !c.deliver(w, to, p) {
			return
		}
	}
}

// read takes in one way's bytes, and decides when each piece is due.
func (c *conn) read(w Way, from *net.TCPConn, queue chan<- piece, random *rand.Rand) {
	defer close(queue)
	for {
		text := make([]byte, pieceLen)
		n, err := from.Read(text)
		f, _ := c.l.way(w)
		due := time.Now().Add(f.delay)
		if f.jitter > 0 {
			due = due.Add(time.Duration(random.Int64N(int64(f.jitter))))
		}
		c.l.mu.Lock()
		c.l.counts.Held[w] += n
		c.l.mu.Unlock()
		if w == Forth {
			c.keep(text[:n])
		}
		select {
		case queue <- piece{text[:n], due, err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver passes a piece on, and tells whether the way goes on.
func (c *conn) deliver(w Way, to *net.TCPConn, p piece) bool {
	for {
		f, changed, ok := c.pass(w, p.due)
		switch {
		case !ok:
			return false
		case f.lost:
			c.lose(w, len(p.text))
			return p.end == nil
		case len(p.text) > 0:
			part := p.text
			if f.rate > 0 {
				part = part[:min(len(part), max(1, f.rate/20))]
			}
			if _, err := to.Write(part); err != nil {
				c.reset()
				return false
			}
			c.count(w, len(part), &c.l.counts.Passed)
			if p.text = p.text[len(part):]; f.rate > 0 {
				c.wait(time.Duration(len(part))*time.Second/time.Duration(f.rate), changed)
			}
		case p.end == nil:
			return true
		case errors.Is(p.end, io.EOF):
			to.CloseWrite()
			return false
		default:
			c.reset()
			return false
		}
	}
}

// pass waits until a way is open and bytes are due, and tells whether the
// connection is still there. A way that has lost bytes goes on losing them.
func (c *conn) pass(w Way, due time.Time) (f fault, changed <-chan struct{}, ok bool) {
	for {
		f, changed = c.l.way(w)
		left := time.Until(due)
		switch {
		case f.held:
			left = 1 << 62
		case left <= 0:
			c.mu.Lock()
			defer c.mu.Unlock()
			f.lost = f.lost || c.hole[w]
			return f, changed, !c.over
		}
		if !c.wait(left, changed) {
			return f, changed, false
		}
	}
}

func (c *conn) wait(d time.Duration, changed <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-c.done:
		return false
	}
	return true
}

// lose makes a hole in a way: of bytes, or of the end of them.
func (c *conn) lose(w Way, n int) {
	c.mu.Lock()
	c.hole[w] = true
	c.mu.Unlock()
	c.count(w, n, &c.l.counts.Lost)
}

func (c *conn) holed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hole[Forth] || c.hole[Back]
}

// count moves bytes from those that wait.
func (c *conn) count(w Way, n int, to *[2]int) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.counts.Held[w] -= n
	to[w] += n
}

func (c *conn) keep(text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sent)+len(text) > mostKept {
		c.tooMuch = true
	}
	if !c.tooMuch {
		c.sent = append(c.sent, text...)
	}
}

// reset ends the connection with a RST at both ends.
func (c *conn) reset() { c.close(true) }

func (c *conn) close(abort bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	c.over = true
	close(c.done)
	for _, end := range []*net.TCPConn{c.a, c.b} {
		if end == nil {
			continue
		}
		if abort {
			end.SetLinger(0)
		}
		end.Close()
	}
}

// finish takes a connection off the list, and keeps it for replays.
func (c *conn) finish() {
	c.close(false)
	c.mu.Lock()
	sent := c.sent
	if c.tooMuch {
		sent = nil
	}
	c.mu.Unlock()
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	delete(c.l.conns, c)
	if len(sent) == 0 {
		return
	}
	if c.l.kept = append(c.l.kept, sent); len(c.l.kept) > keepLast {
		c.l.kept = c.l.kept[1:]
	}
}
