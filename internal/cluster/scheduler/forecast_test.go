package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/admission"
)

func TestExpectedRemaining(t *testing.T) {
	at := testNow + 400*time.Millisecond
	for name, test := range map[string]struct {
		run  run
		want time.Duration
	}{
		"by expected run time": {run{expected: 1, orderedAt: testNow}, 600 * time.Millisecond},
		"resumed":              {run{expected: 1, orderedAt: testNow, restoreTime: 100 * time.Millisecond}, 700 * time.Millisecond},
		"overdue":              {run{expected: 0.3, orderedAt: testNow}, 100 * time.Millisecond},
		"end is proposed":      {run{expected: 1, orderedAt: testNow, ending: true}, 0},
		"to be stopped":        {run{expected: 1, orderedAt: testNow, stop: stopOrder{requested: true}}, 0},
		"long-running":         {run{orderedAt: testNow}, neverEnds},
		"by progress": {run{expected: 9, orderedAt: testNow, progress: runProgress{
			rateKnown: true, rate: 100, percent: 50, reportedAt: testNow + 300*time.Millisecond, changedAt: testNow + 300*time.Millisecond,
		}}, 400 * time.Millisecond},
	} {
		require.InDelta(t, test.want, test.run.expectedRemaining(at), float64(time.Microsecond), name)
	}
}

func TestForecastCountsCapacityAndBudgetOfEndingRuns(t *testing.T) {
	s := newTestScheduler()
	runner := addRunner(s, "a")
	for index, seconds := range []float64{0.1, 0.2} {
		runner.load.add(&run{
			runKey: runKey{task: job.TaskRef{Job: "j", Index: index}, attempt: 1}, resources: job.Resources{CPU: 1500}, cost: 1,
			expected: seconds, orderedAt: testNow,
		})
	}
	s.collectCandidates()
	s.cycle.candidates[0].Headroom = admission.Headroom{Amount: 1}
	request := &placement.Request{Service: "s", Resources: job.Resources{CPU: 1000}, Cost: 1}
	slots := func(within time.Duration, limit int) int {
		return s.cycle.forecast.slots(s.now, within, request, s.cycle.forecast.racks()[0], func(int) int { return limit })
	}
	require.Equal(t, 1, slots(0, 9))
	require.Equal(t, 2, slots(100*time.Millisecond, 9))
	require.Equal(t, 3, slots(200*time.Millisecond, 9), "the capacity is sufficient for four, the budget for three")
	require.Equal(t, 2, slots(200*time.Millisecond, 2))
	s.cycle.candidates[0].Suspect = true
	require.Equal(t, 1, slots(200*time.Millisecond, 9), "a suspect runner gets one task")
	request.Resources.CPU = 5000
	require.Zero(t, slots(time.Hour, 9))
}
