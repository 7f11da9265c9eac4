package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/protocol"
)

func newTestTimeline() *Timeline { return newTimeline(contact) }

// TestTimelineCalm checks that a fault counts from its begin until Contact after its end, and that a planned
// operation counts for its own target only.
func TestTimelineCalm(t *testing.T) {
	timeline := newTestTimeline()
	start := timeline.started
	timeline.spans = []*span{
		{kind: unplanned, target: "a", from: start.Add(10 * time.Second), until: start.Add(12 * time.Second)},
		{kind: planned, target: "b", from: start.Add(30 * time.Second)},
	}
	calm := func(from, until time.Duration) bool { return timeline.isCalm(start.Add(from), start.Add(until)) }
	require.True(t, calm(0, 10*time.Second))
	require.False(t, calm(0, 11*time.Second))
	require.False(t, calm(14*time.Second, 15*time.Second))
	require.True(t, calm(16*time.Second, 50*time.Second))
	require.False(t, timeline.isUndisturbed("b", start.Add(40*time.Second), start.Add(41*time.Second)))
	require.True(t, timeline.isUndisturbed("a", start.Add(40*time.Second), start.Add(41*time.Second)))
}

// TestCutRequestsAreFound checks that a request counts as lost if its connection was closed later than
// lossSlack after it was sent, or within its answer, and there was no fault shortly before.
func TestCutRequestsAreFound(t *testing.T) {
	sent := time.Now()
	for name, c := range map[string]struct {
		exchange Exchange
		fault    bool
		rules    int
	}{
		"at once":       {Exchange{outcome: cut, lastByte: sent, ended: sent.Add(lossSlack)}, false, 0},
		"later":         {Exchange{outcome: cut, lastByte: sent, ended: sent.Add(lossSlack + 1)}, false, 1},
		"in its answer": {Exchange{outcome: cut, lastByte: sent, ended: sent, partial: true}, false, 1},
		"near a fault":  {Exchange{outcome: cut, lastByte: sent, ended: sent.Add(time.Second)}, true, 0},
		"no answer":     {Exchange{outcome: silent, lastByte: sent, ended: sent.Add(answerTimeout)}, false, 1},
		"answered":      {Exchange{outcome: answered, status: http.StatusOK, lastByte: sent, ended: sent.Add(time.Second)}, false, 0},
		"not sent":      {Exchange{outcome: unsent, ended: sent.Add(time.Second)}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			x := exchanges{timeline: newTestTimeline(), findings: &Findings{}}
			if c.fault {
				x.timeline.begin(unplanned, "a", "killed")
			}
			x.record(&c.exchange)
			require.Len(t, x.findings.Texts(), c.rules)
		})
	}
}

// TestStallsExcuseLateCuts checks that a connection that was closed late is no finding if this process stalled
// meanwhile, since it can't measure the time then; a partial answer is still one.
func TestStallsExcuseLateCuts(t *testing.T) {
	sent := time.Now()
	x := exchanges{timeline: newTestTimeline(), findings: &Findings{}}
	x.timeline.recordStall(sent.Add(time.Millisecond), sent.Add(time.Second))
	x.record(&Exchange{outcome: cut, lastByte: sent, ended: sent.Add(time.Second)})
	require.Empty(t, x.findings.Texts())
	x.record(&Exchange{outcome: cut, lastByte: sent, ended: sent.Add(time.Second), partial: true})
	x.record(&Exchange{outcome: cut, lastByte: sent.Add(2 * time.Second), ended: sent.Add(3 * time.Second)})
	require.Len(t, x.findings.Texts(), 2)
}

// serveOnce answers the first request on the first connection with a text, and closes it.
func serveOnce(t *testing.T, text string) (address string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		conn, err := listener.Accept()
		_ = listener.Close() // one connection only
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}()
	return listener.Addr().String()
}

