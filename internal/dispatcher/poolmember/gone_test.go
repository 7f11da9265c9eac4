package poolmember

import (
	"context"
	"io"
	"net"
	"net/http"
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

// TestGoneIsNotSent: the client goes at one moment on the way to the first byte, or
// the flow is called off then; a connection that comes up all the same hears nothing,
// and the attempt is known never to have run.
func TestGoneIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		goes func(client *leaver, carrier *Transport, f *engine.Flow)
		want policy.Status
	}{
		"the client goes while a dial is under way": {func(client *leaver, _ *Transport, _ *engine.Flow) { client.gone.Store(true) }, policy.NotSent},
		"called off while a dial is under way":      {func(_ *leaver, carrier *Transport, f *engine.Flow) { carrier.Abandon(f) }, policy.ConnectFailed},
		"asked back while a dial is under way":      {func(_ *leaver, carrier *Transport, f *engine.Flow) { carrier.Recall(f) }, policy.ConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			ends, client := make(tells, 1), &leaver{}
			carrier := New(ends, Options{ConnectTimeout: time.Minute, MaxSubmissions: 1})
			wire := carrier.roundTripper.(*http.Transport)
			dial, dials, up := wire.DialContext, make(chan bool), make(chan bool)
			wire.DialContext = func(_ context.Context, network, addr string) (net.Conn, error) {
				dials <- true
				<-up // whoever has given it up meanwhile
				return dial(context.Background(), network, addr)
			}
			f := &engine.Flow{
				Transaction: &engine.Transaction{ID: "t-1", Class: "group-ticket", Body: []byte("body"), Client: client},
				Member:      &engine.Member{Addr: l.Addr().String()}, SentAt: time.Now(), Deadline: time.Now().Add(time.Minute),
			}
			carrier.Start(f)
			<-dials
			c.goes(client, carrier, f)
			close(up)
			member, err := l.Accept()
			require.NoError(t, err)
			defer func() { _ = member.Close() }()
			require.NoError(t, member.SetDeadline(time.Now().Add(20*time.Second)))
			got, err := io.ReadAll(member)
			require.NoError(t, err)
			require.Empty(t, string(got))
			require.Equal(t, c.want, <-ends)
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
