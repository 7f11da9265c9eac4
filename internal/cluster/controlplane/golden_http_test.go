package controlplane

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
	"basaltloft/internal/cluster/settings"
	"basaltloft/internal/shared/goldentest"
)

// compareGolden compares a text with the golden file of the given name byte by byte. The files were written
// by commit 352ebf2: runners, the platform and operators rely on the formats of that build.
func compareGolden(t *testing.T, name, text string) {
	t.Helper()
	goldentest.Equal(t, filepath.Join("testdata", name), []byte(text))
}

// rawRequests is a listener that records the bytes that its connections read.
type rawRequests struct {
	net.Listener
	mu   sync.Mutex
	read bytes.Buffer
}

type rawConn struct {
	net.Conn
	requests *rawRequests
}

func (r *rawRequests) Accept() (net.Conn, error) {
	conn, err := r.Listener.Accept()
	return &rawConn{Conn: conn, requests: r}, err
}

func (c *rawConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.requests.mu.Lock()
	defer c.requests.mu.Unlock()
	c.requests.read.Write(p[:n])
	return n, err
}

// takeRecorded returns the bytes that were read since the last call, with visible line ends and with the
// server's address replaced by ADDRESS.
func (r *rawRequests) takeRecorded(address string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.ReplaceAll(r.read.String(), address, "ADDRESS")
	r.read.Reset()
	return strings.ReplaceAll(text, "\r\n", "\\r\\n\n") + "\n"
}

func recordRequests(t *testing.T, handler http.HandlerFunc) (*rawRequests, string) {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	requests := &rawRequests{Listener: server.Listener}
	server.Listener = requests
	server.Start()
	t.Cleanup(server.Close)
	return requests, strings.TrimPrefix(server.URL, "http://")
}

