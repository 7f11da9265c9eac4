package faktory

import (
	"context"
	"net"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/scenario"
	"basaltloft/internal/dispatcher/settings"

	"github.com/stretchr/testify/require"
)

// TestEvictUnauthenticated: connections that send no HELLO, or only part of it, are closed in time.
// If a new connection needs room, the oldest of them is closed earlier.
func TestEvictUnauthenticated(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(nil, nil, &settings.Faktory{Connections: 3}, logtest.Discard())
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, l) }()
	defer func() {
		stop()
		require.NoError(t, <-served)
	}()
	began := time.Now()
	evict := func(...string) string {
		require.False(t, s.evictUnauthenticated(began), "they have just connected")
		require.True(t, s.evictUnauthenticated(began.Add(time.Minute)))
		return ""
	}
	scenario.RunScript(t, scenario.Peers{"c": scenario.Dial(l.Addr().String())}, scenario.Functions{"evict": evict}, `
		c.member expect HI
		c.member send HELLO {"v":2}\r\n
		c.member expect OK
		c.first expect HI
		c.second expect HI
		c.second send @evict()
		c.first wait
		c.second send HELLO
		c.second wait
		c.member send IN
		c.member wait`)
	require.Less(t, time.Since(began), 8*time.Second, "each is closed within its time-out")
}
