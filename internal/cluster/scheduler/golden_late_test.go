package scheduler_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
	"basaltloft/internal/cluster/scheduler"
	"basaltloft/internal/shared/goldentest"
)

// goldenLog was written by commit 352ebf2: `basaltloftctl late` reads logs of that build.
const goldenLog = "testdata/late.log"

// lateLog returns the log of a scheduler whose only runner is asked for more than it has, and
// is unresponsive for a while, so that most jobs end late.
func lateLog(t *testing.T) string {
	t.Helper()
	var log bytes.Buffer
	w := newWorld(t, 3, 1)
	withoutTime := func(_ []string, attribute slog.Attr) slog.Attr {
		if attribute.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return attribute
	}
	handler := slog.NewTextHandler(&log, &slog.HandlerOptions{ReplaceAttr: withoutTime})
	bounds := scheduler.Config{MaxLease: maxLease, RemoteSlowdown: 1.5, RestoreTime: 250 * time.Millisecond, StatusRetention: 2 * time.Minute}
	w.scheduler = scheduler.New(w.store, w.epoch, bounds, w.now, w.wallMs(), slog.New(handler))
	w.listRunners()
	w.run(100 * time.Millisecond)
	for number, id := range []string{"at-once", "late-2", "late-3", "late-4", "late-5", "late-6", "in-time"} {
		stretch := 1.25
		if id == "in-time" {
			stretch = 100
		}
		w.accept(id, oneTask(1000, 9000), stretch, number)
	}
	w.run(2 * time.Second)
	w.incarnations[0].unreachableUntil = w.now + 12*time.Second
	w.run(30 * time.Second)
	return log.String()
}

// accept hands a job with an objective in.
func (w *world) accept(id string, spec job.Spec, stretch float64, number int) {
	queue := []string{"h.example/first/", "h.example/second/"}[number%2]
	w.jobs[id] = &submitted{id: id, spec: spec, service: "desk", retries: 9, ended: map[job.TaskRef]bool{}, acknowledged: map[job.TaskRef]time.Duration{}, failures: map[job.TaskRef]int{}, checkpoints: map[string]bool{}}
	w.order = append(w.order, id)
	w.apply([]job.Command{{Kind: job.AcceptJob, ProposedAtMs: w.wallMs(), Submission: &job.Submission{
		ID: id, Queue: queue, Service: "desk", Spec: spec, Retries: 9, TargetMs: 100, Extension: stretch,
	}}})
}

// formerNames are the message and the keys that the build of the golden log used where this one has
// others.
var formerNames = strings.NewReplacer(
	`msg="job missed its objective"`, `msg="a job is late"`,
	" arrived_ms=", " came_ms=", " objective_ms=", " owed_ms=",
)

// TestLateJobsAreLoggedAsBefore: message, keys and values of the lines that `basaltloftctl late`
// reads are those of the golden log, but for names that are translated here one by one, and the
// tool reads the same of both.
func TestLateJobsAreLoggedAsBefore(t *testing.T) {
	log := lateLog(t)
	golden := goldentest.Read(t, goldenLog)
	old, err := lateness.ReadLog(bytes.NewReader(golden))
	require.NoError(t, err)
	require.Len(t, old, 5)
	now, err := lateness.ReadLog(strings.NewReader(log))
	require.NoError(t, err)
	require.Equal(t, old, now)
	require.NotContains(t, log, "a job is late")
	require.Equal(t, linesOf(string(golden)), linesOf(formerNames.Replace(log)))
}

// linesOf returns the lines on late jobs.
func linesOf(log string) []string {
	var lines []string
	for line := range strings.Lines(log) {
		if strings.Contains(line, `msg="a job is late"`) {
			lines = append(lines, line)
		}
	}
	return lines
}
