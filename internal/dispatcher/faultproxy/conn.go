package faultproxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// conn is one proxied connection: the client's connection and the proxy's connection to the target.
type conn struct {
	proxy  *Proxy
	client *net.TCPConn
	done   chan struct{}

	mu            sync.Mutex
	target        *net.TCPConn // nil until it is dialled
	closed        bool
	lostBytes     [2]bool // by direction: whether bytes were dropped
	recording     []byte  // what the client sent, for Replay
	recordingFull bool    // the client sent more than maxRecording bytes: the connection can't be replayed
}

// piece is the result of one read: bytes to forward, the end of the stream, or both.
type piece struct {
	data []byte
	due  time.Time // when it may be forwarded
	end  error     // nil while the stream continues; else io.EOF or the read error
}

// serveConn registers an accepted connection and starts to forward it.
func (p *Proxy) serveConn(a *net.TCPConn) {
	c := &conn{proxy: p, client: a, done: make(chan struct{})}
	p.mu.Lock()
	number := p.counts.Made
	p.counts.Made++
	p.conns[c] = struct{}{}
	ended := p.ctx.Err() != nil
	p.mu.Unlock()
	if ended {
		c.reset()
	}
	p.workers.Go(func() { c.run(uint64(number)) })
}

// run dials the target and forwards both directions until both have ended.
func (c *conn) run(number uint64) {
	defer c.finish()
	if _, _, ok := c.awaitOpen(Forward, time.Time{}); !ok {
		return
	}
	b, err := c.proxy.dial()
	if err != nil {
		c.reset()
		return
	}
	c.mu.Lock()
	c.target = b
	ended := c.closed
	c.mu.Unlock()
	if ended {
		_ = b.Close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(Forward, c.client, b, number) })
	c.forward(Backward, b, c.client, number)
	directions.Wait()
}

// forward forwards one direction until it ends.
func (c *conn) forward(w Direction, from, to *net.TCPConn, number uint64) {
	queue := make(chan piece, maxQueuedPieces)
	c.proxy.workers.Go(func() { c.read(w, from, queue, rand.New(rand.NewPCG(c.proxy.seed, 2*number+uint64(w)))) })
	for p := range queue {
		if !c.deliver(w, to, p) {
			return
		}
	}
}

// read reads one direction's bytes into the queue and sets when each piece is due.
func (c *conn) read(w Direction, from *net.TCPConn, queue chan<- piece, random *rand.Rand) {
	defer close(queue)
	for {
		data := make([]byte, pieceSize)
		n, err := from.Read(data)
		f, _ := c.proxy.faultOf(w)
		due := time.Now().Add(f.delay)
		if f.jitter > 0 {
			due = due.Add(time.Duration(random.Int64N(int64(f.jitter))))
		}
		c.proxy.mu.Lock()
		c.proxy.counts.Held[w] += n
		c.proxy.mu.Unlock()
		if w == Forward {
			c.record(data[:n])
		}
		select {
		case queue <- piece{data[:n], due, err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver forwards a piece, and reports whether the direction continues.
func (c *conn) deliver(w Direction, to *net.TCPConn, p piece) bool {
	for {
		f, changed, ok := c.awaitOpen(w, p.due)
		switch {
		case !ok:
			return false
		case f.lost:
			c.dropPiece(w, len(p.data))
			return p.end == nil
		case len(p.data) > 0:
			part := p.data
			if f.rate > 0 {
				part = part[:min(len(part), max(1, f.rate/20))]
			}
			if _, err := to.Write(part); err != nil {
				c.reset()
				return false
			}
			c.count(w, len(part), &c.proxy.counts.Passed)
			if p.data = p.data[len(part):]; f.rate > 0 {
				c.wait(time.Duration(len(part))*time.Second/time.Duration(f.rate), changed)
			}
		case p.end == nil:
			return true
		case errors.Is(p.end, io.EOF):
			_ = to.CloseWrite()
			return false
		default:
			c.reset()
			return false
		}
	}
}

// awaitOpen waits until a direction is not held and the due time has come. It returns the
// direction's faults, the channel that is closed when they change, and whether the connection
// is still open. A direction that has lost bytes keeps losing them.
func (c *conn) awaitOpen(w Direction, due time.Time) (f fault, changed <-chan struct{}, ok bool) {
	for {
		f, changed = c.proxy.faultOf(w)
		left := time.Until(due)
		switch {
		case f.held:
			left = 1 << 62
		case left <= 0:
			c.mu.Lock()
			defer c.mu.Unlock()
			f.lost = f.lost || c.lostBytes[w]
			return f, changed, !c.closed
		}
		if !c.wait(left, changed) {
			return f, changed, false
		}
	}
}

// wait waits for a time or until the faults change. It returns false if the connection was closed.
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

// dropPiece counts n bytes as lost and marks the direction; n is 0 if only the end of the stream is dropped.
func (c *conn) dropPiece(w Direction, n int) {
	c.mu.Lock()
	c.lostBytes[w] = true
	c.mu.Unlock()
	c.count(w, n, &c.proxy.counts.Lost)
}

// hasLostBytes reports whether a piece was dropped in either direction.
func (c *conn) hasLostBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostBytes[Forward] || c.lostBytes[Backward]
}

// count moves n bytes of a direction from Held to another count.
func (c *conn) count(w Direction, n int, to *[2]int) {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.proxy.counts.Held[w] -= n
	to[w] += n
}

// record adds bytes to the recording for Replay, up to maxRecording.
func (c *conn) record(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.recording)+len(data) > maxRecording {
		c.recordingFull = true
	}
	if !c.recordingFull {
		c.recording = append(c.recording, data...)
	}
}

// reset closes the connection with a RST at both ends.
func (c *conn) reset() { c.close(true) }

// close closes both ends, with a RST if abort is true. Only the first call has an effect.
func (c *conn) close(abort bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	for _, end := range []*net.TCPConn{c.client, c.target} {
		if end == nil {
			continue
		}
		if abort {
			_ = end.SetLinger(0)
		}
		_ = end.Close()
	}
}

// finish closes and removes a connection and keeps its recording for Replay.
func (c *conn) finish() {
	c.close(false)
	c.mu.Lock()
	sent := c.recording
	if c.recordingFull {
		sent = nil
	}
	c.mu.Unlock()
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	delete(c.proxy.conns, c)
	if len(sent) == 0 {
		return
	}
	if c.proxy.recordings = append(c.proxy.recordings, sent); len(c.proxy.recordings) > maxRecordings {
		c.proxy.recordings = c.proxy.recordings[1:]
	}
}
