package controlplane

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/scheduler"
)

// Behaviours of the runner in TestOrderIsSentOnce when it receives an order.
const (
	replies = iota
	closesConnection
	redirects
)

// TestOrderIsSentOnce checks that the client does not resend an order by itself if the runner closes a new or a
// reused connection after reading the order, or replies with a redirect.
func TestOrderIsSentOnce(t *testing.T) {
	var calls, behaviour atomic.Int32
	redirectTarget := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(100) }))
	defer redirectTarget.Close()
	runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		switch behaviour.Load() {
		case closesConnection:
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		case redirects:
			http.Redirect(w, r, redirectTarget.URL, http.StatusTemporaryRedirect)
		default:
			_, _ = w.Write([]byte(`{"clock_ms":5}`))
		}
	}))
	defer runner.Close()
	client := newRunnerClient(t.Context())
	order := scheduler.Order{Kind: scheduler.OrderStart, Address: strings.TrimPrefix(runner.URL, "http://"), Runner: "r"}
	for _, step := range []struct { // in sequence, with the same client
		behaviour int32
		want      scheduler.StartReply
	}{
		{closesConnection, scheduler.StartNoReply},
		{replies, scheduler.StartAccepted},
		{closesConnection, scheduler.StartNoReply},
		{replies, scheduler.StartAccepted},
		{redirects, scheduler.StartRefused},
	} {
		behaviour.Store(step.behaviour)
		calls.Store(0)
		reply, _ := client.start(order)
		require.Equal(t, step.want, reply)
		require.Equal(t, int32(1), calls.Load(), "behaviour %d", step.behaviour)
	}
}

// TestReplyWithoutAReportEndsNoRuns guards against treating runs as ended, and starting their tasks a second
// time, because a runner's reply to a lease renewal is empty.
func TestReplyWithoutAReportEndsNoRuns(t *testing.T) {
	for content, want := range map[string]scheduler.LeaseReply{
		"":               scheduler.LeaseNoReply,
		"null":           scheduler.LeaseNoReply,
		"{}":             scheduler.LeaseNoReply,
		`{"running":[]}`: scheduler.LeaseNoReply,
		`{"clock_ms":5}`: scheduler.LeaseRenewed,
	} {
		runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(content)) }))
		order := scheduler.Order{Kind: scheduler.OrderRenewLease, Address: strings.TrimPrefix(runner.URL, "http://"), Runner: "r"}
		reply, _ := newRunnerClient(t.Context()).renewLease(order)
		runner.Close()
		require.Equal(t, want, reply, "%q", content)
	}
}
