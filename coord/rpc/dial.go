package rpc

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout limits one attempt to connect, and all attempts of dialRepeatedly together.
	dialTimeout = 900 * time.Millisecond
	// dialInterval is the interval at which further attempts to connect start while earlier ones are in
	// progress. If the peer's machine was disconnected from the network when an attempt started, its SYN
	// packet is lost, and the kernel sends another one only after a second.
	dialInterval = 120 * time.Millisecond
	// unacknowledgedTimeout is how long sent data may stay unacknowledged by TCP before the connection
	// is closed.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is Linux's socket option TCP_USER_TIMEOUT, for which package syscall has no constant.
	tcpUserTimeout = 18
)

// Dialer returns a dialer with timeouts for unresponsive peers. Other packages use it for their HTTP
// transports.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: time.Second,
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// An error is ignored: without the option, keep-alives detect a lost peer, only later.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
			})
		},
	}
}

// dialRepeatedly starts an attempt to connect at each dialInterval and returns the outcome of the first
// one that finishes. It fails as soon as an attempt is refused, or after dialTimeout.
func dialRepeatedly(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return dialEvery(ctx, func() (net.Conn, error) { return Dialer().DialContext(ctx, network, address) }, dialInterval)
}

// dialResult is the outcome of one attempt to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialEvery starts an attempt at each interval until one finishes, and returns its outcome. It closes
// connections that are established later. The attempts that are still in progress end when the caller
// cancels their context.
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
