package httpfront_test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// idleClients returns the steps of idle clients of a kind, numbered from from to to-1: "s" sends nothing, "h" has
// begun a request, and "k" keeps its connection after a health check. The first step of each connects.
func idleClients(kind string, from, to int) string {
	var steps strings.Builder
	for n := from; n < to; n++ {
		switch kind {
		case "s":
			fmt.Fprintf(&steps, "client.s%d send\n", n)
		case "h":
			fmt.Fprintf(&steps, "client.h%d send POST /place-hold HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 9\\r\\n\\r\\nhal\n", n)
		case "k":
			fmt.Fprintf(&steps, "client.k%d send @get(/health/live)\nclient.k%[1]d expect 200 OK\n", n)
		}
	}
	return steps.String()
}

// serveDiscovery simulates a discovery service that is down until back is closed: it closes each connection without
// an answer. Afterwards it serves a list, and closes heard once it is asked for changes after that list.
func serveDiscovery(open func() (scenario.Conn, error), list func() string, back <-chan struct{}, heard chan<- struct{}) {
	var once sync.Once
	for {
		c, err := open()
		if err != nil {
			return // the test is over
		}
		select {
		case <-back:
		default:
			_ = c.Close()
			continue
		}
		go func() {
			defer func() { _ = c.Close() }()
			in := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if r.URL.Query().Get("index") == "50" {
					once.Do(func() { close(heard) })
					_, _ = in.ReadByte() // no change: wait until the caller gives up
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list()), list())
			}
		}()
	}
}

// TestIdleClientsWhileDiscoveryIsDown checks that idle clients of each kind, twice as many as there are sockets,
// can't use up the descriptors while discovery is down. The ready check, a job, the connection to its member and
// its callback must not wait for the idle clients, and discovery is called again once it is back. The system
// limits the program to the descriptors that are configured. Discovery lists are both pushed and polled.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 256
	for _, c := range []struct {
		kind   string
		pushed bool
	}{{"s", true}, {"h", true}, {"k", true}, {"s", false}, {"h", false}, {"k", false}} {
		kind := c.kind
		t.Run(fmt.Sprintf("%s, pushed %t", kind, c.pushed), func(t *testing.T) {
			t.Parallel()
			peers := scenario.StartConstrained(t, 1, 192, sockets, c.pushed)
			addr, open := scenario.Listen(t)
			peers["r2"] = open
			back, heard := make(chan struct{}), make(chan struct{})
			go serveDiscovery(peers["discovery"], func() string {
				return fmt.Sprintf(`{"generation":50,"reset":true,"instances":[{"instanceId":"s-r2","hostPort":%q,"zone":"hall","machineType":"std","cell":0,"lifecycle":"active","weight":1,"startedAtMs":0}]}`, addr)
			}, back, heard)
			var began time.Time
			own := scenario.Functions{
				"begin": func(...string) string { began = time.Now(); return "" },
				"done": func(...string) string { // holds on a loaded machine too
					require.Less(t, time.Since(began), 5*time.Second)
					return ""
				},
				"back": func(...string) string {
					began = time.Now()
					close(back)
					<-heard
					if c.pushed { // when polling, the policy determines the delay
						require.Less(t, time.Since(began), 5*time.Second)
					}
					return ""
				},
			}
			for name, function := range scriptFunctions {
				own[name] = function
			}
			scenario.RunScript(t, peers, own, `
				program expect msg=serving
				`+idleClients(kind, 0, sockets)+`
				client.ready send @begin()@get(/health/ready)
				client.ready expect 200 OK
				client.job send @job(group-ticket,t-1,20)
				r1 expect X-Call-Id: t-1.*body
				r1 send @answer(202)
				client.back send @news(t-1,s-r1,done,one)
				client.back expect 204
				client.job expect 200 OK.*one$
				client.job send @done()
				`+idleClients(kind, sockets, 2*sockets)+`
				# in a step of its own: a client that connects and sends nothing for 2 s is disconnected
				client.job send @back()
				client.late send @job(group-ticket,t-2,20)
				r2 expect X-Call-Id: t-2.*body
				r2 send @answer(202)
				client.again send @news(t-2,s-r2,done,two)
				client.again expect 204
				client.late expect 200 OK.*two$`)
		})
	}
}

// TestBodiesAreBounded checks that clients that send all but the last byte of a body can't use more memory than
// configured. Each is answered, and callbacks and the ready check are served meanwhile.
func TestBodiesAreBounded(t *testing.T) {
	const clients, sockets, memory = 120, 256, 32
	head := `POST /send-notice HTTP/1.1\r\nHost: a\r\nX-Call-Id: b-%d\r\nX-Budget: 0.5\r\nX-Call-Cost: 1000\r\nContent-Length: 65536\r\n\r\n@most()`
	var first, rest strings.Builder
	for n := range clients {
		fmt.Fprintf(&first, "client.c%d send "+head+"\n", n, n)
		fmt.Fprintf(&rest, "client.c%d expect ^HTTP/1.1 (503|400) \n", n) // no memory for the body, or the last byte is missing
	}
	peers := scenario.StartConstrained(t, 0, memory, sockets, false)
	var pid string
	peers["program"] = recordPID(peers["program"], &pid)
	own := scenario.Functions{
		"most": func(...string) string { return strings.Repeat("x", 65535) },
		"held": func(...string) string {
			if !scenario.RaceEnabled {
				require.Less(t, anonymousKiB(t, pid), (memory-16)<<10) // 16 MiB are the program's code
			}
			return ""
		},
	}
	for name, function := range scriptFunctions {
		own[name] = function
	}
	scenario.RunScript(t, peers, own, `
		program expect msg=serving
		`+first.String()+`
		client.back send @held()@news(none,s-r1,started)
		client.back expect 204
		`+rest.String()+`
		client.end send @held()@get(/health/ready)
		client.end expect 200 OK`)
}

// recordPID wraps open so that it stores the process id of the program in pid.
func recordPID(open func() (scenario.Conn, error), pid *string) func() (scenario.Conn, error) {
	return func() (scenario.Conn, error) {
		end, err := open()
		if p, ok := end.(interface{ PID() int }); ok {
			*pid = strconv.Itoa(p.PID())
		}
		return end, err
	}
}

var rssAnon = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// anonymousKiB returns the anonymous memory of a process in KiB, which excludes memory mapped from files.
func anonymousKiB(t *testing.T, pid string) int {
	text, err := os.ReadFile("/proc/" + pid + "/status")
	require.NoError(t, err)
	found := rssAnon.FindSubmatch(text)
	require.NotNil(t, found)
	kb, err := strconv.Atoi(string(found[1]))
	require.NoError(t, err)
	return kb
}