// TestCallsToRunnersMatchGolden checks the request line, headers and body of each order to a runner.
func TestCallsToRunnersMatchGolden(t *testing.T) {
	requests, address := recordRequests(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"clock_ms":1}`)) })
	client := newRunnerClient(t.Context())
	full := scheduler.Order{
		Runner: "instance-1", Address: address, Token: 11, Task: job.TaskRef{Job: "0123456789abcdef", Occurrence: 1, Step: 2, Index: 3}, Attempt: 4,
		Spec: `text with "quotes" & <signs>`, Checkpoint: "progress-5", DeadlineMs: 600, AckedThrough: 77, WaitMs: 800, Sequence: 9,
	}
	minimal := scheduler.Order{Runner: "instance-2", Address: address, Task: job.TaskRef{Job: "fedcba9876543210"}, Attempt: 1}
	var text strings.Builder
	for _, call := range []struct {
		name string
		send func()
	}{
		{"start", func() { client.start(full) }},
		{"start, what may be left out is", func() { client.start(minimal) }},
		{"stop", func() { client.stop(full) }},
		{"hold", func() { client.renewLease(full) }},
		{"hold, what may be left out is", func() { client.renewLease(minimal) }},
	} {
		call.send()
		fmt.Fprintf(&text, "== %s\n%s", call.name, requests.takeRecorded(address))
	}
	compareGolden(t, "calls-to-runners.txt", text.String())
}

// serveReply starts a runner that sends the same reply to every order. It returns an order for that runner.
func serveReply(t *testing.T, status int, body string) scheduler.Order {
	t.Helper()
	runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(runner.Close)
	return scheduler.Order{Address: strings.TrimPrefix(runner.URL, "http://"), Runner: "instance"}
}

// TestRunnerRepliesAreParsed checks the result for each status, and each field of a reply.
func TestRunnerRepliesAreParsed(t *testing.T) {
	client := newRunnerClient(t.Context())
	for _, c := range []struct {
		status int
		body   string
		start  scheduler.StartReply
		lease  scheduler.LeaseReply
		stop   scheduler.StopReply
	}{
		{http.StatusOK, `{"clock_ms":5}`, scheduler.StartAccepted, scheduler.LeaseRenewed, scheduler.StopConfirmed},
		{http.StatusOK, `{"clock_`, scheduler.StartNoReply, scheduler.LeaseNoReply, scheduler.StopNotConfirmed},
		{http.StatusMisdirectedRequest, `{"clock_ms":5}`, scheduler.StartOtherIncarnation, scheduler.LeaseOtherIncarnation, scheduler.StopOtherIncarnation},
		{http.StatusConflict, `{"clock_ms":5,"reason":"room"}`, scheduler.StartNoCapacity, scheduler.LeaseFenced, scheduler.StopNotConfirmed},
		{http.StatusConflict, `{"clock_ms":5,"reason":"other"}`, scheduler.StartRefused, scheduler.LeaseFenced, scheduler.StopNotConfirmed},
		{http.StatusServiceUnavailable, `{"clock_ms":5,"reason":"room"}`, scheduler.StartNoCapacity, scheduler.LeaseNoReply, scheduler.StopNotConfirmed},
		{http.StatusServiceUnavailable, `{"clock_ms":5}`, scheduler.StartRefused, scheduler.LeaseNoReply, scheduler.StopNotConfirmed},
		{http.StatusInternalServerError, `{}`, scheduler.StartNoReply, scheduler.LeaseNoReply, scheduler.StopNotConfirmed},
	} {
		order := serveReply(t, c.status, c.body)
		name := fmt.Sprint(c.status, " ", c.body)
		start, _ := client.start(order)
		require.Equal(t, c.start, start, name)
		lease, _ := client.renewLease(order)
		require.Equal(t, c.lease, lease, name)
		stop, _ := client.stop(order)
		require.Equal(t, c.stop, stop, name)
	}
	_, clock := client.start(serveReply(t, http.StatusOK, `{"clock_ms":123}`))
	require.Equal(t, int64(123), clock)
	_, clock = client.stop(serveReply(t, http.StatusOK, `{"clock_ms":124}`))
	require.Equal(t, int64(124), clock)
	_, report := client.renewLease(serveReply(t, http.StatusOK, `{"clock_ms":125,"remaining_ms":126,
		"running":[["a.1.2.3",4,"saved",56.7],["b.0.0.0",1,""]],
		"finished":[[7,"c.0.0.1",2,"done","s"],[8,"c.0.0.2",1,"failed",""],[9,"c.0.0.3",1,"stopped",""],[10,"c.0.0.4",1,"lapsed",""],
			[11,"c.0.0.5",1,"broken",""],[12,"c.0.0.6",1,"alone",""],[13,"c.0.0.7",1,"something new",""]]}`))
	ended := func(number uint64, index, attempt int, how job.EndReason, saved string) scheduler.ReportedEnd {
		return scheduler.ReportedEnd{Number: number, Task: job.TaskRef{Job: "c", Index: index}, Attempt: attempt, Reason: how, Checkpoint: saved}
	}
	require.Equal(t, scheduler.RunnerReport{
		ClockMs: 125, RemainingMs: 126,
		Running: []scheduler.ReportedRun{
			{Task: job.TaskRef{Job: "a", Occurrence: 1, Step: 2, Index: 3}, Attempt: 4, Checkpoint: "saved", Percent: 56},
			{Task: job.TaskRef{Job: "b"}, Attempt: 1},
		},
		Finished: []scheduler.ReportedEnd{
			ended(7, 1, 2, job.EndDone, "s"), ended(8, 2, 1, job.EndFailed, ""), ended(9, 3, 1, job.EndStopped, ""), ended(10, 4, 1, job.EndLeaseExpired, ""),
			ended(11, 5, 1, job.EndGangBroken, ""), ended(12, 6, 1, job.EndGangIncomplete, ""), ended(13, 7, 1, job.EndLeaseExpired, ""),
		},
	}, report)
}

