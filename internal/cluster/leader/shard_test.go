package leader_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/coord/group"
	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/leader"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/scheduler"
)

func newShard() (*leader.Shard, *fakeGroup) {
	clocks := leader.Clocks{Monotonic: func() time.Duration { return time.Hour }, UnixMs: func() int64 { return 1000 }}
	s := leader.NewShard(protocol.ShardOf("desk"), scheduler.Config{MaxLease: 6 * time.Second, StatusRetention: time.Minute}, clocks, func() {}, slog.New(slog.DiscardHandler))
	f := &fakeGroup{states: s, leads: true}
	s.SetGroup(f)
	s.BecameLeader(1)
	return s, f
}

// respond passes a request to a shard, commits what it proposes, and returns the response.
func respond(s *leader.Shard, f *fakeGroup, do func(reply func(protocol.JobResponse))) protocol.JobResponse {
	var got []protocol.JobResponse
	do(func(a protocol.JobResponse) { got = append(got, a) })
	s.RunCycle()
	f.commit()
	if len(got) != 1 {
		panic(fmt.Sprint("responses: ", len(got)))
	}
	return got[0]
}

const body = `{"spec":"x","stages":[{"count":1,"cpu":100}]}`

func submitRequest(id, body string, version int64) protocol.SubmitRequest {
	return protocol.SubmitRequest{Shard: protocol.ShardOf("desk"), Queue: "h/q/", ID: id, Body: []byte(body), Version: version,
		Route: opconfig.Route{Host: "h", PathPrefix: "/q/", Backend: "desk", Retries: 2}}
}

func jobRequest(verb protocol.JobOperation, id string, version int64) protocol.JobRequest {
	return protocol.JobRequest{Verb: verb, Queue: "h/q/", ID: id, Version: version}
}

func TestJobsAreAcceptedOnceAndCancelledForGood(t *testing.T) {
	s, f := newShard()
	submit := func(r protocol.SubmitRequest) protocol.JobResponse {
		return respond(s, f, func(reply func(protocol.JobResponse)) { s.Submit(r, reply) })
	}
	handle := func(a protocol.JobRequest) protocol.JobResponse {
		return respond(s, f, func(reply func(protocol.JobResponse)) { s.HandleJobRequest(a, reply) })
	}
	require.Equal(t, protocol.Status(200), submit(submitRequest("a", body, 1)).Status)
	require.Equal(t, protocol.Status(200), submit(submitRequest("a", body, 1)).Status)
	require.Equal(t, protocol.Status(409), submit(submitRequest("a", body+" ", 1)).Status)
	require.Equal(t, protocol.Status(400), submit(submitRequest("b", "{", 1)).Status)
	require.Equal(t, protocol.JobResponse{Status: 200, State: job.StatePending}, handle(jobRequest(protocol.GetJobState, "a", 1)))
	require.Equal(t, 1, handle(jobRequest(protocol.CountPending, "", 1)).Pending)

	require.Equal(t, protocol.Status(410), handle(jobRequest(protocol.CancelJob, "c", 1)).Status)
	late := submit(submitRequest("c", body, 1))
	require.Equal(t, protocol.Status(503), late.Status)
	require.True(t, late.Never, "a submission after its cancellation was answered never runs")
	require.Equal(t, protocol.Status(410), handle(jobRequest(protocol.GetJobState, "c", 1)).Status)
	require.Equal(t, protocol.Status(200), handle(jobRequest(protocol.CancelJob, "a", 1)).Status)
	require.Equal(t, protocol.Status(200), handle(jobRequest(protocol.CancelJob, "a", 1)).Status)
	require.Equal(t, job.StateCanceled, handle(jobRequest(protocol.GetJobState, "a", 1)).State)
}

// TestDifferentBodiesUnderOneID checks that of two bodies under one ID the first is accepted and the other
// rejected.
func TestDifferentBodiesUnderOneID(t *testing.T) {
	s, f := newShard()
	var got []protocol.Status
	for _, text := range []string{body, body + " ", body} {
		s.Submit(submitRequest("a", text, 1), func(a protocol.JobResponse) { got = append(got, a.Status) })
	}
	s.RunCycle()
	f.commit()
	require.Equal(t, []protocol.Status{200, 409, 200}, got)
}

