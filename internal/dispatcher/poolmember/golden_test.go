package poolmember

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"basaltloft/internal/dispatcher/engine"
	"basaltloft/internal/shared/goldentest"

	"github.com/stretchr/testify/require"
)

var budget = regexp.MustCompile(`X-Budget: \d+\.\d{3}\r\n`)

// TestGoldenRequests checks the requests that members are sent for a job, for its DELETE and as a probe, as of
// commit 352ebf2, except the address and the budget, which is the remaining time. The file must never be
// rewritten by later code.
func TestGoldenRequests(t *testing.T) {
	var seen strings.Builder
	requests := make(chan string, 1)
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := httputil.DumpRequest(r, true)
		if err != nil {
			text = []byte(err.Error())
		}
		requests <- string(text)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer member.Close()
	addr := member.Listener.Addr().String()
	note := func(what string) {
		text := budget.ReplaceAllString(strings.ReplaceAll(<-requests, addr, "ADDRESS"), "X-Budget: SECONDS\r\n")
		seen.WriteString(what + "\n" + text + "\n\n")
	}
	at := &engine.Member{ID: "r-1", Addr: addr}
	deadline := time.Now().Add(time.Minute)
	for _, job := range []*engine.Transaction{
		{ID: "j-1", Class: "hold", Target: "/hold/a%2Fb?sid=7f&x;y=%zz&&", Tenant: "acme", Key: "k", Body: []byte("body")},
		{ID: "j-2", Class: "a class", Deadline: deadline},
	} {
		c := New(nil, Options{ConnectTimeout: time.Second, MaxSubmissions: 4})
		req, err := newRequest(t.Context(), &engine.Flow{Transaction: job, Member: at, Deadline: deadline})
		require.NoError(t, err)
		resp, err := c.roundTripper.RoundTrip(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		note("job " + job.ID)
		require.True(t, c.delete(&engine.Flow{Transaction: job, Member: at}, time.Now().Add(10*time.Second)))
		note("end of " + job.ID)
	}
	for _, stats := range []bool{false, true} {
		New(nil, Options{ConnectTimeout: time.Second, MaxSubmissions: 4, ProbeStats: stats}).probe(at, time.Now().Add(10*time.Second))
		note("probe")
	}
	goldentest.Equal(t, filepath.Join("testdata", "golden", "requests.txt"), []byte(seen.String()))
}