// TestCallsToPlatformMatchGolden checks the requests for the list of runners, and each field of its pages.
func TestCallsToPlatformMatchGolden(t *testing.T) {
	requests, address := recordRequests(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("page_token") == "" {
			_, _ = w.Write([]byte(`{"instances":[{"id":"i-1","backend":"desk","address":"10.3.0.1:9000","state":"ready",
				"capacity":{"cpu":16000,"mem_mb":32000,"gpu":4},"labels":["ssd","rack=1"],"remaining_ms":0}],"next_token":"a/b c&d"}`))
			return
		}
		_, _ = w.Write([]byte(`{"instances":[{"id":"i-2","backend":"gpu","address":"10.3.0.2:9000","state":"draining","remaining_ms":1234}],"next_token":null}`))
	})
	node := &Node{settings: settings.Settings{CloudAPI: settings.CloudAPI{Address: address}}}
	list, err := newRunnerListReader(t.Context(), node).readAll()
	require.NoError(t, err)
	compareGolden(t, "calls-to-platform.txt", requests.takeRecorded(address))
	require.Equal(t, []protocol.Runner{
		{ID: "i-1", Service: "desk", Address: "10.3.0.1:9000", Capacity: job.Resources{CPU: 16000, MemMB: 32000, GPU: 4}, Labels: []string{"ssd", "rack=1"}},
		{ID: "i-2", Service: "gpu", Address: "10.3.0.2:9000", Draining: true, RemainingMs: 1234},
	}, list)
}

// fakeGroup stands in for the configuration's group. Each proposal has the same result.
type fakeGroup struct {
	leads   bool
	leader  string
	verdict opconfig.Verdict
	err     error
}

func (g *fakeGroup) Lease() (uint64, time.Duration, bool) { return 1, time.Hour, g.leads }

func (g *fakeGroup) IsLeader() bool { return g.leads }

func (g *fakeGroup) Leader() replica.Member { return replica.Member{Address: g.leader} }

func (g *fakeGroup) Propose(_ []byte, done func(any, error)) { done(g.verdict, g.err) }

// serveOperators serves the operators' API of a node whose configuration is in the given group. It returns the
// URL.
func serveOperators(t *testing.T, configGroup *fakeGroup, current string) string {
	t.Helper()
	config := leader.NewConfiguration(func(*opconfig.Config) {}, func(uint64) {}, slog.New(slog.DiscardHandler))
	config.SetGroup(configGroup)
	if current != "" {
		command, err := opconfig.Change{Version: 1, Content: []byte(current)}.Encode()
		require.NoError(t, err)
		_, err = config.Apply(1, command)
		require.NoError(t, err)
	}
	node := &Node{self: replica.Member{Address: "here"}, peers: newPeers("here"), stop: make(chan struct{})}
	node.configAPI = &configAPI{node: node, config: config}
	_, public := node.servers()
	server := httptest.NewServer(public.Handler)
	t.Cleanup(server.Close)
	return server.URL
}

// responseText sends a request and returns the response as received, without its Date header. It replaces the
// folder of the test, which messages of the schema contain.
func responseText(t *testing.T, request *http.Request) string {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func(body io.Closer) { _ = body.Close() }(response.Body)
	response.Header.Del("Date")
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	folder, err := os.Getwd()
	require.NoError(t, err)
	body = bytes.ReplaceAll(body, []byte(folder), []byte("/FOLDER"))
	response.Body, response.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	text, err := httputil.DumpResponse(response, true)
	require.NoError(t, err)
	return strings.ReplaceAll(string(text), "\r\n", "\\r\\n\n") + "\n"
}

// otherLeader is another node, which leads the configuration's group.
type otherLeader struct{ answer any }

func (o otherLeader) HandleOneWay(any) {}

func (o otherLeader) HandleCall(any) any { return o.answer }

