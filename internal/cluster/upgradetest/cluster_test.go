package upgradetest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/processes"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/standin"
	"basaltloft/internal/cluster/systemtest"
)

// Timeouts, which are long enough for a busy machine, and the interval of polls.
const (
	settleTimeout  = 30 * time.Second
	answerTimeout  = 20 * time.Second
	requestTimeout = 3 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// Offsets of a process's ports from the first one.
const (
	httpOffset      = 2
	readinessOffset = 3
	portsEach       = 4
)

const nodeCount = 3

// slowRunnerCount is the number of slow runners. There are several, since a runner gets few tasks at once
// until one of its tasks has ended, and the workload keeps several jobs running.
const slowRunnerCount = 4

// process is one process of the cluster, of the old or the new build, and its address.
type process struct {
	processes.Process
	ip string
}

// cluster is three control-plane nodes and a dispatcher, each a process of the operating system at a
// loopback address of its own, with the stand-ins for the platform and for runners.
type cluster struct {
	t          *testing.T
	port       int
	nodes      []*process
	dispatcher *process
	platform   *standin.Platform
	quick      *standin.Runner   // its tasks run for a few milliseconds
	slow       []*standin.Runner // their tasks run until EndAll
	vacant     *standin.Runner   // as quick, but not on the platform's list at first
}

// newCluster creates a cluster in the loopback network 127.0.<network>.0 and starts it from a build.
func newCluster(t *testing.T, network int, from processes.Build) *cluster {
	const quickDuration = 5 * time.Millisecond
	c := &cluster{
		t: t, platform: systemtest.NewPlatform(t),
		quick:  systemtest.NewRunner(t, "i-quick", quickDuration),
		vacant: systemtest.NewRunner(t, "i-vacant", quickDuration),
	}
	c.platform.AddRunner(c.quick, quickService)
	for number := range slowRunnerCount {
		runner := systemtest.NewRunner(t, fmt.Sprintf("i-slow-%d", number), time.Hour)
		c.platform.AddRunner(runner, slowService)
		c.slow = append(c.slow, runner)
	}
	var ips []string
	for number := range nodeCount + 1 {
		ips = append(ips, fmt.Sprintf("127.0.%d.%d", network, number+1))
	}
	c.port = systemtest.FreePorts(t, portsEach, ips...)
	for _, ip := range ips[:nodeCount] {
		c.nodes = append(c.nodes, c.newProcess(ip, processes.CoreProgram, ips[:nodeCount]))
	}
	c.dispatcher = c.newProcess(ips[nodeCount], processes.EdgeProgram, ips[:nodeCount])
	t.Cleanup(c.close)
	for _, n := range c.processes() {
		c.start(n, from)
	}
	return c
}

func (c *cluster) processes() []*process {
	return append(append([]*process{}, c.nodes...), c.dispatcher)
}

func (c *cluster) runners() []*standin.Runner {
	return append([]*standin.Runner{c.quick, c.vacant}, c.slow...)
}

func (c *cluster) address(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.port+offset))
}

// newProcess returns a process that isn't running yet and writes its settings, which the upgrade doesn't
// change.
func (c *cluster) newProcess(ip, program string, seedIPs []string) *process {
	folder := c.t.TempDir()
	var text strings.Builder
	fmt.Fprintf(&text, "node_name: %q\nip: %q\n", ip, ip)
	fmt.Fprintf(&text, "listen:\n  http: %q\n  readiness: %q\n  control: %q\n",
		c.address(ip, httpOffset), c.address(ip, readinessOffset), c.address(ip, httpOffset))
	fmt.Fprintf(&text, "port_range:\n  - %d\n  - %d\nseeds:\n", c.port, c.port+1)
	for _, seed := range seedIPs {
		fmt.Fprintf(&text, "  - %q\n", c.address(seed, httpOffset))
	}
	fmt.Fprintf(&text, "bootstrap: true\ndata_dir: %q\nfault_tolerance:\n  machines: 1\n", filepath.Join(folder, "data"))
	fmt.Fprintf(&text, "bounds:\n  grace_s: 2\n  hold_max_ms: 6000\ncloud_api:\n  address: %q\n", strings.TrimPrefix(c.platform.Server.URL, "http://"))
	n := &process{ip: ip, Process: processes.Process{
		Program: program, Settings: filepath.Join(folder, "settings.yaml"), Log: filepath.Join(folder, "log"),
	}}
	require.NoError(c.t, os.WriteFile(n.Settings, []byte(text.String()), 0o600))
	return n
}

// start starts a process from a build. Its log is appended to that of its earlier runs.
func (c *cluster) start(n *process, from processes.Build) {
	c.t.Helper()
	require.NoError(c.t, n.Start(from))
}

// close kills all processes and stops the stand-ins.
func (c *cluster) close() {
	for _, n := range c.processes() {
		n.Stop(syscall.SIGKILL)
		c.logFaults(n)
	}
	c.platform.Server.Close()
	for _, runner := range c.runners() {
		runner.Server.Close()
	}
}

