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

// Process is a program that may be started several times with the same settings file. Its methods may be
// called concurrently, except that only one goroutine at a time may call Start and Stop.
type Process struct {
	Program  string // CoreProgram or EdgeProgram
	Settings string // path of its settings file
	Log      string // path of its log file, to which each run appends

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{} // closed when the current run has ended; nil before the first one
}

// Start starts the program of a build. It returns an error if the log can't be opened or the program can't
// be started.
func (p *Process) Start(from Build) error {
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open a process's log")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	// The caller ends the process with Signal or Stop; no context ends it.
	command := exec.CommandContext(context.Background(), from.Program(p.Program), "--settings", p.Settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a killed test leaves no process behind
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

// Signal sends a signal to the process, if it has been started and has not ended.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal) // it may have ended at this moment
	}
}

// Exited returns a channel that is closed when the current run has ended; nil before the first start.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Runs reports whether the process has been started and has not ended.
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

// ExitCode returns the exit status of the last run, which must have ended; -1: a signal ended it.
func (p *Process) ExitCode() int { return p.command.ProcessState.ExitCode() }

// State returns the state of the process as the kernel reports it, such as "T (stopped)"; empty: it has not
// been started or has ended.
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

// Stop sends a signal to the process, if it runs, and waits for its exit.
func (p *Process) Stop(signal syscall.Signal) {
	if p.Runs() {
		p.Signal(signal)
		<-p.Exited()
	}
}
