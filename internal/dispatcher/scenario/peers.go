package scenario

import (
	"context"
	"net"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/fakes"

	"github.com/stretchr/testify/require"
)

// dialInterval is the time between two attempts to connect.
const dialInterval = time.Millisecond

// Listen listens on a loopback address and returns it with a peer: each new actor of that peer accepts the
// next connection.
func Listen(t testing.TB) (addr string, open func() (Conn, error)) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // the test is over
	return l.Addr().String(), func() (Conn, error) {
		if err := l.(*net.TCPListener).SetDeadline(time.Now().Add(stepTimeout)); err != nil {
			return nil, err
		}
		return l.Accept()
	}
}

// Dial returns a peer: each new actor of it connects to addr. It retries until something listens there
// or stepTimeout is over.
func Dial(addr string) func() (Conn, error) {
	return func() (Conn, error) {
		for deadline := time.Now().Add(stepTimeout); ; {
			conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", addr)
			if err == nil || time.Now().After(deadline) {
				return conn, err
			}
			<-time.After(dialInterval)
		}
	}
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t testing.TB) string {
	t.Helper()
	addr, err := fakes.FreeAddr()
	require.NoError(t, err)
	return addr
}