func serveOtherLeader(t *testing.T, answer any) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(rpc.Path, rpc.NewServer(otherLeader{answer: answer}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestResponsesToOperatorsMatchGolden checks the status, headers and body of each response to an operator.
func TestResponsesToOperatorsMatchGolden(t *testing.T) {
	const configuration = `{"version":1,"routes":[],"services":[]}`
	leads := func(verdict opconfig.Verdict, err error) *fakeGroup {
		return &fakeGroup{leads: true, leader: "here", verdict: verdict, err: err}
	}
	elsewhere := func(answer any) *fakeGroup { return &fakeGroup{leader: serveOtherLeader(t, answer)} }
	var text strings.Builder
	for _, c := range []struct {
		name, method, path, base, body, current string
		group                                   *fakeGroup
	}{
		{"read", http.MethodGet, "/-/config/get", "", "", configuration, leads(0, nil)},
		{"read, none yet", http.MethodGet, "/-/config/get", "", "", "", leads(0, nil)},
		{"read, no owner", http.MethodGet, "/-/config/get", "", "", "", &fakeGroup{}},
		{"read elsewhere", http.MethodGet, "/-/config/get", "", "", "", elsewhere(protocol.OperatorResponse{Status: 200, Content: []byte(configuration)})},
		{"replace", http.MethodPost, "/-/config/replace", "0", configuration, "", leads(opconfig.Accepted, nil)},
		{"replace, taken before", http.MethodPost, "/-/config/replace", "0", configuration, "", leads(opconfig.AlreadyAccepted, nil)},
		{"replace, conflict", http.MethodPost, "/-/config/replace", "0", configuration, "", leads(opconfig.Conflict, nil)},
		{"replace, stale", http.MethodPost, "/-/config/replace", "0", configuration, "", leads(opconfig.Stale, nil)},
		{"replace, unclear", http.MethodPost, "/-/config/replace", "0", configuration, "", leads(opconfig.Indeterminate, nil)},
		{"replace, lead lost before", http.MethodPost, "/-/config/replace", "0", configuration, "", leads(0, group.ErrNotLeader)},
		{"replace, lead lost after", http.MethodPost, "/-/config/replace", "0", configuration, "", leads(0, group.ErrOutcomeUnknown)},
		{"replace, invalid", http.MethodPost, "/-/config/replace", "0", `{"version":1,"routes":[{}]}`, "", leads(0, errors.New("not asked"))},
		{"replace, not JSON", http.MethodPost, "/-/config/replace", "0", `{`, "", leads(0, nil)},
		{"replace, no base", http.MethodPost, "/-/config/replace", "", configuration, "", leads(0, nil)},
		{"replace, too large", http.MethodPost, "/-/config/replace", "0", strings.Repeat(" ", maxConfigBytes+1), "", leads(0, nil)},
		{"replace elsewhere, refused", http.MethodPost, "/-/config/replace", "0", configuration, "", elsewhere(protocol.OperatorResponse{Status: 412, Reason: "reason"})},
		{"replace elsewhere, odd answer", http.MethodPost, "/-/config/replace", "0", configuration, "", elsewhere(protocol.JobResponse{})},
		{"replace elsewhere, no answer", http.MethodPost, "/-/config/replace", "0", configuration, "", &fakeGroup{leader: "127.0.0.1:1"}},
		{"wrong method", http.MethodGet, "/-/config/replace", "", "", "", leads(0, nil)},
		{"wrong method", http.MethodPost, "/-/config/get", "", "", "", leads(0, nil)},
		{"unknown path", http.MethodGet, "/-/config", "", "", "", leads(0, nil)},
	} {
		request, err := http.NewRequestWithContext(t.Context(), c.method, serveOperators(t, c.group, c.current)+c.path, strings.NewReader(c.body))
		require.NoError(t, err)
		if c.base != "" {
			request.Header.Set("Base-Version", c.base)
		}
		fmt.Fprintf(&text, "== %s: %s %s\n%s", c.name, c.method, c.path, responseText(t, request))
	}
	compareGolden(t, "answers-to-operators.txt", text.String())
}
