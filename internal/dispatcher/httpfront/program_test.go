package httpfront_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// scriptFunctions are the functions that the scripts of this package's tests call with @name(...).
var scriptFunctions = scenario.Functions{
	"job": func(a ...string) string {
		return fmt.Sprintf("POST /%s?sid=1 HTTP/1.1\\r\\nHost: app\\r\\nX-Call-Id: %s\\r\\nX-Budget: %s\\r\\nX-Call-Cost: 2000000\\r\\nIdempotency-Key: k-%[2]s\\r\\nContent-Length: 4\\r\\n\\r\\nbody", a[0], a[1], a[2])
	},
	"news": func(a ...string) string {
		text := fmt.Sprintf(`{"id":%q,"from":%q,"state":%q,"result":"%s"}`, a[0], a[1], a[2], strings.Join(a[3:], ","))
		return fmt.Sprintf("POST /_jobs/news HTTP/1.1\\r\\nHost: app\\r\\nContent-Length: %d\\r\\n\\r\\n%s", len(text), text)
	},
	"get": func(a ...string) string { return "GET " + a[0] + " HTTP/1.1\\r\\nHost: app\\r\\n\\r\\n" },
	"answer": func(a ...string) string {
		return "HTTP/1.1 " + a[0] + " x\\r\\nContent-Length: 0\\r\\n\\r\\n"
	},
	"list": func(a ...string) string {
		text := strings.Join(a, ",")
		return fmt.Sprintf("HTTP/1.1 200 OK\\r\\nContent-Length: %d\\r\\n\\r\\n%s", len(text), text)
	},
}

// longSilentTimeout is an operator's file with a silent timeout that is never reached: on a busy machine the next
// piece of a script's request may come late, and these scripts don't check that timeout.
const longSilentTimeout = `{"http":{"silent_client_ms":600000}}`

