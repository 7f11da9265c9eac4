package scenario

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// process is the started program as an actor's connection. Reads return the program's log. A send makes the
// program reload its configuration file, which the text replaces first unless it is empty. A close makes the
// program end, and a wait waits for its exit.
type process struct {
	*os.File // the log
	cmd      *exec.Cmd
	config   string // the configuration's file
}

// Write replaces the configuration file by text, unless text is empty, and sends SIGHUP to the program.
func (p process) Write(text []byte) (int, error) {
	if len(text) > 0 {
		if err := os.WriteFile(p.config, text, 0o600); err != nil {
			return 0, err
		}
	}
	return len(text), p.cmd.Process.Signal(syscall.SIGHUP)
}

// Close sends SIGTERM to the program. It does not close the log.
func (p process) Close() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Wait waits for the program's exit.
func (p process) Wait() error { return p.cmd.Wait() }

// PID returns the process's id.
func (p process) PID() int { return p.cmd.Process.Pid }

// Dump sends SIGQUIT, at which the program writes the stacks of all goroutines to its log and ends.
func (p process) Dump() error { return p.cmd.Process.Signal(syscall.SIGQUIT) }

// StartProcess starts the program with a configuration file and arguments, and kills it at the end of the
// test. It returns a peer whose actors use the process. discovery is the value of $ROUTER_DISCOVERY, which
// overrides the configuration's address unless it is empty.
func StartProcess(t testing.TB, binary, config, discovery string, args ...string) func() (Conn, error) {
	t.Helper()
	return StartProcessWith(t, binary, config, discovery, nil, nil, args...)
}

// StartProcessWith is StartProcess with additional environment variables, and files that the program
// inherits as its descriptors from 3 on.
func StartProcessWith(t testing.TB, binary, config, discovery string, env []string, files []*os.File, args ...string) func() (Conn, error) {
	t.Helper()
	logReader, logWriter, err := os.Pipe()
	require.NoError(t, err)
	cmd := exec.CommandContext(context.Background(), binary, args...) // ended below, or by the script
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "ROUTER_LISTEN=", "ROUTER_DISCOVERY="+discovery, "ROUTER_NAME=", "ROUTER_ADMIN=",
		"TMPDIR="+filepath.Dir(config)) // state that a process leaves for the next one stays within the test
	cmd.Env, cmd.ExtraFiles = append(cmd.Env, env...), files
	cmd.Stdout, cmd.Stderr = logWriter, logWriter
	require.NoError(t, cmd.Start())
	require.NoError(t, logWriter.Close())
	t.Cleanup(func() { // errors are those of a process that has ended
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = logReader.Close()
	})
	return func() (Conn, error) { return process{logReader, cmd, config}, nil }
}

// writeFile writes a file in dir and returns its path.
func writeFile(t testing.TB, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}
