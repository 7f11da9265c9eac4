package server_test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/scenario"
	"basaltloft/internal/dispatcher/server"

	"github.com/stretchr/testify/require"
)

const served = `
			client send POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nX-Budget: 9\r\nContent-Length: 0\r\n\r\n
			r1 expect X-Call-Id: h-1
			r1 send HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n
			client.back send POST /_jobs/news HTTP/1.1\r\nHost: app\r\nContent-Length: 41\r\n\r\n{"id":"h-1","from":"s-r1","state":"done"}
			client.back expect 204
			client expect ^HTTP/1.1 200 OK`

func operator(folder string) string {
	return fmt.Sprintf(`{"agent_check":{"listen":"AGENT"},"figures":{"listen":"FIGURES","journal":{"folder":%q}}}`, folder)
}

// TestFailingFolder: a folder that can't be used is complained of, in the log,
// on the agent check and in the figures, and no job waits for it.
func TestFailingFolder(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	scenario.RunScript(t, scenario.Start(t, 1, operator(filepath.Join(file, "figures"))), nil, `
			program expect level=error msg="the journal of figures is off
			program expect serving`+served+`
			agent expect ^ready up \d+% #the journal of figures has stopped\n$
			program close
			program wait`)
}

// TestSegmentOfTheFuture: a folder of a newer program is left as it is.
func TestSegmentOfTheFuture(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile(filepath.Join("testdata", "newer.seg"))
	require.NoError(t, err)
	name := filepath.Join(dir, "00000009-00000001.seg")
	require.NoError(t, os.WriteFile(name, text, 0o600))
	scenario.RunScript(t, scenario.Start(t, 1, operator(dir)), nil, `
			program expect level=error msg="the journal of figures is off[^\n]*version 3: written by a newer version of the program
			program expect serving`+served+`
			program close
			program wait`)
	after, err := os.ReadFile(name)
	require.NoError(t, err)
	require.Equal(t, text, after)
}

// TestFirstMoment: what the agent has counts as told from a process's first moment, so
// nothing is served before its list is in hand, however old the one in the file. An
// agent that is silent, as while discovery is down, is not waited for for long.
func TestFirstMoment(t *testing.T) {
	const list = `{"generation":44,"reset":false,"instances":[{"instanceId":"s-r1","hostPort":"127.0.0.1:9","lifecycle":"leaving"}]}`
	for name, script := range map[string]string{
		"in hand": fmt.Sprintf(`
			discovery expect ^GET /registry/instances HTTP
			discovery send HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s
			program expect listed as draining.*msg=serving
			discovery expect GET /registry/instances\?index=44&wait=1000 HTTP`, len(list), list),
		"silent": `
			discovery expect ^GET /registry/instances HTTP
			program expect msg=serving` + served,
	} {
		t.Run(name, func(t *testing.T) { scenario.RunScript(t, scenario.StartWithAgent(t, 1), nil, script) })
	}
}

// TestEndBeforeServing: a signal that comes before anything is served ends the program
// in order: while it reads its configuration, after which it may have come to serving
// before the signal has reached it, and at once while it waits for its agent.
func TestEndBeforeServing(t *testing.T) {
	t.Run("at its configuration", func(t *testing.T) {
		binary, err := scenario.Build()
		require.NoError(t, err)
		config := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, syscall.Mkfifo(config, 0o600))
		end, err := scenario.StartProcess(t, binary, config, "127.0.0.1:1")()
		require.NoError(t, err)
		text, err := os.OpenFile(config, os.O_WRONLY, 0) // it has come to reading it
		require.NoError(t, err)
		require.NoError(t, end.Close())
		_, err = fmt.Fprintf(text, `{"name":"n0","listen":"127.0.0.1:1","settings":%s}`, scenario.Settings)
		require.NoError(t, err)
		require.NoError(t, text.Close())
		scenario.RunScript(t, scenario.Peers{"program": func() (scenario.Conn, error) { return end, nil }}, nil, `
			program expect stopped before serving|msg=done
			program wait`)
	})
	t.Run("at its agent", func(t *testing.T) {
		scenario.RunScript(t, scenario.StartWithAgent(t, 1), nil, `
			discovery expect ^GET /registry/instances HTTP
			program close
			program expect stopped before serving
			program wait`)
	})
}

// TestPlannedEnd: all that comes up to the end by force is answered before it, however
// short the longest deadline is, and nothing closes while clients still connect.
func TestPlannedEnd(t *testing.T) {
	began := time.Now()
	for longest, want := range map[time.Duration][3]int{ // Stays, Parts, Dismiss, in milliseconds
		25 * time.Second: {2400, 2500, 3300}, 3 * time.Second: {2400, 2500, 3300}, time.Second: {400, 500, 1300}, 500 * time.Millisecond: {400, 500, 800}, 300 * time.Millisecond: {400, 500, 600},
	} {
		e := server.PlanShutdown(began, longest)
		for i, at := range []time.Time{e.CloseIdleAt, e.ListenUntil, e.DismissAt} {
			require.Equal(t, time.Duration(want[i])*time.Millisecond, at.Sub(began), "%v %d", longest, i)
		}
	}
}

// TestOneFolder: a second dispatcher does not write where the first one does.
func TestOneFolder(t *testing.T) {
	dir := t.TempDir()
	first := scenario.Start(t, 1, operator(dir))
	scenario.RunScript(t, scenario.Peers{"one": first["program"]}, nil, "one expect serving")
	second := scenario.Start(t, 1, operator(dir))
	scenario.RunScript(t, second, nil, `
			program expect level=error msg="the journal of figures is off[^\n]*in use by another process
			program expect serving`+served)
}

// TestEpochs: a planned end closes its epoch in order, and figures tell the one
// that runs.
func TestEpochs(t *testing.T) {
	dir := t.TempDir()
	for _, said := range []string{"epoch 1", "epoch 2", "epoch 3"} {
		scenario.RunScript(t, scenario.Start(t, 1, operator(dir)), nil, `
			program expect msg="journal of figures opened" folder=\S+ recovery="`+said+`"
			program expect serving`+served+`
			figures send GET /audit HTTP/1.1\r\nHost: a\r\n\r\nGET /figures HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n
			figures expect "differences":\[\].*"Stopped":false
			agent expect ^ready up \d+%\n$
			program close
			program expect msg=done failed=0 open=0 refused=0 served=1 taken=1
			program wait`)
	}
}
