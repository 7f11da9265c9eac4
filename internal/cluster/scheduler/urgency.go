package scheduler

import (
	"time"

	"basaltloft/internal/cluster/placement"
)

// A job's objective allows it so many times its work. With less than highUrgencyBelow a slow runner, or
// a short wait, makes it late; with lowUrgencyFrom or more neither does.
const (
	highUrgencyBelow = 2.0
	lowUrgencyFrom   = 3.0
)

// healthyOnlyWait is how long urgent tasks wait for a healthy runner rather than probe a suspect
// one. It ends soon: where all healthy runners are full and others are free, work must not wait
// for seconds.
const healthyOnlyWait = time.Second

// minExpected bounds expected run times, in seconds, where they divide.
const minExpected = 0.001

// urgency says how much time a group's job has to spare.
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
