package rpc

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Path is the URL path of a server's upgrades.
const Path = "/internal/stream"

// protocolName is what the Upgrade header names.
const protocolName = "basaltloft-gob/1"

const (
	// maxQueuedOneWay bounds the frames that wait for a peer while one-way messages are still queued;
	// above it they are dropped.
	maxQueuedOneWay = 256
	// upgradeTimeout bounds connecting and the wait for the response to the upgrade.
	upgradeTimeout = 2 * dialTimeout
	// redialInterval is the least time between a failed attempt to connect and the next.
	redialInterval = 60 * time.Millisecond
	// unresponsiveTimeout is how long nothing must have been read from a connection before it is closed
	// when a call that has no response is cancelled.
	unresponsiveTimeout = 300 * time.Millisecond
)

// Client sends messages to one peer. It connects when it is first used and again after each failure.
// Its methods may be called concurrently.
type Client struct {
	address   string
	transport *http.Transport

	mu         sync.Mutex
	current    *stream             // nil: not connected
	pending    map[uint64]chan any // calls without a response, by ID; closed where the connection is lost
	lastID     uint64
	connecting bool          // serveConnection runs and current is not set yet
	lastFailed time.Duration // when an attempt to connect last failed; 0: none has
	unsent     []frame       // in order, until it is connected; at most maxQueuedFrames
}

// NewClient returns a client of the server at an address, as host:port.
func NewClient(address string) *Client {
	transport := &http.Transport{DialContext: dialRepeatedly, DisableCompression: true}
	return &Client{address: address, transport: transport, pending: map[uint64]chan any{}}
}

// Call sends a message, at most once, and waits for its response. ErrBusy means that it was not sent;
// any other error is an ErrConnectionLost and says nothing of whether the peer carried it out. A call
// that is cancelled while it is queued is not sent any more.
func (c *Client) Call(ctx context.Context, body any) (any, error) {
	response := make(chan any, 1)
	cancelled := &atomic.Bool{}
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.pending[id] = response
	err := c.enqueueLocked(frame{ID: id, Kind: frameCall, Body: body, cancelled: cancelled})
	c.mu.Unlock()
	if err != nil {
		c.forget(id)
		return nil, err
	}
	calledAt := monotonicNow()
	select {
	case got, ok := <-response:
		if !ok {
			return nil, ErrConnectionLost
		}
		return got, nil
	case <-ctx.Done():
		cancelled.Store(true)
		c.forget(id)
		c.closeIfUnresponsive(calledAt)
		return nil, errors.Wrapf(ErrConnectionLost, "no answer from %s", c.address)
	}
}

// SendOneWay sends a message without a response; it may be lost. ErrBusy means that it was dropped.
func (c *Client) SendOneWay(body any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queueLengthLocked() >= maxQueuedOneWay {
		return ErrBusy
	}
	return c.enqueueLocked(frame{Kind: frameOneWay, Body: body})
}

// Close closes the connection; calls without a response end with ErrConnectionLost. The client
// connects again when it is used again.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.current.close()
	}
}

// forget drops a call whose response is not waited for any more.
func (c *Client) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// closeIfUnresponsive closes a connection on which nothing was read since a call was made.
func (c *Client) closeIfUnresponsive(calledAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && time.Duration(c.current.lastRead.Load()) < calledAt && monotonicNow()-calledAt > unresponsiveTimeout {
		c.current.close()
	}
}

// queueLengthLocked returns how many frames wait to be written.
func (c *Client) queueLengthLocked() int {
	if c.current != nil {
		return c.current.queueLength()
	}
	return len(c.unsent)
}

// enqueueLocked queues a frame on the connection, or until there is one.
func (c *Client) enqueueLocked(f frame) error {
	if c.current != nil {
		return c.current.enqueue(f)
	}
	if len(c.unsent) >= maxQueuedFrames {
		return ErrBusy
	}
	c.unsent = append(c.unsent, f)
	if !c.connecting {
		c.connecting = true
		go c.serveConnection()
	}
	return nil
}

// serveConnection connects, sends what is queued, and reads responses until the connection ends.
// There is one such goroutine while the client is connecting or connected.
func (c *Client) serveConnection() {
	c.awaitRedial()
	conn, err := c.connect()
	s := c.finishConnecting(conn, err)
	if s == nil {
		return
	}
	s.read(c.handleResponse)
	c.finishConnection(s)
}

// awaitRedial keeps redialInterval after a failed attempt.
func (c *Client) awaitRedial() {
	c.mu.Lock()
	lastFailed := c.lastFailed
	c.mu.Unlock()
	if lastFailed > 0 {
		time.Sleep(lastFailed + redialInterval - monotonicNow())
	}
}

// finishConnecting makes a connection the current one; nil: the attempt has failed, and with it the calls
// that wait.
func (c *Client) finishConnecting(conn io.ReadWriteCloser, err error) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connecting = false
	queue := c.unsent
	c.unsent = nil
	if err != nil {
		c.lastFailed = monotonicNow()
		c.failPendingLocked()
		return nil
	}
	s := newStream(conn)
	c.current = s
	for _, f := range queue {
		_ = s.enqueue(f) // there is room: the queue had the same bound
	}
	return s
}

// connect opens a connection and upgrades it.
func (c *Client) connect() (io.ReadWriteCloser, error) {
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+Path, nil)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "build the upgrade")
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocolName)
	response, err := c.roundTrip(request, cancel)
	if err != nil {
		cancel()
		return nil, errors.Wrapf(err, "connect to %s", c.address)
	}
	conn, ok := response.Body.(io.ReadWriteCloser)
	if response.StatusCode != http.StatusSwitchingProtocols || !ok {
		_ = response.Body.Close() // nothing is read from it
		cancel()
		return nil, errors.Newf("%s does not speak %s", c.address, protocolName)
	}
	return conn, nil
}

// roundTrip bounds the wait for the response to an upgrade by upgradeTimeout. A deadline of the
// request's context would end the connection too, which outlives the response: it ends by its own
// close, and its context is not cancelled.
func (c *Client) roundTrip(request *http.Request, cancel context.CancelFunc) (*http.Response, error) {
	timer := time.AfterFunc(upgradeTimeout, cancel)
	response, err := c.transport.RoundTrip(request)
	if !timer.Stop() && err == nil {
		_ = response.Body.Close() // it came too late
		return nil, context.DeadlineExceeded
	}
	return response, err
}

// handleResponse passes a response to its call; one to a call that was given up is dropped.
func (c *Client) handleResponse(f frame) {
	c.mu.Lock()
	response := c.pending[f.ID]
	delete(c.pending, f.ID)
	c.mu.Unlock()
	if response != nil {
		response <- f.Body
	}
}

// finishConnection records that a connection has ended, and with it the calls that wait.
func (c *Client) finishConnection(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == s {
		c.current = nil
		c.failPendingLocked()
	}
}

// failPendingLocked ends the calls that have no response.
func (c *Client) failPendingLocked() {
	for id, response := range c.pending {
		delete(c.pending, id)
		close(response)
	}
}