// TestProgram runs scripts with clients, members (r1, r2), discovery and the program.
//
//nolint:funlen // a table of cases, each a few lines
func TestProgram(t *testing.T) {
	for name, c := range map[string]struct {
		members int
		script  string
	}{
		// The members must get path, query, body, id and key unchanged.
		"passes a job on unchanged": {1, `
			client send POST /place-hold/a%2Fb?sid=7f&x;y=%zz&& HTTP/1.1\r\nHost: app\r\nX-Call-Id: 9b1f\r\nX-Call-Class: place-hold\r\nX-Caller: acme\r\nX-Budget: 9.5\r\nX-Call-Cost: 4000\r\nX-Call-Info: slots=2,new=1\r\nIdempotency-Key: 5c0f\r\nContent-Length: 3\r\n\r\na\x1
			r1 expect ^POST /place-hold/a%2Fb\?sid=7f&x;y=%zz&& HTTP/1.1\r\n
			r1 expect Idempotency-Key: 5c0f\r\n
			r1 expect X-Budget: 9\.4\d+\r\nX-Call-Class: place-hold\r\nX-Call-Id: 9b1f\r\nX-Caller: acme\r\nConnection: close\r\n\r\na\\x
			client.back send @news(9b1f,s-r1,done,early)
			client.back expect 204 No Content
			client expect ^HTTP/1.1 200 OK\r\n.*\r\n\r\nearly$
			r1 send @answer(202)`},
		// A callback may be repeated, or come from another member, or be about a flow that has ended.
		"counts a call-back once": {1, `
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1.*body
			r1 send @answer(202)
			client.back send @news(t-1,s-r2,done,wrong)
			client.back expect 204 No Content
			client.back send @news(t-1,s-r1,started)
			client.back expect 204 No Content
			client.back send @news(t-1,s-r1,done,right)
			client.back expect 204 No Content
			client.back send @news(t-1,s-r1,failed)
			client.back expect 204 No Content
			client.back send @news(t-9,s-r1,done,none)
			client.back expect 204 No Content
			client expect ^HTTP/1.1 200 OK\r\n.*\r\n\r\nright$
			client send @get(/health/ready)
			client expect ^HTTP/1.1 200 OK`},
		// The member never answers 202: its callback ends the job, and the connection to it is closed.
		"ends with a call-back what was not answered": {1, `
			client send @job(group-ticket,t-1,25)
			r1 expect X-Call-Id: t-1.*body
			client.back send @news(t-1,s-r1,done,one)
			client.back expect 204 No Content
			client expect ^HTTP/1.1 200 OK\r\n.*\r\n\r\none$
			r1 wait`},
		// http.Transport itself repeats a request with an Idempotency-Key when a reused connection breaks.
		// That must not happen: the next request that the member gets must be the next job.
		"never sends a ticket again that may have run": {1, `
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1.*body
			r1 send @answer(202)
			client.back send @news(t-1,s-r1,done,one)
			client expect 200 OK.*one$
			client send @job(group-ticket,t-2,20)
			r1.two expect X-Call-Id: t-2.*body
			r1.two close
			client expect ^HTTP/1.1 502
			client.two send @job(group-ticket,t-3,20)
			r1.next expect ^POST /group-ticket[^\n]*\n.*X-Call-Id: (?P<id>t-\d).*body
			client.back send @news($id,s-r1,done,three)
			client.two expect 200 OK.*three$`},
		"sends again what never ran": {2, `
			client send @job(place-hold,h-1,9)
			r1 expect X-Call-Id: h-1.*body
			r1 send HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n
			r2 expect X-Call-Id: h-1.*body
			client.back send @news(h-1,s-r2,done,second)
			client expect 200 OK.*second$`},
		// Without a key the member can't recognize a repetition, and the first attempt may have run.
		"does not repeat what came without its key": {2, `
			client send POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nX-Budget: 9\r\nX-Call-Cost: 400000\r\nContent-Length: 4\r\n\r\nbody
			r1 expect X-Call-Id: h-1.*body
			r1 close
			client expect ^HTTP/1.1 502
			client.other send @job(send-notice,n-1,20)
			r2 expect ^POST /send-notice`}, // the first request that r2 gets
		// A job that does not start is cancelled while another member can still run it in time. It is sent
		// there once the first member has confirmed the cancellation: never to two members at once.
		"asks back what does not start": {2, `
			client send POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nIdempotency-Key: k-1\r\nX-Budget: 9\r\nX-Call-Cost: 400000\r\nContent-Length: 0\r\n\r\n
			r1 expect X-Call-Id: h-1
			r1 send @answer(202)
			r1.next expect DELETE /jobs/h-1 HTTP/1.1
			client.early send @news(h-1,s-r1,started)
			client.early expect 204
			r1.next send @answer(200)
			r2 expect X-Call-Id: h-1
			client.late send @news(h-1,s-r1,done,first)
			client.late expect 204
			client.back send @news(h-1,s-r2,done,second)
			client expect 200 OK.*second$`},
		// A job that failed may have run, so the answer must not be a refusal.
		"tells an error": {1, `
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1.*body
			r1 send @answer(500)
			client expect ^HTTP/1.1 502`},
		// If a member answers that a request is bad, that does not count as an error of the member: an error
		// would keep the next job away from it.
		"tells a bad request, and trusts the member": {2, `
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1.*body
			r1 send @answer(400)
			client expect ^HTTP/1.1 400
			client.two send @job(group-ticket,t-2,20)
			client.three send @job(group-ticket,t-3,20)
			r1.next expect X-Call-Id: t-[23].*body`},
		"answers before the budget ends, and abandons": {1, `
			client send @job(group-ticket,t-1,2)
			r1 expect X-Call-Id: t-1.*body
			r1 send @answer(202)
			client expect ^HTTP/1.1 502
			r1.next expect DELETE /jobs/t-1 HTTP/1.1`},
		"abandons for a client that left": {1, `
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1.*body
			client close
			r1 wait`},
		// A job that can't end in time is refused at once, with a Retry-After.
		"refuses what is hopeless": {1, `
			client send @job(place-hold,h-1,0.05)
			client expect ^HTTP/1.1 503.*Retry-After: 2\.000|Retry-After: 1\.99`},
		"turns bad input away": {1, `
			client send @get(/place-hold)
			client expect ^HTTP/1.1 405
			client.1 send @job(no-such,h-1,9)
			client.1 expect ^HTTP/1.1 404
			client.2 send @job(place-hold,,9)
			client.2 expect ^HTTP/1.1 400
			client.3 send @job(place-hold,h-1,soon)
			client.3 expect ^HTTP/1.1 400
			client.4 send POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nContent-Length: 65537\r\n\r\n@large(x)
			client.4 expect ^HTTP/1.1 413
			client.5 send POST /_jobs/news HTTP/1.1\r\nHost: app\r\nContent-Length: 2\r\n\r\n{}
			client.5 expect ^HTTP/1.1 400
			client.6 send OPTIONS * HTTP/1.1\r\nHost: app\r\n\r\n
			client.6 expect ^HTTP/1.1 405.*Connection: close
			client.6 wait
			client.7 send POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nContent-Length: 60000000\r\n\r\n@large(x)
			client.7 expect ^HTTP/1.1 413.*Connection: close`},
		// Guards against request smuggling with two lengths: the chunks count, as RFC 9112 requires, and the
		// connection is closed after the answer, so that what follows the chunks is never read. The next
		// request that the member gets is the next client's.
		"passes nothing hidden on": {1, `
			client send POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nX-Budget: 9\r\nContent-Length: 200\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n@job(place-hold,h-2,9)
			r1 expect ^POST /place-hold[^\n]*\n.*X-Call-Id: h-1\r\n
			r1 send @answer(202)
			client.back send @news(h-1,s-r1,done,one)
			client expect ^HTTP/1.1 200 OK.*Connection: close.*one$
			client wait
			client.two send POST /group-ticket HTTP/1.1\r\nHost: app\r\nX-Call-Id: t-3\r\nX-Budget: 20\r\nContent-Length: 0\r\n\r\n
			r1.next expect ^POST /group-ticket[^\n]*\n.*X-Call-Id: t-3\r\n
			client.back send @news(t-3,s-r1,done,three)
			client.two expect 200 OK.*three$`},
		// A body in chunks of any size is read completely and forwarded with a Content-Length.
		"takes a body in chunks": {1, `
			client send POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nX-Budget: 9\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n
			r1 expect ^POST /place-hold[^\n]*\n.*Content-Length: 4\r\n.*\r\n\r\nbody$
			r1 send @answer(202)
			client.back send @news(h-1,s-r1,done,one)
			client expect ^HTTP/1.1 200 OK.*one$`},
		// Closing the listener at once would block the callback that the last job waits for.
		"drains": {1, `
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1.*body
			r1 send @answer(202)
			program expect serving
			program close
			program expect draining
			client.new send @get(/health/ready)
			client.new expect ^HTTP/1.1 503
			client.told send @news(t-1,s-r1,started)
			client.told expect 204
			client.late send @job(group-ticket,t-2,20)
			r1.next expect X-Call-Id: t-2.*body
			client.back send @news(t-1,s-r1,done,one)
			client.back expect 204
			client expect 200 OK.*one$
			client.back2 send @news(t-2,s-r1,done,two)
			client.late expect 200 OK.*two$
			client.held send @job(place-hold,h-3,9)
			r1.third expect X-Call-Id: h-3.*body
			client.back3 send @news(h-3,s-r1,done,three)
			client.held expect 200 OK.*three$
			client.held wait
			program wait`},
		// A job that comes too late to end before the forced end of the drain is refused.
		"refuses what the end by force would meet": {1, `
			program expect serving
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1.*body
			program close
			program expect draining
			client.live send @get(/health/live)
			client.live expect 200
			client.live wait
			client.late send @job(place-hold,h-2,9)
			client.late expect ^HTTP/1.1 503.*Retry-After: 0.000
			client.back send @news(t-1,s-r1,done,one)
			client expect 200 OK.*one$
			program wait`},
		// The socket is closed once no job is in progress, and callbacks can't get in any more. A job that
		// comes later on an open connection is refused, not sent to a member, since its result couldn't
		// be delivered.
		"refuses what comes once the socket is closed": {1, `
			program expect serving
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1.*body
			program close
			program expect draining
			client.live send @get(/health/live)
			client.live expect 200
			client.live wait
			client.late send POST /place-hold HTTP/1.1\r\n
			client.after send @get(/health/live)
			client.after expect 200
			client.back send @news(t-1,s-r1,done,one)
			client expect 200 OK.*one$
			program expect closing
			client.late send Host: app\r\nX-Call-Id: h-2\r\nX-Budget: 9\r\nContent-Length: 0\r\n\r\n
			client.late expect ^HTTP/1.1 503
			program wait`},
		// Nothing that happens during a drain ends it early: a second signal, a reload, a partial callback, a
		// partial answer of the member.
		"drains to its end whatever comes": {1, `
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1.*body
			r1 send HTTP/1.1 20
			program expect serving
			program close
			program expect draining
			program close
			program send
			program expect reloaded
			client.live send @get(/health/live)
			client.live expect 200
			client.live wait
			client.half send POST /group-ticket HTTP/1.1\r\n
			client.back send POST /_jobs/news HTTP/1.1\r\nHost: app\r\nContent-Length: 56\r\n\r\n{"id":"t-1","from":"s-r1",
			program close
			program send {
			program expect can't be reloaded
			client.back send "state":"done","result":"one"}
			client.back expect ^HTTP/1.1 204 .*Connection: close
			client expect ^HTTP/1.1 200 OK\r\n.*Connection: close.*one$
			client wait
			program expect closing
			client.half send Host: app\r\nX-Call-Id: t-2\r\nX-Budget: 9\r\nContent-Length: 4\r\n\r\nbo
			client.half send dy
			client.half expect ^HTTP/1.1 503.*Connection: close
			program expect msg=done failed=0 open=0 refused=1 served=1 taken=2
			program wait`},
		"is told to end in a reload": {1, `
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1.*body
			program expect serving
			program send
			program close
			program expect draining
			client.back send @news(t-1,s-r1,done,one)
			client.back expect 204
			client expect 200 OK.*one$
			program expect msg=done failed=0 open=0 refused=0 served=1 taken=1
			program wait`},
		// A call to discovery without an answer looks like one on which nothing changes: it times out soon,
		// and the watch continues from the same index.
		"notices a silent discovery": {1, `
			discovery expect GET /registry/instances\?index=41&wait=1 HTTP
			discovery send @list({"generation":42,"reset":false,"instances":[]})
			discovery expect GET /registry/instances\?index=42&wait=2000 HTTP
			program expect a call to discovery failed.*deadline exceeded
			discovery.next expect GET /registry/instances\?index=42&wait=1 HTTP`},
		// A malformed list changes nothing and counts as a failed call; a member that is leaving gets no job.
		"follows discovery": {1, `
			discovery expect GET /registry/instances\?index=41&wait=1 HTTP
			discovery send @list({"generation":42,"instances":[{"instanceId":"s-r1","lifecycle":"lost"}]})
			program expect a call to discovery failed
			discovery expect GET /registry/instances\?index=41&wait=1 HTTP
			discovery send @list({"generation":43,"reset":false,"instances":[{"instanceId":"s-r1","hostPort":"127.0.0.1:9","lifecycle":"leaving"}]})
			discovery expect GET /registry/instances\?index=43&wait=2000 HTTP
			client send @job(place-hold,h-1,1)
			client expect ^HTTP/1.1 503`},
		// A reload asks the discovery service named in the file for its complete list, since its generations
		// may differ, and drops the old watch and its late answer. Members and the job in progress stay. An
		// invalid file changes nothing.
		"reloads": {1, `
			discovery expect GET /registry/instances\?index=41&wait=1 HTTP
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1.*body
			r1 send @answer(202)
			program send
			program expect reloaded
			discovery wait
			next expect GET /registry/instances HTTP
			client.two send @job(group-ticket,t-2,20)
			client.news send @news(t-1,s-r1,started)
			client.news expect 204
			r1.next expect X-Call-Id: t-2.*body
			next send @list({"generation":7,"reset":true,"instances":[{"instanceId":"s-r1","hostPort":"127.0.0.1:9","lifecycle":"leaving"}]})
			next expect GET /registry/instances\?index=7&wait=2000 HTTP
			program send {
			program expect can't be reloaded
			next send @list({"generation":8,"reset":false,"instances":[]})
			next expect GET /registry/instances\?index=8&wait=2000 HTTP
			client.back send @news(t-1,s-r1,done,one)
			client expect 200 OK.*one$
			client.three send @job(place-hold,h-1,1)
			client.three expect ^HTTP/1.1 503`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario.RunScript(t, scenario.Start(t, c.members, longSilentTimeout), scriptFunctions, c.script)
		})
	}
}

