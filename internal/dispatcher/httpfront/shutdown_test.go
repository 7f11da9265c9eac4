package httpfront

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// brink is a listener whose connections stop at what they read: hold is called with
// each Read's outcome, before its caller has it.
type brink struct {
	net.Listener
	hold func(text string, err error)
}

func (b brink) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return brinkConn{c.(*net.TCPConn), b.hold}, nil
}

type brinkConn struct {
	*net.TCPConn
	hold func(string, error)
}

func (c brinkConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.hold(string(b[:n]), err)
	return n, err
}

// server serves jobs at once, as a hub and an intake of its own.
type server struct{ Engine }

func (server) Submit(t *engine.Transaction) {
	t.Client.Answer(engine.Answer{Verdict: engine.Served, Body: []byte("served " + t.ID)})
}
func (server) ClientLeft(*engine.Transaction) {}
func (server) NewTransaction(a pipeline.Submission, _ time.Time, c engine.Client) (*engine.Transaction, error) {
	return &engine.Transaction{ID: a.ID, Client: c}, nil
}

// TestEndOfConnections: a connection that is ended in the very moment in which bytes
// come on it either has not read them, or answers what they make whole. Each script
// has one moment of its own: with @held() the reader has what came before, or knows
// that it may read no more, and goes on with @go().
//
//nolint:funlen,gocognit // a table of cases, each a few lines
func TestEndOfConnections(t *testing.T) {
	const job = `POST /work HTTP/1.1\r\nHost: app\r\nX-Call-Id: j-1\r\nContent-Length: 4\r\n\r\n`
	for name, c := range map[string]struct{ at, script string }{
		"a request that is read as resting connections end": {"/work", `
			c send @live()
			c expect 200 OK.*ok\n
			c send ` + job + `body
			c expect @held()
			c expect @part()@go()
			c expect ^HTTP/1.1 200 OK\r\n.*Connection: close.*served j-1$
			c wait`},
		"half a request that is read as resting connections end": {"/work", `
			c send @live()
			c expect 200 OK.*ok\n
			c send ` + job + `
			c expect @held()
			c expect @part()@go()
			c send body
			c expect ^HTTP/1.1 200 OK\r\n.*Connection: close.*served j-1$
			c wait`},
		// It is sent again by the client, so it must not have been read.
		"a request that comes once a resting connection has ended": {"timeout", `
			c send @live()
			c expect 200 OK.*ok\n
			c expect @part()@held()
			c send ` + job + `body
			c expect @go()
			c wait
			c expect @unread()`},
		"the last bytes as halves of requests are cut": {"body", `
			c send ` + job + `
			c send body
			c expect @held()
			c expect @part()@cut()@go()
			c expect ^HTTP/1.1 200 OK\r\n.*Connection: close.*served j-1$
			c wait`},
		"the last bytes once a half has been cut": {"timeout", `
			c send ` + job + `
			c expect @reading()@part()@cut()@held()
			c send body
			c expect @go()
			c expect ^HTTP/1.1 400 .*Connection: close
			c wait`},
		// Its rest is read, so that the close does not reset what the client has not read yet.
		"bad input is told, and its rest taken": {"rest", `
			c send POST /work HTTP/1.1\r\nHost: app\r\nContent-Length: many\r\n\r\n
			c expect ^HTTP/1.1 400.*Bad Request.*Bad Request
			c expect @ended()
			c send rest
			c expect @held()
			c expect @go()`},
		"what is too large is told, and its rest taken": {"rest", `
			c send POST /work HTTP/1.1\r\nHost: app\r\nX-Call-Id: j-1\r\nContent-Length: 600000\r\n\r\n
			c expect ^HTTP/1.1 413
			c expect @ended()
			c send rest
			c expect @held()
			c expect @go()`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			held, on, reads := make(chan string, 1), make(chan bool), make(chan string, 100)
			var stopped atomic.Bool
			s := New(server{}, server{}, logtest.Discard())
			hold := func(text string, err error) { // one connection, so one Read at a time
				if err != nil && strings.Contains(err.Error(), "timeout") && s.closingIdle.Load() { // net/http ends some reads too
					text = "timeout"
				}
				reads <- text
				if strings.Contains(text, c.at) && stopped.CompareAndSwap(false, true) {
					held <- text
					<-on
				}
			}
			go func() { _ = s.Serve(brink{l, hold}, 8) }()
			defer func() { _ = s.server.Close() }()
			var client net.Conn
			cast := scenario.Peers{"c": func() (scenario.Conn, error) {
				c, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
				client = c
				return c, err
			}}
			scenario.RunScript(t, cast, scenario.Functions{
				"live": func(...string) string { return `GET /health/live HTTP/1.1\r\nHost: app\r\n\r\n` },
				"held": func(...string) string {
					select {
					case <-held:
					case <-time.After(20 * time.Second):
						t.Fatal("nothing was held")
					}
					return ""
				},
				"go":   func(...string) string { on <- true; return "" },
				"part": func(...string) string { s.CloseIdleConnections(); return "" },
				"cut":  func(...string) string { s.listener.Load().closePartial(); return "" },
				"reading": func(...string) string { // the header has been read
					for text := range reads {
						if strings.Contains(text, "j-1") {
							return ""
						}
					}
					return ""
				},
				"unread": func(...string) string {
					for {
						select {
						case text := <-reads:
							require.NotContains(t, text, "j-1")
						default:
							return ""
						}
					}
				},
				"ended": func(...string) string { // our side has said all: the client reads its end
					_, err := client.Read(make([]byte, 1))
					require.EqualError(t, err, "EOF")
					return ""
				},
			}, c.script)
		})
	}
}
