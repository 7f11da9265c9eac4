package upgradetest_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/protocol"
)

const clientHost = "client.example"

// Services: one with a quick runner, one with slow runners, and one without a runner at first.
const (
	quickService  = "quick"
	slowService   = "slow"
	vacantService = "vacant"
)

// Sizes of the workload. The entries of a group's log exceed the 2 MiB after which a control-plane node writes
// a snapshot, so that the new build reads both snapshots and logs.
const (
	configurations     = 40
	configurationBytes = 64 << 10
	largeJobs          = 9
	largeJobBytes      = 240 << 10
)

// States of jobs in responses to clients.
const (
	pending   = "pending"
	running   = "running"
	completed = "completed"
	canceled  = "canceled"
)

// ranks orders the states: a job's state only changes to one of a higher rank.
var ranks = map[string]int{pending: 0, running: 1, completed: 2, canceled: 2}

// configurationText returns a version of the configuration. The second half of the versions routes the queue
// /moved/ to another service, and doesn't have /removed/.
func configurationText(version int64) string {
	routes := map[string]string{"/quick/": quickService, "/slow/": slowService, "/vacant/": vacantService}
	if version <= configurations/2 {
		routes["/moved/"], routes["/removed/"] = vacantService, quickService
	} else {
		routes["/moved/"] = quickService
	}
	var list []string
	for prefix, service := range routes {
		list = append(list, fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"type":"mutating","timeout_ms":3000,"target_ms":250,"priority":0,"backend":%q,"retries":3,"extension":1.5}`,
			prefix, clientHost, prefix, service))
	}
	slices.Sort(list)
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"guards":true},{"name":%q},{"name":%q}],"limits":{"max_body_bytes":262144},"comment":%q}`,
		version, strings.Join(list, ","), quickService, slowService, vacantService, strings.Repeat("c", configurationBytes))
}

const (
	plainJob = `{"spec":"plain","stages":[{"count":2,"cpu":500,"mem_mb":10,"estimate_ms":50},{"count":1,"cpu":500,"depends_on":[0]}]}`
	// slowJob has an estimated run time of an hour, since a run that far exceeds its estimate is stopped and
	// restarted on another runner.
	slowJob = `{"spec":"slow","stages":[{"count":2,"cpu":500,"estimate_ms":3600000},{"count":1,"cpu":500,"estimate_ms":3600000,"depends_on":[0]}]}`
	oneTask = `{"spec":"one","stages":[{"count":1,"cpu":100}]}`
)

func largeJob() string {
	return fmt.Sprintf(`{"spec":"large","stages":[{"count":1,"cpu":100,"constraints":%q}]}`, strings.Repeat("l", largeJobBytes))
}

func timedJob(start time.Time, repeats int) string {
	return fmt.Sprintf(`{"spec":"timed","repeats":%d,"start_at_ms":%d,"interval_ms":%d,"stages":[{"count":1,"cpu":100}]}`,
		repeats, start.UnixMilli(), time.Hour.Milliseconds())
}

// workload is the jobs and configurations that a cluster has got before its upgrade.
type workload struct {
	*cluster
	states          map[string]string // jobs' states, by path
	cancelledBefore string            // the path of a job that was cancelled before its submission
	counts          map[string]string // the response bodies to requests for queues' counts, by path
	appliedBefore   map[string]uint64 // by group: the index applied before fillLogs
}

// newWorkload submits the configurations, and jobs that reach all states.
func newWorkload(c *cluster) *workload {
	w := &workload{cluster: c, states: map[string]string{}, counts: map[string]string{}}
	w.replaceUpTo(1, configurations/2)
	w.submitJobs("early")
	w.submitAndAwait("/moved/moved-early", pending, oneTask)
	w.submitAndAwait("/removed/removed-early", completed, oneTask)
	w.replaceUpTo(configurations/2+1, configurations)
	delete(w.states, "/removed/removed-early") // the configuration no longer has its queue
	w.fillLogs()
	w.submitJobs("late")
	w.cancelledBefore = "/quick/withdrawn"
	require.Equal(c.t, http.StatusGone, w.send(w.client(http.MethodDelete, w.cancelledBefore, "")).status)
	for _, path := range []string{"/quick/", "/slow/", "/vacant/", "/moved/"} {
		w.counts[path] = w.send(w.client(http.MethodGet, path, "")).body
	}
	w.awaitAllVoting("before the upgrade")
	return w
}

