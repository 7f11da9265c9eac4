package scheduler

import (
	"cmp"
	"slices"
	"time"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/saturating"
)

// runPhase is the phase of a run, as known to this leader.
type runPhase uint8

const (
	phaseProposed  runPhase = iota // the start is not committed yet; no order was sent
	phaseOrdered                   // the order was sent and has no reply yet
	phaseConfirmed                 // the runner has confirmed the run
	phaseInherited                 // an earlier leader ordered the run
)

// runKey identifies a run.
type runKey struct {
	task    job.TaskRef
	attempt int
}

// sortRuns sorts runs by task and attempt. Runs that come from a map have to be sorted so that the
// same inputs give the same output.
func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int { return compareRunKeys(a.runKey, b.runKey) })
}

// compareRunKeys orders run keys by task and attempt.
func compareRunKeys(a, b runKey) int {
	return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Occurrence, b.task.Occurrence),
		cmp.Compare(a.task.Step, b.task.Step), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
}

// run is one run of a task that is or may be active at a runner.
type run struct {
	runKey
	phase     runPhase
	resources job.Resources
	cost      float64 // core-seconds, as estimated at its assignment
	expected  float64 // expected run time at its runner, in seconds

	orderedAt       time.Duration // when its start was proposed; later, when the order was sent
	orderDeadlineMs int64         // on the runner's clock: the order is not carried out later
	confirmedMs     int64         // on the runner's clock: time of the reply that confirmed the run
	startPolled     bool          // the runner was polled early because the reply was overdue
	starting        bool          // counted in the start window

	remote      bool          // runs outside its data's rack
	resumed     bool          // resumed from a checkpoint
	restoreTime time.Duration // time to restore the checkpoint, without progress
	checkpoint  string        // the last known checkpoint

	uncertain bool // may be lost: its order has no reply, or its runner misses polls
	ending    bool // its end is proposed and not yet committed
	stop      stopOrder
	progress  runProgress
}

// stopOrder is the state of the order to stop a run.
type stopOrder struct {
	requested   bool
	pending     bool          // an order was sent and has no reply yet
	retryAt     time.Duration // earliest time of the next order
	confirmedMs int64         // on the runner's clock: time of the confirmation; 0 means not confirmed
}

// expectedFraction returns a fraction of the expected run time.
func (r *run) expectedFraction(fraction float64) time.Duration {
	return saturating.Duration(fraction * r.expected * float64(time.Second))
}

// provenAbsent reports whether a run is certainly over if a report that the runner made at
// reportMs, on its clock, lists it neither as running nor as finished.
func (r *run) provenAbsent(reportMs int64) bool {
	switch r.phase {
	case phaseInherited:
		return true // the report was sent for this leader's token: orders of earlier leaders are fenced off
	case phaseConfirmed:
		return reportMs > r.confirmedMs
	case phaseOrdered:
		return reportMs > r.orderDeadlineMs || r.stop.confirmedMs > 0 && reportMs > r.stop.confirmedMs
	case phaseProposed:
	}
	return false
}
