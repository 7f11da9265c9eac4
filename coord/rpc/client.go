package rpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Path is where a server takes connections.
const Path = "/internal/stream"

// maxCasts bounds the messages without an answer that wait for a peer; more are dropped.
const maxCasts = 256

// protocol is what the upgrade names.
const protocol = "basaltloft-gob/1"

const (
	dialTimeout   = 900 * time.Millisecond
	redialPause   = 60 * time.Millisecond
	unackedFor    = 1500 * time.Millisecond // what no one acknowledges for so long ends a connection
	tcpUserTimout = 18                      // TCP_USER_TIMEOUT
)

// Dialer dials with bounds on how long a silent peer is waited for. It serves HTTP
// transports of other packages too.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: time.Second,
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimout, int(unackedFor.Milliseconds()))
			})
		},
	}
}

// Client is one peer as seen from here. It connects when it is first used and again after
// each failure.
type Client struct {
	address   string
	transport *http.Transport

	mu      sync.Mutex
	current *stream
	waiting map[uint64]chan any
	next    uint64
	dialing bool
	failed  time.Duration // when the last dial failed
	queued  []frame       // until the dial is done
}

// NewClient returns a client of the server at an address, as host:port.
func NewClient(address string) *Client {
	return &Client{address: address, transport: &http.Transport{DialContext: dialAgain, DisableCompression: true}, waiting: map[uint64]chan any{}}
}

// Call sends a message, once, and waits for its answer. An error says nothing of whether the
// peer carried it out, except ErrBusy, which says that it was not sent. One that is given up
// before it left the queue is not sent any more.
func (c *Client) Call(ctx context.Context, body any) (any, error) {
	answer := make(chan any, 1)
	c.mu.Lock()
	c.next++
	id := c.next
	c.waiting[id] = answer
	givenUp := &atomic.Bool{}
	err := c.putLocked(frame{ID: id, Kind: frameCall, Body: body, givenUp: givenUp})
	c.mu.Unlock()
	if err != nil {
		c.forget(id)
		return nil, err
	}
	began := steady()
	select {
	case got, ok := <-answer:
		if !ok {
			return nil, ErrConnectionLost
		}
		return got, nil
	case <-ctx.Done():
		givenUp.Store(true)
		c.forget(id)
		c.doubt(began)
		return nil, errors.Wrapf(ErrConnectionLost, "no answer from %s", c.address)
	}
}

// SendOneWay sends a message that has no answer; it may be lost.
func (c *Client) SendOneWay(body any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil && len(c.queued) >= maxCasts || c.current != nil && c.current.waiting() >= maxCasts {
		return ErrBusy
	}
	return c.putLocked(frame{Kind: frameCast, Body: body})
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.current.close()
	}
}

func (c *Client) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// silence is how long nothing may be read while an answer is owed and its call is given up.
const silence = 300 * time.Millisecond

// doubt ends a connection on which nothing came since a call began that had no answer.
func (c *Client) doubt(began time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && time.Duration(c.current.lastRead.Load()) < began && steady()-began > silence {
		c.current.close()
	}
}

func (c *Client) putLocked(f frame) error {
	if c.current != nil {
		return c.current.put(f)
	}
	if len(c.queued) >= maxQueued {
		return ErrBusy
	}
	c.queued = append(c.queued, f)
	if !c.dialing {
		c.dialing = true
		go c.dial()
	}
	return nil
}

func (c *Client) dial() {
	c.mu.Lock()
	pause := c.failed + redialPause - steady()
	c.mu.Unlock()
	if pause > 0 && c.failed > 0 {
		time.Sleep(pause)
	}
	conn, err := c.connect()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialing = false
	queued := c.queued
	c.queued = nil
	if err != nil {
		c.failed = steady()
		c.endWaitingLocked()
		return
	}
	s := newStream(conn)
	c.current = s
	for _, f := range queued {
		_ = s.put(f)
	}
	go func() {
		s.read(c.take)
		c.ended(s)
	}()
}

// connect opens a connection and upgrades it.
func (c *Client) connect() (io.ReadWriteCloser, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*dialTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(context.WithoutCancel(ctx), http.MethodGet, "http://"+c.address+Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build the upgrade")
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	response, err := c.roundTrip(request)
	if err != nil {
		return nil, err
	}
	body, ok := response.Body.(io.ReadWriteCloser)
	if response.StatusCode != http.StatusSwitchingProtocols || !ok {
		response.Body.Close()
		return nil, errors.Newf("%s does not speak %s", c.address, protocol)
	}
	return body, nil
}

// roundTrip bounds the wait for the answer to an upgrade; the connection outlives it.
func (c *Client) roundTrip(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(request.Context())
	timer := time.AfterFunc(2*dialTimeout, cancel)
	response, err := c.transport.RoundTrip(request.WithContext(ctx))
	if !timer.Stop() && err == nil {
		response.Body.Close()
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return nil, errors.Wrapf(err, "connect to %s", c.address)
	}
	return response, nil
}

func (c *Client) take(f frame) {
	c.mu.Lock()
	answer := c.waiting[f.ID]
	delete(c.waiting, f.ID)
	c.mu.Unlock()
	if answer != nil {
		answer <- f.Body
	}
}

func (c *Client) ended(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == s {
		c.current = nil
		c.endWaitingLocked()
	}
}

func (c *Client) endWaitingLocked() {
	for id, answer := range c.waiting {
		delete(c.waiting, id)
		close(answer)
	}
}
