package faktory_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"basaltloft/internal/dispatcher/scenario"

	"github.com/stretchr/testify/require"
)

// till counts how often each job was run, by whoever ran it.
type till struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *till) run(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	return len(c.runs)
}

// serveMember is an HTTP pool member that now and then rejects a job,
// breaks the connection after having run it, or reports its end twice.
func serveMember(cast scenario.Peers, name string, c scenario.Conn, paid *till) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // a broken connection shows at the next request
		id := r.Header.Get("X-Call-Id")
		if r.Method != http.MethodPost {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if strings.HasSuffix(id, "3") {
			_, _ = io.WriteString(c, "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		n := paid.run(id)
		if n%7 == 0 {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
		back, err := cast["client"]()
		if err != nil {
			return
		}
		for _, state := range []string{"started", "done", "done"} {
			_, _ = io.WriteString(back, strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(words["news"](id, state, name)))
		}
		_, _ = io.ReadAll(io.LimitReader(back, int64(3*len("HTTP/1.1 204 No Content\r\n"))))
		_ = back.Close()
	}
}

var jid = regexp.MustCompile(`"jid":"([^"]+)"`)

// work is a Faktory worker that acknowledges twice, fails some jobs, and now
// and then loses its connection between a job and its acknowledgement.
func work(cast scenario.Peers, wid string, paid *till) {
	plain := strings.NewReplacer(`\r`, "\r", `\n`, "\n")
	for ack := ""; ; {
		c, err := cast["faktory"]()
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		greeting, _ := in.ReadString('\n')
		salt := regexp.MustCompile(`"s":"(\w+)"`).FindStringSubmatch(greeting)
		if salt == nil {
			_ = c.Close()
			return
		}
		say := func(text string) string {
			_, _ = io.WriteString(c, plain.Replace(text))
			line, _ := in.ReadString('\n')
			return line
		}
		say(words["hello"](wid, words["hash"](salt[1])))
		for lost := false; !lost; {
			if ack != "" {
				say(ack)
				say(ack)
				ack = ""
			}
			if reply := say(`FETCH tickets default place-hold\r\n`); !strings.HasPrefix(reply, "$") || strings.HasPrefix(reply, "$-1") {
				lost = reply == ""
				continue
			}
			job, _ := in.ReadString('\n')
			id := jid.FindStringSubmatch(job)[1]
			n := paid.run(id)
			if ack = words["ack"](id, "paid"); n%5 == 0 {
				ack = words["fail"](id)
			}
			lost = n%4 == 0
		}
		_ = c.Close()
	}
}

// TestMixed sends a bounded number of jobs by both wires at once to members of
// both: every job ends once, and no ticket is run twice.
func TestMixed(t *testing.T) {
	const each = 30
	cast, paid := scenario.Start(t, 2, operator), &till{runs: make(map[string]int)}
	for _, name := range []string{"r1", "r2"} {
		go func() {
			for c, err := cast[name](); err == nil; c, err = cast[name]() {
				go serveMember(cast, name, c, paid)
			}
		}()
	}
	for _, wid := range []string{"w1", "w2"} {
		go work(cast, wid, paid)
	}
	t.Run("jobs", func(t *testing.T) {
		for n := range each {
			class := []string{"group-ticket", "place-hold"}[n%2]
			t.Run(fmt.Sprint("http", n), func(t *testing.T) {
				t.Parallel()
				scenario.RunScript(t, cast, words, fmt.Sprintf(`
					client send @job(%s,h-%02d,%d)
					client expect ^HTTP/1.1 (200|502|503)[^\n]*\n.*\r\n\r\n`, class, n, 25-15*(n%2)))
			})
		}
		t.Run("faktory", func(t *testing.T) {
			t.Parallel()
			script := login("faktory.c", "")
			for n := range each {
				script += fmt.Sprintf(`
					faktory.c send @push(job-00%02d,%s,tickets)
					faktory.c expect ^(\+OK|-ERR refused, retry-after \d\.\d+)\r\n`, n, []string{"Sell", "Hold"}[n%2])
			}
			scenario.RunScript(t, cast, words, script)
		})
	})
	// The program ends by itself once everything taken has its answer; it has
	// booked one for each job.
	end, err := cast["program"]()
	require.NoError(t, err)
	require.NoError(t, end.Close())
	log, err := io.ReadAll(end)
	require.NoError(t, err)
	require.NoError(t, end.(interface{ Wait() error }).Wait())
	booked := make(map[string]int)
	for _, m := range regexp.MustCompile(` (taken|served|refused|failed|denied)=(\d+)`).FindAllStringSubmatch(string(log), -1) {
		booked[m[1]], _ = strconv.Atoi(m[2])
	}
	// A job that the front had taken with +OK and the engine refused comes back
	// by itself, and is booked anew: how many do depends on what was busy just then.
	ended := booked["served"] + booked["failed"] + booked["denied"]
	require.Equal(t, booked["taken"], ended+booked["refused"], "%s", log)
	require.GreaterOrEqual(t, booked["taken"], 2*each, "%s", log)
	require.LessOrEqual(t, ended, 2*each, "%s", log)
	paid.mu.Lock()
	defer paid.mu.Unlock()
	require.NotEmpty(t, paid.runs)
	for id, n := range paid.runs {
		ticket := strings.HasPrefix(id, "h-") && (id[len(id)-1]-'0')%2 == 0 || strings.HasPrefix(id, "job-") && (id[len(id)-1]-'0')%2 == 0
		if ticket {
			require.Equal(t, 1, n, "%s was run more than once", id)
		}
	}
}