// logFaults prints the newest warnings and errors of a process's log if the test failed.
func (c *cluster) logFaults(n *process) {
	const maxLines = 5
	content, err := os.ReadFile(n.Log)
	if !c.t.Failed() || err != nil {
		return
	}
	var faults []string
	for line := range strings.Lines(string(content)) {
		if !strings.Contains(line, "level=INFO") {
			faults = append(faults, line)
		}
	}
	c.t.Logf("%s %s:\n%s", n.Program, n.ip, strings.Join(faults[max(0, len(faults)-maxLines):], ""))
}

// request is one request of a client or an operator.
type request struct {
	method  string
	address string
	path    string
	host    string
	body    string
	base    int64 // the Base-Version of an operator's request
}

// response is the response to a request.
type response struct {
	status int
	body   string
}

// attempt sends a request once.
func (r request) attempt(parent context.Context) (response, error) {
	ctx, cancel := context.WithTimeout(parent, requestTimeout)
	defer cancel()
	sent, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.address+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return response{}, err
	}
	sent.Host = r.host
	sent.Header.Set("Base-Version", strconv.FormatInt(r.base, 10))
	got, err := http.DefaultClient.Do(sent)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = got.Body.Close() }() // it has been read
	content, err := io.ReadAll(got.Body)
	return response{status: got.StatusCode, body: string(content)}, err
}

// sendUntilAnswered sends a request until it has a definite response: one whose status is below 500.
func (r request) sendUntilAnswered(parent context.Context) (response, error) {
	ctx, cancel := context.WithTimeout(parent, answerTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ; ; <-ticker.C {
		got, err := r.attempt(ctx)
		if err == nil && got.status < http.StatusInternalServerError {
			return got, nil
		}
		if ctx.Err() != nil {
			return response{}, fmt.Errorf("no definite response to %s %s%s: last %d %q, %w", r.method, r.address, r.path, got.status, got.body, ctx.Err())
		}
	}
}

// send is sendUntilAnswered; it fails the test if there is no definite response.
func (c *cluster) send(r request) response {
	c.t.Helper()
	got, err := r.sendUntilAnswered(c.t.Context())
	require.NoError(c.t, err)
	return got
}

// client returns a client's request to the dispatcher.
func (c *cluster) client(method, path, body string) request {
	return request{method: method, address: c.address(c.dispatcher.ip, httpOffset), path: path, host: clientHost, body: body}
}

// submit submits a job and fails the test if it is rejected.
func (c *cluster) submit(path, body string) {
	c.t.Helper()
	got := c.send(c.client(http.MethodPost, path, body))
	require.Equal(c.t, http.StatusOK, got.status, "submit %s: %s", path, got.body)
}

// state returns a job's state.
func (c *cluster) state(path string) string {
	c.t.Helper()
	got := c.send(c.client(http.MethodGet, path, ""))
	require.Equal(c.t, http.StatusOK, got.status, "the job %s is not known: %s", path, got.body)
	var job struct{ State string }
	require.NoError(c.t, json.Unmarshal([]byte(got.body), &job))
	return job.State
}

// awaitState polls a job's state until it is the wanted one.
func (c *cluster) awaitState(path, want string) {
	c.t.Helper()
	require.True(c.t, poll(func() bool { return c.state(path) == want }), "job %s does not become %s", path, want)
}

// replace sends a configuration to one of the nodes, to replace the version base.
func (c *cluster) replace(node int, base int64, content string) response {
	c.t.Helper()
	return c.send(request{method: http.MethodPost, address: c.address(c.nodes[node].ip, httpOffset), path: "/-/config/replace", body: content, base: base})
}

// configuration returns the newest configuration, which it gets from one of the nodes.
func (c *cluster) configuration(node int) string {
	c.t.Helper()
	got := c.send(request{method: http.MethodGet, address: c.address(c.nodes[node].ip, httpOffset), path: "/-/config/get"})
	require.Equal(c.t, http.StatusOK, got.status, got.body)
	return got.body
}

// statuses returns the status of each control-plane node. It is the zero value for a node that doesn't respond.
func (c *cluster) statuses() []protocol.StatusResponse {
	var addresses []string
	for _, node := range c.nodes {
		addresses = append(addresses, c.address(node.ip, 0))
	}
	return processes.Statuses(addresses)
}

// awaitAllVoting waits until each control-plane node is a voter of each group, has a leader in it, and has
// applied at least the index that any node has applied at the time of the call, with the same state.
func (c *cluster) awaitAllVoting(when string) {
	c.t.Helper()
	wanted := processes.HighestApplied(c.statuses())
	fault := ""
	allVoting := func() bool {
		fault = processes.FindFault(c.statuses(), wanted, nodeCount)
		return fault == ""
	}
	if !poll(allVoting) {
		require.Fail(c.t, "not all nodes vote and have applied the same state", "%s: %s", when, fault)
	}
}

// poll calls a condition until it holds. It returns false if it doesn't hold within settleTimeout.
func poll(condition func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); <-ticker.C {
		if condition() {
			return true
		}
	}
	return false
}
