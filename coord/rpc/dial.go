package rpc

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds one attempt to connect, and all attempts of dialRepeatedly together.
	dialTimeout = 900 * time.Millisecond
	// dialInterval is the pause before another attempt to connect begins beside those under way. A
	// machine that was off the network when an attempt began never sees its SYN packet, which the
	// kernel repeats only after a second.
	dialInterval = 120 * time.Millisecond
	// unacknowledgedTimeout is how long sent data may stay unacknowledged by TCP before the connection
	// ends.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not name.
	tcpUserTimeout = 18
)

// Dialer returns a dialer with bounds on the wait for an unresponsive peer. It serves HTTP transports
// of other packages too.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: time.Second,
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// Without the option a lost peer is found later, by keep-alives.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
			})
		},
	}
}

// dialRepeatedly connects by several attempts that begin one after another; the first outcome
// counts. It fails once an attempt was refused, or after dialTimeout.
func dialRepeatedly(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return dialEvery(ctx, func() (net.Conn, error) { return Dialer().DialContext(ctx, network, address) }, dialInterval)
}

// dialResult is the outcome of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialEvery begins an attempt at each interval until one has an outcome. A connection that comes
// later is closed. Attempts that are under way end by the context.
func dialEvery(ctx context.Context, dial func() (net.Conn, error), interval time.Duration) (net.Conn, error) {
	results := make(chan dialResult)
	done := make(chan struct{})
	defer close(done)
	attempt := func() {
		conn, err := dial()
		select {
		case results <- dialResult{conn: conn, err: err}:
		case <-done:
			if conn != nil {
				_ = conn.Close() // nothing was sent on it
			}
		}
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	go attempt()
	for {
		select {
		case first := <-results:
			return first.conn, first.err
		case <-ticker.C:
			go attempt()
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "connect")
		}
	}
}
