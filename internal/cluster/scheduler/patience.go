package scheduler

import (
	"time"

	"basaltloft/internal/cluster/placement"
)

// The patience is the part of the time lost by running away from the data that is waited for a
// runner near it. An urgent job that waits so long and then runs remote is late by all means, so
// that it waits less.
const (
	patience       = 0.5
	patienceUrgent = 0.1
)

// rackPatience decides how long tasks wait for a runner in their data's rack, and gangs for one
// rack that has capacity for all their tasks.
type rackPatience struct {
	remoteSlowdown float64 // how many times longer a task runs away from its data
}

// waits tells whether a group's tasks rather wait, at this time, than run remote.
func (p rackPatience) waits(now time.Duration, group *taskGroup) bool {
	fraction := patience
	if group.urgency() == placement.UrgencyHigh {
		fraction = patienceUrgent
	}
	return (now - group.readyAt).Seconds() < fraction*(p.remoteSlowdown-1)*group.expected
}
