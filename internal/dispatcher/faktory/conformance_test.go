package faktory_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/scenario"
)

// conformanceSettings is an operator's file without a password, and with a back-off a thousand
// times shorter than the protocol's.
const conformanceSettings = `{"figures":{"listen":"FIGURES"},"faktory":{"listen":"FAKTORY","connections":32,"reserve_for_s":1,"backoff_unit_ms":1,"workers":{"cell":1},
"waiting":{"jobs":50,"queue_jobs":20},"default":{"class":"send-notice","cost_us":1000},
"jobtypes":{"Ticket":{"class":"group-ticket","cost_us":1000},"Hold":{"class":"place-hold","cost_us":1000}}}}`

// conformanceFunctions are the functions of TestConformance: scriptFunctions, some of them replaced,
// and further ones.
var conformanceFunctions = func() scenario.Functions {
	w := maps.Clone(scriptFunctions)
	w["job"] = func(a ...string) string { // jid, jobtype, queue, and fields as JSON with ; for ,
		more := ""
		if len(a) > 3 {
			more = "," + strings.ReplaceAll(a[3], ";", ",")
		}
		return fmt.Sprintf(`{"jid":%q,"jobtype":%q,"queue":%q,"args":[1]%s}`, a[0], a[1], a[2], more)
	}
	w["push"] = func(a ...string) string { return "PUSH " + w["job"](a...) + `\r\n` }
	w["many"] = func(a ...string) string { // the given number of jobs, for PUSHB
		var n int
		if _, err := fmt.Sscan(a[0], &n); err != nil {
			panic(err) // a mistake in a script
		}
		all := make([]string, n)
		for i := range all {
			all[i] = w["job"](fmt.Sprintf("job-%06d", i), "Mail", "q")
		}
		return strings.Join(all, ",")
	}
	w["in"] = func(a ...string) string { // the time after the given duration
		d, _ := time.ParseDuration(a[0])
		return time.Now().Add(d).UTC().Format(time.RFC3339Nano)
	}
	return w
}()

// asClient returns the script with which an actor connects as a client; most scripts call it c.
func asClient(name string) string {
	return fmt.Sprintf(`
			faktory.%[1]s expect ^\+HI {"v":2}\r\n
			faktory.%[1]s send HELLO {"v":2,"hostname":"desk","pid":7,"labels":["go"]}\r\n
			faktory.%[1]s expect ^\+OK\r\n`, name)
}

// worker returns the script with which an actor connects as a worker; most scripts call it w.
func worker(name string) string {
	return fmt.Sprintf(`
			faktory.%[1]s expect ^\+HI {"v":2}\r\n
			faktory.%[1]s send HELLO {"v":2,"wid":%[1]q,"hostname":"till","pid":8,"labels":[]}\r\n
			faktory.%[1]s expect ^\+OK\r\n`, name)
}

