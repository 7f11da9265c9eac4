package scheduler

import (
	"time"

	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/saturating"
)

// maxLocalityWait bounds the wait for a runner near the data. It leaves a task that has waited in vain
// the time to start elsewhere before it counts as forgotten.
const maxLocalityWait = 10 * time.Second

// localityWaitPolicy decides how many tasks of a group wait for a runner in their data's rack instead of
// running remotely now, and whether a gang waits for one rack that has capacity for all its tasks.
// The rule is the same at all levels of urgency:
//
//	a task waits while  waited + W < (f - 1) * e
//
//	waited  how long the task has been ready
//	W       the time until a runner near its data is expected to have the capacity and the budget for
//	        the task, after the tasks earlier in the aged order that wait for the same rack or for
//	        any runner (capacityForecast)
//	f       the factor by which a task's run time grows away from its data (Config.RemoteSlowdown)
//	e       the learned run time of the step's tasks near their data
//
// The right side is the cost of running remotely. If forecasts were exact, W alone would be
// sufficient. Adding waited bounds the loss of a task whose forecast is wrong repeatedly: its wait
// costs no more than running remotely does, and at most maxLocalityWait.
type localityWaitPolicy struct {
	remoteSlowdown float64 // f
}

// remaining returns how much longer a group's tasks may wait before running remotely costs less.
func (p localityWaitPolicy) remaining(now time.Duration, group *taskGroup) time.Duration {
	remoteCost := saturating.Duration((p.remoteSlowdown - 1) * group.expected * float64(time.Second))
	return min(remoteCost, maxLocalityWait) - (now - group.readyAt)
}

// waitingTasks returns how many of a group's pending tasks wait for a runner near their data, and
// records them in the forecast, so that they precede those of later groups that wait for the same
// rack.
func (s *Scheduler) waitingTasks(group *taskGroup, request *placement.Request) int {
	within := s.localityWait.remaining(s.now, group)
	if within <= 0 {
		return 0
	}
	forecast := &s.cycle.forecast
	slots := forecast.slots(s.now, within, request, forecast.withLabel(request.DataRack), s.spreadLimit(group))
	waiting := min(len(group.pending), max(0, slots-forecast.tasksAhead(request.DataRack)))
	forecast.claim(request.DataRack, waiting)
	return waiting
}

// gangShouldWait reports whether a gang that should run on one rack waits for a rack with capacity
// for all its tasks.
func (s *Scheduler) gangShouldWait(group *taskGroup, request *placement.Request) bool {
	within := s.localityWait.remaining(s.now, group)
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
