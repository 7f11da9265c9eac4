package scheduler

import (
	"time"

	"basaltloft/internal/cluster/placement"
)

// A job's objective allows a multiple of its run time. Below highUrgencyBelow, a slow runner or a
// short wait makes the job late; from lowUrgencyFrom on, neither does.
const (
	highUrgencyBelow = 2.0
	lowUrgencyFrom   = 3.0
)

// healthyOnlyWait is how long urgent tasks wait for a healthy runner before they may also run as a
// probe on a suspect one. It is short: if all healthy runners are full and other runners are free,
// tasks must not wait for seconds.
const healthyOnlyWait = time.Second

// minExpected is the lower bound of expected run times, in seconds, when they are used as a
// divisor.
const minExpected = 0.001

// urgency returns the urgency of a group's tasks, from the time that its job's objective leaves
// beyond its work.
func (g *taskGroup) urgency() placement.Urgency {
	if g.step.LongRunning {
		return placement.UrgencyLow
	}
	allowed := g.job.Extension + float64(g.job.TargetMs)/1000/max(g.expected, minExpected)/float64(len(g.job.Spec.Steps))
	switch {
	case g.job.Extension <= 0: // the queue has no objective
		return placement.UrgencyNormal
	case allowed < highUrgencyBelow:
		return placement.UrgencyHigh
	case allowed >= lowUrgencyFrom:
		return placement.UrgencyLow
	}
	return placement.UrgencyNormal
}
