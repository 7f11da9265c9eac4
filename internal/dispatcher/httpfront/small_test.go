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

// crowd is so many idle clients of a kind: s say nothing, h have begun a request, and
// k keep their connection after a health check. Each is opened by its first step.
func crowd(kind string, from, to int) string {
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

// down plays a discovery that is down, each call to which ends without an answer, until
// back is closed. It then has a list, and closes heard once it is asked for what follows.
func down(open func() (scenario.Conn, error), list func() string, back <-chan struct{}, heard chan<- struct{}) {
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
					_, _ = in.ReadByte() // nothing new: until the call is given up
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list()), list())
			}
		}()
	}
}

// TestCrowdedWhileDiscoveryIsDown: idle clients of each kind, twice as many as there
// are places, fill the descriptors while discovery is down. The ready check, a
// job, its member and its callback get theirs without waiting for the crowd; discovery,
// once it is back, is called and heard. The system holds the program to the
// descriptors that it is told of. In lists both pushed and asked for.
func TestCrowdedWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 256
	for _, c := range []struct {
		kind   string
		pushed bool
	}{{"s", true}, {"h", true}, {"k", true}, {"s", false}, {"h", false}, {"k", false}} {
		kind := c.kind
		t.Run(fmt.Sprintf("%s, pushed %t", kind, c.pushed), func(t *testing.T) {
			t.Parallel()
			cast := scenario.StartConstrained(t, 1, 192, sockets, c.pushed)
			addr, open := scenario.Listen(t)
			cast["r2"] = open
			back, heard := make(chan struct{}), make(chan struct{})
			go down(cast["discovery"], func() string {
				return fmt.Sprintf(`{"generation":50,"reset":true,"instances":[{"instanceId":"s-r2","hostPort":%q,"zone":"hall","machineType":"std","cell":0,"lifecycle":"active","weight":1,"startedAtMs":0}]}`, addr)
			}, back, heard)
			var began time.Time
			own := scenario.Functions{
				"begin": func(...string) string { began = time.Now(); return "" },
				"done": func(...string) string { // on a loaded machine too
					require.Less(t, time.Since(began), 5*time.Second)
					return ""
				},
				"back": func(...string) string {
					began = time.Now()
					close(back)
					<-heard
					if c.pushed { // where it is asked the policy sets the pace
						require.Less(t, time.Since(began), 5*time.Second)
					}
					return ""
				},
			}
			for name, word := range words {
				own[name] = word
			}
			scenario.RunScript(t, cast, own, `
				program expect msg=serving
				`+crowd(kind, 0, sockets)+`
				client.ready send @begin()@get(/health/ready)
				client.ready expect 200 OK
				client.job send @job(group-ticket,t-1,20)
				r1 expect X-Call-Id: t-1.*body
				r1 send @answer(202)
				client.back send @news(t-1,s-r1,done,one)
				client.back expect 204
				client.job expect 200 OK.*one$
				client.job send @done()
				`+crowd(kind, sockets, 2*sockets)+`
				# by a step of its own: a client that connects and says nothing for 2 s is closed
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

// TestBodiesAreBounded: clients that send all but a body's last byte hold no more memory
// than there is. Each is answered, and callbacks and the ready check get in meanwhile.
func TestBodiesAreBounded(t *testing.T) {
	const clients, sockets, memory = 120, 256, 32
	head := `POST /send-notice HTTP/1.1\r\nHost: a\r\nX-Call-Id: b-%d\r\nX-Budget: 0.5\r\nX-Call-Cost: 1000\r\nContent-Length: 65536\r\n\r\n@most()`
	var first, rest strings.Builder
	for n := range clients {
		fmt.Fprintf(&first, "client.c%d send "+head+"\n", n, n)
		fmt.Fprintf(&rest, "client.c%d expect ^HTTP/1.1 (503|400) \n", n) // no room, or no last byte
	}
	cast := scenario.StartConstrained(t, 0, memory, sockets, false)
	var pid string
	cast["program"] = watched(cast["program"], &pid)
	own := scenario.Functions{
		"most": func(...string) string { return strings.Repeat("x", 65535) },
		"held": func(...string) string {
			if !scenario.RaceEnabled {
				require.Less(t, anonymous(t, pid), (memory-16)<<10) // 16 are the program's text
			}
			return ""
		},
	}
	for name, word := range words {
		own[name] = word
	}
	scenario.RunScript(t, cast, own, `
		program expect msg=serving
		`+first.String()+`
		client.back send @held()@news(none,s-r1,started)
		client.back expect 204
		`+rest.String()+`
		client.end send @held()@get(/health/ready)
		client.end expect 200 OK`)
}

// watched notes the process id of a program as it starts.
func watched(open func() (scenario.Conn, error), pid *string) func() (scenario.Conn, error) {
	return func() (scenario.Conn, error) {
		end, err := open()
		if p, ok := end.(interface{ PID() int }); ok {
			*pid = strconv.Itoa(p.PID())
		}
		return end, err
	}
}

var anon = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// anonymous is what a process holds of memory beside its files, in KiB.
func anonymous(t *testing.T, pid string) int {
	text, err := os.ReadFile("/proc/" + pid + "/status")
	require.NoError(t, err)
	found := anon.FindSubmatch(text)
	require.NotNil(t, found)
	kb, err := strconv.Atoi(string(found[1]))
	require.NoError(t, err)
	return kb
}
