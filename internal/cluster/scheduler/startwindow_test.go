package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// fillStartWindow starts runs until the window is full, and returns them.
func fillStartWindow(w *startWindow) []*run {
	var runs []*run
	for !w.full() {
		r := &run{}
		w.start(r)
		runs = append(runs, r)
	}
	return runs
}

func TestStartWindowIsFullUntilAStartIsResolved(t *testing.T) {
	var w startWindow
	runs := fillStartWindow(&w)
	require.Len(t, runs, initialStartWindow)
	require.True(t, w.release(runs[0]), "work was waiting")
	require.False(t, w.full())
	require.False(t, w.release(runs[0]), "a start is released only once")
	require.False(t, w.release(runs[1]), "nothing has waited since the last release")
	require.Len(t, fillStartWindow(&w), 2)
}

func TestStartWindowGrowsWithRepliesInTimeWhileInUse(t *testing.T) {
	var w startWindow
	w.replied(testNow, lateStartReply)
	require.InDelta(t, initialStartWindow, w.size(), 0, "the window is not in use")
	fillStartWindow(&w)
	for range 8 {
		w.replied(testNow, lateStartReply)
	}
	require.InDelta(t, initialStartWindow+8*startWindowGrowth, w.size(), 0)
}

func TestStartWindowShrinksWithLateRepliesOnceInAPause(t *testing.T) {
	var w startWindow
	for range 8 {
		w.replied(testNow, lateStartReply+1)
	}
	require.InDelta(t, initialStartWindow*startWindowShrinkFactor, w.size(), 0)
	w.replied(testNow+startWindowShrinkInterval, lateStartReply+1)
	require.InDelta(t, initialStartWindow*startWindowShrinkFactor*startWindowShrinkFactor, w.size(), 1e-9)
	for at := range time.Duration(8) {
		w.replied(testNow+at*startWindowShrinkInterval, lateStartReply+1)
	}
	require.InDelta(t, minStartWindow, w.size(), 0)
}

// TestStartsWaitForTheWindow checks that waiting tasks start once a start has a reply, of any kind,
// or an end without a reply.
func TestStartsWaitForTheWindow(t *testing.T) {
	s := newTestScheduler()
	s.startWindow.limit = 4
	addRunner(s, "a").capacity = job.Resources{CPU: 100_000}
	group := submit(s, "j", job.Step{Count: 9, Resources: job.Resources{CPU: 1000}, AntiAffinity: 9})
	group.job.Retries = 1
	s.runCycle()
	starts := s.outbox.take(true).Commands
	require.GreaterOrEqual(t, len(starts), 4)
	left := len(group.pending)
	s.runCycle()
	require.Len(t, group.pending, left, "the window is full")
	s.cycle.needed = false
	for _, start := range starts {
		s.startCommitted(start, s.store.Apply(start))
	}
	orders := s.outbox.take(true).Orders
	require.Len(t, orders, len(starts))
	for _, order := range orders {
		s.StartReplied(s.now, order, StartNoReply, 0)
	}
	require.True(t, s.cycle.needed)
	require.Zero(t, s.startWindow.inFlight)
	for _, order := range orders {
		s.endCommitted(s.store.Jobs["j"], job.Command{Kind: job.EndRun, Task: order.Task, Attempt: order.Attempt, Runner: "a", EndReason: job.EndLost}, job.Rejected)
	}
	require.Zero(t, s.startWindow.inFlight, "they were already released")
}
