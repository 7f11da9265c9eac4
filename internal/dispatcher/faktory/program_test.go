package faktory_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"basaltloft/internal/dispatcher/scenario"
)

// operatorSettings is the operator's file of most tests here.
const operatorSettings = `{"agent_check":{"listen":"AGENT"},"figures":{"listen":"FIGURES"},"faktory":{"listen":"FAKTORY","password":"tajomstvo","connections":6,
"default":{},"queues":{"tickets":{"class":"group-ticket","tenant":"hrad-orlie","cost_us":2000000}},
"jobtypes":{"Hold":{"class":"place-hold","cost_us":2000000},"Brief":{"class":"group-ticket","deadline_ms":1500,"cost_us":500000},"Late":{"class":"place-hold","deadline_ms":30,"cost_us":2000000}}}}`

// scriptFunctions are the functions that scripts call with @, by name.
var scriptFunctions = scenario.Functions{
	// hash computes the protocol's password hash independently of the server.
	"hash": func(a ...string) string {
		sum := []byte("tajomstvo" + a[0])
		for range 4000 {
			next := sha256.Sum256(sum)
			sum = next[:]
		}
		return hex.EncodeToString(sum)
	},
	"hello": func(a ...string) string {
		return fmt.Sprintf(`HELLO {"wid":%q,"pwdhash":%q,"v":2}\r\n`, a[0], a[1])
	},
	"push": func(a ...string) string { // jid, jobtype, queue
		return fmt.Sprintf(`PUSH {"jid":%q,"jobtype":%q,"queue":%q,"args":[1,"a"]}\r\n`, a[0], a[1], a[2])
	},
	"ack":  func(a ...string) string { return fmt.Sprintf(`ACK {"jid":%q,"result":%q}\r\n`, a[0], a[1]) },
	"fail": func(a ...string) string { return fmt.Sprintf(`FAIL {"jid":%q,"errtype":"E","message":"m"}\r\n`, a[0]) },
	"beat": func(a ...string) string { return fmt.Sprintf(`BEAT {"wid":%q,"current_state":%q}\r\n`, a[0], a[1]) },
	"job": func(a ...string) string {
		return fmt.Sprintf("POST /%s HTTP/1.1\\r\\nHost: app\\r\\nX-Call-Id: %s\\r\\nX-Budget: %s\\r\\nX-Call-Cost: 2000000\\r\\nContent-Length: 4\\r\\n\\r\\nbody", a[0], a[1], a[2])
	},
	"news": func(a ...string) string {
		text := fmt.Sprintf(`{"id":%q,"from":"s-%s","state":%q,"result":"paid"}`, a[0], a[2], a[1])
		return fmt.Sprintf("POST /_jobs/news HTTP/1.1\\r\\nHost: app\\r\\nContent-Length: %d\\r\\n\\r\\n%s", len(text), text)
	},
	"long": func(...string) string { return strings.Repeat("x", 300<<10) },
}

// login returns the script that opens a connection, of a worker or of a client without a wid.
func login(actor, wid string) string {
	return actor + ` expect ^\+HI {"v":2,"i":4000,"s":"(?P<salt>\w+)"}\r\n
		` + actor + ` send @hello(` + wid + `,@hash($salt))
		` + actor + ` expect ^\+OK\r\n
		`
}

