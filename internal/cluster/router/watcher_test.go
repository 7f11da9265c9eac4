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

// leaderResponse returns the response of the leader core-0, with the configuration or without.
func leaderResponse(version int, withContent bool) protocol.WatchResponse {
	response := protocol.WatchResponse{Leads: true, Leader: "core-0", Version: int64(version)}
	if withContent {
		response.Content = emptyConfig(version)
	}
	return response
}

// TestViewIsValidWhileConfirmed: its age counts from the request, not from the response, and
// only a node that still held the lease after it had read confirms it.
func TestViewIsValidWhileConfirmed(t *testing.T) {
	w := router.NewWatcher("edge", []string{"core-0", "core-1"}, 2*time.Second, slog.New(slog.DiscardHandler))
	_, ok := w.Current(0)
	require.False(t, ok, "there is none yet")
	require.True(t, w.HandleResponse("core-0", 10*time.Second, leaderResponse(5, true)))
	v, ok := w.Current(10*time.Second + 1649*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, int64(5), v.Config.Version)
	_, ok = w.Current(10*time.Second + 1650*time.Millisecond)
	require.False(t, ok, "a newer one may have been in force for as long as is allowed")

	stale := leaderResponse(5, false)
	stale.Leads = false
	require.False(t, w.HandleResponse("core-0", 11*time.Second, stale))
	_, ok = w.Current(11*time.Second + 700*time.Millisecond)
	require.False(t, ok, "a node that is not the leader confirms nothing")

	require.True(t, w.HandleResponse("core-0", 12*time.Second, leaderResponse(4, true)))
	v, ok = w.Current(12 * time.Second)
	require.Equal(t, int64(5), v.Config.Version, "it never goes back")
	require.False(t, ok, "an older version does not confirm a newer one")
	require.True(t, w.HandleResponse("core-0", 12*time.Second, leaderResponse(5, false)))
	_, ok = w.Current(12 * time.Second)
	require.True(t, ok)
	require.True(t, w.HandleResponse("core-0", 11*time.Second, leaderResponse(5, false)), "a response that was overtaken")
	_, ok = w.Current(13 * time.Second)
	require.True(t, ok)
}

// TestWatchWaitFitsTheBound: on any deployment, the wait of a request is a part of the time for
// which its response keeps the view valid.
func TestWatchWaitFitsTheBound(t *testing.T) {
	for _, applyWithin := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second} {
		w := router.NewWatcher("edge", []string{"core-0"}, applyWithin, slog.New(slog.DiscardHandler))
		w.HandleResponse("core-0", 0, leaderResponse(1, true))
		_, request := w.NextRequest(0)
		wait := time.Duration(request.WaitMs) * time.Millisecond
		require.Positive(t, wait)
		_, ok := w.Current(2 * wait)
		require.True(t, ok, "with a bound of %v and a wait of %v, one late response leaves the view unconfirmed", applyWithin, wait)
	}
}

// TestUnknownLeaders: the nodes are asked in turn where no leader is known; a leader that does
// not respond is forgotten.
func TestUnknownLeaders(t *testing.T) {
	w := router.NewWatcher("edge", []string{"core-0", "core-1"}, 2*time.Second, slog.New(slog.DiscardHandler))
	require.NotEqual(t, w.LeaderOf(0, 0), w.LeaderOf(0, 0))
	w.UpdateLeader(0, "core-0", "core-1")
	require.Equal(t, "core-1", w.LeaderOf(0, 0))
	w.UpdateLeader(0, "core-0", "")
	require.Equal(t, "core-1", w.LeaderOf(0, 0), "another node's response says nothing")
	w.RequestFailed("core-1", 0, 0)
	require.NotEqual(t, w.LeaderOf(0, 0), w.LeaderOf(0, 0))
	w.UpdateSeeds([]string{"core-7"})
	seen := map[string]bool{}
	for range 6 {
		seen[w.LeaderOf(1, 0)] = true
	}
	require.True(t, seen["core-7"])
}

// TestUnresponsiveLeaderIsAvoided: the others name a frozen leader until they have another; the
// dispatcher asks them again and finds it, instead of waiting for the frozen one again.
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
	require.NotEqual(t, "core-0", w.LeaderOf(0, now), "nor is a client's request sent to the unresponsive one")
	require.Equal(t, "core-0", w.LeaderOf(0, now+time.Second), "but it is asked again later")
	w.LeaderUnresponsive(0, "core-0", now, now+2*time.Millisecond)
	w.UpdateLeader(0, "core-1", "core-0")
	require.Equal(t, "core-0", w.LeaderOf(0, now+time.Second), "a closed port costs no time, and its process may be back")
}

// TestAllUnresponsive: where every node was unresponsive lately they are asked in turn.
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

// TestHeldRequestConfirmsFromItsReadOn: the leader says how long it held a request before it
// read the version; a part of that counts, since its clock may run fast.
func TestHeldRequestConfirmsFromItsReadOn(t *testing.T) {
	w := router.NewWatcher("edge", []string{"core-0"}, 2*time.Second, slog.New(slog.DiscardHandler))
	response := leaderResponse(5, true)
	response.HeldMs = 500
	require.True(t, w.HandleResponse("core-0", 10*time.Second, response))
	_, ok := w.Current(10*time.Second + 1650*time.Millisecond + 489*time.Millisecond)
	require.True(t, ok)
	_, ok = w.Current(10*time.Second + 1650*time.Millisecond + 490*time.Millisecond)
	require.False(t, ok)
}

// TestLateLeaderIsAskedAgain: a leader that had left one request without a response was avoided for 0.7 s,
// though it responded to others meanwhile.
func TestLateLeaderIsAskedAgain(t *testing.T) {
	w := router.NewWatcher("edge", []string{"a", "b", "c"}, 2*time.Second, slog.New(slog.DiscardHandler))
	w.UpdateLeader(1, "b", "a")
	require.Equal(t, "a", w.LeaderOf(1, time.Hour))
	w.LeaderUnresponsive(1, "a", time.Hour-350*time.Millisecond, time.Hour)
	w.UpdateLeader(1, "b", "a")
	require.NotEqual(t, "a", w.LeaderOf(1, time.Hour), "it may be frozen")
	w.LeaderResponded(1, "a")
	require.Equal(t, "a", w.LeaderOf(1, time.Hour))
}

// TestResponseNamesTheLeader: who responds for a shard leads it, also where it was forgotten as unresponsive.
func TestResponseNamesTheLeader(t *testing.T) {
	w := router.NewWatcher("edge", []string{"a", "b", "c"}, 2*time.Second, slog.New(slog.DiscardHandler))
	w.LeaderResponded(1, "b")
	require.Equal(t, "b", w.LeaderOf(1, time.Hour))
}
