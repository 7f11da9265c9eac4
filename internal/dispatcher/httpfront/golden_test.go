package httpfront

import (
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/dispatcher/logging/logtest"
	"basaltloft/internal/dispatcher/pipeline"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

// transcript collects text that the test and the server's goroutines write.
type transcript struct {
	mu   sync.Mutex
	text strings.Builder
}

func (w *transcript) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// recordingEngine is an engine that answers each job as its id specifies, and a transaction factory. It records
// the submissions and the callbacks.
type recordingEngine struct {
	ready bool
	calls *transcript
}

func (h *recordingEngine) NewTransaction(a pipeline.Submission, arrived time.Time, c engine.Client) (*engine.Transaction, error) {
	budget := time.Duration(0)
	if !a.ClientDeadline.IsZero() {
		budget = a.ClientDeadline.Sub(arrived)
	}
	_, _ = fmt.Fprintf(h.calls, "  taken in: id %q class %q tenant %q target %q front %q key %q body %q retry %t subject %q budget %s cost %s slots %g memory %g\n",
		a.ID, a.Class, a.Tenant, a.Target, a.Front, a.Key, a.Body, a.Retry, a.AffinityKey, budget, a.Hint, a.Slots, a.Memory)
	switch a.Class {
	case "nothing":
		return nil, fmt.Errorf("class %q: %w", a.Class, pipeline.ErrUnknownClass)
	case "wrong":
		return nil, errors.New("what is wrong")
	}
	return &engine.Transaction{ID: a.ID, Class: a.Class, Client: c}, nil
}

func (h *recordingEngine) Submit(t *engine.Transaction) {
	t.Client.Answer(map[string]engine.Answer{
		"served": {Verdict: engine.Served, Body: []byte("the result\n")}, "empty": {Verdict: engine.Served}, "refused": {Verdict: engine.Refused},
		"later": {Verdict: engine.Refused, RetryAt: time.Now().Add(-time.Second)}, "failed": {Verdict: engine.Failed}, "denied": {Verdict: engine.Denied, Body: []byte("why\n")},
	}[t.ID])
}

func (h *recordingEngine) ClientLeft(*engine.Transaction) {}

func (h *recordingEngine) HandleJobUpdate(n engine.JobUpdate) bool {
	_, _ = fmt.Fprintf(h.calls, "  news: id %q member %q started %t running %t share %g ended %t status %d result %q\n", n.ID, n.Member, n.Started, n.Running, n.Progress, n.Ended, n.Status, n.Result)
	return true
}
func (h *recordingEngine) Ready() bool { return h.ready }

// requests are requests of clients, health checks and members' callbacks: method and path, headers, and body,
// separated by |.
var requests = []string{
	"POST /hold/a%2Fb?sid=7f&x;y=%zz&& | X-Call-Id: served | body",
	"POST /hold?sid=7 | X-Call-Id: served, X-Call-Class: hold, X-Caller: acme, X-Budget: 9.5, X-Call-Cost: 4000, X-Call-Info: slots=2;memory=0.5;new=1, Idempotency-Key: k, X-Again: 1 | body",
	"POST /hold | X-Call-Id: served, X-Call-Info: width=3 | ", "POST /hold | X-Call-Id: empty | ", "POST /hold | X-Call-Id: refused | ", "POST /hold | X-Call-Id: later | ",
	"POST /hold | X-Call-Id: failed | ", "POST /hold | X-Call-Id: denied | ", "POST /nothing | X-Call-Id: served | ", "POST /wrong | X-Call-Id: served | ",
	"GET /hold | X-Call-Id: served | ", "POST /hold | X-Call-Class: ticket | ", "POST /hold | X-Budget: 0 | ", "POST /hold | X-Call-Cost: much | ", "POST /hold | X-Call-Info: slots=many | ",
	"GET /health/ready |  | ", "HEAD /health/ready |  | ", "POST /health/ready |  | ", "GET /health/live |  | ", "POST /health/live |  | body",
	`POST /_jobs/news |  | {"id":"j","from":"m","state":"started"}`, `POST /_jobs/news |  | {"id":"j","from":"m","state":"running","share":0.5}`,
	`POST /_jobs/news |  | {"id":"j","from":"m","state":"done","result":"paid"}`, `POST /_jobs/news |  | {"id":"j","from":"m","state":"failed","result":"no"}`,
	`POST /_jobs/news |  | {"id":"j","from":"m","state":"returned"}`, `POST /_jobs/news |  | {"id":"j","from":"m","state":"lost"}`, `POST /_jobs/news |  | {"id":"j","from":"m","state":"new"}`,
	"POST /_jobs/news |  | {", "GET /_jobs/news |  | ",
}

var date = regexp.MustCompile(`Date: [^\r]*\r\n`)

// TestGoldenAnswers compares each kind of answer at the clients' address, byte for byte except for its date, and
// what is read from each request, with the golden file written by commit 352ebf2. The file must never be
// rewritten by later code.
func TestGoldenAnswers(t *testing.T) {
	var b transcript
	log := logtest.Discard()
	for _, ready := range []bool{true, false} {
		h := &recordingEngine{ready: ready, calls: &b}
		s := New(h, h, log)
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		served := make(chan error, 1)
		go func() { served <- s.Serve(l, 10) }()
		_, _ = fmt.Fprintf(&b, "ready %t\n", ready)
		for _, call := range requests {
			parts := strings.SplitN(call, " | ", 3)
			_, _ = fmt.Fprintln(&b, call)
			_, _ = fmt.Fprintf(&b, "%q\n", exchange(t, l.Addr().String(), parts[0], strings.TrimSpace(parts[1]), parts[len(parts)-1]))
		}
		_ = s.server.Close()
		require.NoError(t, <-served)
	}
	goldentest.Equal(t, filepath.Join("testdata", "golden", "answers.txt"), []byte(b.text.String()))
}

// exchange sends one request on a connection of its own and returns the complete answer.
func exchange(t *testing.T, addr, line, headers, body string) string {
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", addr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	request := line + " HTTP/1.1\r\nHost: app\r\nConnection: close\r\n"
	for header := range strings.SplitSeq(headers, ", ") {
		if header != "" {
			request += strings.ReplaceAll(header, ";", ",") + "\r\n"
		}
	}
	_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", request, len(body), body)
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	return date.ReplaceAllString(string(answer), "")
}
