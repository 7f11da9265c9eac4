package lateness_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/lateness"
)

// formerLog returns log lines of control-plane processes of earlier builds, including those of late jobs.
func formerLog(t *testing.T) string {
	t.Helper()
	var to bytes.Buffer
	log := slog.New(slog.NewTextHandler(&to, nil))
	log.Info("leads", "group", "jobs-3")
	log.Info("a job is late", "job", "a", "queue", "h/q/", "came_ms", 1_000_000, "took_ms", 4000, "owed_ms", 1750, "cost", 12.5, "silent", 3000, "work", 1000)
	log.Info("a job is late", "job", "b", "queue", "h/q/", "came_ms", 1_002_500, "took_ms", 2000, "owed_ms", 1750, "cost", 40.0, "budget", 900, "work", 1100)
	log.Info("a runner drains", "runner", "a job is late")
	return "   3.25 core-a-1 " + to.String() + "no key here = \"\n"
}

// newLog returns the same log lines as control-plane processes of this build write them.
func newLog(t *testing.T) string {
	t.Helper()
	var to bytes.Buffer
	log := slog.New(slog.NewTextHandler(&to, nil))
	log.Info("leads", "group", "jobs-3")
	log.Info(lateness.LateMessage, (&lateness.LateJob{
		ID: "a", Queue: "h/q/", Arrived: 1000 * time.Second, Took: 4 * time.Second, Objective: 1750 * ms, Cost: 12.5,
		Spent: lateness.Breakdown{lateness.Unresponsive: 3 * time.Second, lateness.Work: time.Second},
	}).Attributes()...)
	log.Info(lateness.LateMessage, (&lateness.LateJob{
		ID: "b", Queue: "h/q/", Arrived: 1002500 * ms, Took: 2 * time.Second, Objective: 1750 * ms, Cost: 40,
		Spent: lateness.Breakdown{lateness.Budget: 900 * ms, lateness.Work: 1100 * ms},
	}).Attributes()...)
	log.Info("runner is draining", "runner", lateness.LateMessage)
	return "   3.25 core-a-1 " + to.String() + "no key here = \"\n"
}

// TestLateJobsAreReadFromALog checks that ReadLog reads the lines of this build and of earlier ones.
func TestLateJobsAreReadFromALog(t *testing.T) {
	for name, log := range map[string]string{"this build": newLog(t), "earlier builds": formerLog(t)} {
		t.Run(name, func(t *testing.T) {
			jobs, err := lateness.ReadLog(strings.NewReader(log))
			require.NoError(t, err)
			require.Len(t, jobs, 2)
			require.Equal(t, lateness.LateJob{ID: "a", Queue: "h/q/", Arrived: 1000 * time.Second, Took: 4 * time.Second, Objective: 1750 * ms, Cost: 12.5,
				Spent: lateness.Breakdown{lateness.Unresponsive: 3 * time.Second, lateness.Work: time.Second}}, jobs[0])
			require.Equal(t, lateness.LateJob{ID: "b", Queue: "h/q/", Arrived: 1002500 * ms, Took: 2 * time.Second, Objective: 1750 * ms, Cost: 40,
				Spent: lateness.Breakdown{lateness.Budget: 900 * ms, lateness.Work: 1100 * ms}}, jobs[1])
		})
	}
}

// TestLogLine checks the keys of a late job's log line, which docs/operating-the-scheduler.md lists for operators.
func TestLogLine(t *testing.T) {
	require.Contains(t, newLog(t), `msg="job missed its objective" job=a queue=h/q/ arrived_ms=1000000 took_ms=4000 objective_ms=1750 cost=12.5 silent=3000 work=1000`)
}

func TestTables(t *testing.T) {
	jobs, err := lateness.ReadLog(strings.NewReader(formerLog(t)))
	require.NoError(t, err)
	groupings := lateness.Groupings(jobs, 2*time.Second)
	causes := lateness.Group(jobs, groupings[0])
	require.Equal(t, []string{"budget", "silent"}, []string{causes[0].Name, causes[1].Name})
	require.Len(t, lateness.Group(jobs, groupings[1]), 1, "one queue")
	require.Len(t, lateness.Group(jobs, groupings[3]), 2, "two windows")
	var to strings.Builder
	require.NoError(t, lateness.Print(&to, jobs, 2*time.Second))
	require.Contains(t, to.String(), "from second")
	require.NoError(t, lateness.Print(&to, nil, 2*time.Second), "a log without late jobs")
}
