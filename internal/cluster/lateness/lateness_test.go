package lateness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/lateness"
)

const ms = time.Millisecond

// TestCriticalPathIsAccountedFor checks that each millisecond of a job of two steps is attributed to its cause. A
// run of one of the first step's tasks is lost.
func TestCriticalPathIsAccountedFor(t *testing.T) {
	queue := lateness.NewQueueAccount(1000 * ms)
	fast, lost := &lateness.TaskAccount{}, &lateness.TaskAccount{}
	queue.Wait(1000*ms, lateness.Budget)
	queue.Wait(1030*ms, lateness.Capacity)
	fast.Started(queue.Waited(1050 * ms))
	lost.Started(queue.Waited(1050 * ms))
	fast.Completed(100*ms, 1, 1)
	lost.Add(lateness.Unresponsive, 3000*ms)
	queue.Wait(4050*ms, lateness.Rack)
	lost.Ready(queue.Waited(4050 * ms))
	lost.Started(queue.Waited(4090 * ms))
	lost.Add(lateness.Commit, 10*ms)
	lost.Completed(300*ms, 1.5, 1.25)
	first := lateness.ExtendPath(nil, lost, 4400*ms)
	side := lateness.ExtendPath(nil, fast, 1150*ms)

	next := &lateness.TaskAccount{}
	next.Completed(200*ms, 1, 1)
	path := lateness.ExtendPath([]lateness.CriticalPath{first, side}, next, 4600*ms)
	require.Equal(t, lateness.Breakdown{
		lateness.Budget: 30 * ms, lateness.Capacity: 20 * ms, lateness.Unresponsive: 3000 * ms, lateness.Rack: 40 * ms,
		lateness.Commit: 10 * ms, lateness.Remote: 100 * ms, lateness.SlowRunner: 40 * ms, lateness.Work: 360 * ms,
	}, path.Spent)
	require.Equal(t, 3600*ms, path.Spent.Total(), "from the time when the first step became ready to the end")
	require.Equal(t, lateness.Unresponsive, path.Spent.Largest())
}

func TestFastRunnerTakesNothingFromTheWork(t *testing.T) {
	account := &lateness.TaskAccount{}
	account.Completed(80*ms, 1, 0.8)
	spent := lateness.ExtendPath(nil, account, 0).Spent
	require.Equal(t, 80*ms, spent[lateness.Work])
	require.Zero(t, spent[lateness.SlowRunner])
}

func TestObjective(t *testing.T) {
	require.Equal(t, 1750*ms, lateness.Objective(1000*ms, 1.5, 250*ms))
}

func TestCauseNames(t *testing.T) {
	for cause := range lateness.CauseCount {
		found, ok := lateness.ParseCause(cause.String())
		require.True(t, ok)
		require.Equal(t, cause, found)
	}
	_, ok := lateness.ParseCause("weather")
	require.False(t, ok)
}
