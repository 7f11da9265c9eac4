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

// leaver is a client that goes, of which nobody has told the transport.
type leaver struct{ gone atomic.Bool }

func (*leaver) Answer(engine.Answer) {}
func (l *leaver) Gone() bool         { return l.gone.Load() }

// tells passes a flow's end on.
type tells chan policy.Status

func (c tells) EndFlow(_ *engine.Flow, s policy.Status, _ []byte)                { c <- s }
func (c tells) EndFlowWithLoad(_ *engine.Flow, s policy.Status, _ policy.Report) { c <- s }
func (tells) EndProbe(*engine.Member, policy.Status, policy.Report, time.Time) {
}

// testTimeout is how long a test waits for what must come.
const testTimeout = 20 * time.Second

// gatedFlow is a flow to a member whose connection comes up when the test says so, whoever has given up
// the dial meanwhile.
type gatedFlow struct {
	*engine.Flow
	listener  net.Listener // the member's
	client    *leaver
	transport *Transport
	ends      tells
	dialing   chan bool // receives once the dial is under way
	connect   chan bool // closed: the connection comes up
}

func newGatedFlow(t *testing.T, change ...func(*Options)) *gatedFlow {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	g := &gatedFlow{
		listener: l, client: &leaver{}, ends: make(tells, 1), dialing: make(chan bool, 1), connect: make(chan bool),
	}
	g.Flow = &engine.Flow{
		Transaction: &engine.Transaction{ID: "t-1", Class: "group-ticket", Body: []byte("body"), Client: g.client},
		Member:      &engine.Member{Addr: l.Addr().String()}, SentAt: time.Now(), Deadline: time.Now().Add(time.Minute),
	}
	options := Options{ConnectTimeout: time.Minute, MaxSubmissions: 1}
	for _, of := range change {
		of(&options)
	}
	g.transport = New(g.ends, options)
	wire := g.transport.roundTripper.(*http.Transport)
	dial := wire.DialContext
	wire.DialContext = func(_ context.Context, network, addr string) (net.Conn, error) {
		g.dialing <- true
		<-g.connect
		return dial(context.Background(), network, addr)
	}
	return g
}

// onConnected runs a function as the request gets its connection, just before the transport learns of it.
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

// TestGoneIsNotSent: the client goes on the way to the first byte, or the flow is called off then; a
// connection that comes up all the same hears nothing, and the attempt is known never to have run. How
// that is told hangs on which comes first: a flow that is called off before it has its connection ends as
// ConnectFailed, one that has it as NotSent. Each case forces one order.
func TestGoneIsNotSent(t *testing.T) {
	t.Run("the client goes while a dial is under way", func(t *testing.T) {
		g := newGatedFlow(t)
		g.transport.Start(g.Flow)
		<-g.dialing
		g.client.gone.Store(true)
		close(g.connect)
		g.requireNothingWritten(t)
		g.requireEnd(t, policy.NotSent)
	})
	for name, callOff := range map[string]func(*Transport, *engine.Flow){
		"called off": (*Transport).Abandon,
		"asked back": (*Transport).Recall,
	} {
		t.Run(name+" while a dial is under way", func(t *testing.T) {
			g := newGatedFlow(t)
			g.transport.Start(g.Flow)
			<-g.dialing
			callOff(g.transport, g.Flow)
			g.requireEnd(t, policy.ConnectFailed) // though the dial goes on
			close(g.connect)
			g.requireNothingWritten(t)
		})
		t.Run(name+" as the connection comes up", func(t *testing.T) {
			g := newGatedFlow(t)
			g.onConnected(func() {
				// http.Transport may notice the end of the context late: closing the connection must do.
				g.TransportState.(*submission).cancel = func() {}
				callOff(g.transport, g.Flow)
			})
			g.transport.Start(g.Flow)
			close(g.connect)
			g.requireNothingWritten(t)
			g.requireEnd(t, policy.NotSent)
		})
	}
}

// TestGoneBeforeTheLastByte: a client that goes while the last byte is kept back is
// one for which no attempt begins.
func TestGoneBeforeTheLastByte(t *testing.T) {
	for name, goes := range map[string]bool{"goes": true, "stays": false} {
		t.Run(name, func(t *testing.T) {
			client := &leaver{}
			to := &tapped{wrote: func() { client.gone.Store(goes) }}
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

// tapped is pieces that tells of each write.
type tapped struct {
	pieces
	wrote func()
}

func (p *tapped) Write(b []byte) (int, error) {
	defer p.wrote()
	return p.pieces.Write(b)
}
