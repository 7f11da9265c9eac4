package faktory_test

import (
	"testing"

	"basaltloft/internal/dispatcher/scenario"
)

// TestAccounting: the HTTP front and the Faktory front count their jobs together, also when one job
// reaches both.
func TestAccounting(t *testing.T) {
	client := login("faktory.c", "")
	const metrics = `
			figures.NAME send GET /audit HTTP/1.1\r\nHost: a\r\n\r\nGET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n
			figures.NAME expect "differences":\[\].*200 OK
			`
	for name, script := range map[string]string{
		// The first attempt was answered; the retry has the same key and another id, and
		// comes through the other front.
		"a retry after the answer counts with its first request": `
			client send POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nX-Caller: a\r\nX-Budget: 9\r\nIdempotency-Key: key-00001\r\nContent-Length: 0\r\n\r\n
			r1 expect X-Call-Id: h-1
			client.back send @news(h-1,done,r1)
			client expect 200 OK.*paid$
			` + client + `
			faktory.c send @push(key-00001,Hold,holds)
			faktory.c expect ^\+OK\r\n
			r1.two expect X-Call-Id: key-00001
			client.back send @news(key-00001,done,r1)
			client.back expect 204.*204` + metrics + `
			figures.NAME expect basaltloft_asks_standing{outcome="served"} 1\n.*basaltloft_asks_total 1\n.*basaltloft_retries_total{kind="known"} 1\n`,
		"an id in use on one front is denied on the other": client + `
			client send @job(group-ticket,job-0001,20)
			r1 expect X-Call-Id: job-0001
			faktory.c send @push(job-0001,Sell,tickets)
			faktory.c expect ^-ERR the job failed: this id is in hand already\r\n
			client.back send @news(job-0001,done,r1)
			client expect 200 OK.*paid$` + metrics + `
			figures.NAME expect jobs_ended_total{class="group-ticket",front="faktory",group="-",outcome="failed",reason="id in hand",tenant="hrad-orlie"} 1\n
			figures.NAME expect jobs_ended_total{class="group-ticket",front="http",group="cell 0",outcome="served",reason="answered",tenant=""} 1\n`,
		"a client that leaves, and a call-back for its ended flow": `
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1
			client close
			r1 wait
			client.back send @news(t-1,done,r1)
			client.back expect 204
			client.back send @news(t-1,done,r1)
			client.back expect 204` + metrics + `
			figures.NAME expect jobs_ended_total{class="group-ticket",front="http",group="cell 0",outcome="failed",reason="client left",tenant=""} 1\n
			figures.NAME expect basaltloft_jobs_open{class="group-ticket",front="http",group="cell 0",tenant=""} 0\n`,
		"a member answers 400": `
			client send @job(group-ticket,t-1,20)
			r1 expect X-Call-Id: t-1
			r1 send HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n
			client expect ^HTTP/1.1 400` + metrics + `
			figures.NAME expect reason="bad request",tenant=""} 1\n`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario.RunScript(t, scenario.Start(t, 1, operatorSettings), scriptFunctions, script)
		})
	}
}
