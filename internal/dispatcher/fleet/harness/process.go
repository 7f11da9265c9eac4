package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"basaltloft/internal/dispatcher/demo"
	"basaltloft/internal/dispatcher/fakes"
)

// Process is one process of a cluster. It is also the data of the template of its operator
// file: {{.Name}}, {{.Folder}}, {{.Addr "calls"}} for one of its own addresses, {{.PeerAddr "n2"
// "calls"}} for another process's address as this one reaches it, {{.Peers 3 "calls" "votes"}}
// for an object of the first three processes by name, with both addresses of each.
type Process struct {
	Name, Home, Folder, Log string
	Operator                string // the template; a change takes effect at the next start

	cluster   *Cluster
	index     int
	discovery *fakes.Discovery
	members   []fakes.Instance

	mu              sync.Mutex
	addrs           map[string]string
	linkAddrs       map[string]string
	cmd             *exec.Cmd // nil: it does not run
	exited          chan error
	exitExpected    bool
	unexpectedExits []string
}

// Addr returns one of the process's addresses by name: listen, admin, or any other. An address
// stays the same over restarts.
func (p *Process) Addr(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addrs[name] == "" {
		addr, err := fakes.FreeAddr()
		if err != nil {
			panic(err) // no port is free: no test can continue
		}
		p.addrs[name] = addr
	}
	return p.addrs[name]
}

// PeerAddr returns another process's address as this one reaches it, through a link. The
// process's own address has no link.
func (p *Process) PeerAddr(other, name string) (string, error) {
	i := slices.IndexFunc(p.cluster.Processes, func(q *Process) bool { return q.Name == other })
	if i < 0 {
		return "", fmt.Errorf("no process is called %q", other)
	}
	at := p.cluster.Processes[i].Addr(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	if i != p.index && p.linkAddrs[at] == "" {
		p.linkAddrs[at], err = p.cluster.link(p.index, i, at)
	}
	if i == p.index {
		return at, nil
	}
	return p.linkAddrs[at], err
}

// Peers returns a JSON object of the first processes by name, with the named addresses of each.
func (p *Process) Peers(first int, names ...string) (string, error) {
	peers := make(map[string]map[string]string)
	for _, q := range p.cluster.Processes[:first] {
		peers[q.Name] = make(map[string]string)
		for _, name := range names {
			var err error
			if peers[q.Name][name], err = p.PeerAddr(q.Name, name); err != nil {
				return "", err
			}
		}
	}
	text, err := json.Marshal(peers)
	return string(text), err
}

// Start writes the process's files and starts it. If it already runs, Start does not start another.
func (p *Process) Start() error {
	var operator bytes.Buffer
	if p.Operator != "" {
		tmpl, err := template.New("operator").Parse(p.Operator)
		if err != nil {
			return err
		}
		if err := tmpl.Execute(&operator, p); err != nil {
			return err
		}
	}
	cmd, err := demo.Dispatcher{
		Name: p.Name, Listen: p.Addr("listen"), Discovery: p.discovery.Addr(), Admin: p.Addr("admin"),
		Rank: p.index, Count: len(p.cluster.Processes), InitialMembers: p.members,
	}.Command(p.cluster.binary, p.Home, operator.String(), append([]string{"--log-level", "info"}, p.cluster.Args...)...)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd.Env = append(cmd.Env, p.cluster.Env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd = nil; !p.exitExpected {
			p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s ended by itself: %v", p.Name, err))
		}
		ended <- err
		close(ended)
	}()
	p.cmd, p.exited, p.exitExpected = cmd, ended, false
	return nil
}

// expectExit marks the process's exit as expected: it was given a directory that it must refuse.
func (p *Process) expectExit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = true
	return nil
}

// WaitReady waits until the process serves. It returns an error if the process exits before that.
func (p *Process) WaitReady() error {
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	return demo.WaitReady(context.Background(), p.Addr("listen"), ended)
}

