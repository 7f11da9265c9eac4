package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

func TestCosts(t *testing.T) {
	step := &job.Step{Resources: job.Resources{CPU: 500, MemMB: 4096, GPU: 1}}
	require.Equal(t, 30.0, stepCost(3, step), "two cores for its memory, eight for its accelerator")
	require.Equal(t, 0.5, stepCost(5, &job.Step{}))
	step.LongRunning = true
	require.Zero(t, stepCost(3, step))
}
