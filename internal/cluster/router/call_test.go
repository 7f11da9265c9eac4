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

// services in three shards of their own.
func services(t *testing.T) []string {
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

// view is a queue that was at the first two services and is at the third now.
func view(t *testing.T) (*router.View, *opconfig.Route, []int) {
	names := services(t)
	route := opconfig.Route{Host: "h", PathPrefix: "/q/", Backend: names[2]}
	v := &router.View{Config: &opconfig.Config{Version: 9, Routes: []opconfig.Route{route}},
		ServiceHistories: map[string]opconfig.ServiceHistory{"h/q/": {Services: names, Since: 7}}}
	return v, &v.Config.Routes[0], []int{protocol.ShardOf(names[0]), protocol.ShardOf(names[1]), protocol.ShardOf(names[2])}
}

var (
	ok       = protocol.JobResponse{Status: http.StatusOK}
	gone     = protocol.JobResponse{Status: http.StatusGone}
	refused  = protocol.JobResponse{Status: http.StatusServiceUnavailable}
	notOwner = protocol.JobResponse{Owner: "x"}
	unsure   = protocol.JobResponse{Status: http.StatusBadGateway, Unknown: true}
	never    = protocol.JobResponse{Status: http.StatusServiceUnavailable, Never: true}
	moved    = protocol.JobResponse{Status: http.StatusServiceUnavailable, Moved: 12}
	noQueue  = protocol.JobResponse{Status: http.StatusNotFound}
	badBody  = protocol.JobResponse{Status: http.StatusBadRequest}
	otherJob = protocol.JobResponse{Status: http.StatusConflict}
)

// silence is a try without an answer.
var silence = protocol.JobResponse{Reason: "silence"}

// play gives a call its answers and returns the last one's worth.
func play(t *testing.T, call *router.Call, answers ...protocol.JobResponse) (protocol.JobResponse, router.Progress) {
	t.Helper()
	got, progress := protocol.JobResponse{}, router.Retry
	for _, answer := range answers {
		require.NotEqual(t, router.Finished, progress, "the call has its answer already")
		if answer == silence {
			call.NoResponse()
			continue
		}
		got, progress = call.HandleResponse(answer)
	}
	if progress == router.Retry || progress == router.Continue {
		return call.TimeoutResponse(), progress
	}
	return got, progress
}

// TestWhatAnAnswerIsWorth is the table of docs/control-safety.md: what a client is told after
// the answers of owners, for a job at a queue that never moved.
func TestWhatAnAnswerIsWorth(t *testing.T) {
	for name, c := range map[string]struct {
		answers []protocol.JobResponse
		want    protocol.Status
	}{
		"taken":                                 {[]protocol.JobResponse{ok}, 200},
		"taken at the second try":               {[]protocol.JobResponse{silence, ok}, 200},
		"refused":                               {[]protocol.JobResponse{refused}, 503},
		"refused by the second owner":           {[]protocol.JobResponse{notOwner, refused}, 503},
		"refused after silence":                 {[]protocol.JobResponse{silence, refused}, 504},
		"no queue":                              {[]protocol.JobResponse{noQueue}, 404},
		"no queue after silence":                {[]protocol.JobResponse{silence, noQueue}, 504},
		"a bad body after silence":              {[]protocol.JobResponse{silence, badBody}, 504},
		"another job after silence":             {[]protocol.JobResponse{silence, otherJob}, 504},
		"no queue after an unsure answer":       {[]protocol.JobResponse{unsure, noQueue}, 504},
		"never taken, whatever the try before":  {[]protocol.JobResponse{silence, never}, 503},
		"nobody owns it":                        {[]protocol.JobResponse{notOwner, notOwner}, 503},
		"silence":                               {[]protocol.JobResponse{silence}, 504},
		"nobody owns it after silence":          {[]protocol.JobResponse{silence, notOwner}, 504},
		"refused after silence and a new owner": {[]protocol.JobResponse{silence, notOwner, refused}, 504},
	} {
		v := &router.View{Config: &opconfig.Config{Version: 9}}
		got, _ := play(t, router.NewSubmitCall(v, &opconfig.Route{Host: "h", PathPrefix: "/q/", Backend: "a"}, "id", []byte("{}")), c.answers...)
		require.Equal(t, c.want, got.Status, name)
	}
}

// TestReadsAndCancels: a state or a cancelling may be asked for again; what is told is a fact.
func TestReadsAndCancels(t *testing.T) {
	v, route, shards := view(t)
	for _, verb := range []protocol.JobOperation{protocol.GetJobState, protocol.CancelJob} {
		got, progress := play(t, router.NewJobCall(v, route, verb, "id"), gone, silence, gone, gone)
		require.Equal(t, router.Finished, progress)
		require.Equal(t, protocol.Status(410), got.Status)
		got, _ = play(t, router.NewJobCall(v, route, verb, "id"), gone, protocol.JobResponse{Status: 200, State: job.StateRunning})
		require.Equal(t, job.StateRunning, got.State)
		got, progress = play(t, router.NewJobCall(v, route, verb, "id"), gone, moved)
		require.Equal(t, router.ConfigOutdated, progress)
		require.Equal(t, int64(12), got.Moved)
	}
	call := router.NewJobCall(v, route, protocol.GetJobState, "id")
	for _, at := range []int{2, 1, 0} { // the present shard first, then the earlier ones, newest first
		shard, message := call.Next()
		require.Equal(t, shards[at], shard)
		require.Equal(t, int64(9), message.(protocol.JobRequest).Version)
		call.HandleResponse(gone)
	}
	got, _ := play(t, router.NewJobCall(v, route, protocol.CancelJob, "id"), silence, refused)
	require.Equal(t, protocol.Status(504), got.Status, "a cancelling may have been done")
	got, _ = play(t, router.NewJobCall(v, route, protocol.GetJobState, "id"), silence, refused)
	require.Equal(t, protocol.Status(503), got.Status)
}

// TestCountsAreAdded over the shards that had the queue.
func TestCountsAreAdded(t *testing.T) {
	v, route, _ := view(t)
	count := func(n int) protocol.JobResponse { return protocol.JobResponse{Status: 200, Pending: n} }
	got, progress := play(t, router.NewJobCall(v, route, protocol.CountPending, ""), count(2), silence, count(3), count(4))
	require.Equal(t, router.Finished, progress)
	require.Equal(t, 9, got.Pending)
}

// TestEarlierShardsAreAskedFirst, by the version that moved the queue, before a job is handed
// in; a job that one holds is not handed in again.
func TestEarlierShardsAreAskedFirst(t *testing.T) {
	v, route, shards := view(t)
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
	got, _ := play(t, call, silence, moved)
	require.Equal(t, int64(12), got.Moved)
	again := router.NewSubmitCall(v, route, "id", []byte("body"))
	again.InheritOutcome(call)
	got, _ = play(t, again, gone, gone, noQueue)
	require.Equal(t, protocol.Status(504), got.Status, "the try under the older configuration may have been taken")

	got, progress := play(t, router.NewSubmitCall(v, route, "id", []byte("body")), gone, ok)
	require.Equal(t, router.Finished, progress)
	require.Equal(t, protocol.Status(200), got.Status)
	got, _ = play(t, router.NewSubmitCall(v, route, "id", []byte("body")), otherJob)
	require.Equal(t, protocol.Status(409), got.Status)
}
