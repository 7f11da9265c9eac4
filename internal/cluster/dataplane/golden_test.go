package dataplane

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/rpc"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
	"basaltloft/internal/cluster/settings"
	"basaltloft/internal/shared/goldentest"
)

// goldenAnswers is the file with the responses of commit 352ebf2, on which clients depend.
const goldenAnswers = "testdata/answers-to-clients.txt"

const goldenConfiguration = `{"version":5,"routes":[{"name":"route","host":"h.example","path_prefix":"/q/","timeout_ms":3000,"target_ms":250.5,` +
	`"priority":2,"backend":"desk","retries":3,"extension":1.5}],"services":[{"name":"desk","guards":true}],"limits":{"max_body_bytes":64}}`

// fakeLeader is the leader of all shards and returns one response to all requests.
type fakeLeader struct {
	response protocol.JobResponse

	mu       sync.Mutex
	requests []any
}

// HandleOneWay implements rpc.Handler.
func (l *fakeLeader) HandleOneWay(any) {}

// HandleCall implements rpc.Handler.
func (l *fakeLeader) HandleCall(body any) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, body)
	return l.response
}

// newGoldenFixture returns a clientHandler with the golden configuration and a leader with one response.
func newGoldenFixture(t *testing.T, response protocol.JobResponse) (*fixture, *fakeLeader) {
	t.Helper()
	leader := &fakeLeader{response: response}
	mux := http.NewServeMux()
	mux.Handle(rpc.Path, rpc.NewServer(leader))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	f := newFixture()
	f.watcher.Watcher = router.NewWatcher("edge", []string{address}, 2*time.Second, slog.New(slog.DiscardHandler))
	f.watcher.HandleResponse(address, f.now, protocol.WatchResponse{
		Leads: true, Version: 5, Content: []byte(goldenConfiguration), Owners: []string{address, address, address, address}, Cores: []string{address},
	})
	t.Cleanup(f.watcher.nodes.Close)
	return f, leader
}

// clientRequest returns a request of a client to the golden host.
func clientRequest(ctx context.Context, method, path, body string) *http.Request {
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	request.Host = "h.example"
	return request
}

// answerText returns a response as the handler writes it; net/http adds the date and the length.
func answerText(t *testing.T, recorded *httptest.ResponseRecorder) string {
	t.Helper()
	response := recorded.Result()
	defer func() { require.NoError(t, response.Body.Close()) }()
	response.ContentLength = int64(recorded.Body.Len())
	text, err := httputil.DumpResponse(response, true)
	require.NoError(t, err)
	return strings.ReplaceAll(string(text), "\r\n", "\\r\\n\n") + "\n"
}

// TestAnswersToClientsAsBefore: the status, headers and body of each kind of response are the golden ones.
func TestAnswersToClientsAsBefore(t *testing.T) {
	const id = "/q/0123456789abcdef"
	type exchange struct {
		name, method, path, body string
		response                 protocol.JobResponse
	}
	exchanges := []exchange{
		{"handed in", http.MethodPost, id, "{}", protocol.JobResponse{Status: 200}},
		{"cancelled", http.MethodDelete, id, "", protocol.JobResponse{Status: 200}},
		{"count", http.MethodGet, "/q/", "", protocol.JobResponse{Status: 200, Pending: 42}},
		{"not JSON as it should be", http.MethodPost, id, "{}", protocol.JobResponse{Status: 400, Reason: "reason"}},
		{"no such queue any more", http.MethodPost, id, "{}", protocol.JobResponse{Status: 404, Reason: "reason"}},
		{"another job has the ID", http.MethodPost, id, "{}", protocol.JobResponse{Status: 409, Reason: "reason"}},
		{"no such job", http.MethodGet, id, "", protocol.JobResponse{Status: 410, Reason: "reason"}},
		{"cancelled before", http.MethodPost, id, "{}", protocol.JobResponse{Status: 503, Never: true, Reason: "reason"}},
		{"busy", http.MethodPost, id, "{}", protocol.JobResponse{Status: 503, RetryAfterMs: 1001, Reason: "reason"}},
		{"busy for a moment", http.MethodPost, id, "{}", protocol.JobResponse{Status: 503, RetryAfterMs: 1, Reason: "reason"}},
		{"outcome not known", http.MethodPost, id, "{}", protocol.JobResponse{Status: 502, Unknown: true, Reason: "reason"}},
		{"state not known", http.MethodGet, id, "", protocol.JobResponse{Status: 502, Unknown: true, Reason: "reason"}},
		{"no owner", http.MethodGet, id, "", protocol.JobResponse{}},
		{"a newer configuration that never comes", http.MethodPost, id, "{}", protocol.JobResponse{Status: 503, Moved: 6, Reason: "reason"}},
		{"body too large", http.MethodPost, id, strings.Repeat("x", 65), protocol.JobResponse{Status: 200}},
		{"no such queue", http.MethodGet, "/other/", "", protocol.JobResponse{Status: 200}},
		{"wrong method", http.MethodPut, id, "", protocol.JobResponse{Status: 200}},
		{"no ID", http.MethodPost, "/q/", "{}", protocol.JobResponse{Status: 200}},
	}
	for state := job.StatePending; state <= job.StateCanceled; state++ {
		exchanges = append(exchanges, exchange{"state", http.MethodGet, id, "", protocol.JobResponse{Status: 200, State: state}})
	}
	var text strings.Builder
	for _, e := range exchanges {
		f, _ := newGoldenFixture(t, e.response)
		recorded := httptest.NewRecorder()
		f.ServeHTTP(recorded, clientRequest(t.Context(), e.method, e.path, e.body))
		fmt.Fprintf(&text, "== %s: %s %s\n%s", e.name, e.method, e.path, answerText(t, recorded))
	}
	f, _ := newGoldenFixture(t, protocol.JobResponse{Status: 200})
	f.draining = func() bool { return true }
	recorded := httptest.NewRecorder()
	f.ServeHTTP(recorded, clientRequest(t.Context(), http.MethodPost, id, "{}"))
	fmt.Fprintf(&text, "== a process that leaves\n%s", answerText(t, recorded))
	recorded = httptest.NewRecorder()
	newFixture().ServeHTTP(recorded, clientRequest(t.Context(), http.MethodPost, id, "{}"))
	fmt.Fprintf(&text, "== no configuration\n%s", answerText(t, recorded))

	goldentest.Equal(t, goldenAnswers, []byte(text.String()))
}