// AdminRequest sends a request to the process's admin API, and returns the status and body of
// the response.
func (p *Process) AdminRequest(method, path, body string, until time.Time) (status int, text string, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Addr("admin")+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got), err
}

// WaitForAdmin requests a path of the process's admin API until the response matches a pattern,
// and returns the match and its groups.
func (p *Process) WaitForAdmin(path, pattern string, until time.Time) ([]string, error) {
	re, err := regexp.Compile("(?s)" + pattern)
	if err != nil {
		return nil, err
	}
	for {
		_, text, err := p.AdminRequest(http.MethodGet, path, "", until)
		if m := re.FindStringSubmatch(text); m != nil && err == nil {
			return m, nil
		}
		if time.Now().After(until) {
			return nil, errors.Join(fmt.Errorf("%s does not say %s at %s: %q", p.Name, pattern, path, text), err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// IsRunning reports whether the process has started and not exited; a frozen one counts as running.
func (p *Process) IsRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// UnexpectedExits describes each exit that was not expected.
func (p *Process) UnexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.unexpectedExits)
}

func (p *Process) signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.exitExpected = p.exitExpected || s == syscall.SIGKILL || s == syscall.SIGTERM
	if err := p.cmd.Process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Wait waits for the process's exit, and returns the error of the exit. A second call after the
// exit returns nil.
func (p *Process) Wait(until time.Time) error {
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case err := <-ended:
		return err
	case <-t.C:
		return fmt.Errorf("%s has not ended", p.Name)
	}
}

// Kill sends SIGKILL, which also ends a frozen process, and waits for the exit.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	var exit *exec.ExitError
	if err := p.Wait(time.Now().Add(transitionTimeout)); err != nil && !errors.As(err, &exit) {
		return err
	}
	return nil
}

// Freeze stops the process with SIGSTOP, and returns once all its threads have stopped.
func (p *Process) Freeze() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for until := time.Now().Add(transitionTimeout); !p.isStopped(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("%s does not stop", p.Name)
		}
	}
	return nil
}

// isStopped reports whether none of the process's threads can run.
func (p *Process) isStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return true
	}
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	for _, thread := range threads {
		text, _ := os.ReadFile(thread)
		if _, state, ok := bytes.Cut(text, []byte(") ")); ok && state[0] != 'T' && state[0] != 'Z' {
			return false
		}
	}
	return true
}

// Thaw sends SIGCONT, so that a process stopped by Freeze continues.
func (p *Process) Thaw() error { return p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM; Wait waits for the exit.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// WipeFolder empties the directory of a process that does not run.
func (p *Process) WipeFolder() error {
	return errors.Join(os.RemoveAll(p.Folder), os.MkdirAll(p.Folder, 0o700))
}

// CopyFolder copies the process's directory. The process is stopped meanwhile, so that the copy
// shows one moment.
func (p *Process) CopyFolder(to string) error {
	err := p.Freeze()
	if err == nil {
		err = errors.Join(os.RemoveAll(to), os.CopyFS(to, os.DirFS(p.Folder)))
	}
	return errors.Join(err, p.Thaw())
}

// ReplaceFolder replaces the directory of a process that does not run.
func (p *Process) ReplaceFolder(from string) error {
	return errors.Join(os.RemoveAll(p.Folder), os.CopyFS(p.Folder, os.DirFS(from)))
}

// CPU returns the processor time that the process has used so far, from /proc.
func (p *Process) CPU() (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0, fmt.Errorf("%s does not run", p.Name)
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := bytes.Cut(text, []byte(") "))
	var user, system int64
	fields := bytes.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("too few fields in the /proc stat file: %q, process %s", text, p.Name)
	}
	if _, err := fmt.Sscan(string(fields[11])+" "+string(fields[12]), &user, &system); err != nil {
		return 0, err
	}
	const tick = 10 * time.Millisecond // USER_HZ is 100 on every Linux
	return time.Duration(user+system) * tick, nil
}
