package httpfront

import (
	"context"
	"errors"
	"os"

	"basaltloft/internal/dispatcher/pipeline"
)

// maxReadAhead is how much may lie unread behind a request that is served: one whole
// request, for a client that sends its next at the last byte of its answer. Who
// sends more sends several at a time, which the protocol does not have.
// And so much may lie unread of all connections, to stay within the memory.
const (
	maxReadAhead      = maxHeaderBytes + pipeline.MaxBody
	maxTotalReadAhead = 4 << 20
)

// readAhead is what is read of a connection while a request on it is served. net/http
// reads one byte then, to notice a client that leaves; with that byte it stops, and
// a close behind it goes unseen until all requests before it have been begun. From
// that byte on the connection is read on here.
type readAhead struct {
	unread        []byte
	done          chan struct{}      // closed once nobody reads ahead; nil: nobody does
	readErr       error              // how reading ended: the client has gone, or sent too much
	clientLeft    bool               // the client has gone
	cancelRequest context.CancelFunc // ends the request that is served; nil: none is
}

// errTooMuchAhead ends a connection on which more came than one request ahead.
var errTooMuchAhead = errors.New("requests sent without waiting for an answer")

// watchClient begins to serve a request, whose context leave ends, or with nil ends to.
// It reports whether the client is still there.
func (c *limitedConn) watchClient(leave context.CancelFunc) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.cancelRequest = leave
	return !c.clientLeft
}

// startReadAhead reads on from a byte that came early until stop, or until the client
// goes. The lock is held.
func (c *limitedConn) startReadAhead() {
	if c.done == nil && c.readErr == nil && !c.closed {
		c.done = make(chan struct{})
		go c.readAheadLoop(c.done)
	}
}

func (c *limitedConn) readAheadLoop(done chan struct{}) {
	defer close(done)
	for part := make([]byte, 4<<10); ; {
		n, err := c.Conn.Read(part)
		stopped := errors.Is(err, os.ErrDeadlineExceeded)
		if stopped {
			err = nil
		}
		if more := c.addReadAhead(part[:n], err); !more || stopped {
			return
		}
	}
}

// addReadAhead takes in what was read ahead, and reports whether more may come. Of what is
// too much nothing is kept, but the end behind it is still looked for.
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

// stopReadAhead ends reading ahead: net/http reads again.
func (c *limitedConn) stopReadAhead() {
	c.listener.mu.Lock()
	done := c.done
	if done != nil {
		c.Conn.SetReadDeadline(pastDeadline)
	}
	c.listener.mu.Unlock()
	if done == nil {
		return
	}
	<-done
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.done = nil
	c.until(c.readDeadline)
}

// takeReadAhead gives out what was read ahead, and then how reading ended. It reports
// whether there was either. The lock is held.
func (c *limitedConn) takeReadAhead(b []byte) (n int, err error, any bool) {
	if len(c.unread) == 0 {
		return 0, c.readErr, c.readErr != nil
	}
	n = copy(b, c.unread)
	c.dropReadAhead(n)
	return n, nil, true
}

// dropReadAhead takes off what was read ahead. The lock is held.
func (c *limitedConn) dropReadAhead(n int) {
	c.listener.readAheadBytes -= n
	if c.unread = c.unread[n:]; len(c.unread) == 0 {
		c.unread = nil
	}
}
