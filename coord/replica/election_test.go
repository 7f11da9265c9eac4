package replica_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/replica"
)

const (
	electionStart = time.Hour
	lastIndex     = 5
	lastTerm      = 3
)

// newVoter returns voter "a" of a group of three in term 3, whose log ends with an entry of index 5 and
// term 3. It may vote at once.
func newVoter(t *testing.T) *replica.Node {
	t.Helper()
	members := replica.Membership{Voters: []replica.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
	persisted := replica.PersistedState{
		HardState: replica.HardState{Term: lastTerm},
		Snapshot:  replica.Snapshot{Index: lastIndex, Term: lastTerm, Membership: members},
	}
	return replica.NewNode("a", "g", timing, persisted, 1, electionStart-timing.MinElectionTimeout)
}

// voteRequest returns the request of a candidate whose log is as complete as the voter's.
func voteRequest(kind replica.MessageKind, from string, term uint64) replica.Message {
	return replica.Message{Kind: kind, From: from, To: "a", Term: term, Index: lastIndex, LogTerm: lastTerm}
}

// heartbeat returns a heartbeat of "c", the leader of the voter's term.
func heartbeat() replica.Message {
	return replica.Message{Kind: replica.AppendRequest, From: "c", To: "a", Term: lastTerm, Index: lastIndex, LogTerm: lastTerm}
}

func TestVoteRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		before  []replica.Message // received just before
		request replica.Message
		granted bool
	}{
		{"a newer term and an equal log", nil, voteRequest(replica.VoteRequest, "b", 4), true},
		{"the current term, in which it has not voted", nil, voteRequest(replica.VoteRequest, "b", 3), true},
		{"an older term", nil, voteRequest(replica.VoteRequest, "b", 2), false},
		{"a shorter log", nil, replica.Message{Kind: replica.VoteRequest, From: "b", To: "a", Term: 4, Index: 4, LogTerm: 3}, false},
		{"a longer log of an older term", nil, replica.Message{Kind: replica.VoteRequest, From: "b", To: "a", Term: 4, Index: 9, LogTerm: 2}, false},
		{"the same candidate again", []replica.Message{voteRequest(replica.VoteRequest, "b", 4)}, voteRequest(replica.VoteRequest, "b", 4), true},
		{"another candidate of the same term", []replica.Message{voteRequest(replica.VoteRequest, "c", 4)}, voteRequest(replica.VoteRequest, "b", 4), false},
		{"in contact with a leader", []replica.Message{heartbeat()}, voteRequest(replica.VoteRequest, "b", 4), false},
		{"the leader gave up its lease", []replica.Message{heartbeat()}, withHandover(voteRequest(replica.VoteRequest, "b", 4)), true},
		{"all voters restarted, but this one had contact to a leader", []replica.Message{heartbeat()}, withFresh(voteRequest(replica.VoteRequest, "b", 4)), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			voter := newVoter(t)
			for _, message := range c.before {
				voter.Step(electionStart, message)
			}
			voter.Ready()
			voter.Step(electionStart, c.request)
			ready := voter.Ready()
			if !c.granted {
				require.Empty(t, ready.MessagesAfterSync)
				return
			}
			require.Empty(t, ready.Messages, "a vote is not sent before it is synced")
			require.Len(t, ready.MessagesAfterSync, 1)
			response := ready.MessagesAfterSync[0]
			require.Equal(t, replica.VoteResponse, response.Kind)
			require.Equal(t, "b", response.To)
			require.Equal(t, c.request.Term, response.Term)
		})
	}
}

func withHandover(request replica.Message) replica.Message {
	request.Handover = true
	return request
}

func withFresh(request replica.Message) replica.Message {
	request.Fresh = true
	return request
}

func TestPreVoteRequest(t *testing.T) {
	for _, c := range []struct {
		name              string
		request           replica.Message
		granted, rejected bool
	}{
		{"a newer term", voteRequest(replica.PreVoteRequest, "b", 4), true, false},
		{"a candidate that does not know the current term", voteRequest(replica.PreVoteRequest, "b", 3), false, true},
		{"a shorter log", replica.Message{Kind: replica.PreVoteRequest, From: "b", To: "a", Term: 4, Index: 4, LogTerm: 3}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			voter := newVoter(t)
			voter.Step(electionStart, c.request)
			ready := voter.Ready()
			require.Nil(t, ready.HardState, "a pre-vote changes nothing at the voter")
			require.Equal(t, uint64(lastTerm), voter.Term())
			if !c.granted && !c.rejected {
				require.Empty(t, ready.Messages)
				return
			}
			require.Len(t, ready.Messages, 1)
			require.Equal(t, replica.PreVoteResponse, ready.Messages[0].Kind)
			require.Equal(t, c.rejected, ready.Messages[0].Reject)
		})
	}
}

func TestRestartedVoterWaits(t *testing.T) {
	voter := newVoter(t) // it started MinElectionTimeout before electionStart
	voter.Step(electionStart-1, voteRequest(replica.VoteRequest, "b", 4))
	require.Empty(t, voter.Ready().MessagesAfterSync, "its previous incarnation may support a leader's lease")
	voter.Step(electionStart, voteRequest(replica.VoteRequest, "b", 4))
	require.Len(t, voter.Ready().MessagesAfterSync, 1)
}