// TestFormerShardSealsTheQueue checks that a shard that had the queue before seals it before it replies that
// an ID is unknown.
func TestFormerShardSealsTheQueue(t *testing.T) {
	s, f := newShard()
	handle := func(a protocol.JobRequest) protocol.JobResponse {
		return respond(s, f, func(reply func(protocol.JobResponse)) { s.HandleJobRequest(a, reply) })
	}
	check := protocol.JobRequest{Verb: protocol.CheckFormerShard, Queue: "h/q/", ID: "a", Version: 9, Since: 8, Hash: leader.BodyHash([]byte(body))}
	require.Equal(t, protocol.Status(410), handle(check).Status)
	got := respond(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submitRequest("a", body, 7), reply) })
	require.Greater(t, got.Moved, int64(7), "the dispatcher's configuration is too old")
	require.Positive(t, handle(jobRequest(protocol.GetJobState, "a", 7)).Moved, "it does not reply that the job is unknown")
	require.Positive(t, handle(jobRequest(protocol.CancelJob, "a", 7)).Moved)
	require.Equal(t, protocol.Status(410), handle(jobRequest(protocol.GetJobState, "a", 9)).Status)
	require.Equal(t, protocol.Status(200), respond(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submitRequest("b", body, 9), reply) }).Status, "the queue may be assigned to this shard again")
	check.ID = "b"
	require.Equal(t, protocol.Status(200), handle(check).Status)
	check.Hash++
	require.Equal(t, protocol.Status(409), handle(check).Status)
}

// TestDispatcherThatMissedAMoveIsRejected checks that a submission is rejected if its dispatcher's
// configuration is older than a move of the queue to another shard, even though the leader's newer
// configuration assigns the queue to this shard again.
func TestDispatcherThatMissedAMoveIsRejected(t *testing.T) {
	s, f := newShard()
	config, err := opconfig.Decode(configText(12))
	require.NoError(t, err)
	s.UpdateConfig(config)
	check := protocol.JobRequest{Verb: protocol.CheckFormerShard, Queue: "h/q/", ID: "a", Version: 9, Since: 8}
	require.Equal(t, protocol.Status(410), respond(s, f, func(reply func(protocol.JobResponse)) { s.HandleJobRequest(check, reply) }).Status)
	got := respond(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submitRequest("a", body, 7), reply) })
	require.Positive(t, got.Moved)
}

// TestShardAnswersOnlyWithALease checks that a shard whose lease expires at any of the checks returns only the
// leader's address, and that the errors of proposals don't confirm or reject a request.
func TestShardAnswersOnlyWithALease(t *testing.T) {
	for check := 1; check <= 2; check++ {
		for _, verb := range []protocol.JobOperation{protocol.GetJobState, protocol.CountPending} {
			s, f := newShard()
			f.expiresAtCheck = check
			got := respond(s, f, func(reply func(protocol.JobResponse)) { s.HandleJobRequest(jobRequest(verb, "a", 1), reply) })
			require.Equal(t, protocol.JobResponse{Owner: "leader"}, got, "operation %d, check %d", verb, check)
		}
		s, f := newShard()
		f.expiresAtCheck = check
		got := respond(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submitRequest("a", "{", 1), reply) })
		require.Equal(t, protocol.JobResponse{Owner: "leader"}, got, "a rejection, check %d", check)
	}
	s, f := newShard()
	f.proposeError = group.ErrOutcomeUnknown
	got := respond(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submitRequest("a", body, 1), reply) })
	require.True(t, got.Unknown)
	f.proposeError = group.ErrBusy
	got = respond(s, f, func(reply func(protocol.JobResponse)) { s.Submit(submitRequest("a", body, 1), reply) })
	require.Equal(t, protocol.Status(http.StatusServiceUnavailable), got.Status)
	s.Submit(submitRequest("b", body, 1), func(a protocol.JobResponse) { got = a })
	s.LostLeadership()
	s.RunCycle()
	require.Equal(t, protocol.JobResponse{Owner: "leader"}, got, "a waiting command is answered when the leadership is lost")
}
