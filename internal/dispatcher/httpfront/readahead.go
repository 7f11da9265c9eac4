package httpfront

import (
	"context"
	"errors"
	"os"

	"basaltloft/internal/dispatcher/pipeline"
)

const (
	// maxReadAhead is how many bytes may be read behind a request that is served: one whole request, for
	// a client that sends its next at the last byte of its answer. A client that sends more sends
	// several at a time, which the protocol does not allow.
	maxReadAhead = maxHeaderBytes + pipeline.MaxBody
	// maxTotalReadAhead is how many bytes may be read ahead on all connections, to stay within the
	// memory.
	maxTotalReadAhead = 4 << 20
)

// readAhead is what is read of a connection while a request on it is served. net/http reads one byte
// then, to notice a client that leaves; with that byte it stops, and a close behind it goes unnoticed until
// all requests before it have been begun. From that byte on the connection is read here.
type readAhead struct {
	unread        []byte
	done          chan struct{} // closed once reading has ended; nil: nobody reads ahead
	readErr       error         // why reading ended: the client has left, or sent too much
	clientLeft    bool
	cancelRequest context.CancelFunc // ends the request that is served; nil: none is
}

// errTooMuchAhead ends a connection on which more than one request came ahead.
var errTooMuchAhead = errors.New("requests sent without waiting for an answer")

// watchClient sets how the context of the request that is served is cancelled if the client leaves; nil:
// none is served any more. It reports whether the client is still there.
func (c *limitedConn) watchClient(cancel context.CancelFunc) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.cancelRequest = cancel
	return !c.clientLeft
}

// startReadAhead reads on from a byte that came early until stopReadAhead, or until the client leaves. The
// lock is held.
func (c *limitedConn) startReadAhead() {
	if c.done == nil && c.readErr == nil && !c.closed {
		c.done = make(chan struct{})
		go c.readAheadLoop(c.done)
	}
}

// readAheadLoop reads until the read deadline is set to the past, or the connection ends.
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

// addReadAhead keeps what was read ahead, and reports whether more may come. Once it is too much nothing
// is kept, but the end of the connection is still waited for.
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

// stopReadAhead ends reading ahead, and waits for its goroutine: net/http reads again.
func (c *limitedConn) stopReadAhead() {
	c.listener.mu.Lock()
	done := c.done
	if done != nil {
		_ = c.Conn.SetReadDeadline(pastDeadline) // it fails on one that is closed, whose reads have ended
	}
	c.listener.mu.Unlock()
	if done == nil {
		return
	}
	<-done
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.done = nil
	_ = c.setReadDeadline(c.readDeadline) // it fails on one that is closed, as the next read then does
}

// takeReadAhead returns what was read ahead, and then how reading ended; available is whether there was
// either. The lock is held.
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
