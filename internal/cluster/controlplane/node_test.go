package controlplane

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/settings"
)

// freePort returns a port of an address on which nothing listens.
func freePort(t *testing.T, ip string) int {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", net.JoinHostPort(ip, "0"))
	require.NoError(t, err)
	address, err := netip.ParseAddrPort(listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return int(address.Port())
}

const nodeTestTimeout = 20 * time.Second

// loneNode returns the only node of a system that has never run before.
func loneNode(t *testing.T) *Node {
	t.Helper()
	const ip = "127.0.0.11"
	port := freePort(t, ip)
	config := settings.Settings{
		IP: ip, DataDir: t.TempDir(), Bootstrap: true, PortRange: []int{port, port},
		Seeds:    []string{net.JoinHostPort(ip, "1")}, // of a seed only the host counts
		CloudAPI: settings.CloudAPI{Address: net.JoinHostPort(ip, "1")},
		Bounds:   settings.Bounds{MaxLeaseMs: 6000},
	}
	config.Listen.Control = net.JoinHostPort(ip, "0")
	node, err := New(config, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return node
}

func (n *Node) leadsAllGroups() bool {
	for _, g := range n.groups {
		if !g.IsLeader() {
			return false
		}
	}
	return true
}

// TestRunWaitsForItsGoroutines: once Run has returned, none of the goroutines that it started is left.
func TestRunWaitsForItsGoroutines(t *testing.T) {
	node := loneNode(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	returned := make(chan error, 1)
	go func() { returned <- node.Run(ctx) }()
	require.Eventually(t, func() bool { return node.replicasRunning.Load() && node.leadsAllGroups() }, nodeTestTimeout, 10*time.Millisecond)
	stop()
	select {
	case err := <-returned:
		require.NoError(t, err)
	case <-time.After(nodeTestTimeout):
		t.Fatal("Run did not return")
	}
	node.tasks.Wait() // the test's own time-out ends it where a goroutine is left
	require.Error(t, node.lifetime.Err())
}

// TestRunStopsWhereItCannotServe: an address in use ends Run with an error, and what it started.
func TestRunStopsWhereItCannotServe(t *testing.T) {
	node := loneNode(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", node.self.Address)
	require.NoError(t, err)
	defer func() { _ = listener.Close() }() // it has accepted nothing
	require.ErrorContains(t, node.Run(t.Context()), "serve")
	node.tasks.Wait()
}
