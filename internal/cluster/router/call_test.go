package router_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/opconfig"
	"basaltloft/internal/cluster/protocol"
	"basaltloft/internal/cluster/router"
)

// servicesOfThreeShards returns three services, each in a different shard.
func servicesOfThreeShards(t *testing.T) []string {
	t.Helper()
	var names []string
	seen := map[int]bool{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"} {
		if shard := protocol.ShardOf(name); !seen[shard] && len(names) < 3 {
			seen[shard] = true
			names = append(names, name)
		}
	}
	require.Len(t, names, 3)
	return names
}

// movedQueue returns a view in which a queue was routed to two services before and is now routed to a third,
// the queue's route, and the shards of the three services.
func movedQueue(t *testing.T) (*router.View, *opconfig.Route, []int) {
	t.Helper()
	names := servicesOfThreeShards(t)
	route := opconfig.Route{Host: "h", PathPrefix: "/q/", Backend: names[2]}
	v := &router.View{Config: &opconfig.Config{Version: 9, Routes: []opconfig.Route{route}},
		ServiceHistories: map[string]opconfig.ServiceHistory{"h/q/": {Services: names, Since: 7}}}
	return v, &v.Config.Routes[0], []int{protocol.ShardOf(names[0]), protocol.ShardOf(names[1]), protocol.ShardOf(names[2])}
}

var (
	ok        = protocol.JobResponse{Status: http.StatusOK}
	gone      = protocol.JobResponse{Status: http.StatusGone}
	rejected  = protocol.JobResponse{Status: http.StatusServiceUnavailable}
	notLeader = protocol.JobResponse{Owner: "x"}
	uncertain = protocol.JobResponse{Status: http.StatusBadGateway, Unknown: true}
	never     = protocol.JobResponse{Status: http.StatusServiceUnavailable, Never: true}
	moved     = protocol.JobResponse{Status: http.StatusServiceUnavailable, Moved: 12}
	noQueue   = protocol.JobResponse{Status: http.StatusNotFound}
	badBody   = protocol.JobResponse{Status: http.StatusBadRequest}
	otherJob  = protocol.JobResponse{Status: http.StatusConflict}
)

// noResponse represents an attempt without a response.
var noResponse = protocol.JobResponse{Reason: "no response"}

// respond applies responses to a call, and returns the client's response and the call's progress.
func respond(t *testing.T, call *router.Call, responses ...protocol.JobResponse) (protocol.JobResponse, router.Progress) {
	t.Helper()
	got, progress := protocol.JobResponse{}, router.Retry
	for _, response := range responses {
		require.NotEqual(t, router.Finished, progress, "the call has its response already")
		if response == noResponse {
			call.NoResponse()
			continue
		}
		got, progress = call.HandleResponse(response)
	}
	if progress == router.Retry || progress == router.Continue {
		return call.TimeoutResponse(), progress
	}
	return got, progress
}

// TestSubmitOutcome checks the table of docs/control-safety.md: the status that a client gets after the
// given responses of leaders, for a job of a queue that was never moved.
func TestSubmitOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		responses []protocol.JobResponse
		want      protocol.Status
	}{
		"accepted":                             {[]protocol.JobResponse{ok}, 200},
		"accepted at the second attempt":       {[]protocol.JobResponse{noResponse, ok}, 200},
		"rejected":                             {[]protocol.JobResponse{rejected}, 503},
		"rejected by the second node":          {[]protocol.JobResponse{notLeader, rejected}, 503},
		"rejected after no response":           {[]protocol.JobResponse{noResponse, rejected}, 504},
		"no queue":                             {[]protocol.JobResponse{noQueue}, 404},
		"no queue after no response":           {[]protocol.JobResponse{noResponse, noQueue}, 504},
		"a bad body after no response":         {[]protocol.JobResponse{noResponse, badBody}, 504},
		"another job after no response":        {[]protocol.JobResponse{noResponse, otherJob}, 504},
		"no queue after an uncertain response": {[]protocol.JobResponse{uncertain, noQueue}, 504},
		"never accepted, whatever came before": {[]protocol.JobResponse{noResponse, never}, 503},
		"no leader":                            {[]protocol.JobResponse{notLeader, notLeader}, 503},
		"no response":                          {[]protocol.JobResponse{noResponse}, 504},
		"no leader after no response":          {[]protocol.JobResponse{noResponse, notLeader}, 504},
		"rejected by a new leader after none":  {[]protocol.JobResponse{noResponse, notLeader, rejected}, 504},
	} {
		v := &router.View{Config: &opconfig.Config{Version: 9}}
		t.Run(name, func(t *testing.T) {
			call := router.NewSubmitCall(v, &opconfig.Route{Host: "h", PathPrefix: "/q/", Backend: "a"}, "id", []byte("{}"))
			got, _ := respond(t, call, c.responses...)
			require.Equal(t, c.want, got.Status)
		})
	}
}

