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

// Path is the URL path at which a server accepts upgrade requests.
const Path = "/internal/stream"

// protocolName is the protocol in the Upgrade header.
const protocolName = "basaltloft-gob/1"

const (
	// maxQueuedOneWay is the length of a peer's queue from which on one-way messages are dropped.
	maxQueuedOneWay = 256
	// upgradeTimeout limits the time for connecting and for the response to the upgrade request.
	upgradeTimeout = 2 * dialTimeout
	// redialInterval is the minimum time between a failed attempt to connect and the next one.
	redialInterval = 60 * time.Millisecond
	// unresponsiveTimeout applies when a call without a response is cancelled: if the call is older
	// than this and nothing has been read from the connection since it began, the connection is closed.
	unresponsiveTimeout = 300 * time.Millisecond
)

// Client sends messages to one peer. It connects on first use, and reconnects on the first use after a
// failure. Its methods may be called concurrently.
type Client struct {
	address   string
	transport *http.Transport

	mu         sync.Mutex
	current    *stream             // nil while not connected
	pending    map[uint64]chan any // calls without a response, by ID; closed when the connection is lost
	lastID     uint64
	connecting bool          // serveConnection is running and current is not set yet
	lastFailed time.Duration // time of the last failed attempt to connect; 0 if none has failed
	unsent     []frame       // frames queued until the client is connected, in order; at most maxQueuedFrames
}

// NewClient returns a client of the server at the given address (host:port).
func NewClient(address string) *Client {
	transport := &http.Transport{DialContext: dialRepeatedly, DisableCompression: true}
	return &Client{address: address, transport: transport, pending: map[uint64]chan any{}}
}

// Call sends a message at most once and waits for its response. If the error is ErrBusy, the message
// was not sent. Any other error is an ErrConnectionLost: the peer may or may not have executed the call.
// A call that is cancelled while it is queued is not sent.
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
		c.removePending(id)
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
		c.removePending(id)
		c.closeIfUnresponsive(calledAt)
		return nil, errors.Wrapf(ErrConnectionLost, "no answer from %s", c.address)
	}
}

// SendOneWay sends a message that has no response and may be lost. If the error is ErrBusy, the message
// was dropped.
func (c *Client) SendOneWay(body any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queueLengthLocked() >= maxQueuedOneWay {
		return ErrBusy
	}
	return c.enqueueLocked(frame{Kind: frameOneWay, Body: body})
}

// Close closes the connection. Calls without a response end with ErrConnectionLost. The client
// reconnects on its next use.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.current.close()
	}
}

// removePending removes a call whose caller no longer waits for its response.
func (c *Client) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// closeIfUnresponsive closes the connection if the call is older than unresponsiveTimeout and nothing has
// been read from the connection since the call was made.
func (c *Client) closeIfUnresponsive(calledAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && time.Duration(c.current.lastRead.Load()) < calledAt && monotonicNow()-calledAt > unresponsiveTimeout {
		c.current.close()
	}
}

// queueLengthLocked returns the number of frames that are waiting to be written.
func (c *Client) queueLengthLocked() int {
	if c.current != nil {
		return c.current.queueLength()
	}
	return len(c.unsent)
}

// enqueueLocked queues a frame on the connection. If there is none, it keeps the frame until the client
// is connected, and starts to connect.
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

// serveConnection connects, sends the queued frames, and reads responses until the connection ends.
// It runs in one goroutine while the client is connecting or connected.
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

// awaitRedial waits until redialInterval has passed since the last failed attempt to connect.
func (c *Client) awaitRedial() {
	c.mu.Lock()
	lastFailed := c.lastFailed
	c.mu.Unlock()
	if lastFailed > 0 {
		time.Sleep(lastFailed + redialInterval - monotonicNow())
	}
}

// finishConnecting makes a new connection the current one and moves the unsent frames to its queue. If
// the attempt has failed, it drops the unsent frames, fails the pending calls and returns nil.
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
		_ = s.enqueue(f) // it can't be full: unsent has the same limit
	}
	return s
}

// connect opens a connection and upgrades it to the protocol of this package.
func (c *Client) connect() (io.ReadWriteCloser, error) {
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+Path, nil)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "build the upgrade request")
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
		_ = response.Body.Close() // its content is not needed
		cancel()
		return nil, errors.Newf("%s does not support protocol %s", c.address, protocolName)
	}
	return conn, nil
}

// roundTrip sends an upgrade request and waits for the response for at most upgradeTimeout. It limits the
// wait with a timer, since a deadline of the request's context would also end the upgraded connection,
// which stays open after the response. After a success the context is not cancelled; closing the
// connection ends it.
func (c *Client) roundTrip(request *http.Request, cancel context.CancelFunc) (*http.Response, error) {
	timer := time.AfterFunc(upgradeTimeout, cancel)
	response, err := c.transport.RoundTrip(request)
	if !timer.Stop() && err == nil {
		_ = response.Body.Close() // it arrived after the timeout
		return nil, context.DeadlineExceeded
	}
	return response, err
}

// handleResponse passes a response to its call. A response to a cancelled call is dropped.
func (c *Client) handleResponse(f frame) {
	c.mu.Lock()
	response := c.pending[f.ID]
	delete(c.pending, f.ID)
	c.mu.Unlock()
	if response != nil {
		response <- f.Body
	}
}

// finishConnection records that a connection has ended, and fails the pending calls.
func (c *Client) finishConnection(s *stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == s {
		c.current = nil
		c.failPendingLocked()
	}
}

// failPendingLocked makes the calls without a response end with ErrConnectionLost.
func (c *Client) failPendingLocked() {
	for id, response := range c.pending {
		delete(c.pending, id)
		close(response)
	}
}
