package httpfront

import (
	"context"
	"errors"
	"os"

	"basaltloft/internal/dispatcher/pipeline"
)

const (
	// maxReadAhead is how many bytes may be read ahead on a connection while a request is served: one
	// complete request, for a client that sends its next request at the last byte of its answer. A client
	// that sends more has several requests outstanding, which the protocol does not allow.
	maxReadAhead = maxHeaderBytes + pipeline.MaxBody
	// maxTotalReadAhead is how many bytes may be read ahead on all connections, to limit memory use.
	maxTotalReadAhead = 4 << 20
)

// readAhead is the state of reading a connection while a request on it is served. net/http then reads one
// byte to detect a disconnect and stops after that byte, so it notices a later disconnect only once all the
// requests before it have been started. From that byte on, the connection is read here.
type readAhead struct {
	unread        []byte        // bytes read ahead that the server has not read yet
	done          chan struct{} // closed once reading ahead has ended; nil if no goroutine reads ahead
	readErr       error         // why reading ended: the client has disconnected, or sent too much
	clientLeft    bool
	cancelRequest context.CancelFunc // cancels the request that is served; nil if there is none
}

// errTooMuchAhead is returned by Read when the client sent more than maxReadAhead bytes ahead, or all clients
// together more than maxTotalReadAhead.
var errTooMuchAhead = errors.New("requests sent without waiting for an answer")

// watchClient sets the function that cancels the served request if the client disconnects; nil means that no
// request is served any more. It reports whether the client is still connected.
func (c *limitedConn) watchClient(cancel context.CancelFunc) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.cancelRequest = cancel
	return !c.clientLeft
}

// startReadAhead starts reading ahead after a byte that came while a request is served, until stopReadAhead
// is called or the client disconnects. The lock is held.
func (c *limitedConn) startReadAhead() {
	if c.done == nil && c.readErr == nil && !c.closed {
		c.done = make(chan struct{})
		go c.readAheadLoop(c.done)
	}
}

// readAheadLoop reads until the read deadline is set to the past or the connection is closed.
func (c *limitedConn) readAheadLoop(done chan struct{}) {
	defer close(done)
	for buffer := make([]byte, 4<<10); ; {
		n, err := c.Conn.Read(buffer)
		stopped := errors.Is(err, os.ErrDeadlineExceeded)
		if stopped {
			err = nil
		}
		if more := c.addReadAhead(buffer[:n], err); !more || stopped {
			return
		}
	}
}

// addReadAhead stores bytes that were read ahead, and reports whether reading should go on. Above the limits
// it discards all of them and stores no more, but reading goes on in order to detect a disconnect.
func (c *limitedConn) addReadAhead(b []byte, err error) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if len(c.unread)+len(b) > maxReadAhead || c.listener.readAheadBytes+len(b) > maxTotalReadAhead {
		c.readErr = errTooMuchAhead
		c.dropReadAhead(len(c.unread))
	}
	if c.readErr == nil && !c.closed {
		c.unread = append(c.unread, b...)
		c.listener.readAheadBytes += len(b)
	}
	if err == nil {
		return true
	}
	if c.readErr == nil {
		c.readErr = err
	}
	if c.clientLeft = true; c.cancelRequest != nil {
		c.cancelRequest()
	}
	return false
}

// stopReadAhead stops reading ahead and waits for its goroutine. It is called when net/http reads again.
func (c *limitedConn) stopReadAhead() {
	c.listener.mu.Lock()
	done := c.done
	if done != nil {
		_ = c.Conn.SetReadDeadline(pastDeadline) // fails if c is closed; its reads have then ended
	}
	c.listener.mu.Unlock()
	if done == nil {
		return
	}
	<-done
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.done = nil
	_ = c.setReadDeadline(c.readDeadline) // fails if c is closed, as the next read then does
}

// takeReadAhead copies bytes that were read ahead to b. After the last of them it returns the error with which
// reading ahead ended, if any. available reports whether there were bytes or an error. The lock is held.
func (c *limitedConn) takeReadAhead(b []byte) (n int, available bool, err error) {
	if len(c.unread) == 0 {
		return 0, c.readErr != nil, c.readErr
	}
	n = copy(b, c.unread)
	c.dropReadAhead(n)
	return n, true, nil
}

// dropReadAhead removes the first n bytes that were read ahead. The lock is held.
func (c *limitedConn) dropReadAhead(n int) {
	c.listener.readAheadBytes -= n
	if c.unread = c.unread[n:]; len(c.unread) == 0 {
		c.unread = nil
	}
}