// replaceUpTo replaces the configuration by each version from first to last.
func (w *workload) replaceUpTo(first, last int64) {
	w.t.Helper()
	for version := first; version <= last; version++ {
		got := w.replace(int(version)%nodeCount, version-1, configurationText(version))
		require.Equal(w.t, http.StatusOK, got.status, "configuration %d: %s", version, got.body)
	}
}

// submitAndAwait submits a job and waits for its state.
func (w *workload) submitAndAwait(path, state, body string) {
	w.t.Helper()
	w.submit(path, body)
	w.awaitState(path, state)
	w.states[path] = state
}

// submitJobs submits a job of each kind. Their IDs end with the suffix; an ID must be unique over all queues.
func (w *workload) submitJobs(suffix string) {
	w.t.Helper()
	w.submitAndAwait("/quick/ended-"+suffix, completed, plainJob)
	w.submitAndAwait("/slow/running-"+suffix, running, slowJob)
	w.submitAndAwait("/vacant/pending-"+suffix, pending, plainJob)
	w.submitAndAwait("/quick/timed-"+suffix, pending, timedJob(time.Now().Add(time.Hour), 1))
	w.submitAndAwait("/quick/repeated-"+suffix, running, timedJob(time.Now(), 2))
	for path, before := range map[string]string{"/slow/stopped-" + suffix: running, "/vacant/cancelled-" + suffix: pending} {
		w.submitAndAwait(path, before, slowJob)
		require.Equal(w.t, http.StatusOK, w.send(w.client(http.MethodDelete, path, "")).status)
		w.awaitState(path, canceled)
		w.states[path] = canceled
	}
}

// fillLogs submits large jobs, and waits until each control-plane node has a snapshot of each group that gets
// them, with all entries from before, and any but the first, empty snapshot of the configuration's group.
func (w *workload) fillLogs() {
	w.t.Helper()
	w.awaitAllVoting("before the snapshots")
	w.appliedBefore = map[string]uint64{}
	for _, shown := range w.statuses()[0].Groups {
		w.appliedBefore[shown.Name] = shown.Applied
	}
	for _, service := range []string{quickService, vacantService} {
		for number := range largeJobs {
			w.submitAndAwait(fmt.Sprintf("/%s/large-%s-%d", service, service, number), pending, largeJob())
		}
	}
	require.True(w.t, poll(w.snapshotsWritten), "a group has written no snapshot")
}

// snapshotsWritten reports whether each node has the snapshots that fillLogs waits for.
func (w *workload) snapshotsWritten() bool {
	wanted := map[string]uint64{protocol.ConfigGroup: 2} // any but the first, empty one
	for _, service := range []string{quickService, vacantService} {
		group := protocol.ShardGroup(protocol.ShardOf(service))
		wanted[group] = w.appliedBefore[group]
	}
	for _, status := range w.statuses() {
		for _, shown := range status.Groups {
			if shown.Snapshot < wanted[shown.Name] {
				return false
			}
		}
	}
	return true
}

// check checks that the upgrade has preserved the workload, and that its jobs can be completed.
func (w *workload) check() {
	w.t.Helper()
	w.awaitAllVoting("after the upgrade")
	w.checkJobs()
	w.checkCounts()
	w.checkConfiguration()
	w.finishJobs()
	w.checkStarts()
	w.awaitAllVoting("at the end")
}

// checkJobs checks that each job has the same state as before, or one of a higher rank.
func (w *workload) checkJobs() {
	w.t.Helper()
	for path, before := range w.states {
		now := w.state(path)
		require.True(w.t, now == before || ranks[now] > ranks[before], "job %s was %s and is %s", path, before, now)
	}
	// A repeated submission changes nothing, and a job that was cancelled before its submission stays unknown.
	w.submit("/slow/running-early", slowJob)
	require.Equal(w.t, http.StatusGone, w.send(w.client(http.MethodGet, w.cancelledBefore, "")).status)
	rejected, err := w.client(http.MethodPost, w.cancelledBefore, oneTask).attempt(w.t.Context())
	require.NoError(w.t, err)
	require.Equal(w.t, http.StatusServiceUnavailable, rejected.status, rejected.body)
}

// checkCounts checks that each queue has as many pending jobs as before. No other jobs may be submitted
// meanwhile.
func (w *workload) checkCounts() {
	w.t.Helper()
	for path, before := range w.counts {
		require.Equal(w.t, before, w.send(w.client(http.MethodGet, path, "")).body, "pending jobs of %s", path)
	}
}

