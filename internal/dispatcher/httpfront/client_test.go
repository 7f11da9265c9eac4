package httpfront_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"basaltloft/internal/dispatcher/scenario"
)

// TestClientDisconnects checks that no job is started for a client that has disconnected, whatever it sent
// before, and that its running job is cancelled. The next request that the member gets must be the marker job.
//
//nolint:funlen // a table of cases, each a few lines
func TestClientDisconnects(t *testing.T) {
	const marker = `
			client.marker send @job(group-ticket,marker,20)
			r1.next expect ^POST [^\n]*\n.*X-Call-Id: marker\r\n.*body$`
	var flood strings.Builder
	for n := range 40 { // more than net/http reads at once
		fmt.Fprintf(&flood, "@job(group-ticket,t-%d,20)", n)
	}
	for name, script := range map[string]string{
		"after part of a second request": `
			client send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			client send POST /gro
			client close
			r1 wait` + marker,
		"after a second request": `
			client send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			client send @job(group-ticket,t-1,20)
			client close
			r1 wait` + marker,
		"after two requests sent at once": `
			client send @job(group-ticket,t-0,20)@job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-0.*body
			client close
			r1 wait` + marker,
		"after many requests sent at once": `
			client send ` + flood.String() + `
			r1 expect X-Call-Id: t-0\r.*body
			client close
			r1 wait` + marker,
		"after more bytes than are read ahead": `
			client send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			client send @large(x)@large(x)@large(x)
			client close
			r1 wait` + marker,
		"by a reset, after a second request": `
			reset send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			reset send @job(group-ticket,t-1,20)
			reset close
			r1 wait` + marker,
		"by closing only its sending direction": `
			half send @job(group-ticket,t-0,20)@job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-0.*body
			half close
			r1 wait` + marker,
		"while its job is accepted and callbacks arrive": `
			client send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			r1 send @answer(202)
			client.started send @news(t-0,s-r1,started)
			client.started expect 204
			client send @job(group-ticket,t-1,20)
			client close
			r1.off expect ^DELETE /jobs/t-0 HTTP
			r1.off send HTTP/1.1 204 x\r\n\r\n
			client.news send @news(t-0,s-r1,done,one)
			client.news expect 204` + marker,
		// A client that stays connected gets each answer completely, once and in order, even to requests
		// that it should not have sent yet.
		"not at all": `
			client send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			r1 send @answer(202)
			client send @job(group-ticket,t-1,20)@job(group-ticket,t-2,20)
			client.0 send @news(t-0,s-r1,done,zero)
			client.0 expect 204
			client expect ^HTTP/1.1 200 OK[^{]*\r\n\r\nzero$
			r1.1 expect ^POST [^\n]*\n.*X-Call-Id: t-1\r\n.*body$
			client.1 send @news(t-1,s-r1,done,one)
			client.1 expect 204
			client expect ^HTTP/1.1 200 OK[^{]*\r\n\r\none$
			r1.2 expect ^POST [^\n]*\n.*X-Call-Id: t-2\r\n.*body$
			client close
			r1.2 wait` + marker,
		// Callbacks take effect even if their sender does not wait for the answer.
		"a member that disconnects after its callbacks": `
			client send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			r1 send @answer(202)
			half send @get(/health/live)@news(t-0,s-r1,started)@news(t-0,s-r1,done,one)
			half close
			client expect 200 OK.*one$` + marker,
		"not at all, with a second request sent early and a drain": `
			program expect serving
			client send @job(group-ticket,t-0,20)@job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-0.*body
			client.0 send @news(t-0,s-r1,done,zero)
			client.0 expect 204
			client expect ^HTTP/1.1 200 OK.*zero$
			r1.1 expect X-Call-Id: t-1.*body
			client.idle send @get(/health/live)
			client.idle expect 200 OK.*ok
			program close
			client.idle wait
			client.1 send @news(t-1,s-r1,done,one)
			client.1 expect 204
			client expect ^HTTP/1.1 200 OK.*one$
			client wait
			program wait`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			peers := scenario.Start(t, 1, "")
			dial := peers["client"]
			peers["reset"] = func() (scenario.Conn, error) {
				end, err := dial()
				if err == nil {
					err = end.(*net.TCPConn).SetLinger(0)
				}
				return end, err
			}
			peers["half"] = func() (scenario.Conn, error) {
				end, err := dial()
				if err != nil {
					return nil, err
				}
				t.Cleanup(func() { _ = end.Close() })
				return halfClosing{end.(*net.TCPConn)}, nil
			}
			scenario.RunScript(t, peers, scriptFunctions, script)
		})
	}
}

// halfClosing is a connection whose Close closes only the sending direction.
type halfClosing struct{ *net.TCPConn }

func (h halfClosing) Close() error { return h.CloseWrite() }
