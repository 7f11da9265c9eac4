package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

func TestEndsAreAcknowledgedOnceTheirBatchIsCommitted(t *testing.T) {
	box, runner := newOutbox(7), contactedRunner()
	box.propose(job.Command{Kind: job.EndRun})
	box.acknowledgeAfterCommit(runner, 3)
	box.send(Order{Kind: OrderStop})
	out := box.take(false)
	require.Empty(t, out.Commands)
	require.Equal(t, uint64(7), out.Orders[0].Token)
	out = box.take(true)
	require.Len(t, out.Commands, 1)
	require.Empty(t, out.Orders)
	require.Equal(t, []proposedEnds{{runner: runner, through: 3}}, box.committed(out.Batch))
	require.Empty(t, box.committed(out.Batch), "once")
	require.Empty(t, box.take(true).Commands)
}
