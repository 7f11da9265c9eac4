package main

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/internal/cluster/protocol"
)

// TestStatusText: the status shows the lease, the applied index, members that lag behind, a membership
// change in progress, and a replica that has halted.
func TestStatusText(t *testing.T) {
	members := replica.Membership{Voters: []replica.Member{{ID: "x", Address: "10.0.0.1:1"}, {ID: "y", Address: "10.0.0.2:1"}}, Outgoing: []replica.Member{{ID: "x"}}}
	leading := group.Status{Role: replica.Leader, Term: 7, Leads: true, LeaseLeft: 312 * time.Millisecond, Applied: 41, Last: 44, Snapshot: 30, Digest: 0xabcd,
		Members: members, Lacks: map[string]uint64{"x": 0, "y": 3}, Unsynced: 12}
	var text strings.Builder
	require.NoError(t, writeStatus(&text, protocol.StatusResponse{Node: "core-1", Member: members.Voters[0], Version: 12, Groups: []protocol.GroupStatus{
		{Name: "config", Status: leading},
		{Name: "jobs-0", Leader: "10.0.0.2:1", Status: group.Status{Halted: "this program is older", Receiving: 9}},
		{Name: "jobs-1"},
	}}))
	for _, want := range []string{"configuration 12", "here", "312ms", "41", "0000abcd", "1 to 2", "10.0.0.2:1 (y) lacks 3 entries", "12 bytes wait",
		"jobs-0: halted: this program is older", "jobs-0: receives a snapshot, 9 bytes", "none"} {
		require.Contains(t, text.String(), want)
	}
	require.NotContains(t, text.String(), "(x) lacks")
}
