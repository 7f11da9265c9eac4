package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of one exchange.
const (
	dialTimeout = time.Second
	// answerTimeout is far longer than the timeout of any route, so no answer is expected after it.
	answerTimeout = 9 * time.Second
)

// request is one call of a client or an operator.
type request struct {
	method  string
	path    string
	host    string
	body    string
	base    int64         // value of the header Base-Version in an operator's call
	timeout time.Duration // value of the header Timeout-Ms; 0: no header
	pause   time.Duration // pause in the middle of sending; 0: the request is sent at once
}

// text returns the request in the format of HTTP/1.1.
func (r request) text() string {
	var text strings.Builder
	text.WriteString(r.method + " " + r.path + " HTTP/1.1\r\nHost: " + r.host + "\r\n")
	if r.body != "" {
		text.WriteString("Content-Type: application/json\r\n")
	}
	if r.timeout > 0 {
		text.WriteString("Timeout-Ms: " + strconv.FormatInt(r.timeout.Milliseconds(), 10) + "\r\n")
	}
	text.WriteString("Base-Version: " + strconv.FormatInt(r.base, 10) + "\r\n")
	text.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n\r\n" + r.body)
	return text.String()
}

// outcome is how an exchange ended.
type outcome int

// Ways in which an exchange can end, as the client of the soak test observes them. They are counted separately.
const (
	unsent   outcome = iota // not sent completely: the process has not read it
	answered                // a complete answer arrived
	cut                     // the server closed the connection before the answer was complete
	silent                  // no complete answer within answerTimeout
)

// Exchange is one request on a connection, and its answer.
type Exchange struct {
	target   string // address of the process
	request  request
	outcome  outcome
	status   int
	body     string
	partial  bool      // at least one byte of the answer arrived
	reused   bool      // the connection had carried other requests
	lastByte time.Time // when the request had been sent
	ended    time.Time
	err      error
}

// connection is a client's open connection to a process.
type connection struct {
	target string // address of the process
	conn   net.Conn
	reader *countingReader
	buffer *bufio.Reader
	used   bool
}

// countingReader counts the bytes that are read.
type countingReader struct {
	from  io.Reader
	bytes int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.from.Read(p)
	c.bytes += n
	return n, err
}

// dial opens a connection to an address of a process.
func dial(ctx context.Context, target, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	reader := &countingReader{from: conn}
	return &connection{target: target, conn: conn, reader: reader, buffer: bufio.NewReader(reader)}, nil
}

// close closes the connection. It ignores the error, since the process may be gone.
func (c *connection) close() { _ = c.conn.Close() }

// exchange sends a request and reads its answer. If keep is false, the connection can't be used again.
func (c *connection) exchange(r request) (got Exchange, keep bool) {
	got = Exchange{target: c.target, request: r, reused: c.used}
	c.used = true
	if got.err = c.send(r); got.err != nil {
		got.ended = time.Now()
		return got, false
	}
	got.lastByte = time.Now()
	_ = c.conn.SetReadDeadline(got.lastByte.Add(answerTimeout)) // an error shows at the read
	before := c.reader.bytes
	response, err := http.ReadResponse(c.buffer, &http.Request{Method: r.method})
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close() // it has been read
		got.status, got.body = response.StatusCode, string(body)
	}
	got.ended, got.err, got.partial = time.Now(), err, c.reader.bytes > before
	got.outcome = outcomeOf(err)
	return got, err == nil && !response.Close
}

func outcomeOf(err error) outcome {
	var timeout net.Error
	switch {
	case err == nil:
		return answered
	case errors.As(err, &timeout) && timeout.Timeout():
		return silent
	}
	return cut
}

// send writes a request, in two halves if it has a pause.
func (c *connection) send(r request) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(answerTimeout)) // an error shows at the write
	text := r.text()
	if r.pause > 0 {
		half := len(text) / 2
		if _, err := io.WriteString(c.conn, text[:half]); err != nil {
			return err
		}
		time.Sleep(r.pause) // simulates a slow client
		text = text[half:]
	}
	_, err := io.WriteString(c.conn, text)
	return err
}

// hasDefiniteAnswer reports whether a complete answer arrived that is no server error.
func (e *Exchange) hasDefiniteAnswer() bool {
	return e.outcome == answered && e.status < http.StatusInternalServerError
}
