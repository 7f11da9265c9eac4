package lateness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/lateness"
)

const ms = time.Millisecond

// TestAChainIsAccountedFor: of two steps, the first with a task that was lost once, each
// millisecond is found under its cause.
func TestAChainIsAccountedFor(t *testing.T) {
	queue := lateness.NewQueue(1000 * ms)
	quick, lost := &lateness.Trail{}, &lateness.Trail{}
	queue.Wait(1000*ms, lateness.Budget)
	queue.Wait(1030*ms, lateness.Capacity)
	quick.Leaves(queue.Waited(1050 * ms))
	lost.Leaves(queue.Waited(1050 * ms))
	quick.Run(100*ms, 1, 1)
	lost.Add(lateness.Silent, 3000*ms)
	queue.Wait(4050*ms, lateness.Rack)
	lost.Ready(queue.Waited(4050 * ms))
	lost.Leaves(queue.Waited(4090 * ms))
	lost.Add(lateness.Commit, 10*ms)
	lost.Run(300*ms, 1.5, 1.25)
	first := lateness.After(nil, lost, 4400*ms)
	side := lateness.After(nil, quick, 1150*ms)

	next := &lateness.Trail{}
	next.Run(200*ms, 1, 1)
	whole := lateness.After([]lateness.Path{first, side}, next, 4600*ms)
	require.Equal(t, lateness.Spent{
		lateness.Budget: 30 * ms, lateness.Capacity: 20 * ms, lateness.Silent: 3000 * ms, lateness.Rack: 40 * ms,
		lateness.Commit: 10 * ms, lateness.Far: 100 * ms, lateness.Slow: 40 * ms, lateness.Work: 360 * ms,
	}, whole.Spent)
	require.Equal(t, 3600*ms, whole.Spent.Total(), "from the first step's readiness to the end")
	require.Equal(t, lateness.Silent, whole.Spent.Worst())
}

func TestAQuickRunnerTakesNothingFromTheWork(t *testing.T) {
	trail := &lateness.Trail{}
	trail.Run(80*ms, 1, 0.8)
	spent := lateness.After(nil, trail, 0).Spent
	require.Equal(t, 80*ms, spent[lateness.Work])
	require.Zero(t, spent[lateness.Slow])
}

func TestObjective(t *testing.T) {
	require.Equal(t, 1750*ms, lateness.Objective(1000*ms, 1.5, 250*ms))
}

func TestNames(t *testing.T) {
	for cause := range lateness.Causes {
		found, ok := lateness.Named(cause.String())
		require.True(t, ok)
		require.Equal(t, cause, found)
	}
	_, ok := lateness.Named("weather")
	require.False(t, ok)
}
