package httpfront

import (
	"context"
	"errors"
	"os"

	"basaltloft/internal/dispatcher/pipeline"
)

// mostAhead is how much may lie unread behind a request that is served: one whole
// request, for a client that sends its next at the last byte of its answer. Who
// sends more sends several at a time, which the protocol does not have.
// And so much may lie unread of all connections, to stay within the memory.
const (
	mostAhead      = mostHeader + pipeline.MaxBody
	mostAheadOfAll = 4 << 20
)

// ahead is what is read of a connection while a request on it is served. net/http
// reads one byte then, to notice a client that leaves; with that byte it stops, and
// a close behind it goes unseen until all requests before it have been begun. From
// that byte on the connection is read on here.
type ahead struct {
	unread  []byte
	reading chan struct{}      // closed once nobody reads ahead; nil: nobody does
	over    error              // how reading ended: the client has gone, or sent too much
	left    bool               // the client has gone
	leave   context.CancelFunc // ends the request that is served; nil: none is
}

// errFlood ends a connection on which more came than one request ahead.
var errFlood = errors.New("requests sent without waiting for an answer")

// attend begins to serve a request, whose context leave ends, or with nil ends to.
// It reports whether the client is still there.
func (c *limitedConn) attend(leave context.CancelFunc) bool {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.leave = leave
	return !c.left
}

// readAhead reads on from a byte that came early until stop, or until the client
// goes. The lock is held.
func (c *limitedConn) readAhead() {
	if c.reading == nil && c.over == nil && !c.gone {
		c.reading = make(chan struct{})
		go c.follow(c.reading)
	}
}

func (c *limitedConn) follow(done chan struct{}) {
	defer close(done)
	for part := make([]byte, 4<<10); ; {
		n, err := c.Conn.Read(part)
		stopped := errors.Is(err, os.ErrDeadlineExceeded)
		if stopped {
			err = nil
		}
		if more := c.came(part[:n], err); !more || stopped {
			return
		}
	}
}

// came takes in what was read ahead, and reports whether more may come. Of what is
// too much nothing is kept, but the end behind it is still looked for.
func (c *limitedConn) came(b []byte, err error) bool {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if len(c.unread)+len(b) > mostAhead || c.of.unread+len(b) > mostAheadOfAll {
		c.over = errFlood
		c.spend(len(c.unread))
	}
	if c.over == nil && !c.gone {
		c.unread = append(c.unread, b...)
		c.of.unread += len(b)
	}
	if err == nil {
		return true
	}
	if c.over == nil {
		c.over = err
	}
	if c.left = true; c.leave != nil {
		c.leave()
	}
	return false
}

// stop ends reading ahead: net/http reads again.
func (c *limitedConn) stop() {
	c.of.mu.Lock()
	done := c.reading
	if done != nil {
		c.Conn.SetReadDeadline(atOnce)
	}
	c.of.mu.Unlock()
	if done == nil {
		return
	}
	<-done
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.reading = nil
	c.until(c.asked)
}

// taken gives out what was read ahead, and then how reading ended. It reports
// whether there was either. The lock is held.
func (c *limitedConn) taken(b []byte) (n int, err error, any bool) {
	if len(c.unread) == 0 {
		return 0, c.over, c.over != nil
	}
	n = copy(b, c.unread)
	c.spend(n)
	return n, nil, true
}

// spend takes off what was read ahead. The lock is held.
func (c *limitedConn) spend(n int) {
	c.of.unread -= n
	if c.unread = c.unread[n:]; len(c.unread) == 0 {
		c.unread = nil
	}
}
