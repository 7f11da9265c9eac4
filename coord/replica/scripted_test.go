package replica_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica"
)

// Each test of this file produces one interleaving, message by message. It checks one safety condition
// that the randomized simulations rarely exercise.

// scripted is one replica, "a", whose peers are simulated by the test.
type scripted struct {
	t    *testing.T
	node *replica.Node
	now  time.Duration
}

// newScripted returns a replica that has just started with the state that its disk holds.
func newScripted(t *testing.T, persisted replica.PersistedState) *scripted {
	t.Helper()
	s := &scripted{t: t, now: electionStart}
	s.node = replica.NewNode("a", "g", timing, persisted, 1, s.now)
	return s
}

func members(ids ...string) []replica.Member {
	var all []replica.Member
	for _, id := range ids {
		all = append(all, replica.Member{ID: id})
	}
	return all
}

// deliver passes the same message to the replica from each of the peers.
func (s *scripted) deliver(message replica.Message, from ...string) {
	for _, id := range from {
		message.From, message.To = id, "a"
		s.node.Step(s.now, message)
	}
}

// sync returns the node's Ready and reports its entries to the node as persisted.
func (s *scripted) sync() replica.Ready {
	ready := s.node.Ready()
	if n := len(ready.Entries); n > 0 {
		s.node.Persisted(s.now, ready.Entries[n-1].Index, ready.Entries[n-1].Term)
	}
	return ready
}

// campaign lets the election timer expire and the peers grant the pre-vote.
func (s *scripted) campaign(peers ...string) {
	s.now += timing.MinElectionTimeout + timing.ElectionJitter
	s.node.Tick(s.now)
	s.sync()
	s.deliver(replica.Message{Kind: replica.PreVoteResponse, Term: s.node.Term() + 1}, peers...)
	s.sync()
}

// vote delivers the peers' votes for the replica.
func (s *scripted) vote(peers ...string) {
	s.deliver(replica.Message{Kind: replica.VoteResponse, Term: s.node.Term()}, peers...)
	s.sync()
}

// acknowledge delivers the peers' responses that they have the log on disk up to an index.
func (s *scripted) acknowledge(index uint64, peers ...string) {
	s.deliver(replica.Message{Kind: replica.AppendResponse, Term: s.node.Term(), Index: index, SentAt: s.now}, peers...)
}

// TestEntriesOfEarlierTermsAreNotCommittedByCount is figure 8 of the paper: an entry of term 2 of the leader
// of term 4 is at three of five replicas. Until an entry of term 4 is at a majority too, a leader that has an
// entry of term 3 may overwrite it.
func TestEntriesOfEarlierTermsAreNotCommittedByCount(t *testing.T) {
	s := newScripted(t, replica.PersistedState{
		HardState: replica.HardState{Term: 3},
		Snapshot:  replica.Snapshot{Index: 1, Term: 1, Membership: replica.Membership{Voters: members("a", "b", "c", "d", "e")}},
		Entries:   []replica.Entry{{Index: 2, Term: 2, Kind: replica.EntryCommand, Data: []byte("x")}},
	})
	s.campaign("b", "c")
	s.vote("b", "c")
	require.Equal(t, replica.Leader, s.node.Role())
	require.EqualValues(t, 4, s.node.Term())
	s.acknowledge(2, "b", "c")
	require.EqualValues(t, 1, s.node.Commit(), "the entry of term 2 is at a majority, and not committed")
	s.acknowledge(3, "b")
	require.EqualValues(t, 1, s.node.Commit())
	s.acknowledge(3, "c")
	require.EqualValues(t, 3, s.node.Commit(), "the no-op of term 4 commits it")
}

// jointState returns the state of a replica during a change from the voters a, b, c to a, d, e. The two
// sets have disjoint majorities without a.
func jointState() replica.PersistedState {
	return replica.PersistedState{
		HardState: replica.HardState{Term: 2},
		Snapshot: replica.Snapshot{Index: 5, Term: 2, Membership: replica.Membership{
			Voters: members("a", "d", "e"), Outgoing: members("a", "b", "c"),
		}},
	}
}

// TestElectionInAJointMembership checks that the votes of one set of voters alone elect no leader.
func TestElectionInAJointMembership(t *testing.T) {
	for side, peers := range map[string]struct{ own, other string }{"new": {"d", "b"}, "old": {"c", "e"}} {
		t.Run(side, func(t *testing.T) {
			s := newScripted(t, jointState())
			s.campaign(peers.own)
			require.Equal(t, replica.PreCandidate, s.node.Role(), "the pre-vote needs both sets too")
			s.deliver(replica.Message{Kind: replica.PreVoteResponse, Term: s.node.Term() + 1}, peers.other)
			s.sync()
			require.Equal(t, replica.Candidate, s.node.Role())
			s.vote(peers.own)
			require.Equal(t, replica.Candidate, s.node.Role())
			s.vote(peers.other)
			require.Equal(t, replica.Leader, s.node.Role())
		})
	}
}

// TestCommitInAJointMembership checks that a majority of one set of voters alone commits nothing.
func TestCommitInAJointMembership(t *testing.T) {
	for side, peers := range map[string]struct{ own, other []string }{
		"new": {[]string{"d", "e"}, []string{"b"}}, "old": {[]string{"b", "c"}, []string{"d"}},
	} {
		t.Run(side, func(t *testing.T) {
			s := newScripted(t, jointState())
			s.campaign("b", "d")
			s.vote("b", "d")
			require.Equal(t, replica.Leader, s.node.Role())
			last := s.node.LastIndex()
			s.acknowledge(last, peers.own...)
			require.EqualValues(t, 5, s.node.Commit())
			s.acknowledge(last, peers.other...)
			require.GreaterOrEqual(t, s.node.Commit(), last)
		})
	}
}

