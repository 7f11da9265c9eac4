package scheduler

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/lateness"
)

// TestLateJobIsLogged checks that late jobs are logged in the form that lateness.ReadLog reads.
func TestLateJobIsLogged(t *testing.T) {
	var text strings.Builder
	tracker := newLatenessTracker(1.5, slog.New(slog.NewTextHandler(&text, nil)))
	group := groupExpecting(1)
	group.queue, group.accounts, group.arrivedMs = lateness.NewQueueAccount(testNow), map[int]*lateness.TaskAccount{}, 5000
	group.job.Extension, group.job.TargetMs = 1.5, 250
	tracker.open(group.job, newRunTimeLearner(1.5))
	group.queue.Wait(testNow, lateness.Budget)
	group.account(0).Started(group.queue.Waited(testNow + 700*time.Millisecond))
	r := &run{orderedAt: testNow + 700*time.Millisecond}
	tracker.runEnded(testNow+1700*time.Millisecond, group, r, 1, job.EndDone, false)
	tracker.stepComplete(testNow+1700*time.Millisecond, group, 0)

	tracker.reportIfLate(6750, group)
	require.Empty(t, text.String(), "the objective is 1.5 times its work of one second, plus 250 ms")
	tracker.reportIfLate(6900, group)
	late, err := lateness.ReadLog(strings.NewReader(text.String()))
	require.NoError(t, err)
	require.Equal(t, []lateness.LateJob{{
		ID: "a", Queue: "q", Arrived: 5 * time.Second, Took: 1900 * time.Millisecond, Objective: 1750 * time.Millisecond, Cost: 0.1,
		Spent: lateness.Breakdown{lateness.Budget: 700 * time.Millisecond, lateness.Work: time.Second, lateness.PreviousLeader: 200 * time.Millisecond},
	}}, late)
}