// TestFaktory runs scripts of clients, workers and pool members of both fronts against a started
// program.
//
//nolint:funlen // a table of scripts
func TestFaktory(t *testing.T) {
	client, worker := login("faktory.c", ""), login("faktory.w", "w1")
	// joins makes sure that the worker is in the pool before a job is pushed.
	const joins = `faktory.w send FETCH tickets default\r\n
		faktory.w expect ^\$-1\r\n
		`
	for name, c := range map[string]struct {
		members int
		script  string
	}{
		"runs a job from push to outcome": {0, client + worker + joins + `
			faktory.c send @push(job-0001,Sell,tickets)
			faktory.c expect ^\+OK\r\n
			faktory.c send TRACK GET job-0001\r\n
			faktory.c expect ^\$\d+\r\n.*"state":"enqueued"
			faktory.w send FETCH tickets\r\n
			faktory.w expect ^\$\d+\r\n{"jid":"job-0001","jobtype":"Sell","queue":"tickets","args":\[1,"a"\]}\r\n
			faktory.w send INFO\r\n
			faktory.w expect "total_working":1
			faktory.w send @ack(job-0001,paid)
			faktory.w expect \+OK\r\n
			faktory.c send TRACK GET job-0001\r\n
			faktory.c expect "outcome":"served","result":"paid","state":"success"
			faktory.c send @push(job-0001,Sell,tickets)
			faktory.c expect \+OK\r\n
			faktory.w send FETCH tickets\r\n
			faktory.w expect ^\$-1\r\n
			faktory.c send END\r\n
			faktory.c wait`},
		// The client reconnects while its job runs.
		"a client that reconnects joins its job": {0, client + worker + joins + `
			faktory.c send @push(job-0001,Sell,tickets)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH tickets\r\n
			faktory.w expect job-0001
			faktory.c close
			` + login("faktory.c2", "") + `
			faktory.c2 send @push(job-0001,Sell,tickets)
			faktory.c2 expect ^\+OK\r\n
			faktory.c2 send TRACK GET job-0001\r\n
			faktory.c2 expect "state":"working"
			faktory.w send @ack(job-0001,paid)
			faktory.w expect \+OK\r\n
			faktory.c2 send TRACK GET job-0001\r\n
			faktory.c2 expect "outcome":"served"
			faktory.w send FETCH tickets\r\n
			faktory.w expect ^\$-1\r\n`},
		// A worker acknowledges a job twice, and then fails it.
		"a second ACK has no effect": {0, client + worker + joins + `
			faktory.c send @push(job-0001,Sell,tickets)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH tickets\r\n
			faktory.w expect job-0001.*}\r\n
			faktory.w send @ack(job-0001,once)@ack(job-0001,twice)@fail(job-0001)INFO\r\n
			faktory.w expect ^\+OK\r\n\+OK\r\n\+OK\r\n.*"total_processed":1,"total_failures":0
			faktory.c send TRACK GET job-0001\r\n
			faktory.c expect "outcome":"served","result":"once"`},
		"a worker that reconnects keeps its job": {0, client + worker + joins + `
			faktory.c send @push(job-0001,Sell,tickets)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH tickets\r\n
			faktory.w expect job-0001
			faktory.w close
			` + login("faktory.other", "w2") + `
			faktory.other send FETCH tickets\r\n
			faktory.other expect ^\$-1\r\n
			faktory.other send @ack(job-0001,stolen)
			faktory.other expect ^\+OK\r\n
			` + login("faktory.w2", "w1") + `
			faktory.w2 send @ack(job-0001,own)
			faktory.w2 expect ^\+OK\r\n
			faktory.c send TRACK GET job-0001\r\n
			faktory.c expect "outcome":"served","result":"own"`},
		"a FAIL is an error, and a ticket is not sent again": {0, client + worker + joins + `
			faktory.c send @push(job-0001,Sell,tickets)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH tickets\r\n
			faktory.w expect job-0001.*}\r\n
			faktory.w send @fail(job-0001)
			faktory.w expect ^\+OK\r\n
			faktory.c send TRACK GET job-0001\r\n
			faktory.c expect "outcome":"failed","state":"failed"
			faktory.w send FETCH tickets\r\n
			faktory.w expect ^\$-1\r\n`},
		"a deadline ends a fetched job, and its late ACK has no effect": {0, client + worker + joins + `
			faktory.c send @push(job-0001,Brief,tickets)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH tickets\r\n
			faktory.w expect job-0001.*}\r\n
			faktory.w send FETCH tickets\r\n
			faktory.w expect ^\$-1\r\n
			faktory.w send @ack(job-0001,late)
			faktory.w expect ^\+OK\r\n
			faktory.c send TRACK GET job-0001\r\n
			faktory.c expect "outcome":"failed"`},
		// A worker that is quiet gets nothing new; what it had not fetched has
		// not run and goes to another.
		"a quiet worker hands back what it has not fetched": {0, client + worker + joins + `
			faktory.c send @push(job-0001,Sell,tickets)
			faktory.c expect ^\+OK\r\n
			faktory.w send @beat(w1,quiet)
			faktory.w expect ^\+OK\r\n
			` + login("faktory.w2", "w2") + `
			faktory.w2 send FETCH tickets\r\n
			faktory.w2 expect job-0001
			faktory.w send FETCH tickets\r\n
			faktory.w expect ^\$-1\r\n`},
		// With a pool member of the HTTP front, a push is submitted to the engine at once.
		"refuses with a retry-after time": {1, client + `
			faktory.c send @push(job-0001,Late,holds)
			faktory.c expect ^-ERR refused, retry-after (2\.000|1\.99\d)\r\n
			faktory.c send TRACK GET job-0001\r\n
			faktory.c expect "retry_at":"[^"]+","outcome":"refused","state":"dead"`},
		"rejects bad input": {1, client + `
			faktory.c send DANCE\r\nPUSH {\r\nPUSH {"jid":"short"}\r\n@push(job-0001,Unknown,nowhere)FETCH tickets\r\n
			faktory.c expect ^-ERR unknown command "DANCE"\r\n-ERR the job is no JSON\r\n-ERR a jid has[^\n]*\n-ERR neither jobtype[^\n]*\n-ERR only a worker
			faktory.c send PUSHB [{"jid":"job-0001","jobtype":"Hold","args":[]},{"jid":"job-0002","jobtype":"Hold"}]\r\n
			faktory.c expect {"job-0002":"a job has a list of args"}
			faktory.c send PUSH @long(x)\r\n
			faktory.c expect ^\r\n-ERR a command is too long\r\n
			faktory.c wait
			faktory.x expect \+HI
			faktory.x send HELLO {"v":2,"pwdhash":"00"}\r\n
			faktory.x expect -ERR invalid password
			faktory.x wait`},
		// A job without ACK or FAIL when its reservation ends has timed out: the ticket may have run.
		"a reservation ends": {0, client + worker + joins + `
			faktory.c send @push(job-0001,Sell,tickets)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH tickets\r\n
			faktory.w expect job-0001.*}\r\n
			faktory.w send FETCH tickets\r\nFETCH tickets\r\n@ack(job-0001,late)
			faktory.w expect ^\$-1\r\n\$-1\r\n\+OK\r\n
			faktory.c send TRACK GET job-0001\r\n
			faktory.c expect "outcome":"failed"`},
		"ends with its workers' jobs done": {0, client + worker + joins + `
			faktory.c send @push(job-0001,Sell,tickets)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH tickets\r\n
			faktory.w expect job-0001.*}\r\n
			program expect serving
			program close
			program expect draining
			faktory.c send @push(job-0002,Sell,tickets)
			faktory.c expect ^-ERR refused, retry-after 1\.000\r\n
			faktory.w send @beat(w1,)
			faktory.w expect ^\$17\r\n{"state":"quiet"}\r\n
			faktory.w send @ack(job-0001,paid)
			faktory.w expect ^\+OK\r\n
			program expect done.*served=1
			program wait`},
		"limits connections": {0, strings.Join([]string{login("faktory.1", ""), login("faktory.2", ""), login("faktory.3", ""),
			login("faktory.4", ""), login("faktory.5", ""), login("faktory.6", "")}, "") + `
			faktory.7 expect ^-ERR too many connections
			faktory.7 wait`},
		"answers agent checks": {0, `
			agent.1 expect ^ready up 100%\n
			agent.1 wait
			client send @job(place-hold,h-1,10)
			agent.2 expect ^ready up \d+%\n
			program expect serving
			program close
			program expect draining
			agent.3 expect ^drain\n`},
		// Jobs of both fronts run on the pool members of both, and are counted together.
		"a pushed job runs on an HTTP member": {1, client + `
			faktory.c send @push(job-0001,Sell,tickets)
			faktory.c expect ^\+OK\r\n
			r1 expect ^POST /group-ticket HTTP/1.1\r\n.*X-Call-Id: job-0001\r\n.*X-Caller: hrad-orlie\r\n.*"args":\[1,"a"\]}
			r1 send HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n
			client send @news(job-0001,done,r1)
			client expect 204
			faktory.c send TRACK GET job-0001\r\n
			faktory.c expect "outcome":"served","result":"paid"`},
		"an HTTP job runs on a worker": {0, worker + joins + `
			client send @job(group-ticket,t-1,25)
			faktory.w send FETCH tickets\r\n
			faktory.w expect "jid":"t-1","queue":"tickets","jobtype":"group-ticket","args":\["body"\]
			faktory.w send @ack(t-1,paid)
			faktory.w expect \+OK\r\n
			client expect ^HTTP/1.1 200 OK.*paid$`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			file := operatorSettings
			if name == "a reservation ends" {
				file = strings.Replace(file, `"connections":6`, `"connections":6,"reserve_for_s":1`, 1)
			}
			scenario.RunScript(t, scenario.Start(t, c.members, file), scriptFunctions, c.script)
		})
	}
}
