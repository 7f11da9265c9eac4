package poolmember

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/policy"

	"github.com/stretchr/testify/require"
)

// endCounter is a ResultSink that counts the results that a transport reports.
type endCounter struct{ flows, probes atomic.Int32 }

func (c *endCounter) EndFlow(*engine.Flow, policy.Status, []byte)                { c.flows.Add(1) }
func (c *endCounter) EndFlowWithLoad(*engine.Flow, policy.Status, policy.Report) { c.flows.Add(1) }
func (c *endCounter) EndProbe(*engine.Member, policy.Status, policy.Report, time.Time) {
	c.probes.Add(1)
}

// silentMember is a round tripper that never answers: each request ends with its context.
type silentMember struct{ requests atomic.Int32 }

func (m *silentMember) RoundTrip(req *http.Request) (*http.Response, error) {
	m.requests.Add(1)
	<-req.Context().Done()
	return nil, req.Context().Err()
}

// TestClose checks that flows, probes and DELETEs in progress end at once when the transport is closed, not by
// their deadlines, and have ended when Close returns.
func TestClose(t *testing.T) {
	type counts struct{ requests, flows, probes int32 }
	for name, c := range map[string]struct {
		begin func(*Transport, *engine.Flow)
		want  counts
	}{
		"a flow": {(*Transport).Start, counts{requests: 1, flows: 1}},
		"a probe": {
			func(transport *Transport, f *engine.Flow) { transport.Probe(f.Member) },
			counts{requests: 1, probes: 1},
		},
		"a DELETE": { // without the member's confirmation, so the flow does not end
			func(transport *Transport, f *engine.Flow) {
				f.TransportState = &exchange{accepted: true}
				transport.Recall(f)
			},
			counts{requests: 1},
		},
		"a DELETE that waits for a descriptor": {
			func(transport *Transport, f *engine.Flow) {
				transport.Probe(f.Member) // uses the only descriptor
				synctest.Wait()
				f.TransportState = &exchange{accepted: true}
				transport.Abandon(f)
			},
			counts{requests: 1, probes: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ends, member := &endCounter{}, &silentMember{}
				transport := New(ends, Options{ConnectTimeout: time.Minute, MaxSubmissions: 1})
				transport.roundTripper = member
				c.begin(transport, &engine.Flow{
					Transaction: &engine.Transaction{ID: "t-1", Class: "group-ticket"},
					Member:      &engine.Member{Addr: "member"}, SentAt: time.Now(), Deadline: time.Now().Add(time.Minute),
				})
				synctest.Wait() // until it is in progress
				began := time.Now()
				transport.Close()
				require.Zero(t, time.Since(began))
				require.Equal(t, c.want, counts{member.requests.Load(), ends.flows.Load(), ends.probes.Load()})
				requireAllEnded(t, transport)
			})
		})
	}
}

// requireAllEnded checks that no flow, probe or DELETE uses a descriptor any more.
func requireAllEnded(t *testing.T, transport *Transport) {
	t.Helper()
	require.Empty(t, transport.submissionSlots)
	require.Empty(t, transport.controlSlots)
}

// requireRead reads a request's header, and as much of its body as the given text, which it must equal.
func requireRead(t *testing.T, member net.Conn, body string) {
	t.Helper()
	in := bufio.NewReader(member)
	for line := ""; line != "\r\n"; {
		var err error
		line, err = in.ReadString('\n')
		require.NoError(t, err)
	}
	text := make([]byte, len(body))
	_, err := io.ReadFull(in, text)
	require.NoError(t, err)
	require.Equal(t, body, string(text))
	require.Zero(t, in.Buffered())
}

// TestCloseDuringSend checks that a flow goes no further once the transport is closed, whichever step of the
// send it has reached.
func TestCloseDuringSend(t *testing.T) {
	t.Run("during its dial", func(t *testing.T) {
		g := newGatedFlow(t)
		g.transport.Start(g.Flow)
		<-g.dialing
		g.transport.Close()
		requireAllEnded(t, g.transport)
		g.requireEnd(t, policy.ConnectFailed)
		close(g.connect)
		g.requireNothingWritten(t)
	})
	t.Run("before its last byte", func(t *testing.T) {
		g := newGatedFlow(t, func(o *Options) { o.LastByteDelay = time.Minute })
		close(g.connect)
		g.transport.Start(g.Flow)
		member := g.accept(t)
		requireRead(t, member, "bod")
		g.transport.Close()
		requireAllEnded(t, g.transport)
		g.requireEnd(t, policy.NotSent)
		rest, err := io.ReadAll(member)
		require.NoError(t, err)
		require.Empty(t, rest)
	})
	t.Run("during the rest of its answer", func(t *testing.T) {
		g := newGatedFlow(t)
		g.transport.drainTime = time.Minute
		close(g.connect)
		g.transport.Start(g.Flow)
		member := g.accept(t)
		requireRead(t, member, "body")
		_, err := io.WriteString(member, "HTTP/1.1 500 x\r\nContent-Length: 9\r\n\r\nrest")
		require.NoError(t, err)
		g.requireEnd(t, policy.Error)
		g.transport.Close()
		requireAllEnded(t, g.transport)
	})
}
