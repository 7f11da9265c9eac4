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

// freePort returns a port of the given IP address on which nothing listens.
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

// newSingleNode returns the only node of a new cluster.
func newSingleNode(t *testing.T) *Node {
	t.Helper()
	const ip = "127.0.0.11"
	port := freePort(t, ip)
	config := settings.Settings{
		IP: ip, DataDir: t.TempDir(), Bootstrap: true, PortRange: []int{port, port},
		Seeds:    []string{net.JoinHostPort(ip, "1")}, // only the host of a seed is used
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

// TestRunWaitsForItsGoroutines checks that all goroutines that Run started have ended when it returns.
func TestRunWaitsForItsGoroutines(t *testing.T) {
	node := newSingleNode(t)
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
	node.tasks.Wait() // if a goroutine is left, the timeout of the test run ends this
	require.Error(t, node.lifetime.Err())
}

// TestRunStopsWhereItCannotServe checks that if the node's address is in use, Run returns an error and its
// goroutines end.
func TestRunStopsWhereItCannotServe(t *testing.T) {
	node := newSingleNode(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", node.self.Address)
	require.NoError(t, err)
	defer func() { _ = listener.Close() }() // it has accepted no connection
	require.ErrorContains(t, node.Run(t.Context()), "serve")
	node.tasks.Wait()
}
