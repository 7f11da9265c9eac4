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

// bench is an ingress in virtual time: each pause moves the clock on, and something may happen.
type bench struct {
	*ingress
	now    time.Duration
	during func() // at each pause
}

func newBench() *bench {
	b := &bench{now: time.Hour, during: func() {}}
	clock := func() time.Duration { return b.now }
	own := &follower{Watcher: router.NewWatcher("edge", []string{"core-0"}, 2*time.Second, slog.New(slog.DiscardHandler)), clock: clock}
	b.ingress = &ingress{follower: own, clock: clock, leaving: func() bool { return false }, pause: func(span time.Duration) {
		b.now += span
		b.during()
	}}
	return b
}

func (b *bench) ask(r *http.Request) int {
	answer := httptest.NewRecorder()
	b.ServeHTTP(answer, r)
	return answer.Code
}

func request() *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/q/0123456789abcdef", nil)
	r.Header.Set("Timeout-Ms", "3000")
	return r
}

// TestARequestWaitsForTheConfiguration: one that comes while this process may not go by what it
// has is answered once it may, by the newest.
func TestARequestWaitsForTheConfiguration(t *testing.T) {
	b := newBench()
	came := b.now
	b.during = func() {
		if b.now-came >= 400*time.Millisecond {
			b.follower.HandleResponse("core-0", b.now, protocol.WatchResponse{Leads: true, Version: 5, Content: []byte(`{"version":5,"routes":[],"services":[]}`)})
		}
	}
	require.Equal(t, http.StatusNotFound, b.ask(request()), "no such queue in version 5")
	require.Less(t, b.now-came, 500*time.Millisecond)
}

// TestAHeldRequestIsGivenUpInTime, well under half of the time that its client gave it.
func TestAHeldRequestIsGivenUpInTime(t *testing.T) {
	b := newBench()
	came := b.now
	require.Equal(t, http.StatusServiceUnavailable, b.ask(request()))
	require.Less(t, b.now-came, 1400*time.Millisecond)
	require.Greater(t, b.now-came, time.Second)
}

func TestAGoneClientIsNotWaitedFor(t *testing.T) {
	b := newBench()
	came := b.now
	ctx, cancel := context.WithCancel(context.Background())
	b.during = cancel
	b.ask(request().WithContext(ctx))
	require.LessOrEqual(t, b.now-came, 2*triesApart)
}

func TestOnlySoManyWait(t *testing.T) {
	b := newBench()
	came := b.now
	b.waiting.Store(mostWaiting)
	require.Equal(t, http.StatusServiceUnavailable, b.ask(request()))
	require.Equal(t, came, b.now, "answered at once")
	require.EqualValues(t, mostWaiting, b.waiting.Load())
	b.waiting.Store(0)
	b.leaving = func() bool { return true }
	require.Equal(t, http.StatusServiceUnavailable, b.ask(request()))
	require.Equal(t, came, b.now, "a process that leaves holds nothing")
}
