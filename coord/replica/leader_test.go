package replica_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica"
)

// TestLearnerForgetsUnresponsiveLeader guards against a learner that keeps the ID of an unreachable leader.
// A learner begins no election, so that it would keep the ID until another leader contacts it, and
// operators' calls would be forwarded to the unreachable one.
func TestLearnerForgetsUnresponsiveLeader(t *testing.T) {
	timing := replica.Timing{HeartbeatInterval: 100 * time.Millisecond, LeaseDuration: 420 * time.Millisecond, MinElectionTimeout: 520 * time.Millisecond, ElectionJitter: 260 * time.Millisecond}
	members := replica.Membership{Voters: []replica.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Learners: []replica.Member{{ID: "d"}}}
	persisted := replica.PersistedState{HardState: replica.HardState{Term: 1}, Snapshot: replica.Snapshot{Index: 1, Term: 1, Membership: members}}
	now := time.Hour
	learner := replica.NewNode("d", "g", timing, persisted, 7, now)
	learner.Step(now, replica.Message{Kind: replica.AppendRequest, From: "a", To: "d", Term: 2, Index: 1, LogTerm: 1, SentAt: now})
	require.Equal(t, "a", learner.LeaderID())
	learner.Tick(now + timing.MinElectionTimeout/2)
	require.Equal(t, "a", learner.LeaderID(), "a heartbeat may be late")
	learner.Tick(now + timing.MinElectionTimeout + timing.ElectionJitter)
	require.Empty(t, learner.LeaderID())
	require.Equal(t, replica.Follower, learner.Role(), "it begins no election")
}
