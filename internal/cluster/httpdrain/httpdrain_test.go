package httpdrain

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/shared/testdeadline"
)

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// fixture is a server with one client, whose connection's goroutine blocks whenever the connection
// becomes idle, as that of a process without processor time does, until resume receives a value.
type fixture struct {
	*Server
	client net.Conn
	reader *bufio.Reader
	idle   chan struct{}
	resume chan struct{}
	served chan error
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{idle: make(chan struct{}), resume: make(chan struct{}), served: make(chan error, 1)}
	f.Server = New(&http.Server{ //nolint:gosec // no time-outs in a test
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				f.idle <- struct{}{}
				<-f.resume
			}
		},
	})
	opened, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	l := f.observe(opened)
	require.False(t, l.hasBacklog())
	f.client, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", opened.Addr().String())
	require.NoError(t, err)
	deadline, _ := testdeadline.Context(t).Deadline()
	require.NoError(t, f.client.SetDeadline(deadline))
	f.reader = bufio.NewReader(f.client)
	require.True(t, l.hasBacklog())
	require.False(t, f.finished(), "a connection waits to be accepted")
	go func() { f.served <- f.server.Serve(l) }()
	t.Cleanup(func() { require.NoError(t, f.Close()) })
	return f
}

// exchange sends a request and reads its response.
func (f *fixture) exchange(t *testing.T) {
	t.Helper()
	f.send(t)
	f.receive(t)
}

func (f *fixture) send(t *testing.T) {
	t.Helper()
	_, err := f.client.Write([]byte(request))
	require.NoError(t, err)
}

func (f *fixture) receive(t *testing.T) {
	t.Helper()
	response, err := http.ReadResponse(f.reader, nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNoContent, response.StatusCode)
}

// TestDrainAnswersRequestThatHasArrived guards against a request that is cut without an answer because
// the server has not begun to read it when it is drained.
func TestDrainAnswersRequestThatHasArrived(t *testing.T) {
	f := newFixture(t)
	f.exchange(t)
	<-f.idle
	f.send(t)
	require.False(t, f.finished(), "the request is in the receive buffer")
	require.ErrorIs(t, f.Drain(0), ErrUnfinished)
	f.resume <- struct{}{}
	f.receive(t)
	<-f.idle
	require.NoError(t, f.Drain(testdeadline.Remaining(t)))
	close(f.resume)
}

func TestDrainClosesIdleConnections(t *testing.T) {
	f := newFixture(t)
	f.exchange(t)
	<-f.idle
	require.NoError(t, f.Drain(testdeadline.Remaining(t)))
	_, err := f.reader.ReadByte()
	require.Error(t, err, "the connection is closed")
	require.Error(t, <-f.served, "the listener is closed")
	close(f.resume)
}

// TestDrainClosesConnectionsWithoutARequest checks that a connection on which no request has ever
// arrived doesn't delay the drain.
func TestDrainClosesConnectionsWithoutARequest(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.Drain(testdeadline.Remaining(t)))
	_, err := f.reader.ReadByte()
	require.Error(t, err)
}
