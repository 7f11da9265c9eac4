package scheduler

import (
	"cmp"
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
)

// runPhase is how far a run has come, as far as this leader knows.
type runPhase uint8

const (
	phaseProposed  runPhase = iota // its start waits for its commitment; nothing was sent
	phaseOrdered                   // the order was sent and has no reply
	phaseConfirmed                 // the runner has it
	phaseInherited                 // an earlier leader ordered it
)

// runKey names a run.
type runKey struct {
	task    job.TaskRef
	attempt int
}

// sortRuns sorts runs by task and attempt: where they come from a map, the same inputs then give the
// same output.
func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int { return compareRunKeys(a.runKey, b.runKey) })
}

func compareRunKeys(a, b runKey) int {
	return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Occurrence, b.task.Occurrence),
		cmp.Compare(a.task.Step, b.task.Step), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
}

// run is one run of a task that may be under way at a runner.
type run struct {
	runKey
	phase     runPhase
	resources job.Resources
	cost      float64 // core-seconds, as estimated when it was assigned
	expected  float64 // run time, in seconds, at its runner

	orderedAt       time.Duration // when its start was proposed and, later, when the order was sent
	orderDeadlineMs int64         // runner's clock: the order is not carried out after it
	confirmedMs     int64         // runner's clock at the reply that confirmed it
	startPolled     bool          // the runner was polled out of turn, since the reply was overdue
	starting        bool          // it counts in the start window

	remote      bool          // it runs away from its data's rack
	resumed     bool          // from a checkpoint
	restoreTime time.Duration // it makes no progress for so long at first
	checkpoint  string        // the last one that is known

	uncertain bool // it may be lost: its order has no reply, or its runner misses its polls
	ending    bool // its end was proposed and waits for its commitment
	stop      stopOrder
	progress  runProgress
}

// stopOrder is the state of the order to stop a run.
type stopOrder struct {
	requested   bool
	pending     bool          // an order is on its way
	retryAt     time.Duration // another one is not sent before
	confirmedMs int64         // runner's clock when a stop was confirmed; 0: none was
}

// expectedFraction returns a part of the expected run time.
func (r *run) expectedFraction(fraction float64) time.Duration {
	return time.Duration(fraction * r.expected * float64(time.Second))
}

// provenAbsent tells whether a run that a report of that time of the runner's clock names neither
// as running nor as finished is over for good.
func (r *run) provenAbsent(reportMs int64) bool {
	switch r.phase {
	case phaseInherited:
		return true // the report went to this leader's token: the earlier leader's orders are fenced off
	case phaseConfirmed:
		return reportMs > r.confirmedMs
	case phaseOrdered:
		return reportMs > r.orderDeadlineMs || r.stop.confirmedMs > 0 && reportMs > r.stop.confirmedMs
	case phaseProposed:
	}
	return false
}