// TestReadsAndCancels checks requests for a job's state and for its cancellation, which may be retried: the
// order in which shards are asked, and that the response of a leader that has the job, or of the last of
// those that don't, is final. After an attempt without a response, a rejected cancellation has an unknown outcome.
func TestReadsAndCancels(t *testing.T) {
	v, route, shards := movedQueue(t)
	for _, operation := range []protocol.JobOperation{protocol.GetJobState, protocol.CancelJob} {
		got, progress := respond(t, router.NewJobCall(v, route, operation, "id"), gone, noResponse, gone, gone)
		require.Equal(t, router.Finished, progress)
		require.Equal(t, protocol.Status(410), got.Status)
		got, _ = respond(t, router.NewJobCall(v, route, operation, "id"), gone, protocol.JobResponse{Status: 200, State: job.StateRunning})
		require.Equal(t, job.StateRunning, got.State)
		got, progress = respond(t, router.NewJobCall(v, route, operation, "id"), gone, moved)
		require.Equal(t, router.ConfigOutdated, progress)
		require.Equal(t, int64(12), got.Moved)
	}
	call := router.NewJobCall(v, route, protocol.GetJobState, "id")
	for _, at := range []int{2, 1, 0} { // the present shard first, then the former ones, the latest first
		shard, message := call.Next()
		require.Equal(t, shards[at], shard)
		require.Equal(t, int64(9), message.(protocol.JobRequest).Version)
		call.HandleResponse(gone)
	}
	got, _ := respond(t, router.NewJobCall(v, route, protocol.CancelJob, "id"), noResponse, rejected)
	require.Equal(t, protocol.Status(504), got.Status, "the cancellation may have been carried out")
	got, _ = respond(t, router.NewJobCall(v, route, protocol.GetJobState, "id"), noResponse, rejected)
	require.Equal(t, protocol.Status(503), got.Status)
}

// TestCountsAreAdded checks that the number of pending jobs is the sum over the shards that have or had the
// queue.
func TestCountsAreAdded(t *testing.T) {
	v, route, _ := movedQueue(t)
	count := func(n int) protocol.JobResponse { return protocol.JobResponse{Status: 200, Pending: n} }
	got, progress := respond(t, router.NewJobCall(v, route, protocol.CountPending, ""), count(2), noResponse, count(3), count(4))
	require.Equal(t, router.Finished, progress)
	require.Equal(t, 9, got.Pending)
}

// TestFormerShardsAreAskedFirst checks that former shards are asked for a job's ID before the job is submitted,
// with the version that moved the queue, and that a job that one of them has is not submitted again.
func TestFormerShardsAreAskedFirst(t *testing.T) {
	v, route, shards := movedQueue(t)
	call := router.NewSubmitCall(v, route, "id", []byte("body"))
	for _, at := range []int{1, 0} {
		shard, message := call.Next()
		require.Equal(t, shards[at], shard)
		check := message.(protocol.JobRequest)
		require.Equal(t, protocol.CheckFormerShard, check.Verb)
		require.Equal(t, int64(7), check.Since)
		_, progress := call.HandleResponse(gone)
		require.Equal(t, router.Continue, progress)
	}
	shard, message := call.Next()
	require.Equal(t, shards[2], shard)
	require.Equal(t, "id", message.(protocol.SubmitRequest).ID)
	got, _ := respond(t, call, noResponse, moved)
	require.Equal(t, int64(12), got.Moved)
	again := router.NewSubmitCall(v, route, "id", []byte("body"))
	again.InheritOutcome(call)
	got, _ = respond(t, again, gone, gone, noQueue)
	require.Equal(t, protocol.Status(504), got.Status, "the attempt under the older configuration may have been accepted")

	got, progress := respond(t, router.NewSubmitCall(v, route, "id", []byte("body")), gone, ok)
	require.Equal(t, router.Finished, progress)
	require.Equal(t, protocol.Status(200), got.Status)
	got, _ = respond(t, router.NewSubmitCall(v, route, "id", []byte("body")), otherJob)
	require.Equal(t, protocol.Status(409), got.Status)
}
