package leader_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/group"
	"basaltloft/coord/replica"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
)

// fake is a group of one that commits when it is told to. looks counts how often the lease
// was looked at; it ends at the look with the number ends.
type fake struct {
	states  group.StateMachine
	leads   bool
	looks   int
	ends    int // 0: it does not end
	waiting []func()
	fails   error
}

func (f *fake) Lease() (uint64, time.Duration, bool) { return 1, 0, f.IsLeader() }
func (f *fake) Leader() replica.Member               { return replica.Member{Address: "leader"} }

func (f *fake) IsLeader() bool {
	f.looks++
	return f.leads && (f.ends == 0 || f.looks < f.ends)
}

func (f *fake) Propose(command []byte, done func(any, error)) {
	f.waiting = append(f.waiting, func() {
		if f.fails != nil {
			done(nil, f.fails)
			return
		}
		result, err := f.states.Apply(1, command)
		done(result, err)
	})
}

// commit commits what was proposed.
func (f *fake) commit() {
	for len(f.waiting) > 0 {
		next := f.waiting[0]
		f.waiting = f.waiting[1:]
		next()
	}
}

func text(version int) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[{"host":"h","path_prefix":"/q/","timeout_ms":1000,"backend":"desk"}],"services":[{"name":"desk"}]}`, version))
}

func newConfiguration() (*leader.Configuration, *fake) {
	c := leader.NewConfiguration(func(*opconfig.Config) {}, func(uint64) {}, slog.New(slog.DiscardHandler))
	f := &fake{states: c, leads: true}
	c.SetGroup(f)
	return c, f
}

func operate(c *leader.Configuration, f *fake, request protocol.OperatorRequest) protocol.OperatorResponse {
	var got []protocol.OperatorResponse
	c.HandleOperatorRequest(request, func(a protocol.OperatorResponse) { got = append(got, a) })
	f.commit()
	if len(got) != 1 {
		panic(fmt.Sprint("answers: ", len(got)))
	}
	return got[0]
}

// TestNothingIsSaidWithoutALease: a lease that ends at the numbered look, each in turn, lets
// the process say only who may have it, whatever it had read before.
func TestNothingIsSaidWithoutALease(t *testing.T) {
	for ends := 1; ends <= 2; ends++ {
		c, f := newConfiguration()
		require.Equal(t, protocol.Status(200), operate(c, f, protocol.OperatorRequest{Replace: true, Content: text(3)}).Status)
		f.looks, f.ends = 0, ends
		got := operate(c, f, protocol.OperatorRequest{})
		require.Equal(t, protocol.OperatorResponse{Leader: "leader"}, got, "a read, the lease ends at look %d", ends)
		f.looks, f.ends = 0, ends
		require.False(t, c.Watch(0).Leads, "the feed, the lease ends at look %d", ends)
	}
	c, f := newConfiguration()
	f.leads = false
	for name, request := range map[string]protocol.OperatorRequest{
		"invalid": {Replace: true, Content: []byte("{")}, "another base": {Replace: true, Base: 7, Content: text(9)},
	} {
		require.Zero(t, operate(c, f, request).Status, "%s is refused by the owner only", name)
	}
}

// TestOnlyACommitConfirmsOrRefuses: what fails on the way is neither.
func TestOnlyACommitConfirmsOrRefuses(t *testing.T) {
	c, f := newConfiguration()
	change := protocol.OperatorRequest{Replace: true, Content: text(3)}
	f.fails = group.ErrOutcomeUnknown
	require.Equal(t, protocol.Status(503), operate(c, f, change).Status)
	f.fails = group.ErrNotLeader
	require.Zero(t, operate(c, f, change).Status)
	f.fails = nil
	require.Equal(t, protocol.Status(200), operate(c, f, change).Status)
	require.Equal(t, protocol.Status(200), operate(c, f, change).Status, "the same again")
	require.Equal(t, protocol.Status(412), operate(c, f, protocol.OperatorRequest{Replace: true, Base: 0, Content: text(4)}).Status)
	require.Equal(t, protocol.Status(409), operate(c, f, protocol.OperatorRequest{Replace: true, Base: 3, Content: text(2)}).Status)
	require.Equal(t, protocol.Status(400), operate(c, f, protocol.OperatorRequest{Replace: true, Base: 3, Content: []byte(`{"version":`)}).Status)
	content, err := c.Snapshot()
	require.NoError(t, err)
	next, other := newConfiguration()
	require.NoError(t, next.Restore(content))
	require.Equal(t, c.Digest(), next.Digest())
	require.Equal(t, protocol.Status(200), operate(next, other, change).Status, "the same again, after a snapshot")
	_, err = next.Apply(5, []byte("unreadable"))
	require.Error(t, err)
}

// TestTheSameOrderInFlightTwice: both tries are committed, one after the other, and both are
// confirmed.
func TestTheSameOrderInFlightTwice(t *testing.T) {
	c, f := newConfiguration()
	var got []protocol.Status
	for range 2 {
		c.HandleOperatorRequest(protocol.OperatorRequest{Replace: true, Content: text(3)}, func(a protocol.OperatorResponse) { got = append(got, a.Status) })
	}
	c.HandleOperatorRequest(protocol.OperatorRequest{Replace: true, Content: append(text(3), ' ')}, func(a protocol.OperatorResponse) { got = append(got, a.Status) })
	f.commit()
	require.Equal(t, []protocol.Status{200, 200, 412}, got, "another content under the number is refused")
}

func newShard() (*leader.Shard, *fake) {
	clocks := leader.Clocks{Monotonic: func() time.Duration { return time.Hour }, UnixMs: func() int64 { return 1000 }}
	s := leader.NewShard(protocol.ShardOf("desk"), scheduler.Config{MaxLease: 6 * time.Second, StatusRetention: time.Minute}, clocks, func() {}, slog.New(slog.DiscardHandler))
	f := &fake{states: s, leads: true}
	s.SetGroup(f)
	s.BecameLeader(1)
	return s, f
}

// answer gives a request to a shard and lets it commit.
func answer(s *leader.Shard, f *fake, do func(reply func(protocol.JobResponse))) protocol.JobResponse {
	var got []protocol.JobResponse
	do(func(a protocol.JobResponse) { got = append(got, a) })
	s.RunCycle()
	f.commit()
	if len(got) != 1 {
		panic(fmt.Sprint("answers: ", len(got)))
	}
	return got[0]
}

const body = `{"spec":"x","stages":[{"count":1,"cpu":100}]}`

func submit(id, body string, version int64) protocol.SubmitRequest {
	return protocol.SubmitRequest{Shard: protocol.ShardOf("desk"), Queue: "h/q/", ID: id, Body: []byte(body), Version: version,
		Route: opconfig.Route{Host: "h", PathPrefix: "/q/", Backend: "desk", Retries: 2}}
}

func ask(verb protocol.JobOperation, id string, version int64) protocol.JobRequest {
	return protocol.JobRequest{Verb: verb, Queue: "h/q/", ID: id, Version: version}
}

func TestJobsAreTakenOnceAndCancelledForGood(t *testing.T) {
	s, f := newShard()
	post := func(r protocol.SubmitRequest) protocol.JobResponse {
		return answer(s, f, func(reply func(protocol.JobResponse)) { s.Submit(r, reply) })
	}
	say := func(a protocol.JobRequest) protocol.JobResponse {
		return answer(s, f, func(reply func(protocol.JobResponse)) { s.HandleJobRequest(a, reply) })
	}
	require.Equal(t, protocol.Status(200), post(submit("a", body, 1)).Status)
	require.Equal(t, protocol.Status(200), post(submit("a", body, 1)).Status)
	require.Equal(t, protocol.Status(409), post(submit("a", body+" ", 1)).Status)
	require.Equal(t, protocol.Status(400), post(submit("b", "{", 1)).Status)
	require.Equal(t, protocol.JobResponse{Status: 200, State: job.StatePending}, say(ask(protocol.GetJobState, "a", 1)))
	require.Equal(t, 1, say(ask(protocol.CountPending, "", 1)).Pending)

	require.Equal(t, protocol.Status(410), say(ask(protocol.CancelJob, "c", 1)).Status)
	late := post(submit("c", body, 1))
	require.Equal(t, protocol.Status(503), late.Status)
	require.True(t, late.Never, "a try that comes after its cancelling was answered never runs")
	require.Equal(t, protocol.Status(410), say(ask(protocol.GetJobState, "c", 1)).Status)
	require.Equal(t, protocol.Status(200), say(ask(protocol.CancelJob, "a", 1)).Status)
	require.Equal(t, protocol.Status(200), say(ask(protocol.CancelJob, "a", 1)).Status)
	require.Equal(t, job.StateCanceled, say(ask(protocol.GetJobState, "a", 1)).State)
}

// TestDifferentBodiesInFlight under one ID: one is taken, the other is told so.
func TestDifferentBodiesInFlight(t *testing.T) {
	s, f := newShard()
	var got []protocol.Status
	for _, text := range []string{body, body + " ", body} {
		s.Submit(submit("a", text, 1), func(a protocol.JobResponse) { got = append(got, a.Status) })
	}
	s.RunCycle()
	f.commit()
	require.Equal(t, []protocol.Status{200, 409, 200}, got)
}

// TestAShardThatHadTheQueueCloses before it says that it lacks an ID.
func TestAShardThatHadTheQueueCloses(t *testing.T) {
	s, f := newShard()
	say := func(a protocol.JobRequest) protocol.JobResponse {
		return answer(s, f, func(reply func(protocol.JobResponse)) { s.HandleJobRequest(a, reply) })
	}
	check := protocol.JobRequest{Verb: protocol.CheckFormerShard, Queue: "h/q/", ID: "a", Version: 9, Since: 8, Hash: leader.BodyHash([]byte(body))}
	require.Equal(t, protocol.Status(410), say(check).Status)
	got := answer(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submit("a", body, 7), reply) })
	require.Greater(t, got.Moved, int64(7), "the dispatcher's configuration is too old")
	require.Positive(t, say(ask(protocol.GetJobState, "a", 7)).Moved, "nor does it say that there is no such job")
	require.Positive(t, say(ask(protocol.CancelJob, "a", 7)).Moved)
	require.Equal(t, protocol.Status(410), say(ask(protocol.GetJobState, "a", 9)).Status)
	require.Equal(t, protocol.Status(200), answer(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submit("b", body, 9), reply) }).Status, "the queue may come back")
	check.ID = "b"
	require.Equal(t, protocol.Status(200), say(check).Status)
	check.Hash++
	require.Equal(t, protocol.Status(409), say(check).Status)
}

// TestAMissedMove: a dispatcher that missed that a queue was elsewhere in between is turned
// away, though the queue is here again by the owner's configuration.
func TestAMissedMove(t *testing.T) {
	s, f := newShard()
	config, err := opconfig.Decode(text(12))
	require.NoError(t, err)
	s.UpdateConfig(config)
	check := protocol.JobRequest{Verb: protocol.CheckFormerShard, Queue: "h/q/", ID: "a", Version: 9, Since: 8}
	require.Equal(t, protocol.Status(410), answer(s, f, func(reply func(protocol.JobResponse)) { s.HandleJobRequest(check, reply) }).Status)
	got := answer(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submit("a", body, 7), reply) })
	require.Positive(t, got.Moved)
}

// TestAShardSaysNothingWithoutALease: the lease ends at each numbered look in turn.
func TestAShardSaysNothingWithoutALease(t *testing.T) {
	for ends := 1; ends <= 2; ends++ {
		for _, verb := range []protocol.JobOperation{protocol.GetJobState, protocol.CountPending} {
			s, f := newShard()
			f.ends = ends
			got := answer(s, f, func(reply func(protocol.JobResponse)) { s.HandleJobRequest(ask(verb, "a", 1), reply) })
			require.Equal(t, protocol.JobResponse{Owner: "leader"}, got, "verb %d, look %d", verb, ends)
		}
		s, f := newShard()
		f.ends = ends
		got := answer(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submit("a", "{", 1), reply) })
		require.Equal(t, protocol.JobResponse{Owner: "leader"}, got, "a refusal, look %d", ends)
	}
	s, f := newShard()
	f.fails = group.ErrOutcomeUnknown
	got := answer(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submit("a", body, 1), reply) })
	require.True(t, got.Unknown)
	f.fails = group.ErrBusy
	got = answer(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submit("a", body, 1), reply) })
	require.Equal(t, protocol.Status(http.StatusServiceUnavailable), got.Status)
	s.Submit(submit("b", body, 1), func(a protocol.JobResponse) { got = a })
	s.LostLeadership()
	s.RunCycle()
	require.Equal(t, protocol.JobResponse{Owner: "leader"}, got, "one that waits is not forgotten where the lead is lost")
}

// TestFounding: each seed knows the first membership by itself; nobody else is a founder.
func TestFounding(t *testing.T) {
	seeds := []string{"c:1", "a:1", "b:1", "a:1"}
	id, founding := leader.FoundingMembership(true, seeds, "b:1", "drawn")
	other, same := leader.FoundingMembership(true, []string{"a:1", "b:1", "c:1"}, "c:1", "drawn")
	require.NotEqual(t, id, other)
	require.Equal(t, founding, same)
	require.Len(t, founding.Voters, 3)
	require.True(t, founding.IsVoter(id))
	for name, c := range map[string]struct {
		bootstrap bool
		self      string
	}{"a later start": {false, "b:1"}, "no seed": {true, "d:1"}} {
		id, founding = leader.FoundingMembership(c.bootstrap, seeds, c.self, "drawn")
		require.Equal(t, "drawn", id, name)
		require.Nil(t, founding, name)
	}
}
