package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"basaltloft/internal/dispatcher/fakes"
)

// node is one process of the fleet.
type node struct {
	name, home             string // home is its directory
	listen, admin, metrics string // addresses
	rpc, raft              string // addresses; empty if it is no Raft node
	dataDir                string // of its fleet state
	cmd                    *exec.Cmd
	ended                  chan error // receives the result of cmd.Wait, and is then closed
}

// newNode returns a process, not yet started, with free addresses. Its directory is below home.
func newNode(name, home string, raftNode bool) (*node, error) {
	n := &node{name: name, home: filepath.Join(home, name), ended: make(chan error, 1)}
	n.dataDir = filepath.Join(n.home, "folder")
	addrs := []*string{&n.listen, &n.admin, &n.metrics}
	if raftNode {
		addrs = append(addrs, &n.rpc, &n.raft)
	}
	for _, addr := range addrs {
		var err error
		if *addr, err = fakes.FreeAddr(); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// raftNodes returns the addresses of the Raft nodes among the given processes, by name, in the form of
// an operator's file.
func raftNodes(nodes []*node) map[string]map[string]string {
	all := make(map[string]map[string]string)
	for _, n := range nodes {
		if n.raft != "" {
			all[n.name] = map[string]string{"calls": n.rpc, "votes": n.raft}
		}
	}
	return all
}

// operatorFile returns the process's operator's file, with a budget of jobs for the first tenant.
func (n *node) operatorFile(raftNodes map[string]map[string]string, planFile string) (string, error) {
	fleet := map[string]any{
		"name": n.name, "folder": n.dataDir, "keepers": raftNodes, "plans": []string{planFile},
		"budgets": []any{map[string]any{"of": "jobs", "name": Tenants[0], "whole": jobBudget, "burst": jobBudget / 2}},
	}
	if n.raft != "" {
		fleet["calls"], fleet["votes"] = n.rpc, n.raft
	}
	text, err := json.Marshal(map[string]any{"fleet": fleet, "figures": map[string]any{"listen": n.metrics, "audit_every_ms": 500}})
	return string(text), err
}

// start starts the process, with its log in its directory.
func (n *node) start(d Dispatcher, program, operator string) error {
	if err := os.MkdirAll(n.dataDir, 0o700); err != nil {
		return err
	}
	cmd, err := d.Command(program, n.home, operator, "serve", "--log-level", "info")
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(n.home, "log"))
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := errors.Join(cmd.Start(), log.Close()); err != nil { // the process has a descriptor of its own
		return fmt.Errorf("starting %s: %w", n.name, err)
	}
	n.cmd = cmd
	go func() {
		n.ended <- cmd.Wait()
		close(n.ended)
	}()
	return nil
}

// kill kills the process, if it was started, and waits until it has ended.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill() // it may have ended
	for range n.ended {
	}
}

// abort ends the process with SIGQUIT and returns the end of its log, which contains the stacks of
// its goroutines. It kills the process if that takes longer than abortTimeout.
func (n *node) abort() string {
	_ = n.cmd.Process.Signal(syscall.SIGQUIT) // it may have ended
	defer time.AfterFunc(abortTimeout, func() { _ = n.cmd.Process.Kill() /* it may have ended */ }).Stop()
	for range n.ended {
	}
	text, err := os.ReadFile(filepath.Join(n.home, "log"))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxStackBytes):])
}

// Limits for the stacks of a process that does not end.
const (
	abortTimeout  = 10 * time.Second // for the process to write the stacks
	maxStackBytes = 64 << 10
)

// lastLogLine returns the last line of the process's log, for error messages.
func (n *node) lastLogLine() string {
	text, err := os.ReadFile(filepath.Join(n.home, "log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// waitJoined waits until the process has a lease of the fleet.
func (n *node) waitJoined(ctx context.Context, within time.Duration) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(pollInterval / 2) {
		var status struct {
			Incarnation uint64
			Renewed     int `json:"renewed_ms"`
		}
		if getJSON(n.admin, "/fleet", &status) == nil && status.Incarnation > 0 && status.Renewed >= 0 {
			return nil
		}
	}
	return errors.Join(ctx.Err(), fmt.Errorf("%s did not join the fleet; its log ends with %s", n.name, n.lastLogLine()))
}
