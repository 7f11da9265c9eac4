package scheduler

import (
	"time"

	"basaltloft/internal/cluster/placement"
)

// rackPatience decides how many tasks of a group rather wait for a runner in their data's rack than
// run remote now, and whether a gang waits for one rack that takes all of it. One rule holds for
// urgent work and for other:
//
//	a task waits while  waited + W < (f - 1) * e
//
//	waited  how long it has been ready
//	W       when a runner near its data is expected to have the capacity and the budget for it, after
//	        the tasks before it in the aged order that wait for the same rack, or for any runner
//	        (capacityForecast)
//	f       how many times longer a task runs away from its data, as the deployment states it
//	e       the learned run time of the step's tasks near their data
//
// The right side is what running remote costs. W alone would do if forecasts were right; with waited
// beside it a task whose forecast is wrong again and again loses no more by waiting than it then
// loses by running remote.
type rackPatience struct {
	remoteSlowdown float64 // f
}

// remaining returns how much longer a group's tasks may wait before running remote costs less.
func (p rackPatience) remaining(now time.Duration, group *taskGroup) time.Duration {
	remoteCost := time.Duration((p.remoteSlowdown - 1) * group.expected * float64(time.Second))
	return remoteCost - (now - group.readyAt)
}

// waitingTasks returns how many of a group's pending tasks wait for a runner near their data. They
// count before those of later groups that wait for the same rack.
func (s *Scheduler) waitingTasks(group *taskGroup, request *placement.Request) int {
	within := s.patience.remaining(s.now, group)
	if within <= 0 {
		return 0
	}
	forecast := &s.cycle.forecast
	slots := forecast.slots(s.now, within, request, forecast.near(request.DataRack), s.spreadLimit(group))
	waiting := min(len(group.pending), max(0, slots-forecast.ahead(request.DataRack)))
	forecast.claim(request.DataRack, waiting)
	return waiting
}

// gangWaits tells whether a gang that should run on one rack waits for a rack that takes all of it.
func (s *Scheduler) gangWaits(group *taskGroup, request *placement.Request) bool {
	within := s.patience.remaining(s.now, group)
	if within <= 0 {
		return false
	}
	forecast, limit := &s.cycle.forecast, s.spreadLimit(group)
	for _, rack := range forecast.racks() {
		if forecast.slots(s.now, within, request, rack, limit) >= len(group.pending) {
			return true
		}
	}
	return false
}
