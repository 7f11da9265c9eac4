package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// TestOlderReportOverrulesNoNewerOne guards against a saved checkpoint that is replaced by an older one: the
// reply to a start arrives late, and an older report after it.
func TestOlderReportOverrulesNoNewerOne(t *testing.T) {
	s := newTestScheduler()
	runner := addRunner(s, "i-1")
	r := &run{runKey: runKey{task: job.TaskRef{Job: "j"}, attempt: 1}, phase: phaseConfirmed, orderedAt: testNow}
	runner.load.add(r)
	report := func(clockMs int64, checkpoint string) {
		s.LeaseReplied(testNow+time.Second, Order{Kind: OrderRenewLease, Runner: "i-1"}, LeaseRenewed,
			RunnerReport{ClockMs: clockMs, Running: []ReportedRun{{Task: r.task, Attempt: 1, Checkpoint: checkpoint}}})
	}
	report(runnerClockMs+200, "newer")
	s.StartReplied(testNow+time.Second, Order{Kind: OrderStart, Runner: "i-1", Task: job.TaskRef{Job: "k"}, Attempt: 1}, StartRefused, runnerClockMs+50)
	report(runnerClockMs+100, "older")
	require.Equal(t, "newer", r.checkpoint)
	require.Len(t, s.outbox.commands, 1, "the older checkpoint is not saved")
}
