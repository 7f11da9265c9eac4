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

// fixture is a clientHandler in virtual time: each pause advances the clock, and may do more.
type fixture struct {
	*clientHandler
	now     time.Duration
	onPause func()
}

func newFixture() *fixture {
	f := &fixture{now: time.Hour, onPause: func() {}}
	clock := func() time.Duration { return f.now }
	watcher := &configWatcher{Watcher: router.NewWatcher("edge", []string{"core-0"}, 2*time.Second, slog.New(slog.DiscardHandler)), clock: clock}
	f.clientHandler = &clientHandler{watcher: watcher, clock: clock, draining: func() bool { return false }, answerBy: func() time.Duration { return never }, pause: func(span time.Duration) {
		f.now += span
		f.onPause()
	}}
	return f
}

// status serves a request and returns the answer's status.
func (f *fixture) status(r *http.Request) int {
	recorder := httptest.NewRecorder()
	f.ServeHTTP(recorder, r)
	return recorder.Code
}

// stateRequest asks for a job's state, with a time-out of 3 s.
func stateRequest(ctx context.Context) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/q/0123456789abcdef", nil)
	r.Header.Set("Timeout-Ms", "3000")
	return r
}

// TestRequestWaitsForConfiguration: one that arrives while this process has no view that it may
// act on is answered once it has, by the newest version.
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

// TestWaitingRequestTimesOut: it is rejected well under half of the client's time-out.
func TestWaitingRequestTimesOut(t *testing.T) {
	f := newFixture()
	arrived := f.now
	require.Equal(t, http.StatusServiceUnavailable, f.status(stateRequest(t.Context())))
	require.Less(t, f.now-arrived, 1400*time.Millisecond)
	require.Greater(t, f.now-arrived, time.Second)
}

// TestGoneClientIsNotWaitedFor: the wait ends with the client's connection.
func TestGoneClientIsNotWaitedFor(t *testing.T) {
	f := newFixture()
	arrived := f.now
	ctx, cancel := context.WithCancel(t.Context())
	f.onPause = cancel
	f.status(stateRequest(ctx))
	require.LessOrEqual(t, f.now-arrived, 2*retryPause)
}

// TestWaitingRequestsAreBounded: above the bound, and in a process that stops, none waits.
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
	require.Equal(t, arrived, f.now, "in a process that stops no request waits")
}

// TestHeldRequestsAreAnsweredBeforeTheEnd: while a shard had no leader that answered, a dispatcher that was
// told to stop held requests beyond its own end, and cut them off (LOST around a SIGTERM).
func TestHeldRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	f, _ := newGoldenFixture(t, protocol.JobResponse{Status: protocol.StatusNotLeader})
	arrived := f.now
	f.draining = func() bool { return true }
	f.answerBy = func() time.Duration { return arrived + 300*time.Millisecond }
	r := clientRequest(t.Context(), http.MethodPost, "/q/0123456789abcdef", "{}")
	require.Equal(t, http.StatusServiceUnavailable, f.status(r))
	require.Less(t, f.now-arrived, 300*time.Millisecond+retryPause)
	require.Greater(t, f.now-arrived, 300*time.Millisecond-retryPause, "it is held until then")

	waiting := newFixture() // for a configuration, since before it was told to stop
	arrived = waiting.now
	waiting.onPause = func() { waiting.answerBy = func() time.Duration { return arrived + 300*time.Millisecond } }
	require.Equal(t, http.StatusServiceUnavailable, waiting.status(stateRequest(t.Context())))
	require.Less(t, waiting.now-arrived, 300*time.Millisecond+2*retryPause)
}

// TestDrainFitsInTheGrace: with a grace of 2 s a dispatcher took 2.1 s to stop, and was killed.
func TestDrainFitsInTheGrace(t *testing.T) {
	longestHold := retryTime(stateRequest(t.Context()), nil)
	for grace := 2 * time.Second; grace < 20*time.Second; grace += 100 * time.Millisecond {
		times := newDrainTimes(grace)
		require.LessOrEqual(t, times.serve+times.finish+exitMargin, grace, "grace %v", grace)
		require.GreaterOrEqual(t, times.finish, min(longestHold+answerMargin, grace/4), "grace %v: what is held is answered", grace)
		require.GreaterOrEqual(t, times.serve, min(minDrainTime, grace/2), "grace %v: new connections are served", grace)
	}
}

// TestHeldRequestAsksRarely: while a leader was late and the other nodes went on naming it, each request
// that was held asked them forty times a second, and kept them from being heard by it.
func TestHeldRequestAsksRarely(t *testing.T) {
	const late = "127.0.0.1:1"
	f, other := newGoldenFixture(t, protocol.JobResponse{Status: protocol.StatusNotLeader, Owner: late})
	shard := protocol.ShardOf("desk")
	f.watcher.UpdateLeader(shard, "", late)
	f.watcher.LeaderUnresponsive(shard, late, f.now-attemptTimeout, f.now)
	f.watcher.UpdateLeader(shard, "", late)
	arrived := f.now
	asked := func() int {
		other.mu.Lock()
		defer other.mu.Unlock()
		return len(other.requests)
	}
	within := 0
	f.onPause = func() {
		if f.now-arrived <= 700*time.Millisecond {
			within = asked()
		}
	}
	require.NotEqual(t, http.StatusOK, f.status(clientRequest(t.Context(), http.MethodGet, "/q/0123456789abcdef", "")))
	require.LessOrEqual(t, within, 10)
	require.GreaterOrEqual(t, within, 4, "an election's end is not missed")
}