// TestConformance checks the front against the public description of the protocol,
// clause by clause; docs/faktory-conformance.md lists them.
//
//nolint:funlen // a table of scripts, one for each clause
func TestConformance(t *testing.T) {
	c, w := asClient("c"), worker("w")
	for name, script := range map[string]string{
		"1.1 the server greets, takes HELLO, and END ends": c + `
			faktory.c send END\r\n
			faktory.c expect ^\+OK\r\n
			faktory.c wait`,
		"1.2 before HELLO nothing is taken": `
			faktory.c expect \+HI {"v":2}\r\n
			faktory.c send PUSH {}\r\n
			faktory.c expect ^-ERR say HELLO first\r\n
			faktory.c wait`,
		"1.3 HELLO names version 2": `
			faktory.c expect \+HI {"v":2}\r\n
			faktory.c send HELLO {"v":1}\r\n
			faktory.c expect ^-ERR this server speaks version 2\r\n
			faktory.c wait
			faktory.d expect \+HI {"v":2}\r\n
			faktory.d send HELLO what\r\n
			faktory.d expect ^-ERR HELLO takes a JSON object\r\n
			faktory.d wait`,
		"1.4 commands may be sent ahead, and are answered in order; an unknown one harms nothing": c + `
			faktory.c send DANCE\r\nINFO\r\nTRACK GET nothing-1\r\nEND\r\n
			faktory.c expect ^-ERR unknown command "DANCE"\r\n\$\d+\r\n{.*}\r\n\$-1\r\n\+OK\r\n$
			faktory.c wait`,

		"2.1 PUSH is answered OK and the job is fetched as it was pushed": c + w + `
			faktory.c send PUSH {"jid":"job-000001","jobtype":"Mail","queue":"q","args":[{"a":[1.5,null,"č"]}],"created_at":"2026-07-04T12:00:00Z","backtrace":3,"custom":{"k":"v"},"of_mine":1}\r\n
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect ^\$\d+\r\n{"jid":"job-000001","jobtype":"Mail","queue":"q","args":\[{"a":\[1.5,null,"č"\]}\],"created_at":"2026-07-04T12:00:00Z","backtrace":3,"custom":{"k":"v"},"of_mine":1}\r\n`,
		"2.11 control characters in a job reach the worker as JSON": c + w + `
			faktory.c send PUSH {"jid":"job-000001","jobtype":"Mail","queue":"q","args":["\u0007\u0011 é"],"custom":{"\u0001":1}}\r\nPUSH {"jid":"job 000002","jobtype":"Mail","args":[]}\r\n
			faktory.c expect ^\+OK\r\n-ERR a jid has plain printable characters without spaces\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect ^\$\d+\r\n{"jid":"job-000001","jobtype":"Mail","queue":"q","args":\["\\u0007\\u0011 é"\],"custom":{"\\u0001":1}}\r\n`,
		"2.2 a job has a jid, a jobtype and args": c + `
			faktory.c send PUSH {"jobtype":"Mail","args":[]}\r\nPUSH {"jid":"job-000001","args":[]}\r\nPUSH {"jid":"job-000001","jobtype":"Mail"}\r\nPUSH [1]\r\nPUSH {"jid":"job-000001","jobtype":"Mail","args":[],"queue":"a b"}\r\nPUSH {"jid":"job-000001","jobtype":"Mail","args":[],"retry":"often"}\r\n
			faktory.c expect ^-ERR a jid has at least 8 characters\r\n-ERR a job has a jobtype\r\n-ERR a job has a list of args\r\n-ERR a job is a JSON object\r\n-ERR a queue's name[^\n]*\n-ERR retry is a number\r\n`,
		"2.3 without a queue it is default": c + w + `
			faktory.c send PUSH {"jid":"job-000001","jobtype":"Mail","args":[]}\r\n
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH default\r\n
			faktory.w expect job-000001`,
		"2.4 a job with at waits until then": c + w + `
			faktory.c send @push(job-000001,Mail,q,"at":"@in(1h)")INFO\r\nTRACK GET job-000001\r\n
			faktory.c expect ^\+OK\r\n.*"Scheduled":{"size":1,"enqueued":0}.*"retry_at":"[^"]+","state":"enqueued"
			faktory.c send @push(job-000002,Mail,q,"at":"@in(300ms)")
			faktory.c expect \+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect ^\$\d+\r\n{"jid":"job-000002"
			faktory.c send INFO\r\n
			faktory.c expect "Scheduled":{"size":1,"enqueued":1}`,
		"2.5 at in the past is now, and at that is no time is an error": c + w + `
			faktory.c send @push(job-000001,Mail,q,"at":"@in(-1h)")@push(job-000002,Mail,q,"at":"soon")
			faktory.c expect ^\+OK\r\n-ERR at is no time in RFC 3339\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001`,
		"2.6 PUSHB tells which jobs were not taken": c + w + `
			faktory.c send PUSHB [@job(job-000001,Mail,q),{"jid":"job-000002"},@job(job-000003,Mail,q)]\r\nPUSHB []\r\nPUSHB {}\r\n
			faktory.c expect ^\$\d+\r\n{"job-000002":"a job has a jobtype"}\r\n\$2\r\n{}\r\n-ERR PUSHB takes a list of jobs\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001
			faktory.w send FETCH q\r\n
			faktory.w expect job-000003`,
		"2.7 a jid that waits, runs or has run is taken once": c + w + `
			faktory.c send @push(job-000001,Mail,q)@push(job-000001,Mail,q)
			faktory.c expect ^\+OK\r\n\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.c send @push(job-000001,Mail,q)
			faktory.c expect ^\+OK\r\n
			faktory.w send @ack(job-000001,done)
			faktory.w expect ^\+OK\r\n
			faktory.c send @push(job-000001,Mail,q)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect ^\$-1\r\n`,
		"2.8 a PUSH whose connection breaks before the reply is pushed again, and runs once": c + w + `
			faktory.c send @push(job-000001,Mail,q)
			faktory.c close` + asClient("d") + `
			faktory.d send @push(job-000001,Mail,q)
			faktory.d expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.w send @ack(job-000001,done)FETCH q\r\n
			faktory.w expect ^\+OK\r\n\$-1\r\n`,
		"2.9 what has expired is not run": c + w + `
			faktory.c send @push(job-000001,Mail,q,"custom":{"expires_at":"@in(-1s)"})@push(job-000002,Mail,q,"custom":{"expires_at":"@in(1s)"})@push(job-000003,Mail,q,"custom":{"expires_at":"never"})
			faktory.c expect ^-ERR the job has expired\r\n\+OK\r\n-ERR expires_at is no time in RFC 3339\r\n
			faktory.w send FETCH other\r\n
			faktory.w expect ^\$-1\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect ^\$-1\r\n
			faktory.c send TRACK GET job-000002\r\n
			faktory.c expect "outcome":"refused"`,
		"2.10 what finds no room is refused, with when to come back": c + `
			faktory.c send PUSHB [@many(21)]\r\n
			faktory.c expect ^\$\d+\r\n{"job-000020":"refused, retry-after 1.000"}\r\n
			faktory.c send @push(job-000100,Mail,other)
			faktory.c expect ^\+OK\r\n`,

		"3.1 FETCH without a job is answered null": w + `
			faktory.w send FETCH q\r\nFETCH\r\n
			faktory.w expect ^\$-1\r\n\$-1\r\n`,
		"3.2 the order of queues is their priority": c + w + `
			faktory.c send @push(job-000001,Mail,low)@push(job-000002,Mail,low)@push(job-000003,Mail,high)@push(job-000004,Mail,high)
			faktory.c expect ^(\+OK\r\n){4}
			faktory.w send FETCH high low\r\n
			faktory.w expect job-000003.*}\r\n
			faktory.c send @push(job-000005,Mail,high)
			faktory.c expect \+OK
			faktory.w send @ack(job-000003,done)FETCH high low\r\n@ack(job-000004,done)FETCH high low\r\n@ack(job-000005,done)FETCH low high\r\n
			faktory.w expect job-000004.*job-000005.*job-000001`,
		"3.3 a job goes only to who fetches its queue, and others do not wait for it": c + w + worker("x") + `
			faktory.x send FETCH mine\r\n
			faktory.c send @push(job-000001,Mail,nobodys)@push(job-000002,Mail,nobodys)@push(job-000003,Mail,q)
			faktory.c expect ^(\+OK\r\n){3}
			faktory.w send FETCH q\r\n
			faktory.w expect job-000003
			faktory.x expect ^\$-1\r\n
			faktory.c send INFO\r\n
			faktory.c expect "queues":{"nobodys":2,"q":0}`,
		"3.4 only a worker fetches, acknowledges and beats": c + `
			faktory.c send FETCH q\r\nACK {"jid":"job-000001"}\r\nFAIL {"jid":"job-000001"}\r\nBEAT {"wid":"x"}\r\n
			faktory.c expect ^-ERR only a worker[^\n]*\n-ERR only a worker[^\n]*\n-ERR only a worker[^\n]*\n-ERR only a worker`,
		"3.5 a FETCH that waits gets the next job": c + w + `
			faktory.w send FETCH a b\r\n
			faktory.c send @push(job-000001,Mail,b)
			faktory.c expect ^\+OK\r\n
			faktory.w expect ^\$\d+\r\n{"jid":"job-000001"`,
		"3.6 ACK ends a job, once, also for a jid that is not known": c + w + `
			faktory.c send @push(job-000001,Mail,q)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.w send @ack(job-000001,yes)@ack(job-000001,no)@ack(job-999999,no)INFO\r\nACK {}\r\n
			faktory.w expect ^\+OK\r\n\+OK\r\n\+OK\r\n.*"total_processed":1,"total_failures":0.*-ERR a jid is missing\r\n
			faktory.c send TRACK GET job-000001\r\n
			faktory.c expect "outcome":"served","result":"yes","state":"success"`,
		"3.7 FAIL sends a job to the retries, and it comes again with its failure": c + w + `
			faktory.c send @push(job-000001,Mail,q,"retry":2)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.w send FAIL {"jid":"job-000001","errtype":"Odd","message":"it broke","backtrace":["one","two"]}\r\nFETCH q\r\n
			faktory.w expect ^\+OK\r\n\$\d+\r\n{"jid":"job-000001".*"failure":{"retry_count":0,"remaining":2,"failed_at":"[^"]+","next_at":"[^"]+","message":"it broke","errtype":"Odd","backtrace":\["one","two"\]}}\r\n
			faktory.w send @fail(job-000001)FETCH q\r\n
			faktory.w expect ^\+OK\r\n.*"retry_count":1,"remaining":1,.*}}\r\n
			faktory.w send @fail(job-000001)FETCH q\r\n
			faktory.w expect ^\+OK\r\n\$-1\r\n
			faktory.c send INFO\r\nTRACK GET job-000001\r\n
			faktory.c expect "Retries":{"size":0,"enqueued":2},"Dead":{"size":1.*"total_processed":3,"total_failures":3.*"state":"dead"`,
		"3.8 retry 0 is dead at once, and retry -1 is gone": c + w + `
			faktory.c send @push(job-000001,Mail,q,"retry":0)@push(job-000002,Mail,q,"retry":-1)
			faktory.c expect ^\+OK\r\n\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.w send @fail(job-000001)FETCH q\r\n
			faktory.w expect ^\+OK\r\n.*job-000002.*}\r\n
			faktory.w send @fail(job-000002)FETCH q\r\n
			faktory.w expect ^\+OK\r\n\$-1\r\n
			faktory.c send INFO\r\n
			faktory.c expect "Retries":{"size":0,"enqueued":0},"Dead":{"size":1`,
		"3.9 of ACK and FAIL the first counts": c + w + `
			faktory.c send @push(job-000001,Mail,q)@push(job-000002,Mail,q,"retry":0)
			faktory.c expect ^\+OK\r\n\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.w send @ack(job-000001,yes)@fail(job-000001)FETCH q\r\n
			faktory.w expect ^\+OK\r\n\+OK\r\n.*job-000002.*}\r\n
			faktory.w send @fail(job-000002)@ack(job-000002,no)TRACK GET job-000001\r\nTRACK GET job-000002\r\n
			faktory.w expect ^\+OK\r\n\+OK\r\n.*job-000001.*"state":"success".*job-000002.*"state":"dead"`,
		"3.10 an ACK after the reservation counts nothing for who holds the job now": c + w + worker("x") + `
			faktory.c send @push(job-000001,Mail,q)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect ^((?P<again>\$-1\r\n)|\$\d+\r\n{"jid":"job-000001"[^\n]*}\r\n)
			# x fetches until it holds the job for longer than the test lasts.
			faktory.x send FETCH q\r\nTRACK SET {"jid":"job-000001","reserve_until":"@in(1h)"}\r\n
			faktory.x expect ^(\$-1\r\n|\$\d+\r\n{"jid":"job-000001"[^\n]*}\r\n)(\+OK\r\n|(?P<again>-ERR this worker does not hold the job\r\n))
			faktory.w send @ack(job-000001,late)
			faktory.w expect ^\+OK\r\n
			faktory.x send @ack(job-000001,mine)
			faktory.x expect ^\+OK\r\n
			faktory.c send TRACK GET job-000001\r\n
			faktory.c expect "result":"mine"`,
		"3.11 a worker that reconnects acknowledges what it holds; another one can't": c + w + worker("x") + `
			faktory.c send @push(job-000001,Mail,q)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.x send @ack(job-000001,not mine)INFO\r\n
			faktory.x expect ^\+OK\r\n.*"total_processed":0
			faktory.w close
			faktory.again expect \+HI {"v":2}\r\n
			faktory.again send HELLO {"v":2,"wid":"w"}\r\n@ack(job-000001,mine)INFO\r\n
			faktory.again expect ^\+OK\r\n\+OK\r\n.*"total_processed":1`,
		"3.12 the first of two ACKs on two connections at once counts": c + w + `
			faktory.second expect \+HI {"v":2}\r\n
			faktory.second send HELLO {"v":2,"wid":"w"}\r\n
			faktory.second expect ^\+OK\r\n
			faktory.c send @push(job-000001,Mail,q)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.w send @ack(job-000001,one)
			faktory.second send @ack(job-000001,two)
			faktory.w expect ^\+OK\r\n
			faktory.second expect ^\+OK\r\n
			faktory.second send INFO\r\n
			faktory.second expect "total_processed":1,"total_failures":0`,
		"3.13 a ticket that may have run is not tried again by any road": c + w + `
			faktory.c send @push(job-000001,Ticket,q)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.w send @fail(job-000001)FETCH q\r\n
			faktory.w expect ^\+OK\r\n\$-1\r\n
			faktory.c send MUTATE {"cmd":"requeue","target":"dead","filter":{"jids":["job-000001"]}}\r\nINFO\r\n
			faktory.c expect ^-ERR job job-000001 may have run already, and its class must not run twice\r\n.*"Dead":{"size":1
			faktory.c send MUTATE {"cmd":"requeue","target":"dead","filter":{"jids":["job-000001"]},"known_not_run":"the desk looked"}\r\n
			faktory.c expect \+OK\r\n
			program expect by="the desk looked by a client on desk, pid 7" job=job-000001
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001`,

		"4.1 BEAT is answered OK, and takes rss_kb": w + `
			faktory.w send BEAT {"wid":"w","rss_kb":12345}\r\nBEAT {"wid":"other"}\r\nBEAT {"wid":"w","current_state":"odd"}\r\n
			faktory.w expect ^\+OK\r\n-ERR this connection is worker w\r\n-ERR unknown state\r\n`,
		"4.2 a worker that says quiet is given nothing more, not even by a FETCH that waits": c + w + `
			faktory.second expect \+HI {"v":2}\r\n
			faktory.second send HELLO {"v":2,"wid":"w"}\r\n
			faktory.second expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.second send BEAT {"wid":"w","current_state":"quiet"}\r\n
			faktory.second expect ^\+OK\r\n
			faktory.c send @push(job-000001,Mail,q)
			faktory.c expect ^\+OK\r\n
			faktory.w expect ^\$-1\r\n` + worker("x") + `
			faktory.x send FETCH q\r\n
			faktory.x expect job-000001`,
		"4.3 a server that ends says quiet while a worker holds a job, then terminate": c + w + `
			faktory.c send @push(job-000001,Mail,q)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			program expect serving
			program close
			program expect draining
			faktory.c send @push(job-000002,Mail,q)
			faktory.c expect ^-ERR refused, retry-after 1.000\r\n
			faktory.w send BEAT {"wid":"w"}\r\n
			faktory.w expect ^\$17\r\n{"state":"quiet"}\r\n
			faktory.w send @ack(job-000001,done)BEAT {"wid":"w"}\r\n
			faktory.w expect ^\+OK\r\n\$21\r\n{"state":"terminate"}\r\n
			program wait`,

		"5.1 INFO has the shape that clients decode": c + `
			faktory.c send @push(job-000001,Mail,q)INFO\r\n
			faktory.c expect ^\+OK\r\n\$\d+\r\n{"now":"[^"]+","server_utc_time":"\d\d:\d\d:\d\d UTC","faktory":{"queues":{"q":1},"paused":\[\],"tasks":{"Scheduled":{"size":0,"enqueued":0},"Retries":{"size":0,"enqueued":0},"Dead":{"size":0,"enqueued":0},"Busy":{"size":0}},"total_queues":1,"total_enqueued":1,.*"server":{"description":"basaltloft","faktory_version":"[^"]+","uptime":\d+,"connections":1,.*"command_count":2,"used_memory_mb":\d+}}\r\n`,
		"5.2 FLUSH drops all that waits": c + w + `
			faktory.c send @push(job-000001,Mail,q)@push(job-000002,Mail,q,"at":"@in(1h)")FLUSH\r\nINFO\r\n
			faktory.c expect ^(\+OK\r\n){3}.*"queues":{},.*"Scheduled":{"size":0
			faktory.w send FETCH q\r\n
			faktory.w expect ^\$-1\r\n`,

		"6.1 a paused queue hands out nothing, also to a FETCH that waits, until it is resumed": c + w + `
			faktory.w send FETCH q other\r\n
			faktory.c send QUEUE PAUSE q\r\n@push(job-000001,Mail,q)INFO\r\n
			faktory.c expect ^\+OK\r\n\+OK\r\n.*"queues":{"q":1},"paused":\["q"\]
			faktory.w expect ^\$-1\r\n
			faktory.w send FETCH q other\r\n
			faktory.c send @push(job-000002,Mail,other)
			faktory.c expect \+OK\r\n
			faktory.w expect ^.*"jid":"job-000002".*}\r\n
			faktory.w send FETCH q\r\n
			faktory.c send QUEUE RESUME q\r\n
			faktory.c expect ^\+OK\r\n
			faktory.w expect job-000001`,
		"6.2 * stands for all queues": c + w + `
			faktory.c send @push(job-000001,Mail,a)@push(job-000002,Mail,b)QUEUE PAUSE *\r\nINFO\r\nQUEUE RESUME *\r\nINFO\r\n
			faktory.c expect "paused":\["a","b"\].*"paused":\[\]`,
		"6.3 REMOVE drops a queue with its jobs": c + w + `
			faktory.c send @push(job-000001,Mail,a)@push(job-000002,Mail,b)QUEUE REMOVE a\r\nINFO\r\nTRACK GET job-000001\r\n
			faktory.c expect ^(\+OK\r\n){3}.*"queues":{"b":1}.*"outcome":"failed"
			faktory.w send FETCH a b\r\n
			faktory.w expect job-000002`,
		"6.4 LATENCY tells how long the first job of a queue has waited": c + `
			faktory.c send @push(job-000001,Mail,a)QUEUE LATENCY a none\r\nQUEUE LATENCY *\r\n
			faktory.c expect ^\+OK\r\n\$\d+\r\n{"a":\d[^,]*,"none":0}\r\n\$\d+\r\n{"a":[^}]+}\r\n`,
		"6.5 QUEUE is told what it does not know": c + `
			faktory.c send QUEUE\r\nQUEUE PAUSE\r\nQUEUE DANCE q\r\nQUEUE PAUSE a/b\r\n
			faktory.c expect ^-ERR QUEUE takes[^\n]*\n-ERR QUEUE takes[^\n]*\n-ERR QUEUE takes[^\n]*\n-ERR this is no name of a queue\r\n`,

		"7.1 MUTATE kills, queues again, discards and clears by jids, jobtype and pattern": c + w + `
			faktory.c send PUSHB [@job(job-000001,Mail,q,"at":"@in(1h)"),@job(job-000002,Mail,q,"at":"@in(1h)"),@job(job-000003,Post,q,"at":"@in(1h)"),@job(job-000004,Post,q,"at":"@in(1h)")]\r\n
			faktory.c expect ^\$2\r\n{}\r\n
			faktory.c send MUTATE {"cmd":"kill","target":"scheduled","filter":{"jobtype":"Mail"}}\r\nINFO\r\n
			faktory.c expect ^\+OK\r\n.*"Scheduled":{"size":2.*"Dead":{"size":2
			faktory.c send MUTATE {"cmd":"requeue","target":"scheduled","filter":{"regexp":"*job-000003*"}}\r\nMUTATE {"cmd":"requeue","target":"dead","filter":{"jids":["job-000002"]}}\r\nINFO\r\n
			faktory.c expect \+OK\r\n\+OK\r\n.*"queues":{"q":2}.*"Scheduled":{"size":1.*"Dead":{"size":1
			faktory.c send MUTATE {"cmd":"discard","target":"scheduled","filter":{"jids":["job-000004"]}}\r\nMUTATE {"cmd":"clear","target":"dead"}\r\nINFO\r\n
			faktory.c expect \+OK\r\n\+OK\r\n.*"Scheduled":{"size":0.*"Dead":{"size":0
			faktory.w send FETCH q\r\n
			faktory.w expect job-000003.*}\r\n
			faktory.w send @ack(job-000003,done)FETCH q\r\n
			faktory.w expect job-000002`,
		"7.2 MUTATE is told what it does not know": c + `
			faktory.c send MUTATE what\r\nMUTATE {"cmd":"kill","target":"living"}\r\nMUTATE {"cmd":"dance","target":"dead"}\r\n
			faktory.c expect ^-ERR MUTATE takes a JSON object\r\n-ERR no set is called "living"\r\n-ERR no mutation is called "dance"\r\n`,

		"8.1 TRACK SET tells progress, TRACK GET shows it": c + w + `
			faktory.c send @push(job-000001,Mail,q)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.w send TRACK SET {"jid":"job-000001","percent":40,"desc":"half way"}\r\n
			faktory.w expect ^\+OK\r\n
			faktory.c send TRACK GET job-000001\r\nTRACK SET {"jid":"job-999999"}\r\nTRACK SET {}\r\nTRACK DANCE\r\nTRACK GET job-999999\r\n
			faktory.c expect "percent":40,"desc":"half way","state":"working","updated_at":"[^"]+"}\r\n-ERR no such job\r\n-ERR a jid is missing\r\n-ERR TRACK takes[^\n]*\n\$-1\r\n`,
		"8.2 TRACK SET makes a reservation last longer": c + w + `
			faktory.c send @push(job-000001,Mail,q)
			faktory.c expect ^\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.w send TRACK SET {"jid":"job-000001","reserve_until":"@in(8s)"}\r\nFETCH q\r\n
			faktory.w expect ^\+OK\r\n\$-1\r\n
			faktory.w send @ack(job-000001,still mine)INFO\r\n
			faktory.w expect ^\+OK\r\n.*"total_processed":1,"total_failures":0
			faktory.c send TRACK SET {"jid":"job-000001","reserve_until":"@in(8s)"}\r\nTRACK GET job-000001\r\n
			faktory.c expect ^-ERR this worker does not hold the job\r\n.*"result":"still mine"`,

		"9.1 a batch calls back once all its jobs have run, and once all have succeeded": c + w + `
			faktory.c send BATCH NEW {"description":"coach","complete":@job(call-back-c,Mail,cb),"success":@job(call-back-s,Mail,cb)}\r\n
			faktory.c expect ^\+(?P<bid>b-\w+)\r\n
			faktory.c send @push(job-000001,Mail,q,"custom":{"bid":"$bid"})@push(job-000002,Mail,q,"custom":{"bid":"$bid"})BATCH COMMIT $bid\r\nBATCH STATUS $bid\r\n
			faktory.c expect ^\+OK\r\n\+OK\r\n\+OK\r\n\$\d+\r\n{"bid":"$bid","parent_bid":"","description":"coach","created_at":"[^"]+","total":2,"pending":2,"failed":0,"complete_st":"","success_st":""}\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.w send @ack(job-000001,done)FETCH q\r\n
			faktory.w expect ^\+OK\r\n.*job-000002.*}\r\n
			faktory.w send @fail(job-000002)FETCH cb\r\n
			faktory.w expect ^\+OK\r\n.*"jid":"call-back-c".*"custom":{"_bid":"$bid","_cb":"complete"}}\r\n
			faktory.c send BATCH STATUS $bid\r\n
			faktory.c expect "total":2,"pending":1,"failed":1,"complete_st":"1","success_st":""}
			faktory.w send @ack(call-back-c,done)FETCH q\r\n
			faktory.w expect ^\+OK\r\n.*job-000002.*}\r\n
			faktory.w send @ack(job-000002,done)FETCH cb\r\n
			faktory.w expect ^\+OK\r\n.*"jid":"call-back-s".*"custom":{"_bid":"$bid","_cb":"success"}}\r\n
			faktory.w send @ack(call-back-s,done)FETCH cb\r\n
			faktory.w expect ^\+OK\r\n\$-1\r\n
			faktory.c send BATCH STATUS $bid\r\n
			faktory.c expect -ERR batch $bid: no such batch\r\n`,
		"9.2 a batch without jobs calls back when it is committed": c + w + `
			faktory.c send BATCH NEW {"success":{"jobtype":"Mail","queue":"cb","args":[]}}\r\n
			faktory.c expect ^\+(?P<bid>b-\w+)\r\n
			faktory.c send BATCH COMMIT $bid\r\nBATCH COMMIT $bid\r\n
			faktory.c expect ^\+OK\r\n-ERR batch $bid: the batch has been committed\r\n
			faktory.w send FETCH cb\r\n
			faktory.w expect "_cb":"success"`,
		"9.3 a committed batch takes no more jobs until it is opened": c + w + `
			faktory.c send BATCH NEW {"success":@job(call-back-s,Mail,cb)}\r\n
			faktory.c expect ^\+(?P<bid>b-\w+)\r\n
			faktory.c send @push(job-000001,Mail,q,"custom":{"bid":"$bid"})BATCH COMMIT $bid\r\n@push(job-000002,Mail,q,"custom":{"bid":"$bid"})BATCH OPEN $bid\r\n@push(job-000002,Mail,q,"custom":{"bid":"$bid"})BATCH STATUS $bid\r\n
			faktory.c expect ^\+OK\r\n\+OK\r\n-ERR batch $bid: the batch has been committed\r\n\+$bid\r\n\+OK\r\n.*"total":2,"pending":2`,
		"9.4 a parent waits for its children": c + w + `
			faktory.c send BATCH NEW {"description":"parent","success":@job(parents-s,Mail,cb)}\r\n
			faktory.c expect ^\+(?P<parent>b-\w+)\r\n
			faktory.c send BATCH NEW {"parent_bid":"$parent","success":@job(childs-s,Mail,cb)}\r\n
			faktory.c expect ^\+(?P<child>b-\w+)\r\n
			faktory.c send @push(job-000001,Mail,q,"custom":{"bid":"$child"})BATCH COMMIT $parent\r\nBATCH COMMIT $child\r\n
			faktory.c expect ^(\+OK\r\n){3}
			faktory.w send FETCH cb\r\n
			faktory.w expect ^\$-1\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.w send @ack(job-000001,done)FETCH cb\r\n
			faktory.w expect ^\+OK\r\n.*"childs-s".*}\r\n
			faktory.w send @ack(childs-s,done)FETCH cb\r\n
			faktory.w expect ^\+OK\r\n.*"parents-s"`,
		"9.5 BATCH is told what it does not know": c + `
			faktory.c send BATCH NEW {}\r\nBATCH NEW what\r\nBATCH NEW {"success":{"args":1}}\r\nBATCH OPEN b-1\r\nBATCH DANCE\r\n@push(job-000001,Mail,q,"custom":{"bid":"b-1"})
			faktory.c expect ^-ERR a batch has a[^\n]*\n-ERR BATCH NEW takes a JSON object\r\n-ERR success: a job has a jobtype\r\n-ERR batch b-1: no such batch\r\n-ERR BATCH takes[^\n]*\n-ERR batch b-1: no such batch\r\n`,

		"10.1 a unique job is taken once until it succeeds": c + w + `
			faktory.c send @push(job-000001,Mail,q,"custom":{"unique_for":60})@push(job-000002,Mail,q,"custom":{"unique_for":60})@push(job-000003,Post,q,"custom":{"unique_for":60})
			faktory.c expect ^\+OK\r\n-NOTUNIQUE Job not unique\r\n\+OK\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.c send @push(job-000002,Mail,q,"custom":{"unique_for":60})
			faktory.c expect ^-NOTUNIQUE
			faktory.w send @ack(job-000001,done)FETCH q\r\n
			faktory.w expect ^\+OK\r\n.*job-000003
			faktory.c send @push(job-000002,Mail,q,"custom":{"unique_for":60})PUSHB [@job(job-000004,Mail,q,"custom":{"unique_for":60})]\r\n
			faktory.c expect \+OK\r\n.*{"job-000004":"NOTUNIQUE Job not unique"}`,
		"10.2 unique until its start": c + w + `
			faktory.c send @push(job-000001,Mail,q,"custom":{"unique_for":60;"unique_until":"start"})@push(job-000002,Mail,q,"custom":{"unique_for":60;"unique_until":"start"})@push(job-000003,Mail,q,"custom":{"unique_for":60;"unique_until":"noon"})
			faktory.c expect ^\+OK\r\n-NOTUNIQUE Job not unique\r\n-ERR custom.unique_until is start or success\r\n
			faktory.w send FETCH q\r\n
			faktory.w expect job-000001.*}\r\n
			faktory.c send @push(job-000002,Mail,q,"custom":{"unique_for":60;"unique_until":"start"})
			faktory.c expect ^\+OK\r\n`,
		"10.3 a lock ends with its time": c + `
			faktory.c send @push(job-000001,Mail,q,"custom":{"unique_for":0.05})QUEUE PAUSE nothing\r\n
			faktory.c expect ^\+OK\r\n\+OK\r\n` + w + `
			faktory.w send FETCH nothing\r\n
			faktory.w expect ^\$-1\r\n
			faktory.c send @push(job-000002,Mail,q,"custom":{"unique_for":0.05})
			faktory.c expect ^\+OK\r\n`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario.RunScript(t, scenario.Start(t, 0, conformanceSettings), conformanceFunctions, script)
		})
	}
}
