package poolmember

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// leavingClient is a client whose departure only Gone reports.
type leavingClient struct{ gone atomic.Bool }

func (*leavingClient) Answer(engine.Answer) {}
func (l *leavingClient) Gone() bool         { return l.gone.Load() }

// flowEnds is a ResultSink that passes on the statuses with which flows end.
type flowEnds chan policy.Status

func (c flowEnds) EndFlow(_ *engine.Flow, s policy.Status, _ []byte)                { c <- s }
func (c flowEnds) EndFlowWithLoad(_ *engine.Flow, s policy.Status, _ policy.Report) { c <- s }
func (flowEnds) EndProbe(*engine.Member, policy.Status, policy.Report, time.Time) {
}

// testTimeout is how long a test waits for an expected event.
const testTimeout = 20 * time.Second

// gatedFlow is a flow whose connection to its member comes up only when the test closes connect, even if the
// dial has been cancelled meanwhile.
type gatedFlow struct {
	*engine.Flow
	listener  net.Listener // the member's
	client    *leavingClient
	transport *Transport
	ends      flowEnds
	dialing   chan bool // receives a value once the dial is in progress
	connect   chan bool // closed: the connection comes up
}

func newGatedFlow(t *testing.T, change ...func(*Options)) *gatedFlow {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	g := &gatedFlow{
		listener: l, client: &leavingClient{}, ends: make(flowEnds, 1),
		dialing: make(chan bool, 1), connect: make(chan bool),
	}
	g.Flow = &engine.Flow{
		Transaction: &engine.Transaction{ID: "t-1", Class: "group-ticket", Body: []byte("body"), Client: g.client},
		Member:      &engine.Member{Addr: l.Addr().String()}, SentAt: time.Now(), Deadline: time.Now().Add(time.Minute),
	}
	options := Options{ConnectTimeout: time.Minute, MaxSubmissions: 1}
	for _, apply := range change {
		apply(&options)
	}
	g.transport = New(g.ends, options)
	httpTransport := g.transport.roundTripper.(*http.Transport)
	dial := httpTransport.DialContext
	httpTransport.DialContext = func(_ context.Context, network, addr string) (net.Conn, error) {
		g.dialing <- true
		<-g.connect
		return dial(context.Background(), network, addr)
	}
	return g
}

// onConnected runs a function when the request gets its connection, just before the transport's own hook.
func (g *gatedFlow) onConnected(run func()) {
	g.transport.roundTripper = &tracedRoundTripper{
		RoundTripper: g.transport.roundTripper,
		trace:        &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { run() }},
	}
}

// requireEnd waits for the flow's end.
func (g *gatedFlow) requireEnd(t *testing.T, want policy.Status) {
	t.Helper()
	select {
	case got := <-g.ends:
		require.Equal(t, want, got)
	case <-time.After(testTimeout):
		require.Fail(t, "the flow does not end")
	}
}

// accept accepts the connection.
func (g *gatedFlow) accept(t *testing.T) net.Conn {
	t.Helper()
	member, err := g.listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = member.Close() })
	require.NoError(t, member.SetDeadline(time.Now().Add(testTimeout)))
	return member
}

// requireNothingWritten accepts the connection, and reads it to its end.
func (g *gatedFlow) requireNothingWritten(t *testing.T) {
	t.Helper()
	member := g.accept(t)
	got, err := io.ReadAll(member)
	require.NoError(t, err)
	require.Empty(t, string(got))
}

// tracedRoundTripper calls a trace's hooks before those of each request.
type tracedRoundTripper struct {
	http.RoundTripper
	trace *httptrace.ClientTrace
}

func (r *tracedRoundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	return r.RoundTripper.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), r.trace)))
}

// TestGoneIsNotSent checks flows whose client leaves, or that are abandoned or recalled, before their first
// byte is written. If the connection comes up nevertheless, nothing is written to it, and the flow ends with a
// status that proves that it did not run: ConnectFailed if it is stopped before it has its connection, NotSent
// if afterwards. Each case forces one order.
func TestGoneIsNotSent(t *testing.T) {
	t.Run("the client leaves during the dial", func(t *testing.T) {
		g := newGatedFlow(t)
		g.transport.Start(g.Flow)
		<-g.dialing
		g.client.gone.Store(true)
		close(g.connect)
		g.requireNothingWritten(t)
		g.requireEnd(t, policy.NotSent)
	})
	for name, stop := range map[string]func(*Transport, *engine.Flow){
		"an abandoned flow": (*Transport).Abandon,
		"a recalled flow":   (*Transport).Recall,
	} {
		t.Run(name+" during the dial", func(t *testing.T) {
			g := newGatedFlow(t)
			g.transport.Start(g.Flow)
			<-g.dialing
			stop(g.transport, g.Flow)
			g.requireEnd(t, policy.ConnectFailed) // although the dial continues
			close(g.connect)
			g.requireNothingWritten(t)
		})
		t.Run(name+" as the connection comes up", func(t *testing.T) {
			g := newGatedFlow(t)
			g.onConnected(func() {
				// http.Transport may notice the end of the context late: closing the connection must suffice.
				g.TransportState.(*exchange).cancel = func() {}
				stop(g.transport, g.Flow)
			})
			g.transport.Start(g.Flow)
			close(g.connect)
			g.requireNothingWritten(t)
			g.requireEnd(t, policy.NotSent)
		})
	}
}

// TestGoneBeforeTheLastByte checks that the last byte is not written, so that the attempt can't run, if the
// client leaves while the byte is delayed.
func TestGoneBeforeTheLastByte(t *testing.T) {
	for name, goes := range map[string]bool{"goes": true, "stays": false} {
		t.Run(name, func(t *testing.T) {
			client := &leavingClient{}
			to := &hookedConn{wrote: func() { client.gone.Store(goes) }}
			c := &conn{Conn: to, closed: make(chan struct{})}
			c.setBodySize(2)
			c.setClientGone(client.Gone)
			text := "POST /x HTTP/1.1\r\n\r\nbb"
			_, err := c.Write([]byte(text))
			if goes {
				require.ErrorIs(t, err, errGone)
				text = text[:len(text)-1]
			}
			require.Equal(t, text, string(to.got))
			require.Equal(t, !goes, c.mayHaveSent())
		})
	}
}

// hookedConn is a recordingConn that calls a hook after each write.
type hookedConn struct {
	recordingConn
	wrote func()
}

func (p *hookedConn) Write(b []byte) (int, error) {
	defer p.wrote()
	return p.recordingConn.Write(b)
}
