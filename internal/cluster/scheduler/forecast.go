package scheduler

import (
	"math"
	"slices"
	"time"

	"basaltloft/internal/cluster/placement"
)

// neverEnds is the remaining time of a run whose end is not to be expected.
const neverEnds = time.Duration(math.MaxInt64)

// expectedRemaining returns how much longer a run is expected to hold its resources: by the progress
// that its runner reports, or else by its expected run time. One that is overdue is expected to take
// as long again as it is overdue.
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

// capacityForecast says how much capacity runners are expected to have after a while, by when what
// runs there is expected to end. It is valid for one scheduling cycle; begin makes it so.
type capacityForecast struct {
	candidates []placement.Candidate
	runners    []*runnerSession // by Candidate.Key
	byLabel    map[string][]int // candidates that have a label; of labels that were asked for
	byRack     [][]int          // candidates of each rack; nil: not asked for yet
	claimed    map[string]int   // tasks that wait for a runner in a rack, by its label
	queued     int              // tasks, before in the aged order, that wait for any runner
	examined   int              // candidates looked at so far
}

// begin makes it the forecast of a cycle.
func (f *capacityForecast) begin(candidates []placement.Candidate, runners []*runnerSession) {
	f.candidates, f.runners, f.byRack, f.queued, f.examined = candidates, runners, nil, 0, 0
	clear(f.byLabel)
	clear(f.claimed)
}

// enqueue notes that tasks wait for any runner: they come before those that are asked for later.
func (f *capacityForecast) enqueue(tasks int) { f.queued += tasks }

// ahead returns how many tasks are expected to take capacity near a label before the next one that waits
// there: those that wait for the same rack, and of those that wait for any runner the rack's share.
func (f *capacityForecast) ahead(label string) int {
	share := float64(len(f.near(label))) / float64(max(1, len(f.candidates)))
	return f.claimed[label] + int(math.Ceil(float64(f.queued)*share))
}

// claim notes that tasks wait for a runner in a rack.
func (f *capacityForecast) claim(rack string, tasks int) {
	if f.claimed == nil {
		f.claimed = map[string]int{}
	}
	f.claimed[rack] += tasks
}

// near returns the candidates that have a label, by their indexes.
func (f *capacityForecast) near(label string) []int {
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

// racks returns the candidates of each rack, by their indexes.
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

// slots returns how many tasks of a request are expected to fit some candidates together within a
// time. limit returns how many of them a runner may take, by its key.
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

// slotsAt returns how many tasks of a request are expected to fit one candidate within a time.
func (f *capacityForecast) slotsAt(now, within time.Duration, request *placement.Request, c *placement.Candidate) int {
	free, headroom, idle := c.Free, c.Headroom, true
	for _, r := range f.runners[c.Key].load.runs {
		if r.expectedRemaining(now) > within {
			idle = false
			continue
		}
		free = free.Add(r.resources)
		headroom += r.cost
	}
	fitting := request.Resources.CountFittingIn(free)
	if request.Cost > 0 {
		fitting = min(fitting, int(min(max(0, headroom)/request.Cost, math.MaxInt32)))
	}
	switch {
	case fitting == 0 && idle && request.Resources.FitsIn(free):
		return 1 // whatever its budget says
	case c.Suspect:
		return min(fitting, 1)
	}
	return fitting
}
