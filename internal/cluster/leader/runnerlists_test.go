package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/protocol"
)

// TestListReadInAnEndedEpochIsDropped guards against a list that was read while the reader changed: it counts
// neither as read nor as sent in the node's next epoch.
func TestListReadInAnEndedEpochIsDropped(t *testing.T) {
	var lists leader.RunnerLists
	older, newer := []protocol.Runner{{ID: "i-1"}}, []protocol.Runner{{ID: "i-2"}}
	lists.SetEpoch(3)
	lists.SetEpoch(0)
	_, _, ok := lists.Read(time.Hour, 3, older)
	require.False(t, ok, "this node leads no more")
	require.True(t, lists.Accept(protocol.RunnerList{Epoch: 4, Sequence: 1, List: newer}))
	lists.SetEpoch(5)
	_, _, ok = lists.Read(time.Hour, 3, older)
	require.False(t, ok, "the read began in another epoch")
	require.Equal(t, newer, lists.Newest().List)
	list, send, ok := lists.Read(time.Hour, 5, newer)
	require.True(t, ok)
	require.True(t, send, "the first list of an epoch is sent although it has not changed")
	require.Equal(t, uint64(5), list.Epoch)
}

func TestListIsSentIfItHasChangedOrLongAfterTheLast(t *testing.T) {
	var lists leader.RunnerLists
	lists.SetEpoch(1)
	now := time.Hour
	for _, test := range []struct {
		after time.Duration
		id    string
		send  bool
	}{
		{0, "i-1", true},
		{time.Second, "i-1", false},
		{time.Second, "i-2", true},
		{2 * time.Second, "i-2", false},
		{2 * time.Second, "i-2", true},
	} {
		now += test.after
		_, send, ok := lists.Read(now, 1, []protocol.Runner{{ID: test.id}})
		require.True(t, ok)
		require.Equal(t, test.send, send, "at %v", now)
	}
}

func TestOlderListIsNotAccepted(t *testing.T) {
	var lists leader.RunnerLists
	require.True(t, lists.Accept(protocol.RunnerList{Epoch: 2, Sequence: 1}))
	require.False(t, lists.Accept(protocol.RunnerList{Epoch: 2, Sequence: 1}), "the same")
	require.False(t, lists.Accept(protocol.RunnerList{Epoch: 1, Sequence: 9}), "of the former reader")
	require.True(t, lists.Accept(protocol.RunnerList{Epoch: 2, Sequence: 2}))
}

func TestApplicantGetsTheListOnce(t *testing.T) {
	var lists leader.RunnerLists
	_, send := lists.JoinRequested(time.Hour, "10.0.0.9:1")
	require.False(t, send, "this node is not the leader")
	lists.SetEpoch(1)
	_, send = lists.JoinRequested(time.Hour, "10.0.0.8:1")
	require.False(t, send, "it has read no list yet")
	_, _, ok := lists.Read(time.Hour, 1, []protocol.Runner{{ID: "i-1"}})
	require.True(t, ok)
	list, send := lists.JoinRequested(time.Hour, "10.0.0.7:1")
	require.True(t, send)
	require.Len(t, list.List, 1)
	_, send = lists.JoinRequested(time.Hour, "10.0.0.7:1")
	require.False(t, send)
	require.Equal(t, []string{"10.0.0.8:1", "10.0.0.7:1", "10.0.0.9:1"}, lists.Recipients(time.Hour, []string{"10.0.0.8:1"}))
}
