package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"
	"basaltloft/internal/dispatcher/settings"

	"github.com/stretchr/testify/require"
)

// gatedSink closes entered when it receives a list and returns once the test closes release.
type gatedSink struct{ entered, release chan struct{} }

func (s gatedSink) UpdateMembers(string, policy.ListKind, []*engine.Member) {
	close(s.entered)
	<-s.release
}

// pipedFollower returns a follower whose next call arrives on the connection that the channel yields.
func pipedFollower(t *testing.T) (*Follower, <-chan net.Conn) {
	t.Helper()
	f, _, _ := newFollower(t, LocalAgentSchedule(), settings.List{Generation: 1, Complete: true})
	calls := make(chan net.Conn, 1)
	f.current.transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		calls <- server
		return client, nil
	}
	return f, calls
}

// callStarters are the functions that start a call.
var callStarters = map[string]func(*Follower){"a watch": (*Follower).KeepWatching, "a call": (*Follower).Fetch}

// TestWaitEndsCalls tests that the end of the follower cancels a call that has not been answered.
func TestWaitEndsCalls(t *testing.T) {
	for name, startCall := range callStarters {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, calls := pipedFollower(t)
				startCall(f)
				readCall(t, <-calls)
				began := time.Now()
				f.current.cancel()
				f.Wait()
				require.Zero(t, time.Since(began))
			})
		})
	}
}

// TestWaitForList tests that Wait waits for the sink if it is receiving a list when the follower ends.
func TestWaitForList(t *testing.T) {
	for name, startCall := range callStarters {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const list = `{"generation":2,"reset":true,"instances":[]}`
				f, calls := pipedFollower(t)
				sink := gatedSink{make(chan struct{}), make(chan struct{})}
				f.sink = sink
				startCall(f)
				_, err := fmt.Fprintf(readCall(t, <-calls), "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
				require.NoError(t, err)
				<-sink.entered

				waited := make(chan struct{})
				f.current.cancel()
				go func() {
					f.Wait()
					close(waited)
				}()
				synctest.Wait()
				select {
				case <-waited:
					require.Fail(t, "the sink is still receiving the list")
				default:
				}
				close(sink.release)
				<-waited
			})
		})
	}
}

// readCall reads a call from conn and returns conn, which is closed at the end of the test.
func readCall(t *testing.T, conn net.Conn) net.Conn {
	t.Helper()
	t.Cleanup(func() { _ = conn.Close() })
	_, err := http.ReadRequest(bufio.NewReader(conn))
	require.NoError(t, err)
	return conn
}
