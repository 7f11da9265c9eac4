package router_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
)

// emptyConfig returns a configuration without routes.
func emptyConfig(version int) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, version))
}

// leaderResponse returns a response of the leader core-0, with the content of the configuration or without.
func leaderResponse(version int, withContent bool) protocol.WatchResponse {
	response := protocol.WatchResponse{Leads: true, Leader: "core-0", Version: int64(version)}
	if withContent {
		response.Content = emptyConfig(version)
	}
	return response
}

// TestViewIsValidWhileConfirmed checks that the age of a view counts from the request, not from the response,
// and that only a response of the leader confirms the view.
func TestViewIsValidWhileConfirmed(t *testing.T) {
	w := router.NewWatcher("edge", []string{"core-0", "core-1"}, 2*time.Second, slog.New(slog.DiscardHandler))
	_, ok := w.Current(0)
	require.False(t, ok, "there is no view yet")
	require.True(t, w.HandleResponse("core-0", 10*time.Second, leaderResponse(5, true)))
	v, ok := w.Current(10*time.Second + 1649*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, int64(5), v.Config.Version)
	_, ok = w.Current(10*time.Second + 1650*time.Millisecond)
	require.False(t, ok, "a newer version may have been in force for as long as is allowed")

	stale := leaderResponse(5, false)
	stale.Leads = false
	require.False(t, w.HandleResponse("core-0", 11*time.Second, stale))
	_, ok = w.Current(11*time.Second + 700*time.Millisecond)
	require.False(t, ok, "a node that is not the leader confirms nothing")

	require.True(t, w.HandleResponse("core-0", 12*time.Second, leaderResponse(4, true)))
	v, ok = w.Current(12 * time.Second)
	require.Equal(t, int64(5), v.Config.Version, "the view never goes back to an older version")
	require.False(t, ok, "an older version does not confirm a newer one")
	require.True(t, w.HandleResponse("core-0", 12*time.Second, leaderResponse(5, false)))
	_, ok = w.Current(12 * time.Second)
	require.True(t, ok)
	require.True(t, w.HandleResponse("core-0", 11*time.Second, leaderResponse(5, false)), "a response to an earlier request that arrives late")
	_, ok = w.Current(13 * time.Second)
	require.True(t, ok)
}

// TestWatchWaitFitsTheBound checks for various bounds that a watch request waits for only a part of the time
// for which its response keeps the view valid.
func TestWatchWaitFitsTheBound(t *testing.T) {
	for _, applyWithin := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second} {
		w := router.NewWatcher("edge", []string{"core-0"}, applyWithin, slog.New(slog.DiscardHandler))
		w.HandleResponse("core-0", 0, leaderResponse(1, true))
		_, request := w.NextRequest(0)
		wait := time.Duration(request.WaitMs) * time.Millisecond
		require.Positive(t, wait)
		_, ok := w.Current(2 * wait)
		require.True(t, ok, "with a bound of %v and a wait of %v, one late response makes the view invalid", applyWithin, wait)
	}
}

// TestUnknownLeaders checks that requests go to the nodes in round-robin order if no leader is known, and that
// a leader that doesn't respond is no longer recorded as leader.
func TestUnknownLeaders(t *testing.T) {
	w := router.NewWatcher("edge", []string{"core-0", "core-1"}, 2*time.Second, slog.New(slog.DiscardHandler))
	require.NotEqual(t, w.LeaderOf(0, 0), w.LeaderOf(0, 0))
	w.UpdateLeader(0, "core-0", "core-1")
	require.Equal(t, "core-1", w.LeaderOf(0, 0))
	w.UpdateLeader(0, "core-0", "")
	require.Equal(t, "core-1", w.LeaderOf(0, 0), "a node that isn't the recorded leader and knows none changes nothing")
	w.RequestFailed("core-1", 0, 0)
	require.NotEqual(t, w.LeaderOf(0, 0), w.LeaderOf(0, 0))
	w.UpdateSeeds([]string{"core-7"})
	seen := map[string]bool{}
	for range 6 {
		seen[w.LeaderOf(1, 0)] = true
	}
	require.True(t, seen["core-7"])
}

