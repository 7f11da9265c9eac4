package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// TestStopsAreSentInTheOrderOfTheirTasks checks that orders to stop don't depend on the iteration
// order of the map that holds a runner's runs.
func TestStopsAreSentInTheOrderOfTheirTasks(t *testing.T) {
	const runs = 40
	s := newTestScheduler()
	runner := contactedRunner()
	for index := range runs {
		r := &run{runKey: runKey{task: job.TaskRef{Job: "a", Index: index}, attempt: 1}, phase: phaseConfirmed}
		r.stop.requested = true
		runner.load.add(r)
	}
	s.checkRuns(runner)
	var stopped []int
	for _, order := range s.TakeOutput(testNow, false).Orders {
		require.Equal(t, OrderStop, order.Kind)
		stopped = append(stopped, order.Task.Index)
	}
	require.Len(t, stopped, runs)
	require.IsIncreasing(t, stopped)
}
