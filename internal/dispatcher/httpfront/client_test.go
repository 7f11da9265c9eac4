package httpfront_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"basaltloft/internal/dispatcher/scenario"
)

// TestClientsEnd: nothing begins for a client that has gone, whatever it sent before,
// and what is out for it is called off. The marker is the next that the member hears.
//
//nolint:funlen // a table of cases, each a few lines
func TestClientsEnd(t *testing.T) {
	const marker = `
			client.marker send @job(group-ticket,marker,20)
			r1.next expect ^POST [^\n]*\n.*X-Call-Id: marker\r\n.*body$`
	var flood strings.Builder
	for n := range 40 { // more than net/http reads at a time
		fmt.Fprintf(&flood, "@job(group-ticket,t-%d,20)", n)
	}
	for name, script := range map[string]string{
		"with half a request behind": `
			client send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			client send POST /gro
			client close
			r1 wait` + marker,
		"with a request behind": `
			client send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			client send @job(group-ticket,t-1,20)
			client close
			r1 wait` + marker,
		"with a request sent at once": `
			client send @job(group-ticket,t-0,20)@job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-0.*body
			client close
			r1 wait` + marker,
		"with a flood sent at once": `
			client send ` + flood.String() + `
			r1 expect X-Call-Id: t-0\r.*body
			client close
			r1 wait` + marker,
		"with more behind than is kept": `
			client send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			client send @large(x)@large(x)@large(x)
			client close
			r1 wait` + marker,
		"by a reset, with a request behind": `
			reset send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			reset send @job(group-ticket,t-1,20)
			reset close
			r1 wait` + marker,
		"by closing its sending half": `
			half send @job(group-ticket,t-0,20)@job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-0.*body
			half close
			r1 wait` + marker,
		"with a flow that was taken, of which news comes": `
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
		// The one that stays has its answers whole, in turn and once, also of what it
		// should not have sent yet.
		"one that stays": `
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
		// Calls back are owed their effect, whoever stays to hear the answer.
		"a member's calls, sent at once and gone": `
			client send @job(group-ticket,t-0,20)
			r1 expect X-Call-Id: t-0.*body
			r1 send @answer(202)
			half send @get(/health/live)@news(t-0,s-r1,started)@news(t-0,s-r1,done,one)
			half close
			client expect 200 OK.*one$` + marker,
		"never, on a connection whose next request lay behind the first as others are closed": `
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
			cast := scenario.Start(t, 1, "")
			dial := cast["client"]
			cast["reset"] = func() (scenario.Conn, error) {
				end, err := dial()
				if err == nil {
					err = end.(*net.TCPConn).SetLinger(0)
				}
				return end, err
			}
			cast["half"] = func() (scenario.Conn, error) {
				end, err := dial()
				if err != nil {
					return nil, err
				}
				t.Cleanup(func() { _ = end.Close() })
				return half{end.(*net.TCPConn)}, nil
			}
			scenario.RunScript(t, cast, words, script)
		})
	}
}

// half closes only its sending half.
type half struct{ *net.TCPConn }

func (h half) Close() error { return h.CloseWrite() }
