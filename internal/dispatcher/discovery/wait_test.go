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

// gatedSink takes a list only once the test says so.
type gatedSink struct{ telling, release chan struct{} }

func (s gatedSink) UpdateMembers(string, policy.ListKind, []*engine.Member) {
	close(s.telling)
	<-s.release
}

// pipedFollower is a follower whose next call comes out of the channel.
func pipedFollower(t *testing.T) (*Follower, <-chan net.Conn) {
	t.Helper()
	f, _, _ := follower(t, LocalAgentSchedule(), settings.List{Generation: 1, Whole: true})
	calls := make(chan net.Conn, 1)
	f.current.transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		calls <- far
		return near, nil
	}
	return f, calls
}

// callers begin a call.
var callers = map[string]func(*Follower){"a watch": (*Follower).KeepWatching, "a call": (*Follower).Fetch}

// TestWaitEndsCalls: a call that has no answer when the follower ends is cut short.
func TestWaitEndsCalls(t *testing.T) {
	for name, begin := range callers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, calls := pipedFollower(t)
				begin(f)
				readCall(t, <-calls)
				began := time.Now()
				f.current.cancel()
				f.Wait()
				require.Zero(t, time.Since(began))
			})
		})
	}
}

// TestWaitForList: a list that is being told when the follower ends is waited for.
func TestWaitForList(t *testing.T) {
	for name, begin := range callers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const list = `{"generation":2,"reset":true,"instances":[]}`
				f, calls := pipedFollower(t)
				sink := gatedSink{make(chan struct{}), make(chan struct{})}
				f.sink = sink
				begin(f)
				_, err := fmt.Fprintf(readCall(t, <-calls), "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
				require.NoError(t, err)
				<-sink.telling

				ended := make(chan struct{})
				f.current.cancel()
				go func() {
					f.Wait()
					close(ended)
				}()
				synctest.Wait()
				select {
				case <-ended:
					require.Fail(t, "the list is still being told")
				default:
				}
				close(sink.release)
				<-ended
			})
		})
	}
}

// readCall reads a call, and ends its connection with the test.
func readCall(t *testing.T, conn net.Conn) net.Conn {
	t.Helper()
	t.Cleanup(func() { _ = conn.Close() })
	_, err := http.ReadRequest(bufio.NewReader(conn))
	require.NoError(t, err)
	return conn
}
