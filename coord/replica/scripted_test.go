package replica_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica"
)

// The scripts of this file bring one interleaving about, message by message. Each holds one condition of
// the agreement that random worlds seldom need.

// scripted is one replica, "a", whose peers are the test.
type scripted struct {
	t    *testing.T
	node *replica.Node
	now  time.Duration
}

// newScripted returns a replica as its disk has it, some time after its start.
func newScripted(t *testing.T, found replica.PersistedState) *scripted {
	t.Helper()
	s := &scripted{t: t, now: electionStart}
	s.node = replica.NewNode("a", "g", timing, found, 1, s.now)
	return s
}

func members(ids ...string) []replica.Member {
	var all []replica.Member
	for _, id := range ids {
		all = append(all, replica.Member{ID: id})
	}
	return all
}

// deliver steps the same message from each of some peers.
func (s *scripted) deliver(message replica.Message, from ...string) {
	for _, id := range from {
		message.From, message.To = id, "a"
		s.node.Step(s.now, message)
	}
}

// sync takes the node's Ready, and lets all that it writes be on disk.
func (s *scripted) sync() replica.Ready {
	ready := s.node.Ready()
	if n := len(ready.Entries); n > 0 {
		s.node.Persisted(s.now, ready.Entries[n-1].Index, ready.Entries[n-1].Term)
	}
	return ready
}

// campaign lets the election timer run out and the peers grant the pre-vote.
func (s *scripted) campaign(peers ...string) {
	s.now += timing.MinElectionTimeout + timing.ElectionJitter
	s.node.Tick(s.now)
	s.sync()
	s.deliver(replica.Message{Kind: replica.PreVoteResponse, Term: s.node.Term() + 1}, peers...)
	s.sync()
}

// vote lets peers vote for the replica.
func (s *scripted) vote(peers ...string) {
	s.deliver(replica.Message{Kind: replica.VoteResponse, Term: s.node.Term()}, peers...)
	s.sync()
}

// acknowledge tells that peers have the log on disk up to an index.
func (s *scripted) acknowledge(index uint64, peers ...string) {
	s.deliver(replica.Message{Kind: replica.AppendResponse, Term: s.node.Term(), Index: index, SentAt: s.now}, peers...)
}

// TestEntriesOfEarlierTermsAreNotCommittedByCount is figure 8 of the paper: a leader of term 4 finds its
// entry of term 2 at three of five replicas. It may be overwritten by a leader that has an entry of term 3,
// until an entry of term 4 is at a majority too.
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

// jointState is that of a replica in the middle of a change from a, b, c to a, d, e, whose majorities
// without a are disjoint.
func jointState() replica.PersistedState {
	return replica.PersistedState{
		HardState: replica.HardState{Term: 2},
		Snapshot: replica.Snapshot{Index: 5, Term: 2, Membership: replica.Membership{
			Voters: members("a", "d", "e"), Outgoing: members("a", "b", "c"),
		}},
	}
}