// checkConfiguration checks that the newest configuration is the same, and that a repeated replacement by an
// earlier one is still recognized.
func (w *workload) checkConfiguration() {
	w.t.Helper()
	for node := range w.nodes {
		require.Equal(w.t, configurationText(configurations), w.configuration(node))
	}
	for version := int64(1); version <= configurations; version++ {
		got := w.replace(int(version)%nodeCount, version-1, configurationText(version))
		require.Equal(w.t, http.StatusOK, got.status, "configuration %d is not known any more: %s", version, got.body)
	}
	got := w.replace(0, configurations-1, configurationText(configurations+1))
	require.Equal(w.t, http.StatusPreconditionFailed, got.status, got.body)
	w.replaceUpTo(configurations+1, configurations+1)
}

// finishJobs ends the pending and running jobs: it adds the missing runner and ends the slow runs.
func (w *workload) finishJobs() {
	w.t.Helper()
	w.platform.AddRunner(w.vacant, vacantService)
	for _, suffix := range []string{"early", "late"} {
		w.awaitState("/vacant/pending-"+suffix, completed)
		path := "/slow/running-" + suffix
		ended := func() bool {
			for _, runner := range w.slow {
				runner.EndAll()
			}
			return w.state(path) == completed
		}
		require.True(w.t, poll(ended), "job %s does not end", path)
	}
	w.awaitState("/moved/moved-early", completed)
	w.submit("/moved/moved-late", plainJob)
	w.awaitState("/moved/moved-late", completed)
	timed := "/quick/timed-late"
	require.Equal(w.t, http.StatusOK, w.send(w.client(http.MethodDelete, timed, "")).status)
	w.awaitState(timed, canceled)
}

// checkStarts checks that each task was started once, including those that ran during the upgrade.
func (w *workload) checkStarts() {
	w.t.Helper()
	starts := map[string]int{}
	for _, runner := range w.runners() {
		for task, count := range runner.StartCounts() {
			starts[task] += count
		}
	}
	for task, count := range starts {
		require.Equal(w.t, 1, count, "starts of task %s", task)
	}
}

// traffic is a client that submits one job after another during an upgrade.
type traffic struct {
	completed atomic.Int64 // jobs that were seen completed
	stop      context.CancelFunc
	done      chan error
}

// startTraffic starts a client in a goroutine.
func (c *cluster) startTraffic() *traffic {
	ctx, cancel := context.WithCancel(c.t.Context())
	traffic := &traffic{stop: cancel, done: make(chan error, 1)}
	go func() { traffic.done <- traffic.run(ctx, c) }()
	return traffic
}

// run submits jobs until the context ends; the last one is awaited too.
func (t *traffic) run(ctx context.Context, c *cluster) error {
	for ctx.Err() == nil {
		path := fmt.Sprintf("/quick/traffic-%d", t.completed.Load())
		if err := runJob(context.WithoutCancel(ctx), c, path); err != nil {
			return err
		}
		t.completed.Add(1)
	}
	return nil
}

// runJob submits a job and polls its state until it is completed.
func runJob(ctx context.Context, c *cluster, path string) error {
	got, err := c.client(http.MethodPost, path, plainJob).sendUntilAnswered(ctx)
	if err != nil || got.status != http.StatusOK {
		return fmt.Errorf("submit %s: %d %s: %w", path, got.status, got.body, err)
	}
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); {
		got, err = c.client(http.MethodGet, path, "").sendUntilAnswered(ctx)
		if err != nil || got.status != http.StatusOK {
			return fmt.Errorf("get the state of %s: %d %s: %w", path, got.status, got.body, err)
		}
		var job struct{ State string }
		if json.Unmarshal([]byte(got.body), &job) == nil && job.State == completed {
			return nil
		}
	}
	return fmt.Errorf("job %s does not become completed", path)
}

// awaitMore waits until the client has seen more jobs completed, and fails the test if the client has failed.
func (t *traffic) awaitMore(test *testing.T, when string) {
	test.Helper()
	const more = 3
	target := t.completed.Load() + more
	require.True(test, poll(func() bool { return t.completed.Load() >= target || len(t.done) > 0 }), "no job ends %s", when)
	t.requireNoError(test, when)
}

// requireNoError fails the test if the client has stopped with an error.
func (t *traffic) requireNoError(test *testing.T, when string) {
	test.Helper()
	select {
	case err := <-t.done:
		require.NoError(test, err, when)
	default:
	}
}

// finish stops the client, and fails the test if it has failed.
func (t *traffic) finish(test *testing.T) {
	test.Helper()
	t.stop()
	require.NoError(test, <-t.done)
}
