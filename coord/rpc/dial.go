package rpc

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// dialEvery is the pause before another attempt to connect begins beside those under way. A
// machine that was dark when an attempt began never sees it, and the system repeats it only
// after a second.
const dialEvery = 120 * time.Millisecond

// dialed is the outcome of one attempt.
type dialed struct {
	conn net.Conn
	err  error
}

// dialAgain connects by several attempts that begin one after another; the first to succeed
// counts. It fails once an attempt was refused, or all of them have timed out.
func dialAgain(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return dialWith(ctx, func() (net.Conn, error) { return Dialer().DialContext(ctx, network, address) }, dialEvery)
}

// dialWith begins an attempt each span until one has an outcome.
func dialWith(ctx context.Context, dial func() (net.Conn, error), every time.Duration) (net.Conn, error) {
	outcomes := make(chan dialed)
	done := make(chan struct{})
	defer close(done)
	attempt := func() {
		conn, err := dial()
		select {
		case outcomes <- dialed{conn: conn, err: err}:
		case <-done:
			if conn != nil {
				conn.Close()
			}
		}
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	go attempt()
	for {
		select {
		case got := <-outcomes:
			return got.conn, got.err
		case <-ticker.C:
			go attempt()
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "connect")
		}
	}
}
