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
	// maxInterimReplies bounds the number of 1xx responses before the final response.
	maxInterimReplies = 5
)

var (
	errUnexpectedReply = errors.New("a runner sent an unexpected reply")
	errReplyTooLong    = errors.New("a runner's reply is too long")
	// errConnClosed is returned by send if the connection was closed before any byte of the order was
	// written.
	errConnClosed = errors.New("the connection was already closed")
)

// httpReply is the HTTP response of a runner to an order.
type httpReply struct {
	status     int
	body       []byte
	closesConn bool // the runner closes the connection after this reply
}

// readResult is a reply, or an error, that the reading goroutine of a connection passes to the sender.
type readResult struct {
	reply httpReply
	err   error
}

// runnerConn is a persistent connection to a runner. It carries one order at a time. A goroutine reads from
// it all the time, so that the end of the connection is noticed also while it is idle.
type runnerConn struct {
	address       string
	conn          net.Conn
	reader        *bufio.Reader   // used only by the reading goroutine
	results       chan readResult // buffered for a reply whose sender has given up, and the error after it
	replyExpected atomic.Bool     // an order was or is being written, and its reply has not been read

	// request and body are used only by the sender.
	request http.Request
	body    bytes.Reader

	// idleElement and idleSince are used by the pool. idleElement is the element in the pool's list of idle
	// connections, or nil while the connection carries an order.
	idleElement *list.Element
	idleSince   time.Time
}

// requestBuffers holds buffers in which requests are encoded.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// newRunnerConn returns a runnerConn that uses an open network connection. The caller must start readReplies
// in a goroutine.
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

// send writes an order once and waits for the reply until the deadline. If the error is errConnClosed, nothing
// was written. After any error the connection must not be used again.
func (c *runnerConn) send(deadline time.Time, path, incarnation string, body []byte) (httpReply, error) {
	c.request.URL.Path = path
	c.request.Header[incarnationHeader][0] = incarnation
	c.request.ContentLength = int64(len(body))
	c.body.Reset(body)
	buffer := requestBuffers.Get().(*bytes.Buffer)
	defer requestBuffers.Put(buffer)
	buffer.Reset()
	if err := c.request.Write(buffer); err != nil {
		return httpReply{}, errors.Wrap(err, "encode the request of an order")
	}
	c.replyExpected.Store(true)
	_ = c.conn.SetDeadline(deadline) // if it fails, Write fails too
	if written, err := c.conn.Write(buffer.Bytes()); err != nil {
		if written == 0 && errors.Is(err, net.ErrClosed) {
			return httpReply{}, errConnClosed
		}
		return httpReply{}, errors.Wrap(err, "send an order")
	}
	result := <-c.results
	return result.reply, result.err
}

// readReplies passes replies to the sender until the connection ends, a reply can't be read, or a reply closes
// the connection. It then calls onEnd, passes on the last result, and returns.
func (c *runnerConn) readReplies(onEnd func()) {
	for {
		reply, err := c.readReply()
		if err != nil || reply.closesConn {
			onEnd()
			c.results <- readResult{reply: reply, err: err}
			return
		}
		_ = c.conn.SetDeadline(time.Time{}) // an error shows up in the next read
		c.replyExpected.Store(false)
		c.results <- readResult{reply: reply}
	}
}

// readReply waits for a reply and reads it. It skips 1xx responses.
func (c *runnerConn) readReply() (httpReply, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return httpReply{}, errors.Wrap(err, "wait for a runner's reply")
	}
	if !c.replyExpected.Load() {
		return httpReply{}, errUnexpectedReply
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
			return httpReply{status: response.StatusCode, body: body, closesConn: response.Close}, nil
		}
	}
	return httpReply{}, errUnexpectedReply
}

// readBody reads the whole body of a response. It returns errReplyTooLong for more than maxReplyBytes.
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