// TestExchangeOutcomes checks the outcomes for complete, partial and missing answers.
func TestExchangeOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, text string
		outcome    outcome
		partial    bool
		keep       bool
	}{
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", answered, true, true},
		{"last of its connection", "HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", answered, true, false},
		{"nothing", "", cut, false, false},
		{"half a header", "HTTP/1.1 200 OK\r\nConte", cut, true, false},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}", cut, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			opened, err := dial(t.Context(), "a", serveOnce(t, c.text))
			require.NoError(t, err)
			defer opened.close()
			got, keep := opened.exchange(request{method: http.MethodPost, path: "/q/1", host: "h", body: "{}", pause: time.Millisecond})
			require.Equal(t, c.outcome, got.outcome, got.err)
			require.Equal(t, c.partial, got.partial)
			require.Equal(t, c.keep, keep)
		})
	}
}

// TestRunLogFindsDoubleRuns checks that overlapping runs are found, and so is a start after an end that is
// acknowledged before or after the start.
func TestRunLogFindsDoubleRuns(t *testing.T) {
	const task = "1.0.0.0"
	for name, c := range map[string]struct {
		run   func(l *runLog)
		rules int
	}{
		"once": {func(l *runLog) {
			l.RunStarted("a", task, 1)
			l.RunEnded("a", task, 1, endDone)
			l.EndAcknowledged("a", task, 1, endDone)
		}, 0},
		"again after a crash": {func(l *runLog) {
			l.RunStarted("a", task, 1)
			l.RunEnded("a", task, 1, "crashed")
			l.RunStarted("b", task, 2)
		}, 0},
		"again after an end that crashed with its runner": {func(l *runLog) {
			l.RunStarted("a", task, 1)
			l.RunEnded("a", task, 1, endDone)
			l.RunStarted("b", task, 2)
			l.RunEnded("b", task, 2, endDone)
			l.EndAcknowledged("b", task, 2, endDone)
		}, 0},
		"at once": {func(l *runLog) {
			l.RunStarted("a", task, 1)
			l.RunStarted("b", task, 2)
		}, 1},
		"after its end": {func(l *runLog) {
			l.RunStarted("a", task, 1)
			l.RunEnded("a", task, 1, endDone)
			l.EndAcknowledged("a", task, 1, endDone)
			l.RunStarted("b", task, 2)
		}, 1},
		"before its end was taken note of": {func(l *runLog) {
			l.RunStarted("a", task, 1)
			l.RunEnded("a", task, 1, endDone)
			l.RunStarted("b", task, 2)
			l.EndAcknowledged("a", task, 1, endDone)
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			log := newRunLog(newTestTimeline(), &Findings{})
			c.run(log)
			require.Len(t, log.findings.Texts(), c.rules)
		})
	}
}

// TestJobTrackerFindsLostJobs checks that lost jobs, and jobs that run after a refusal, are found.
func TestJobTrackerFindsLostJobs(t *testing.T) {
	ok := Exchange{outcome: answered, status: http.StatusOK, body: `{"state":"running"}`, ended: time.Now()}
	refused := Exchange{outcome: answered, status: http.StatusServiceUnavailable}
	gone := Exchange{outcome: answered, status: http.StatusGone}
	completed := Exchange{outcome: answered, status: http.StatusOK, body: `{"state":"completed"}`}
	canceled := Exchange{outcome: answered, status: http.StatusOK, body: `{"state":"canceled"}`}
	for name, c := range map[string]struct {
		run   func(l *jobTracker, j *job)
		rules int
	}{
		"completed": {func(l *jobTracker, j *job) {
			l.recordSubmit(j, &ok)
			l.runs.RunStarted("a", j.id+".0.0.0", 1)
			l.runs.RunEnded("a", j.id+".0.0.0", 1, endDone)
			l.recordState(j, &completed, false)
		}, 0},
		"completed without its task": {func(l *jobTracker, j *job) {
			l.recordSubmit(j, &ok)
			l.recordState(j, &completed, false)
		}, 1},
		"never ends":   {func(l *jobTracker, j *job) { l.recordSubmit(j, &ok) }, 1},
		"refused":      {func(l *jobTracker, j *job) { l.recordSubmit(j, &refused) }, 0},
		"refused, ran": {func(l *jobTracker, j *job) { l.recordSubmit(j, &refused); l.runs.RunStarted("a", j.id+".0.0.0", 1) }, 1},
		"gone, and never ends": {func(l *jobTracker, j *job) {
			l.recordSubmit(j, &ok)
			l.recordState(j, &gone, false)
		}, 2},
		"canceled by nobody": {func(l *jobTracker, j *job) {
			l.recordSubmit(j, &ok)
			l.recordState(j, &canceled, false)
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			findings := &Findings{}
			timeline := newTestTimeline()
			tracker := &jobTracker{timeline: timeline, findings: findings, runs: newRunLog(timeline, findings)}
			c.run(tracker, tracker.add(0, 0))
			tracker.check()
			require.Len(t, findings.Texts(), c.rules, findings.Texts())
		})
	}
}

