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

// serveOneJob is a script that sends a job, has member r1 run it and expects its result.
const serveOneJob = `
			client send POST /place-hold HTTP/1.1\r\nHost: app\r\nX-Call-Id: h-1\r\nX-Budget: 9\r\nContent-Length: 0\r\n\r\n
			r1 expect X-Call-Id: h-1
			r1 send HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n
			client.back send POST /_jobs/news HTTP/1.1\r\nHost: app\r\nContent-Length: 41\r\n\r\n{"id":"h-1","from":"s-r1","state":"done"}
			client.back expect 204
			client expect ^HTTP/1.1 200 OK`

// journalSettings returns an operator's file with the agent check, the metrics and a journal in the
// given directory.
func journalSettings(folder string) string {
	return fmt.Sprintf(`{"agent_check":{"listen":"AGENT"},"figures":{"listen":"FIGURES","journal":{"folder":%q}}}`, folder)
}

// TestUnusableJournalDirectory: a journal directory that can't be used is reported in the log and by the
// agent check, and jobs are served without the journal.
func TestUnusableJournalDirectory(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	scenario.RunScript(t, scenario.Start(t, 1, journalSettings(filepath.Join(file, "figures"))), nil, `
			program expect level=error msg="the journal of figures is off
			program expect serving`+serveOneJob+`
			agent expect ^ready up \d+% #the journal of figures has stopped\n$
			program close
			program wait`)
}

// TestNewerSegmentVersion: a journal directory with a segment of a newer version of the program is left
// unchanged, and jobs are served without the journal.
func TestNewerSegmentVersion(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile(filepath.Join("testdata", "newer.seg"))
	require.NoError(t, err)
	name := filepath.Join(dir, "00000009-00000001.seg")
	require.NoError(t, os.WriteFile(name, text, 0o600))
	scenario.RunScript(t, scenario.Start(t, 1, journalSettings(dir)), nil, `
			program expect level=error msg="the journal of figures is off[^\n]*version 3: written by a newer version of the program
			program expect serving`+serveOneJob+`
			program close
			program wait`)
	after, err := os.ReadFile(name)
	require.NoError(t, err)
	require.Equal(t, text, after)
}

// TestServesAfterFirstList: a process serves only once it has the agent's membership list, however old
// the list in its configuration file: by the platform's rules a process counts as informed of the agent's
// list from its start. It waits only a short time for an agent that does not answer, as while discovery
// is down.
func TestServesAfterFirstList(t *testing.T) {
	const list = `{"generation":44,"reset":false,"instances":[{"instanceId":"s-r1","hostPort":"127.0.0.1:9","lifecycle":"leaving"}]}`
	for name, script := range map[string]string{
		"in hand": fmt.Sprintf(`
			discovery expect ^GET /registry/instances HTTP
			discovery send HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s
			program expect listed as draining.*msg=serving
			discovery expect GET /registry/instances\?index=44&wait=1000 HTTP`, len(list), list),
		"silent": `
			discovery expect ^GET /registry/instances HTTP
			program expect msg=serving` + serveOneJob,
	} {
		t.Run(name, func(t *testing.T) { scenario.RunScript(t, scenario.StartWithAgent(t, 1), nil, script) })
	}
}

// TestSignalBeforeServing: a signal that arrives before the program serves ends it with exit status 0.
// If the signal arrives while the program reads its configuration, the program may begin to serve before
// it handles the signal; while it waits for its agent, it ends without serving.
func TestSignalBeforeServing(t *testing.T) {
	t.Run("at its configuration", func(t *testing.T) {
		binary, err := scenario.Build()
		require.NoError(t, err)
		config := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, syscall.Mkfifo(config, 0o600))
		conn, err := scenario.StartProcess(t, binary, config, "127.0.0.1:1")()
		require.NoError(t, err)
		writer, err := os.OpenFile(config, os.O_WRONLY, 0) // blocks until the program opens the file
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		_, err = fmt.Fprintf(writer, `{"name":"n0","listen":"127.0.0.1:1","settings":%s}`, scenario.Settings)
		require.NoError(t, err)
		require.NoError(t, writer.Close())
		scenario.RunScript(t, scenario.Peers{"program": func() (scenario.Conn, error) { return conn, nil }}, nil, `
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

// TestPlanShutdown: the schedule answers late jobs before the process may be ended by force, however short
// the longest client timeout is, and closes nothing while clients still connect.
func TestPlanShutdown(t *testing.T) {
	began := time.Now()
	// CloseIdleAt, ListenUntil and DismissAt, in milliseconds from the signal.
	for longestTimeout, want := range map[time.Duration][3]int{
		25 * time.Second: {2400, 2500, 3300}, 3 * time.Second: {2400, 2500, 3300}, time.Second: {400, 500, 1300}, 500 * time.Millisecond: {400, 500, 800}, 300 * time.Millisecond: {400, 500, 600},
	} {
		schedule := server.PlanShutdown(began, longestTimeout)
		for i, at := range []time.Time{schedule.CloseIdleAt, schedule.ListenUntil, schedule.DismissAt} {
			require.Equal(t, time.Duration(want[i])*time.Millisecond, at.Sub(began), "%v %d", longestTimeout, i)
		}
	}
}

// TestJournalDirectoryInUse: a second dispatcher does not write to the journal directory of the first
// one, and serves without a journal.
func TestJournalDirectoryInUse(t *testing.T) {
	dir := t.TempDir()
	first := scenario.Start(t, 1, journalSettings(dir))
	scenario.RunScript(t, scenario.Peers{"one": first["program"]}, nil, "one expect serving")
	second := scenario.Start(t, 1, journalSettings(dir))
	scenario.RunScript(t, second, nil, `
			program expect level=error msg="the journal of figures is off[^\n]*in use by another process
			program expect serving`+serveOneJob)
}

// TestEpochs: each start opens the next epoch of the journal, since a graceful shutdown closes the last
// one completely; the journal is reported as running.
func TestEpochs(t *testing.T) {
	dir := t.TempDir()
	for _, recovery := range []string{"epoch 1", "epoch 2", "epoch 3"} {
		scenario.RunScript(t, scenario.Start(t, 1, journalSettings(dir)), nil, `
			program expect msg="journal of figures opened" folder=\S+ recovery="`+recovery+`"
			program expect serving`+serveOneJob+`
			figures send GET /audit HTTP/1.1\r\nHost: a\r\n\r\nGET /figures HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n
			figures expect "differences":\[\].*"Stopped":false
			agent expect ^ready up \d+%\n$
			program close
			program expect msg=done failed=0 open=0 refused=0 served=1 taken=1
			program wait`)
	}
}