// TestUnresponsiveLeaderIsAvoided checks that a dispatcher doesn't wait for a frozen leader again while the
// other nodes still name it: it asks them until they name the new leader.
func TestUnresponsiveLeaderIsAvoided(t *testing.T) {
	cores := []string{"core-0", "core-1", "core-2"}
	w := router.NewWatcher("edge", cores, 2*time.Second, slog.New(slog.DiscardHandler))
	require.True(t, w.HandleResponse("core-0", 0, leaderResponse(5, true)))
	sentAt, now := time.Second, 1900*time.Millisecond
	w.RequestFailed("core-0", sentAt, now)
	for range 6 {
		address, _ := w.NextRequest(now)
		require.NotEqual(t, "core-0", address)
		require.False(t, w.HandleResponse(address, now, protocol.WatchResponse{Leader: "core-0"}))
	}
	require.False(t, w.HandleResponse("core-1", now, protocol.WatchResponse{Leader: "core-2"}))
	address, _ := w.NextRequest(now)
	require.Equal(t, "core-2", address, "the new leader")

	w.UpdateLeader(0, "core-1", "core-0")
	require.NotEqual(t, "core-0", w.LeaderOf(0, now), "no client's request goes to the unresponsive leader either")
	require.Equal(t, "core-0", w.LeaderOf(0, now+time.Second), "it is used again later")
	w.LeaderUnresponsive(0, "core-0", now, now+2*time.Millisecond)
	w.UpdateLeader(0, "core-1", "core-0")
	require.Equal(t, "core-0", w.LeaderOf(0, now+time.Second), "a closed port costs no time, and the process may be running again")
}

// TestAllUnresponsive checks that requests go to all nodes in round-robin order if every node was unresponsive
// recently.
func TestAllUnresponsive(t *testing.T) {
	w := router.NewWatcher("edge", []string{"core-0", "core-1"}, 2*time.Second, slog.New(slog.DiscardHandler))
	w.RequestFailed("core-0", 0, time.Second)
	w.RequestFailed("core-1", 0, time.Second)
	seen := map[string]bool{}
	for range 4 {
		address, _ := w.NextRequest(time.Second)
		seen[address] = true
		w.RequestFailed(address, time.Second, time.Second)
	}
	require.Len(t, seen, 2)
}

// TestHeldRequestConfirmsFromTheRead checks that a view is confirmed as of the time when the leader read the
// version. The leader reports how long it held the request before that, of which only a part counts, since
// the leader's clock may run fast.
func TestHeldRequestConfirmsFromTheRead(t *testing.T) {
	w := router.NewWatcher("edge", []string{"core-0"}, 2*time.Second, slog.New(slog.DiscardHandler))
	response := leaderResponse(5, true)
	response.HeldMs = 500
	require.True(t, w.HandleResponse("core-0", 10*time.Second, response))
	_, ok := w.Current(10*time.Second + 1650*time.Millisecond + 489*time.Millisecond)
	require.True(t, ok)
	_, ok = w.Current(10*time.Second + 1650*time.Millisecond + 490*time.Millisecond)
	require.False(t, ok)
}

// TestLateLeaderIsAskedAgain guards against a leader that is avoided for 0.7 s after one request without a
// response, although it responds to other requests meanwhile.
func TestLateLeaderIsAskedAgain(t *testing.T) {
	w := router.NewWatcher("edge", []string{"a", "b", "c"}, 2*time.Second, slog.New(slog.DiscardHandler))
	w.UpdateLeader(1, "b", "a")
	require.Equal(t, "a", w.LeaderOf(1, time.Hour))
	w.LeaderUnresponsive(1, "a", time.Hour-350*time.Millisecond, time.Hour)
	w.UpdateLeader(1, "b", "a")
	require.NotEqual(t, "a", w.LeaderOf(1, time.Hour), "the leader may be frozen")
	w.LeaderResponded(1, "a")
	require.Equal(t, "a", w.LeaderOf(1, time.Hour))
}

// TestResponseSetsTheLeader checks that a node that responds as a shard's leader is recorded as such, even if
// no leader was recorded before.
func TestResponseSetsTheLeader(t *testing.T) {
	w := router.NewWatcher("edge", []string{"a", "b", "c"}, 2*time.Second, slog.New(slog.DiscardHandler))
	w.LeaderResponded(1, "b")
	require.Equal(t, "b", w.LeaderOf(1, time.Hour))
}