// TestShortDeadlines checks a drain when all deadlines are short: the forced end is then near, and the socket is
// closed before any request counts as late. A job that comes then is still refused, since no callback could
// deliver its result.
func TestShortDeadlines(t *testing.T) {
	settings := regexp.MustCompile(`"give_up":\d+`).ReplaceAllString(scenario.Settings, `"give_up":900000000`)
	scenario.RunScript(t, scenario.StartWithSettings(t, 1, settings), scriptFunctions, `
		program expect serving
		client send POST /place-hold HTTP/1.1\r\n
		client.new send @get(/health/live)
		client.new expect 200
		program close
		program expect closing
		client send Host: app\r\nX-Call-Id: h-1\r\nX-Budget: 0.9\r\nContent-Length: 0\r\n\r\n
		client expect ^HTTP/1.1 503.*Connection: close
		client wait
		program expect msg=done failed=0 open=0 refused=1 served=0 taken=1
		program wait`)
}

// TestCallbacksDuringFullLoad checks that the callback that ends a job gets a connection while clients that wait
// for answers hold as many connections as allowed. Otherwise no job would be reported as started or ended, and
// all members would look full forever. The other clients wait longer than the ticket's budget.
func TestCallbacksDuringFullLoad(t *testing.T) {
	const connections = 512 // half of the sockets that scenarios configure
	var clients strings.Builder
	for n := range connections - 1 {
		fmt.Fprintf(&clients, "client.c%d send @job(send-notice,c-%d,25)\n", n, n)
	}
	scenario.RunScript(t, scenario.Start(t, 1, ""), scriptFunctions, `
		client send @job(group-ticket,t-1,10)
		r1 expect X-Call-Id: t-1.*body
		r1 send @answer(202)
		`+clients.String()+`
		client.back send @news(t-1,s-r1,started)
		client.back expect 204 No Content
		client.end send @news(t-1,s-r1,done,one)
		client.end expect 204 No Content
		client expect 200 OK.*one$`)
}