// TestConfigTrackerFindsFaults checks that acknowledgements and contents that must not occur are found.
func TestConfigTrackerFindsFaults(t *testing.T) {
	acked, refused := Exchange{status: http.StatusOK}, Exchange{status: http.StatusPreconditionFailed}
	newTracker := func() *configTracker {
		l := &configTracker{findings: &Findings{}}
		l.record(l.newChange("first", 1, false, 0), acked)
		return l
	}
	t.Run("both of a race", func(t *testing.T) {
		l := newTracker()
		for _, o := range l.newRace(1) {
			l.record(o, acked)
		}
		require.Len(t, l.findings.Texts(), 1)
	})
	t.Run("invalid", func(t *testing.T) {
		l := newTracker()
		l.record(l.newChange("invalid", 1, true, 0), acked)
		require.Len(t, l.findings.Texts(), 1)
	})
	t.Run("read back", func(t *testing.T) {
		l := newTracker()
		race := l.newRace(2)
		l.record(race[0], acked)
		l.record(race[1], refused)
		l.checkContent(race[0].content, race[0].version, "here")
		require.Empty(t, l.findings.Texts())
		l.checkContent(race[1].content, 0, "here")
		l.checkContent(l.changes[0].content, race[0].version, "here")
		l.checkContent(`{"version":99}`, 0, "here")
		require.Len(t, l.findings.Texts(), 3)
	})
}

// TestPlanDependsOnSeed checks that a seed always has the same plan, another seed another one, and that every
// kind of event occurs.
func TestPlanDependsOnSeed(t *testing.T) {
	const windows, seeds = 3, 50
	kinds := map[EventKind]int{}
	for seed := range uint64(seeds) {
		plan := NewPlan(seed, windows)
		require.Equal(t, plan, NewPlan(seed, windows))
		require.NotEqual(t, plan.Events, NewPlan(seed+1, windows).Events)
		for _, event := range plan.Events {
			kinds[event.Kind]++
			require.Less(t, event.At, plan.Length)
		}
	}
	for _, kind := range append(append([]EventKind(nil), plannedKinds...), unplannedKinds...) {
		require.Positive(t, kinds[kind], kind)
	}
}

// TestAwaitIsBounded checks that waiting for a condition that never holds ends at the limit and at the
// context's end.
func TestAwaitIsBounded(t *testing.T) {
	never := func() bool { return false }
	require.False(t, await(t.Context(), time.Millisecond, never))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, await(ended, time.Hour, never))
	require.False(t, sleep(ended, time.Hour))
	require.True(t, await(t.Context(), time.Hour, func() bool { return true }))
}

// TestQueuesMoveBetweenShards checks that the moving queue changes its shard with each version.
func TestQueuesMoveBetweenShards(t *testing.T) {
	require.NotEqual(t, protocol.ShardOf(services[0]), protocol.ShardOf(services[1]))
	const movingPrefix = `"path_prefix":"/moving/","type":"mutating"`
	for version := range int64(4) {
		_, route, ok := strings.Cut(configurationText(version, "plain"), movingPrefix)
		require.True(t, ok)
		_, route, _ = strings.Cut(route, `"backend":`)
		require.True(t, strings.HasPrefix(route, strconv.Quote(services[version%2])), route)
	}
}
