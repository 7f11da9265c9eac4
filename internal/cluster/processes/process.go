package processes

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Process is a program that runs again and again with one settings file. Its methods may be called
// concurrently; Start and Stop by one goroutine at a time.
type Process struct {
	Program  string // CoreProgram or EdgeProgram
	Settings string // path of its settings file
	Log      string // path of the file that takes its log, of all its lives

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{} // closed when the present life has ended; nil before the first one
}

// Start starts the process from a build. It returns an error where the log or the program can't be opened.
func (p *Process) Start(from Build) error {
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open a process's log")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	// The end of a process is its user's to decide, by Signal: no context ends it.
	command := exec.CommandContext(context.Background(), from.Program(p.Program), "--settings", p.Settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing is left of a test that is killed
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start a process")
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited = command, exited
	p.mu.Unlock()
	go func() {
		_ = command.Wait() // its status is read from ProcessState
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process. A process that has ended gets none.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal) // it may have ended at this moment
	}
}

// Exited is closed when the present life has ended. It is nil before the first start.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Runs tells whether the process has been started and has not ended.
func (p *Process) Runs() bool {
	exited := p.Exited()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// ExitCode returns the status of a life that has ended; -1: a signal ended it.
func (p *Process) ExitCode() int { return p.command.ProcessState.ExitCode() }

// State returns the state of the process as the kernel shows it, as in "T (stopped)"; empty: it has ended.
func (p *Process) State() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return ""
	}
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid)) // it may have ended
	_, after, _ := strings.Cut(string(content), "State:")
	state, _, _ := strings.Cut(after, "\n")
	return strings.TrimSpace(state)
}

// Stop sends a signal and waits for the exit.
func (p *Process) Stop(signal syscall.Signal) {
	if p.Runs() {
		p.Signal(signal)
		<-p.Exited()
	}
}