// TestBadConfiguration checks that the program ends with an error message for an invalid configuration.
func TestBadConfiguration(t *testing.T) {
	for text, want := range map[string]string{
		"{":                      "config.json: configuration: cannot parse JSON",
		`{"listen":"nowhere"}`:   "config.json: configuration: settings: not an object",
		`{"listen":5}`:           "config.json: configuration: listen of type string: got a number",
		strings.Repeat("[", 400): "config.json: configuration: cannot parse JSON",
	} {
		end, err := scenario.StartWithConfig(t, text)["program"]()
		require.NoError(t, err)
		scenario.RunScript(t, scenario.Peers{"program": func() (scenario.Conn, error) { return end, nil }}, nil, "program expect ^basaltloft: \\S*"+strings.ReplaceAll(want, ".", `\.`)+"[^\\n]*\\n$")
		require.Error(t, end.(interface{ Wait() error }).Wait())
	}
}

func init() {
	scriptFunctions["large"] = func(...string) string { return strings.Repeat("x", 65537) }
}

// TestOneFlowDespiteSecondCopies checks that a transaction has at most one flow even if the settings allow second
// copies, and that the decisions take this into account: a job that does not start is cancelled and sent to
// another member, and no second copy is sent.
func TestOneFlowDespiteSecondCopies(t *testing.T) {
	settings := strings.NewReplacer(`"effect":"deduplicated","key_scope":"cell"`, `"effect":"idempotent"`, `"cancel":true`, `"cancel":true,"second_copies":true`).Replace(scenario.Settings)
	require.Contains(t, settings, "second_copies")
	scenario.RunScript(t, scenario.StartWithSettings(t, 2, settings), scriptFunctions, `
		client send POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nX-Budget: 9\r\nX-Call-Cost: 400000\r\nContent-Length: 0\r\n\r\n
		r1 expect X-Call-Id: h-1
		r1 send @answer(202)
		r1.next expect DELETE /jobs/h-1 HTTP/1.1
		r1.next send @answer(200)
		r2 expect X-Call-Id: h-1
		client.back send @news(h-1,s-r2,done,second)
		client expect 200 OK.*second$`)
}
