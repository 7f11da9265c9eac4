package demo

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ignoreShutdownScript is a shell script that ignores ShutdownSignal. At SIGQUIT it writes a line like the
// first one of a Go program's stacks, and ends.
const ignoreShutdownScript = `trap "" TERM; trap "echo goroutine 1; exit 2" QUIT; echo ready; while :; do sleep 0.01; done`

// TestShutdownTimeout checks that shutdown returns an error for a process that does not end in time, and
// that the error contains the end of its log, with the stacks.
func TestShutdownTimeout(t *testing.T) {
	logFile, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	n := &node{name: "n1", home: filepath.Dir(logFile.Name()), ended: make(chan error, 1), cmd: exec.CommandContext(t.Context(), "sh", "-c", ignoreShutdownScript)}
	n.cmd.Stdout = logFile
	require.NoError(t, n.cmd.Start())
	require.NoError(t, logFile.Close()) // the process has a descriptor of its own
	go func() {
		n.ended <- n.cmd.Wait()
		close(n.ended)
	}()
	defer n.kill()
	require.Eventually(t, func() bool { return strings.Contains(n.lastLogLine(), "ready") }, time.Minute, pollInterval)
	f := &fleet{FleetSettings: FleetSettings{Patience: Patience{Shutdown: pollInterval}}, nodes: []*node{n}}
	require.ErrorContains(t, f.shutdown(), "n1 has not ended; its goroutines: ready\ngoroutine 1")
}
