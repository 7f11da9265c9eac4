package controlplane

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/scheduler"
)

// countingRunner is a runner that counts its connections. It replies to starts immediately, and to lease
// renewals once reply is closed.
type countingRunner struct {
	order    scheduler.Order
	server   *httptest.Server
	accepted atomic.Int32  // number of accepted connections
	renewals chan struct{} // one element for each renewal that has arrived
	reply    chan struct{} // closed when the runner may reply to renewals
}

func newCountingRunner(t *testing.T) *countingRunner {
	t.Helper()
	r := &countingRunner{renewals: make(chan struct{}, 100), reply: make(chan struct{})}
	r.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body) // the context is canceled with the connection only after the body was read
		if request.URL.Path == leasePath {
			r.renewals <- struct{}{}
			select {
			case <-r.reply:
			case <-request.Context().Done():
			}
		}
		_, _ = w.Write([]byte(`{"clock_ms":5}`))
	}))
	r.server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			r.accepted.Add(1)
		}
	}
	r.server.Start()
	t.Cleanup(r.server.Close)
	r.order = scheduler.Order{Address: strings.TrimPrefix(r.server.URL, "http://"), Runner: "r", WaitMs: 60_000}
	return r
}

// openConns returns the number of open connections of a client.
func openConns(client *runnerClient) int {
	client.conns.mu.Lock()
	defer client.conns.mu.Unlock()
	return len(client.conns.open)
}

// TestStepStartsOnFewConnections guards against opening a connection for each start of a step during a lease
// renewal; half of these connections were closed again after the step.
func TestStepStartsOnFewConnections(t *testing.T) {
	runner := newCountingRunner(t)
	client := newRunnerClient(t.Context())
	client.conns.connWait = time.Minute // on a slow machine, orders must not give up waiting and open more
	var orders sync.WaitGroup
	orders.Go(func() { client.renewLease(runner.order) })
	<-runner.renewals
	const steps, tasks = 20, 4
	for range steps {
		var starts sync.WaitGroup
		for range tasks {
			starts.Go(func() {
				reply, _ := client.start(runner.order)
				if reply != scheduler.StartAccepted {
					t.Error("a start was not accepted: ", reply)
				}
			})
		}
		starts.Wait()
	}
	require.LessOrEqual(t, runner.accepted.Load(), int32(usualConnsPerRunner))
	close(runner.reply)
	orders.Wait()
}

// TestStartDoesNotWaitForPolls checks that an order gets another connection while long lease renewals use all
// usual connections. Otherwise it would miss its deadline.
func TestStartDoesNotWaitForPolls(t *testing.T) {
	runner := newCountingRunner(t)
	client := newRunnerClient(t.Context())
	var orders sync.WaitGroup
	for range usualConnsPerRunner {
		orders.Go(func() { client.renewLease(runner.order) })
	}
	for range usualConnsPerRunner {
		<-runner.renewals
	}
	reply, _ := client.start(runner.order)
	require.Equal(t, scheduler.StartAccepted, reply)
	close(runner.reply)
	orders.Wait()
}

// TestConnectionsEndWithLifetime guards against orders in progress that prevent a node from stopping.
func TestConnectionsEndWithLifetime(t *testing.T) {
	runner := newCountingRunner(t)
	lifetime, end := context.WithCancel(t.Context())
	client := newRunnerClient(lifetime)
	replies := make(chan scheduler.LeaseReply)
	go func() {
		reply, _ := client.renewLease(runner.order)
		replies <- reply
	}()
	<-runner.renewals
	end()
	require.Equal(t, scheduler.LeaseNoReply, <-replies)
	require.Zero(t, openConns(client))
	reply, _ := client.start(runner.order)
	require.Equal(t, scheduler.StartNoReply, reply)
}

// TestLeastRecentlyUsedConnectionIsClosed guards against connections to many runners that use up the process's
// file descriptors.
func TestLeastRecentlyUsedConnectionIsClosed(t *testing.T) {
	client := newRunnerClient(t.Context())
	client.conns.limitOpen(2)
	var runners []*countingRunner
	for range 3 {
		runners = append(runners, newCountingRunner(t))
	}
	for _, used := range []int{0, 1, 0, 2, 0, 2} {
		reply, _ := client.start(runners[used].order)
		require.Equal(t, scheduler.StartAccepted, reply)
	}
	require.Equal(t, 2, openConns(client))
	require.Equal(t, []int32{1, 1, 1}, []int32{runners[0].accepted.Load(), runners[1].accepted.Load(), runners[2].accepted.Load()})
	client.start(runners[1].order)
	require.Equal(t, int32(2), runners[1].accepted.Load())
}

// TestClosedIdleConnectionIsNotUsed guards against orders that get no reply because the runner closed their
// connection while it was idle.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	runner := newCountingRunner(t)
	client := newRunnerClient(t.Context())
	for range 3 {
		reply, _ := client.start(runner.order)
		require.Equal(t, scheduler.StartAccepted, reply)
		runner.server.CloseClientConnections()
		require.Eventually(t, func() bool { return openConns(client) == 0 }, 5*time.Second, time.Millisecond)
	}
	require.Empty(t, client.conns.runners, "a runner without connections must not stay in memory")
}

// TestRepliesOfAnyForm checks replies in the forms that HTTP allows, and in some invalid forms.
func TestRepliesOfAnyForm(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, reply string
		want        scheduler.StartReply
		open        int // number of open connections afterwards
	}{
		{"length", ok + "Content-Length: 14\r\n\r\n{\"clock_ms\":5}", scheduler.StartAccepted, 1},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\ne\r\n{\"clock_ms\":5}\r\n0\r\n\r\n", scheduler.StartAccepted, 1},
		{"last", ok + "Connection: close\r\nContent-Length: 14\r\n\r\n{\"clock_ms\":5}", scheduler.StartAccepted, 0},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n", scheduler.StartAccepted, 1},
		{"no reply follows", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterimReplies+1), scheduler.StartNoReply, 0},
		{"too long", ok + "Content-Length: 4194305\r\n\r\n{", scheduler.StartNoReply, 0},
		{"not HTTP", "hello\r\n\r\n", scheduler.StartNoReply, 0},
		{"cut", ok + "Content-Length: 14\r\n\r\n{\"clock_", scheduler.StartNoReply, 0},
		{"twice", strings.Repeat(ok+"Content-Length: 14\r\n\r\n{\"clock_ms\":5}", 2), scheduler.StartAccepted, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = conn.Write([]byte(c.reply))
				_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
			}()
			client := newRunnerClient(t.Context())
			reply, _ := client.start(scheduler.Order{Address: listener.Addr().String(), Runner: "r"})
			require.Equal(t, c.want, reply)
			require.Eventually(t, func() bool { return openConns(client) == c.open }, 5*time.Second, time.Millisecond)
		})
	}
}
