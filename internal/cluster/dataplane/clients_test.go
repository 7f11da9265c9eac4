package dataplane

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
)

// fixture is a clientHandler in virtual time: each pause advances the clock and calls onPause.
type fixture struct {
	*clientHandler
	now     time.Duration
	onPause func()
}

func newFixture() *fixture {
	f := &fixture{now: time.Hour, onPause: func() {}}
	clock := func() time.Duration { return f.now }
	watcher := &configWatcher{Watcher: router.NewWatcher("edge", []string{"core-0"}, 2*time.Second, slog.New(slog.DiscardHandler)), clock: clock}
	f.clientHandler = &clientHandler{watcher: watcher, clock: clock, draining: func() bool { return false }, responseDeadline: func() time.Duration { return never }, pause: func(span time.Duration) {
		f.now += span
		f.onPause()
	}}
	return f
}

// status serves a request and returns the response's status.
func (f *fixture) status(r *http.Request) int {
	recorder := httptest.NewRecorder()
	f.ServeHTTP(recorder, r)
	return recorder.Code
}

// stateRequest returns a request for a job's state, with a timeout of 3 s.
func stateRequest(ctx context.Context) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/q/0123456789abcdef", nil)
	r.Header.Set("Timeout-Ms", "3000")
	return r
}

// TestRequestWaitsForConfiguration: a request that arrives while the process has no valid view is served
// as soon as it has one, by the newest version.
func TestRequestWaitsForConfiguration(t *testing.T) {
	f := newFixture()
	arrived := f.now
	f.onPause = func() {
		if f.now-arrived >= 400*time.Millisecond {
			f.watcher.HandleResponse("core-0", f.now, protocol.WatchResponse{Leads: true, Version: 5, Content: []byte(`{"version":5,"routes":[],"services":[]}`)})
		}
	}
	require.Equal(t, http.StatusNotFound, f.status(stateRequest(t.Context())), "no such queue in version 5")
	require.Less(t, f.now-arrived, 500*time.Millisecond)
}

// TestWaitingRequestTimesOut: a waiting request is rejected before half of the client's timeout.
func TestWaitingRequestTimesOut(t *testing.T) {
	f := newFixture()
	arrived := f.now
	require.Equal(t, http.StatusServiceUnavailable, f.status(stateRequest(t.Context())))
	require.Less(t, f.now-arrived, 1400*time.Millisecond)
	require.Greater(t, f.now-arrived, time.Second)
}

// TestWaitEndsWhenClientDisconnects: a request of a client that has disconnected doesn't go on waiting.
func TestWaitEndsWhenClientDisconnects(t *testing.T) {
	f := newFixture()
	arrived := f.now
	ctx, cancel := context.WithCancel(t.Context())
	f.onPause = cancel
	f.status(stateRequest(ctx))
	require.LessOrEqual(t, f.now-arrived, 2*retryPause)
}

// TestWaitingRequestsAreBounded: no request waits above the bound or during the drain.
func TestWaitingRequestsAreBounded(t *testing.T) {
	f := newFixture()
	arrived := f.now
	f.waiting.Store(maxWaiting)
	require.Equal(t, http.StatusServiceUnavailable, f.status(stateRequest(t.Context())))
	require.Equal(t, arrived, f.now, "answered at once")
	require.EqualValues(t, maxWaiting, f.waiting.Load())
	f.waiting.Store(0)
	f.draining = func() bool { return true }
	require.Equal(t, http.StatusServiceUnavailable, f.status(stateRequest(t.Context())))
	require.Equal(t, arrived, f.now, "no request waits during the drain")
}

// TestRetriedRequestsAreAnsweredBeforeExit guards against connections cut at exit (LOST around a SIGTERM):
// while a shard had no leader that responded, a draining dispatcher retried requests for longer than the
// process ran.
func TestRetriedRequestsAreAnsweredBeforeExit(t *testing.T) {
	f, _ := newGoldenFixture(t, protocol.JobResponse{Status: protocol.StatusNotLeader})
	arrived := f.now
	f.draining = func() bool { return true }
	f.responseDeadline = func() time.Duration { return arrived + 300*time.Millisecond }
	r := clientRequest(t.Context(), http.MethodPost, "/q/0123456789abcdef", "{}")
	require.Equal(t, http.StatusServiceUnavailable, f.status(r))
	require.Less(t, f.now-arrived, 300*time.Millisecond+retryPause)
	require.Greater(t, f.now-arrived, 300*time.Millisecond-retryPause, "it is retried until then")

	waiting := newFixture() // its request waits for a configuration from before the drain
	arrived = waiting.now
	waiting.onPause = func() { waiting.responseDeadline = func() time.Duration { return arrived + 300*time.Millisecond } }
	require.Equal(t, http.StatusServiceUnavailable, waiting.status(stateRequest(t.Context())))
	require.Less(t, waiting.now-arrived, 300*time.Millisecond+2*retryPause)
}

// TestDrainFitsInGracePeriod guards against a drain that outlasts the grace period: with 2 s a dispatcher
// took 2.1 s to stop, and was killed.
func TestDrainFitsInGracePeriod(t *testing.T) {
	longestRetry := retryTime(stateRequest(t.Context()), nil)
	for grace := 2 * time.Second; grace < 20*time.Second; grace += 100 * time.Millisecond {
		times := newDrainTimes(grace)
		require.LessOrEqual(t, times.serve+times.finish+exitMargin, grace, "grace %v", grace)
		require.GreaterOrEqual(t, times.finish, min(longestRetry+responseMargin, grace/4), "grace %v: requests that are retried get a response", grace)
		require.GreaterOrEqual(t, times.serve, min(minDrainTime, grace/2), "grace %v: new connections are served", grace)
	}
}

// TestRetriesAreRare guards against an overload by retries: while a leader was late and the other nodes
// still named it as the leader, each pending request was sent to them forty times a second, so that their
// messages did not reach the leader.
func TestRetriesAreRare(t *testing.T) {
	const late = "127.0.0.1:1"
	f, other := newGoldenFixture(t, protocol.JobResponse{Status: protocol.StatusNotLeader, Owner: late})
	shard := protocol.ShardOf("desk")
	f.watcher.UpdateLeader(shard, "", late)
	f.watcher.LeaderUnresponsive(shard, late, f.now-attemptTimeout, f.now)
	f.watcher.UpdateLeader(shard, "", late)
	arrived := f.now
	requestCount := func() int {
		other.mu.Lock()
		defer other.mu.Unlock()
		return len(other.requests)
	}
	early := 0 // requests within the first 700 ms
	f.onPause = func() {
		if f.now-arrived <= 700*time.Millisecond {
			early = requestCount()
		}
	}
	require.NotEqual(t, http.StatusOK, f.status(clientRequest(t.Context(), http.MethodGet, "/q/0123456789abcdef", "")))
	require.LessOrEqual(t, early, 10)
	require.GreaterOrEqual(t, early, 4, "the end of an election is noticed soon")
}