// TestMessagesToLeadersAsBefore: clients' requests reach the leader as messages with these fields.
func TestMessagesToLeadersAsBefore(t *testing.T) {
	const id = "0123456789abcdef"
	shard := protocol.ShardOf("desk")
	for _, c := range []struct {
		method, path, body string
		wanted             any
	}{
		{http.MethodPost, "/q/" + id, `{"a":1}`, protocol.SubmitRequest{
			Shard: shard, Queue: "h.example/q/", ID: id, Body: []byte(`{"a":1}`), Version: 5,
			Route: opconfig.Route{
				Name: "route", Host: "h.example", PathPrefix: "/q/", TimeoutMs: 3000, TargetMs: 250.5, Priority: 2, Backend: "desk", Retries: 3, Extension: 1.5,
			},
		}},
		{http.MethodGet, "/q/" + id, "", protocol.JobRequest{Verb: protocol.GetJobState, Shard: shard, Queue: "h.example/q/", ID: id, Version: 5}},
		{http.MethodGet, "/q/", "", protocol.JobRequest{Verb: protocol.CountPending, Shard: shard, Queue: "h.example/q/", Version: 5}},
		{http.MethodDelete, "/q/" + id, "", protocol.JobRequest{Verb: protocol.CancelJob, Shard: shard, Queue: "h.example/q/", ID: id, Version: 5}},
	} {
		f, leader := newGoldenFixture(t, protocol.JobResponse{Status: 200})
		f.ServeHTTP(httptest.NewRecorder(), clientRequest(t.Context(), c.method, c.path, c.body))
		leader.mu.Lock()
		require.Equal(t, []any{c.wanted}, leader.requests, "%s %s", c.method, c.path)
		leader.mu.Unlock()
	}
}

// TestHashOfABodyAsBefore: the hash is stored and sent, so it must be the same in all builds.
func TestHashOfABodyAsBefore(t *testing.T) {
	require.Equal(t, uint64(0xc8751d5fdc127498), leader.BodyHash([]byte(`{"stages":[{"count":1}]}`)))
}

// TestReadinessAsBefore: the platform's readiness probe gets the same responses as before.
func TestReadinessAsBefore(t *testing.T) {
	f, _ := newGoldenFixture(t, protocol.JobResponse{})
	dispatcher := &Dispatcher{settings: settings.Settings{}, watcher: f.watcher}
	probe := func() (int, string) {
		recorded := httptest.NewRecorder()
		dispatcher.serveReady(recorded, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil))
		body, err := io.ReadAll(recorded.Body)
		require.NoError(t, err)
		return recorded.Code, string(body)
	}
	code, body := probe()
	require.Equal(t, http.StatusOK, code)
	require.Empty(t, body)
	dispatcher.draining.Store(true)
	code, body = probe()
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Empty(t, body)
}