// TestElectionInAJointMembership: the votes of one side elect no leader, whichever it is.
func TestElectionInAJointMembership(t *testing.T) {
	for side, peers := range map[string]struct{ own, other string }{"new": {"d", "b"}, "old": {"c", "e"}} {
		t.Run(side, func(t *testing.T) {
			s := newScripted(t, jointState())
			s.campaign(peers.own)
			require.Equal(t, replica.PreCandidate, s.node.Role(), "the pre-vote needs both sides too")
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

// TestCommitInAJointMembership: a majority of one side commits nothing.
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

// TestVoteOutlivesACrashBeforeItIsSent: the vote is written before it is sent, and a replica that crashes
// between votes for nobody else in that term.
func TestVoteOutlivesACrashBeforeItIsSent(t *testing.T) {
	found := replica.PersistedState{
		HardState: replica.HardState{Term: 3},
		Snapshot:  replica.Snapshot{Index: 5, Term: 3, Membership: replica.Membership{Voters: members("a", "b", "c")}},
	}
	s := newScripted(t, found)
	s.now += timing.MinElectionTimeout
	s.deliver(voteRequest(replica.VoteRequest, "b", 4), "b")
	ready := s.sync()
	require.Equal(t, &replica.HardState{Term: 4, Vote: "b"}, ready.HardState)
	require.Empty(t, ready.Messages, "nothing is sent before the sync")
	require.Len(t, ready.MessagesAfterSync, 1)

	found.HardState = *ready.HardState // the crash is here
	restarted := newScripted(t, found)
	restarted.now += timing.MinElectionTimeout
	restarted.deliver(voteRequest(replica.VoteRequest, "c", 4), "c")
	require.Empty(t, restarted.sync().MessagesAfterSync)
	restarted.deliver(voteRequest(replica.VoteRequest, "b", 4), "b")
	require.Len(t, restarted.sync().MessagesAfterSync, 1, "the same vote again")
}

// TestPreVoteBesideALeaderThatIsNotHeard: a replica that the leader's messages don't reach asks for
// pre-votes in vain, and raises no term, as long as the others hear the leader.
func TestPreVoteBesideALeaderThatIsNotHeard(t *testing.T) {
	voters := replica.Membership{Voters: members("a", "b", "c")}
	found := replica.PersistedState{HardState: replica.HardState{Term: 3}, Snapshot: replica.Snapshot{Index: 5, Term: 3, Membership: voters}}
	deaf := newScripted(t, found)
	deaf.now += timing.MinElectionTimeout + timing.ElectionJitter
	deaf.node.Tick(deaf.now)
	requests := deaf.sync().MessagesAfterSync
	require.Len(t, requests, 2)
	require.EqualValues(t, 3, deaf.node.Term(), "a pre-vote raises no term")

	hearing := newScripted(t, found)
	hearing.now = deaf.now
	hearing.deliver(heartbeat(), "c")
	hearing.sync()
	hearing.deliver(requests[0], "b")
	ready := hearing.sync()
	require.Empty(t, slices.Concat(ready.Messages, ready.MessagesAfterSync))
	require.EqualValues(t, 3, hearing.node.Term())

	hearing.now += timing.MinElectionTimeout // the leader falls silent here too
	hearing.deliver(requests[0], "b")
	ready = hearing.sync()
	granted := slices.Concat(ready.Messages, ready.MessagesAfterSync)
	require.Len(t, granted, 1)
	require.Equal(t, replica.PreVoteResponse, granted[0].Kind)
	require.Nil(t, ready.HardState, "a pre-vote changes nothing at the voter")
}

// TestSnapshotAcrossAChangeOfMembership: a follower that missed a change of members, and has an entry of the
// joint membership that another leader never committed, takes the membership with the snapshot: no voter
// of before elects it then, and its acknowledgement waits for the sync.
func TestSnapshotAcrossAChangeOfMembership(t *testing.T) {
	joint := replica.Membership{Voters: members("a", "x", "y"), Outgoing: members("a", "b", "c")}
	s := newScripted(t, replica.PersistedState{
		HardState: replica.HardState{Term: 3},
		Snapshot:  replica.Snapshot{Index: 5, Term: 3, Membership: replica.Membership{Voters: members("a", "b", "c")}},
		Entries:   []replica.Entry{{Index: 6, Term: 3, Kind: replica.EntryMembership, Membership: &joint}},
	})
	require.True(t, s.node.Membership().IsJoint(), "in force from the moment when it is in the log")
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
	require.Equal(t, replica.PreCandidate, s.node.Role(), "those of before, and of the change that never was, have no vote")
	s.deliver(replica.Message{Kind: replica.PreVoteResponse, Term: s.node.Term() + 1}, "d")
	s.sync()
	s.vote("b", "c", "x", "y")
	require.Equal(t, replica.Candidate, s.node.Role())
	s.vote("e")
	require.Equal(t, replica.Leader, s.node.Role())
}
