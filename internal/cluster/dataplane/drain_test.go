package dataplane

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/settings"
	"basaltloft/internal/shared/portreservation"
	"basaltloft/internal/shared/testdeadline"
)

// busyNode is a control-plane node that sends dispatchers their configuration and serves no job request.
type busyNode struct {
	address   string
	requested chan struct{} // closed at the first job request
	once      sync.Once
}

// HandleOneWay implements rpc.Handler.
func (n *busyNode) HandleOneWay(any) {}

// HandleCall implements rpc.Handler.
func (n *busyNode) HandleCall(body any) any {
	if _, ok := body.(protocol.WatchRequest); ok {
		owners := make([]string, protocol.ShardCount)
		for shard := range owners {
			owners[shard] = n.address
		}
		// The route's timeout is much longer than the drain.
		content := strings.Replace(goldenConfiguration, `"timeout_ms":3000`, `"timeout_ms":60000`, 1)
		return protocol.WatchResponse{Leads: true, Leader: n.address, Version: 5, Content: []byte(content), Owners: owners}
	}
	n.once.Do(func() { close(n.requested) })
	return protocol.JobResponse{Status: protocol.StatusNotLeader, Owner: n.address}
}

// startBusyNode starts a busyNode on a port of its own.
func startBusyNode(t *testing.T) *busyNode {
	t.Helper()
	node := &busyNode{requested: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(rpc.Path, rpc.NewServer(node))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	node.address = strings.TrimPrefix(server.URL, "http://")
	return node
}

// TestStopAnswersWaitingRequests: a request that was read before SIGTERM, and whose leader serves nothing,
// gets a response before the process exits. Its connection was cut if its timeout ended after the exit.
func TestStopAnswersWaitingRequests(t *testing.T) {
	node := startBusyNode(t)
	_, nodePort, err := net.SplitHostPort(node.address)
	require.NoError(t, err)
	port, err := strconv.Atoi(nodePort)
	require.NoError(t, err)
	ports, err := portreservation.ReserveRange(2)
	require.NoError(t, err)
	defer func() { require.NoError(t, ports.Close()) }()
	httpAddress := ports[0].Addr()
	dispatcher := New(settings.Settings{
		NodeName: "edge", IP: "127.0.0.1", PortRange: []int{port, port}, Seeds: []string{node.address},
		Listen: settings.Listen{HTTP: httpAddress, Readiness: ports[1].Addr()}, Bounds: settings.Bounds{ConfigApplyMs: 2000, GraceS: 1},
	}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(testdeadline.Context(t))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- dispatcher.Run(ctx) }()
	go func() {
		<-node.requested
		stop()
	}()
	status := sendWhenListening(t, httpAddress)
	require.GreaterOrEqual(t, status, http.StatusServiceUnavailable)
	require.NoError(t, <-ended, "no request is unfinished")
}

// sendWhenListening sends a request for a job's state as soon as a process listens at an address, and
// returns the status.
func sendWhenListening(t *testing.T, address string) int {
	t.Helper()
	var conn net.Conn
	for conn == nil {
		opened, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		if err == nil {
			conn = opened
		}
	}
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(testdeadline.Context(t), http.MethodGet, "http://h.example/q/0123456789abcdef", nil)
	require.NoError(t, err)
	response, err := transport.RoundTrip(request)
	require.NoError(t, err, "the request was cut")
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}
