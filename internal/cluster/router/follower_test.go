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

func content(version int) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, version))
}

func leads(version int, with bool) protocol.WatchResponse {
	answer := protocol.WatchResponse{Leads: true, Leader: "core-0", Version: int64(version)}
	if with {
		answer.Content = content(version)
	}
	return answer
}

// TestAViewIsGoneByOnlyWhileItIsConfirmed: its age counts from the question, not from the
// answer, and only a process that still held the lease after it had read confirms it.
func TestAViewIsGoneByOnlyWhileItIsConfirmed(t *testing.T) {
	f := router.NewWatcher("edge", []string{"core-0", "core-1"}, 2*time.Second, slog.New(slog.DiscardHandler))
	_, ok := f.Current(0)
	require.False(t, ok, "there is none yet")
	require.True(t, f.HandleResponse("core-0", 10*time.Second, leads(5, true)))
	v, ok := f.Current(10*time.Second + 1649*time.Millisecond)
	require.True(t, ok)
	require.Equal(t, int64(5), v.Config.Version)
	_, ok = f.Current(10*time.Second + 1650*time.Millisecond)
	require.False(t, ok, "a newer one may have been in force for as long as is allowed")

	stale := leads(5, false)
	stale.Leads = false
	require.False(t, f.HandleResponse("core-0", 11*time.Second, stale))
	_, ok = f.Current(11*time.Second + 700*time.Millisecond)
	require.False(t, ok, "who does not lead confirms nothing")

	require.True(t, f.HandleResponse("core-0", 12*time.Second, leads(4, true)))
	v, ok = f.Current(12 * time.Second)
	require.Equal(t, int64(5), v.Config.Version, "it never goes back")
	require.False(t, ok, "an older version does not confirm a newer one")
	require.True(t, f.HandleResponse("core-0", 12*time.Second, leads(5, false)))
	_, ok = f.Current(12 * time.Second)
	require.True(t, ok)
	require.True(t, f.HandleResponse("core-0", 11*time.Second, leads(5, false)), "an answer that was overtaken")
	_, ok = f.Current(13 * time.Second)
	require.True(t, ok)
}

// TestShortBoundsAreAskedForMoreOften: the wait of a question is a part of the time for which
// its answer may be gone by, on any deployment.
func TestShortBoundsAreAskedForMoreOften(t *testing.T) {
	for _, applyWithin := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second} {
		f := router.NewWatcher("edge", []string{"core-0"}, applyWithin, slog.New(slog.DiscardHandler))
		f.HandleResponse("core-0", 0, leads(1, true))
		_, feed := f.NextRequest(0)
		wait := time.Duration(feed.WaitMs) * time.Millisecond
		require.Positive(t, wait)
		_, ok := f.Current(2 * wait)
		require.True(t, ok, "with a bound of %v and a wait of %v, one late answer leaves the view unconfirmed", applyWithin, wait)
	}
}

// TestOwnersAreFoundByTurns where none is known, and forgotten where they are silent.
func TestOwnersAreFoundByTurns(t *testing.T) {
	f := router.NewWatcher("edge", []string{"core-0", "core-1"}, 2*time.Second, slog.New(slog.DiscardHandler))
	require.NotEqual(t, f.LeaderOf(0, 0), f.LeaderOf(0, 0))
	f.UpdateLeader(0, "core-0", "core-1")
	require.Equal(t, "core-1", f.LeaderOf(0, 0))
	f.UpdateLeader(0, "core-0", "")
	require.Equal(t, "core-1", f.LeaderOf(0, 0), "another one's silence says nothing")
	f.RequestFailed("core-1", 0, 0)
	require.NotEqual(t, f.LeaderOf(0, 0), f.LeaderOf(0, 0))
	f.UpdateSeeds([]string{"core-7"})
	seen := map[string]bool{}
	for range 6 {
		seen[f.LeaderOf(1, 0)] = true
	}
	require.True(t, seen["core-7"])
}

// TestASilentOwnerIsPassedBy: the others name a frozen owner until they have a new one; the
// dispatcher asks them again and finds the new one, instead of waiting for the frozen one anew.
func TestASilentOwnerIsPassedBy(t *testing.T) {
	cores := []string{"core-0", "core-1", "core-2"}
	f := router.NewWatcher("edge", cores, 2*time.Second, slog.New(slog.DiscardHandler))
	require.True(t, f.HandleResponse("core-0", 0, leads(5, true)))
	asked, now := time.Second, 1900*time.Millisecond
	f.RequestFailed("core-0", asked, now)
	for range 6 {
		target, _ := f.NextRequest(now)
		require.NotEqual(t, "core-0", target)
		require.False(t, f.HandleResponse(target, now, protocol.WatchResponse{Leader: "core-0"}))
	}
	require.False(t, f.HandleResponse("core-1", now, protocol.WatchResponse{Leader: "core-2"}))
	target, _ := f.NextRequest(now)
	require.Equal(t, "core-2", target, "the new owner")

	f.UpdateLeader(0, "core-1", "core-0")
	require.NotEqual(t, "core-0", f.LeaderOf(0, now), "nor is a client's request sent to the silent one")
	require.Equal(t, "core-0", f.LeaderOf(0, now+time.Second), "but it is asked again later")
	f.LeaderUnresponsive(0, "core-0", now, now+2*time.Millisecond)
	f.UpdateLeader(0, "core-1", "core-0")
	require.Equal(t, "core-0", f.LeaderOf(0, now+time.Second), "a closed port costs no time, and its process may be back")
}

// TestAllSilent: where every process was silent lately they are asked by turns all the same.
func TestAllSilent(t *testing.T) {
	f := router.NewWatcher("edge", []string{"core-0", "core-1"}, 2*time.Second, slog.New(slog.DiscardHandler))
	f.RequestFailed("core-0", 0, time.Second)
	f.RequestFailed("core-1", 0, time.Second)
	seen := map[string]bool{}
	for range 4 {
		target, _ := f.NextRequest(time.Second)
		seen[target] = true
		f.RequestFailed(target, time.Second, time.Second)
	}
	require.Len(t, seen, 2)
}

// TestAHeldQuestionConfirmsFromItsReadingOn: the owner says how long it held a question before
// it read the version; less a part, since its clock may run fast.
func TestAHeldQuestionConfirmsFromItsReadingOn(t *testing.T) {
	f := router.NewWatcher("edge", []string{"core-0"}, 2*time.Second, slog.New(slog.DiscardHandler))
	answer := leads(5, true)
	answer.HeldMs = 500
	require.True(t, f.HandleResponse("core-0", 10*time.Second, answer))
	_, ok := f.Current(10*time.Second + 1650*time.Millisecond + 489*time.Millisecond)
	require.True(t, ok)
	_, ok = f.Current(10*time.Second + 1650*time.Millisecond + 490*time.Millisecond)
	require.False(t, ok)
}
