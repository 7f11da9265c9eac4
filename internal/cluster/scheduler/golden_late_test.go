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

// goldenLog was written by the build of commit 352ebf2. `basaltloftctl late` has to read logs of
// that build.
const goldenLog = "testdata/late.log"

// lateLog returns the log of a scheduler whose only runner is overloaded and is unresponsive for a
// while, so that most jobs end late.
func lateLog(t *testing.T) string {
	t.Helper()
	var log bytes.Buffer
	sim := newSimulation(t, 3, 1)
	withoutTime := func(_ []string, attribute slog.Attr) slog.Attr {
		if attribute.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return attribute
	}
	handler := slog.NewTextHandler(&log, &slog.HandlerOptions{ReplaceAttr: withoutTime})
	bounds := scheduler.Config{MaxLease: maxLease, RemoteSlowdown: 1.5, RestoreTime: 250 * time.Millisecond, StatusRetention: 2 * time.Minute}
	sim.scheduler = scheduler.New(sim.store, sim.epoch, bounds, sim.now, sim.wallMs(), slog.New(handler))
	sim.listRunners()
	sim.run(100 * time.Millisecond)
	for number, id := range []string{"at-once", "late-2", "late-3", "late-4", "late-5", "late-6", "in-time"} {
		extension := 1.25
		if id == "in-time" {
			extension = 100
		}
		sim.accept(id, oneTask(1000, 9000), extension, number)
	}
	sim.run(2 * time.Second)
	sim.incarnations[0].unreachableUntil = sim.now + 12*time.Second
	sim.run(30 * time.Second)
	return log.String()
}

// accept submits a job with an objective.
func (sim *simulation) accept(id string, spec job.Spec, extension float64, number int) {
	queue := []string{"h.example/first/", "h.example/second/"}[number%2]
	sim.jobs[id] = &submitted{id: id, spec: spec, service: "desk", retries: 9, ended: map[job.TaskRef]bool{}, acknowledged: map[job.TaskRef]time.Duration{}, failures: map[job.TaskRef]int{}, checkpoints: map[string]bool{}}
	sim.order = append(sim.order, id)
	sim.apply([]job.Command{{Kind: job.AcceptJob, ProposedAtMs: sim.wallMs(), Submission: &job.Submission{
		ID: id, Queue: queue, Service: "desk", Spec: spec, Retries: 9, TargetMs: 100, Extension: extension,
	}}})
}

// formerNames replaces the message and keys of this build by those that the build of the golden log
// used.
var formerNames = strings.NewReplacer(
	`msg="job missed its objective"`, `msg="a job is late"`,
	" arrived_ms=", " came_ms=", " objective_ms=", " owed_ms=",
)

// TestLateJobsAreLoggedAsBefore checks that the log lines that `basaltloftctl late` reads match the
// golden log, apart from the names that formerNames replaces, and that the tool reads the same jobs
// from both logs.
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

// linesOf returns the lines about late jobs.
func linesOf(log string) []string {
	var lines []string
	for line := range strings.Lines(log) {
		if strings.Contains(line, `msg="a job is late"`) {
			lines = append(lines, line)
		}
	}
	return lines
}
