package server

import (
	"syscall"
	"testing"

	"basaltloft/internal/dispatcher/adminapi"
	"basaltloft/internal/dispatcher/settings"

	"github.com/stretchr/testify/require"
)

// TestSockets: the descriptors that a process holds at the same time stay within its configuration, the
// limit of the system, and the number that its memory allows.
func TestSockets(t *testing.T) {
	// The standard ones, the Go runtime's, listeners, a connection that waits to be accepted, calls to
	// discovery, a file.
	const own = 3 + 2 + 5 + 1 + 3 + 1
	for _, n := range []int{256, 300, 512, 1024, 4096} {
		got := socketLimit(settings.Config{Sockets: n})
		require.Equal(t, n, got)
		require.LessOrEqual(t, got/2+got/4+got/8+own, n, "clients, flows, probes and ends, own")
		got = max(got/2, got-adminapi.MaxConnections) // as for a process with an admin API
		require.LessOrEqual(t, got/2+got/4+got/8+adminapi.MaxConnections+own, n, "with an admin API")
	}
	require.Equal(t, 1024, socketLimit(settings.Config{}))
	require.Equal(t, 1024, socketLimit(settings.Config{Sockets: 1024, MemoryMB: 192}))
	require.Equal(t, 256, socketLimit(settings.Config{Sockets: 1024, MemoryMB: 32}))
	var was syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was))
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 200, Max: was.Max}))
	defer func() { require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was)) }()
	require.Equal(t, 200, socketLimit(settings.Config{Sockets: 1024}))
}
