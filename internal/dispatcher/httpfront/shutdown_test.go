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

// pausingListener is a listener whose connections call hold with the result of each Read before they return it.
type pausingListener struct {
	net.Listener
	hold func(text string, err error)
}

func (b pausingListener) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return pausingConn{c.(*net.TCPConn), b.hold}, nil
}

type pausingConn struct {
	*net.TCPConn
	hold func(string, error)
}

func (c pausingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.hold(string(b[:n]), err)
	return n, err
}

// instantEngine is an engine that answers each job at once, and a transaction factory.
type instantEngine struct{ Engine }

func (instantEngine) Submit(t *engine.Transaction) {
	t.Client.Answer(engine.Answer{Verdict: engine.Served, Body: []byte("served " + t.ID)})
}
func (instantEngine) ClientLeft(*engine.Transaction) {}
func (instantEngine) NewTransaction(a pipeline.Submission, _ time.Time, c engine.Client) (*engine.Transaction, error) {
	return &engine.Transaction{ID: a.ID, Client: c}, nil
}

// TestCloseWhileBytesArrive checks that if bytes arrive on a connection at the moment in which it is closed, either
// they are not read, or the request that they complete is answered. Each script pauses one Read, in its own
// situation: after @held() the Read has its result, bytes or a timeout, and with @go() it returns it.
//
//nolint:funlen,gocognit // a table of cases, each a few lines
func TestCloseWhileBytesArrive(t *testing.T) {
	const job = `POST /work HTTP/1.1\r\nHost: app\r\nX-Call-Id: j-1\r\nContent-Length: 4\r\n\r\n`
	for name, c := range map[string]struct{ at, script string }{
		"a request that is read while idle connections are closed": {"/work", `
			c send @live()
			c expect 200 OK.*ok\n
			c send ` + job + `body
			c expect @held()
			c expect @part()@go()
			c expect ^HTTP/1.1 200 OK\r\n.*Connection: close.*served j-1$
			c wait`},
		"a partial request that is read while idle connections are closed": {"/work", `
			c send @live()
			c expect 200 OK.*ok\n
			c send ` + job + `
			c expect @held()
			c expect @part()@go()
			c send body
			c expect ^HTTP/1.1 200 OK\r\n.*Connection: close.*served j-1$
			c wait`},
		// The client sends the request again, so it must not have been read.
		"a request that comes after an idle connection has expired": {"timeout", `
			c send @live()
			c expect 200 OK.*ok\n
			c expect @part()@held()
			c send ` + job + `body
			c expect @go()
			c wait
			c expect @unread()`},
		"the last bytes of a request while incomplete requests are ended": {"body", `
			c send ` + job + `
			c send body
			c expect @held()
			c expect @part()@cut()@go()
			c expect ^HTTP/1.1 200 OK\r\n.*Connection: close.*served j-1$
			c wait`},
		"the last bytes of a request after its read deadline has expired": {"timeout", `
			c send ` + job + `
			c expect @reading()@part()@cut()@held()
			c send body
			c expect @go()
			c expect ^HTTP/1.1 400 .*Connection: close
			c wait`},
		// The rest of the request is read, so that the close does not reset the connection before the client
		// has read the answer.
		"the rest of bad input is read after the answer": {"rest", `
			c send POST /work HTTP/1.1\r\nHost: app\r\nContent-Length: many\r\n\r\n
			c expect ^HTTP/1.1 400.*Bad Request.*Bad Request
			c expect @ended()
			c send rest
			c expect @held()
			c expect @go()`},
		"the rest of a body that is too large is read after the answer": {"rest", `
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
			held, proceed, reads := make(chan string, 1), make(chan bool), make(chan string, 100)
			var stopped atomic.Bool
			s := New(instantEngine{}, instantEngine{}, logtest.Discard())
			hold := func(text string, err error) { // there is one connection, so one Read at a time
				// Before CloseIdleConnections, timeouts come from net/http and don't count.
				if err != nil && strings.Contains(err.Error(), "timeout") && s.closingIdle.Load() {
					text = "timeout"
				}
				reads <- text
				if strings.Contains(text, c.at) && stopped.CompareAndSwap(false, true) {
					held <- text
					<-proceed
				}
			}
			go func() { _ = s.Serve(pausingListener{l, hold}, 8) }()
			defer func() { _ = s.server.Close() }()
			var client net.Conn
			peers := scenario.Peers{"c": func() (scenario.Conn, error) {
				c, err := new(net.Dialer).DialContext(t.Context(), "tcp", l.Addr().String())
				client = c
				return c, err
			}}
			scenario.RunScript(t, peers, scenario.Functions{
				"live": func(...string) string { return `GET /health/live HTTP/1.1\r\nHost: app\r\n\r\n` },
				"held": func(...string) string {
					select {
					case <-held:
					case <-time.After(20 * time.Second):
						t.Fatal("no Read was paused")
					}
					return ""
				},
				"go":   func(...string) string { proceed <- true; return "" },
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
				"ended": func(...string) string { // the server has closed its sending direction: the client reads EOF
					_, err := client.Read(make([]byte, 1))
					require.EqualError(t, err, "EOF")
					return ""
				},
			}, c.script)
		})
	}
}