// TestVoteSurvivesACrashBeforeItIsSent checks that a vote is written before it is sent, and that a replica
// that crashes between the two votes for no other candidate in that term.
func TestVoteSurvivesACrashBeforeItIsSent(t *testing.T) {
	persisted := replica.PersistedState{
		HardState: replica.HardState{Term: 3},
		Snapshot:  replica.Snapshot{Index: 5, Term: 3, Membership: replica.Membership{Voters: members("a", "b", "c")}},
	}
	s := newScripted(t, persisted)
	s.now += timing.MinElectionTimeout
	s.deliver(voteRequest(replica.VoteRequest, "b", 4), "b")
	ready := s.sync()
	require.Equal(t, &replica.HardState{Term: 4, Vote: "b"}, ready.HardState)
	require.Empty(t, ready.Messages, "nothing is sent before the sync")
	require.Len(t, ready.MessagesAfterSync, 1)

	persisted.HardState = *ready.HardState // the replica crashes after the write
	restarted := newScripted(t, persisted)
	restarted.now += timing.MinElectionTimeout
	restarted.deliver(voteRequest(replica.VoteRequest, "c", 4), "c")
	require.Empty(t, restarted.sync().MessagesAfterSync)
	restarted.deliver(voteRequest(replica.VoteRequest, "b", 4), "b")
	require.Len(t, restarted.sync().MessagesAfterSync, 1, "the same vote again")
}

// TestPartitionedReplicaDoesNotRaiseTheTerm checks that a replica that the leader's messages don't reach is
// granted no pre-vote, and raises no term, as long as the others have contact to the leader.
func TestPartitionedReplicaDoesNotRaiseTheTerm(t *testing.T) {
	voters := replica.Membership{Voters: members("a", "b", "c")}
	persisted := replica.PersistedState{HardState: replica.HardState{Term: 3}, Snapshot: replica.Snapshot{Index: 5, Term: 3, Membership: voters}}
	partitioned := newScripted(t, persisted)
	partitioned.now += timing.MinElectionTimeout + timing.ElectionJitter
	partitioned.node.Tick(partitioned.now)
	requests := partitioned.sync().MessagesAfterSync
	require.Len(t, requests, 2)
	require.EqualValues(t, 3, partitioned.node.Term(), "a pre-vote raises no term")

	connected := newScripted(t, persisted)
	connected.now = partitioned.now
	connected.deliver(heartbeat(), "c")
	connected.sync()
	connected.deliver(requests[0], "b")
	ready := connected.sync()
	require.Empty(t, slices.Concat(ready.Messages, ready.MessagesAfterSync))
	require.EqualValues(t, 3, connected.node.Term())

	connected.now += timing.MinElectionTimeout // the leader's messages stop here too
	connected.deliver(requests[0], "b")
	ready = connected.sync()
	granted := slices.Concat(ready.Messages, ready.MessagesAfterSync)
	require.Len(t, granted, 1)
	require.Equal(t, replica.PreVoteResponse, granted[0].Kind)
	require.Nil(t, ready.HardState, "a pre-vote changes nothing at the voter")
}

// TestSnapshotAcrossAChangeOfMembership: a follower missed a membership change, and its log has an entry
// with a joint membership that was never committed. It adopts the membership of the leader's snapshot. Its
// acknowledgement waits for the sync, and the votes of members of the earlier memberships do not count.
func TestSnapshotAcrossAChangeOfMembership(t *testing.T) {
	joint := replica.Membership{Voters: members("a", "x", "y"), Outgoing: members("a", "b", "c")}
	s := newScripted(t, replica.PersistedState{
		HardState: replica.HardState{Term: 3},
		Snapshot:  replica.Snapshot{Index: 5, Term: 3, Membership: replica.Membership{Voters: members("a", "b", "c")}},
		Entries:   []replica.Entry{{Index: 6, Term: 3, Kind: replica.EntryMembership, Membership: &joint}},
	})
	require.True(t, s.node.Membership().IsJoint(), "a membership takes effect as soon as it is in the log")
	newest := replica.Snapshot{Index: 9, Term: 4, Membership: replica.Membership{Voters: members("a", "d", "e")}}
	s.deliver(replica.Message{Kind: replica.InstallSnapshot, Term: 4, Snapshot: &newest}, "d")
	ready := s.node.Ready()
	require.Equal(t, &newest, ready.Snapshot)
	require.Empty(t, ready.Messages)
	require.Len(t, ready.MessagesAfterSync, 1)
	require.EqualValues(t, newest.Index, ready.MessagesAfterSync[0].Index)
	require.Equal(t, newest.Membership, s.node.Membership())
	s.node.Persisted(s.now, newest.Index, newest.Term)

	s.campaign("b", "c", "x", "y")
	require.Equal(t, replica.PreCandidate, s.node.Role(), "members of the earlier and of the uncommitted membership have no vote")
	s.deliver(replica.Message{Kind: replica.PreVoteResponse, Term: s.node.Term() + 1}, "d")
	s.sync()
	s.vote("b", "c", "x", "y")
	require.Equal(t, replica.Candidate, s.node.Role())
	s.vote("e")
	require.Equal(t, replica.Leader, s.node.Role())
}
