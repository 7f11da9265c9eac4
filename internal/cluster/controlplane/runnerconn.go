package controlplane

import (
	"bufio"
	"bytes"
	"container/list"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxReplyBytes   = 4 << 20
	connBufferBytes = 2 << 10
	// maxInterimReplies bounds how many replies of status 1xx may come before the one that counts.
	maxInterimReplies = 5
)

var (
	errNotAsked     = errors.New("a runner sent a reply to no order")
	errReplyTooLong = errors.New("a runner's reply is too long")
	// errConnClosed means that a connection had ended before any of an order was written to it.
	errConnClosed = errors.New("the connection had ended")
)

// httpReply is a reply to an order.
type httpReply struct {
	status int
	body   []byte
	last   bool // the connection ends with it
}

// readResult is what a connection's reader passes to the sender.
type readResult struct {
	reply httpReply
	err   error
}

// runnerConn is a persistent connection to a runner. It carries one order at a time. A goroutine waits on
// it for replies and for its end, also while it carries no order.
type runnerConn struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader   // of the reader's goroutine
	results chan readResult // has room for a reply that nobody waits for any more, and the error after it
	waiting atomic.Bool     // an order may have been written whose reply was not read

	// request and body are of the sender.
	request http.Request
	body    bytes.Reader

	// place and idleSince are of the pool: its place in the list of idle connections, nil while it carries an
	// order.
	place     *list.Element
	idleSince time.Time
}

// requestBuffers holds buffers in which requests are put together.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// newRunnerConn returns a connection over one that is open. Its caller runs read.
func newRunnerConn(address string, conn net.Conn) *runnerConn {
	c := &runnerConn{
		address: address, conn: conn, reader: bufio.NewReaderSize(conn, connBufferBytes),
		results: make(chan readResult, 2),
	}
	c.request = http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: address},
		Header: http.Header{"Content-Type": {"application/json"}, incarnationHeader: {""}},
		Body:   io.NopCloser(&c.body),
	}
	return c
}

// send writes an order, once, and waits for the reply until the deadline. Where the error is errConnClosed
// nothing was written. After any error the connection must not be used again.
func (c *runnerConn) send(deadline time.Time, path, incarnation string, body []byte) (httpReply, error) {
	c.request.URL.Path = path
	c.request.Header[incarnationHeader][0] = incarnation
	c.request.ContentLength = int64(len(body))
	c.body.Reset(body)
	buffer := requestBuffers.Get().(*bytes.Buffer)
	defer requestBuffers.Put(buffer)
	buffer.Reset()
	if err := c.request.Write(buffer); err != nil {
		return httpReply{}, errors.Wrap(err, "put an order together")
	}
	c.waiting.Store(true)
	_ = c.conn.SetDeadline(deadline) // fails only where Write does as well
	if written, err := c.conn.Write(buffer.Bytes()); err != nil {
		if written == 0 && errors.Is(err, net.ErrClosed) {
			return httpReply{}, errConnClosed
		}
		return httpReply{}, errors.Wrap(err, "send an order")
	}
	result := <-c.results
	return result.reply, result.err
}

// read passes on replies until the connection ends or must end; then it calls end, and returns.
func (c *runnerConn) read(end func()) {
	for {
		reply, err := c.readReply()
		if err != nil || reply.last {
			end()
			c.results <- readResult{reply: reply, err: err}
			return
		}
		_ = c.conn.SetDeadline(time.Time{}) // an error shows at the next reading
		c.waiting.Store(false)
		c.results <- readResult{reply: reply}
	}
}

// readReply waits for a reply and reads it.
func (c *runnerConn) readReply() (httpReply, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return httpReply{}, errors.Wrap(err, "wait for a runner's reply")
	}
	if !c.waiting.Load() {
		return httpReply{}, errNotAsked
	}
	for range maxInterimReplies {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return httpReply{}, errors.Wrap(err, "read a runner's reply")
		}
		body, err := readBody(response)
		if err != nil {
			return httpReply{}, err
		}
		if response.StatusCode >= http.StatusOK {
			return httpReply{status: response.StatusCode, body: body, last: response.Close}, nil
		}
	}
	return httpReply{}, errNotAsked
}

// readBody reads a response's body to its end.
func readBody(response *http.Response) ([]byte, error) {
	var body []byte
	var err error
	switch length := response.ContentLength; {
	case length > maxReplyBytes:
		return nil, errReplyTooLong
	case length >= 0:
		body = make([]byte, length)
		_, err = io.ReadFull(response.Body, body)
	default:
		body, err = io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	}
	if err != nil {
		return nil, errors.Wrap(err, "read a runner's reply")
	}
	if len(body) > maxReplyBytes {
		return nil, errReplyTooLong
	}
	return body, nil
}
