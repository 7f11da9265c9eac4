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

// runCounts counts how often each job was run, by all workers and pool members together.
type runCounts struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounts) run(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	return len(c.runs)
}

// serveMember serves a connection to an HTTP pool member that now and then rejects a job or breaks
// the connection after having run it, and reports each job's end twice.
func serveMember(peers scenario.Peers, name string, c scenario.Conn, counts *runCounts) {
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
		n := counts.run(id)
		if n%7 == 0 {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
		back, err := peers["client"]()
		if err != nil {
			return
		}
		for _, state := range []string{"started", "done", "done"} {
			_, _ = io.WriteString(back, strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(scriptFunctions["news"](id, state, name)))
		}
		_, _ = io.ReadAll(io.LimitReader(back, int64(3*len("HTTP/1.1 204 No Content\r\n"))))
		_ = back.Close()
	}
}

var jid = regexp.MustCompile(`"jid":"([^"]+)"`)

// runWorker runs a Faktory worker that acknowledges twice, fails some jobs, and now
// and then loses its connection between a job and its acknowledgement.
func runWorker(peers scenario.Peers, wid string, counts *runCounts) {
	plain := strings.NewReplacer(`\r`, "\r", `\n`, "\n")
	for ack := ""; ; {
		c, err := peers["faktory"]()
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
		send := func(text string) string {
			_, _ = io.WriteString(c, plain.Replace(text))
			line, _ := in.ReadString('\n')
			return line
		}
		send(scriptFunctions["hello"](wid, scriptFunctions["hash"](salt[1])))
		for lost := false; !lost; {
			if ack != "" {
				send(ack)
				send(ack)
				ack = ""
			}
			if reply := send(`FETCH tickets default place-hold\r\n`); !strings.HasPrefix(reply, "$") || strings.HasPrefix(reply, "$-1") {
				lost = reply == ""
				continue
			}
			job, _ := in.ReadString('\n')
			id := jid.FindStringSubmatch(job)[1]
			n := counts.run(id)
			if ack = scriptFunctions["ack"](id, "paid"); n%5 == 0 {
				ack = scriptFunctions["fail"](id)
			}
			lost = n%4 == 0
		}
		_ = c.Close()
	}
}

// TestMixed sends jobs through both fronts at once to HTTP pool members and Faktory workers: every
// job ends once, and no ticket is run twice.
func TestMixed(t *testing.T) {
	const each = 30
	peers, counts := scenario.Start(t, 2, operatorSettings), &runCounts{runs: make(map[string]int)}
	for _, name := range []string{"r1", "r2"} {
		go func() {
			for c, err := peers[name](); err == nil; c, err = peers[name]() {
				go serveMember(peers, name, c, counts)
			}
		}()
	}
	for _, wid := range []string{"w1", "w2"} {
		go runWorker(peers, wid, counts)
	}
	t.Run("jobs", func(t *testing.T) {
		for n := range each {
			class := []string{"group-ticket", "place-hold"}[n%2]
			t.Run(fmt.Sprint("http", n), func(t *testing.T) {
				t.Parallel()
				scenario.RunScript(t, peers, scriptFunctions, fmt.Sprintf(`
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
			scenario.RunScript(t, peers, scriptFunctions, script)
		})
	})
	// The program ends by itself once every accepted job has its answer, and logs how many answers
	// of each kind there were.
	end, err := peers["program"]()
	require.NoError(t, err)
	require.NoError(t, end.Close())
	log, err := io.ReadAll(end)
	require.NoError(t, err)
	require.NoError(t, end.(interface{ Wait() error }).Wait())
	answers := make(map[string]int)
	for _, m := range regexp.MustCompile(` (taken|served|refused|failed|denied)=(\d+)`).FindAllStringSubmatch(string(log), -1) {
		answers[m[1]], _ = strconv.Atoi(m[2])
	}
	// A job that the front had accepted with +OK and the engine refused is submitted again, and is
	// counted again: how many are depends on which workers and members were busy at the time.
	ended := answers["served"] + answers["failed"] + answers["denied"]
	require.Equal(t, answers["taken"], ended+answers["refused"], "%s", log)
	require.GreaterOrEqual(t, answers["taken"], 2*each, "%s", log)
	require.LessOrEqual(t, ended, 2*each, "%s", log)
	counts.mu.Lock()
	defer counts.mu.Unlock()
	require.NotEmpty(t, counts.runs)
	for id, n := range counts.runs {
		ticket := strings.HasPrefix(id, "h-") && (id[len(id)-1]-'0')%2 == 0 || strings.HasPrefix(id, "job-") && (id[len(id)-1]-'0')%2 == 0
		if ticket {
			require.Equal(t, 1, n, "%s was run more than once", id)
		}
	}
}
