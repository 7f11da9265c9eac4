package scheduler

import (
	"math"
	"slices"
	"time"

	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/saturating"
)

// neverEnds is the remaining time of a run that is not expected to end.
const neverEnds = time.Duration(math.MaxInt64)

// expectedRemaining returns how much longer a run is expected to hold its resources, based on the
// progress that its runner reports or otherwise on its expected run time. An overdue run is
// expected to take as much longer as it is overdue.
func (r *run) expectedRemaining(now time.Duration) time.Duration {
	switch remaining, known := r.remaining(); {
	case r.ending || r.stop.requested:
		return 0
	case r.expected <= 0: // long-running
		return neverEnds
	case known && remaining < stalledRemaining:
		return max(0, remaining-(now-r.progress.reportedAt))
	}
	left := r.orderedAt + r.expectedFraction(1) + r.restoreTime - now
	return max(left, -left)
}

// capacityForecast estimates the capacity that runners will have after a given time, from the
// expected ends of their runs. It is valid for one scheduling cycle and is reset by begin.
type capacityForecast struct {
	candidates []placement.Candidate
	runners    []*runnerSession // by Candidate.Key
	byLabel    map[string][]int // indexes of the candidates with a label; filled on demand
	byRack     [][]int          // indexes of the candidates of each rack; nil until needed
	claimed    map[string]int   // number of tasks that wait for a runner in a rack, by the rack's label
	queued     int              // number of tasks earlier in the aged order that wait for any runner
	examined   int              // number of candidates examined so far
}

// begin resets the forecast for a new cycle.
func (f *capacityForecast) begin(candidates []placement.Candidate, runners []*runnerSession) {
	f.candidates, f.runners, f.byRack, f.queued, f.examined = candidates, runners, nil, 0, 0
	clear(f.byLabel)
	clear(f.claimed)
}

// enqueue records tasks that wait for any runner. They take precedence over the tasks of later
// queries.
func (f *capacityForecast) enqueue(tasks int) { f.queued += tasks }

// tasksAhead returns how many tasks are expected to take capacity near a label before the next task
// that waits there: all tasks that wait for the same rack, and the rack's share of the tasks that
// wait for any runner.
func (f *capacityForecast) tasksAhead(label string) int {
	share := float64(len(f.withLabel(label))) / float64(max(1, len(f.candidates)))
	return f.claimed[label] + saturating.Int(math.Ceil(float64(f.queued)*share))
}

// claim records tasks that wait for a runner in a rack.
func (f *capacityForecast) claim(rack string, tasks int) {
	if f.claimed == nil {
		f.claimed = map[string]int{}
	}
	f.claimed[rack] += tasks
}

// withLabel returns the indexes of the candidates that have a label.
func (f *capacityForecast) withLabel(label string) []int {
	indexes, found := f.byLabel[label]
	if !found {
		for index := range f.candidates {
			if slices.Contains(f.candidates[index].Labels, label) {
				indexes = append(indexes, index)
			}
		}
		if f.byLabel == nil {
			f.byLabel = map[string][]int{}
		}
		f.byLabel[label] = indexes
	}
	return indexes
}

// racks returns the indexes of the candidates of each rack.
func (f *capacityForecast) racks() [][]int {
	if f.byRack != nil {
		return f.byRack
	}
	number := map[string]int{}
	f.byRack = [][]int{}
	for index := range f.candidates {
		rack := f.runners[f.candidates[index].Key].rack()
		at, found := number[rack]
		if !found {
			at = len(f.byRack)
			number[rack] = at
			f.byRack = append(f.byRack, nil)
		}
		f.byRack[at] = append(f.byRack[at], index)
	}
	return f.byRack
}

// slots returns how many tasks of a request are expected to fit a set of candidates within a given
// time. limit returns how many of them a runner, given by its key, may take.
func (f *capacityForecast) slots(now, within time.Duration, request *placement.Request, indexes []int, limit func(key int) int) int {
	total := 0
	f.examined += len(indexes)
	for _, index := range indexes {
		c := &f.candidates[index]
		if c.Feasible(request) {
			total += min(f.slotsAt(now, within, request, c), max(0, limit(c.Key)))
		}
	}
	return total
}

// slotsAt returns how many tasks of a request are expected to fit one candidate within a given
// time.
func (f *capacityForecast) slotsAt(now, within time.Duration, request *placement.Request, c *placement.Candidate) int {
	free, headroom, idle := c.Free, c.Headroom, true
	for _, r := range f.runners[c.Key].load.runs {
		if r.expectedRemaining(now) > within {
			idle = false
			continue
		}
		free = free.Add(r.resources)
		headroom = headroom.Plus(r.cost)
	}
	fitting := request.Resources.CountFittingIn(free)
	if request.Cost > 0 && !headroom.BudgetNotSet {
		fitting = headroom.Count(request.Cost, fitting)
	}
	switch {
	case fitting == 0 && idle && request.Resources.FitsIn(free):
		return 1 // an idle runner takes one task regardless of its budget
	case c.Suspect:
		return min(fitting, 1)
	}
	return fitting
}
