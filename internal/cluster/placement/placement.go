// Package placement chooses runners for tasks. It filters the runners by labels, capacity and budget,
// and takes the one that ranks best, preferably near the tasks' data and with the most headroom. As
// many tasks of a step as fit go to the same runner: a job needs all of its tasks, so each further
// runner is one more whose failure makes the job late. The package does no I/O.
//
// Choose places one request. A Round makes the same decisions for the requests of one scheduling cycle,
// and remembers which of them were rejected, so that it can reject similar ones at little cost.
//
// The algorithm is that of the design, with the deviations that docs/scheduler-design.md lists ("The
// design on the ordinary path").
package placement

import (
	"slices"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/admission"
)

// Candidate is a runner that accepts work, with its state as the scheduler currently knows it.
type Candidate struct {
	Key      int // the caller's identifier of the runner
	Service  string
	Labels   []string
	Capacity job.Resources
	Free     job.Resources
	Headroom admission.Headroom // unused part of its budget, in core-seconds
	Idle     bool               // nothing runs there: a task that fits its capacity may start regardless of the budget
	Reserved bool               // for aged work, or until a probe task there has ended: it takes no other task
	// Slowdown is the ratio of its recent run times to the expected ones; 1 is normal.
	Slowdown float64
	// RunTimeFactor is the ratio of its run times to those of the same steps' tasks at other runners;
	// 1 is normal.
	RunTimeFactor float64
	Suspect       bool // it fails more often than others, or its runs are slow: it takes one task at a time
}

// Urgency is how little time a task's job has left until its objective.
type Urgency uint8

// Values of Request.Urgency, by which Choose ranks fast runners before or after slow ones.
const (
	UrgencyNormal Urgency = iota
	UrgencyHigh           // fast runners are preferred
	UrgencyLow            // slow runners are preferred, so that fast ones stay free for other tasks
)

// Request describes one or more equal tasks and what they require of a runner.
type Request struct {
	Service     string
	Resources   job.Resources // of one task
	Cost        float64       // budget that one task takes, in core-seconds
	Constraints []string      // labels that the runner must have
	DataRack    string        // label of the rack that has the tasks' data; empty: any runner is local
	LocalOnly   bool          // the tasks wait rather than run outside that rack
	Urgency     Urgency
	HealthyOnly bool // the tasks wait rather than run at a suspect runner, if any healthy one is feasible
	Count       int  // number of waiting tasks; 0: one
	// Limit returns how many more of the tasks the runner with that key may take; nil: any number.
	Limit func(key int) int
}

// limit returns how many of the tasks a runner may take by Count and Limit.
func (r *Request) limit(key int) int {
	count := max(1, r.Count)
	if r.Limit == nil {
		return count
	}
	return min(count, r.Limit(key))
}

// Result is whether a runner was found, or why none was. If several reasons apply, the result is the
// first of them in the order below.
type Result uint8

// Results of Choose, from which the scheduler derives why a task waits.
const (
	Found      Result = iota
	NoBudget          // some feasible runner has the capacity free, but not the headroom
	NoCapacity        // no feasible runner has the capacity free
	Unsuitable        // no runner is feasible, even when idle
)

// String returns the reason as it stands in log lines.
func (r Result) String() string {
	switch r {
	case Found:
		return "found"
	case NoBudget:
		return "no budget"
	case NoCapacity:
		return "no capacity"
	case Unsuitable:
	}
	return "unsuitable"
}

// Feasible reports whether the runner could take a task of the request if nothing else ran there.
func (c *Candidate) Feasible(request *Request) bool {
	if request.Service != c.Service || !request.Resources.FitsIn(c.Capacity) {
		return false
	}
	for _, label := range request.Constraints {
		if !slices.Contains(c.Labels, label) {
			return false
		}
	}
	return true
}

// local reports whether the runner is in the rack that has the tasks' data.
func (c *Candidate) local(request *Request) bool {
	return request.DataRack == "" || slices.Contains(c.Labels, request.DataRack)
}

// Assignment is the chosen candidate and the number of tasks that it takes.
type Assignment struct {
	Candidate int // its index among the candidates; -1: none was found
	Count     int // 1 or more, and no more than the request's Count
}

// Choose returns the best candidate and how many of the tasks fit there. It doesn't change the
// candidates: the caller calls Candidate.Assign for each task that it starts.
func Choose(request *Request, candidates []Candidate) (best Assignment, result Result) {
	if request.HealthyOnly {
		if best, result, _ = choose(request, candidates, true); result != Unsuitable {
			return best, result
		}
	}
	best, result, _ = choose(request, candidates, false)
	return best, result
}

// choose is Choose for one value of HealthyOnly. limited reports whether a runner that has the capacity
// was skipped because of the request's Limit.
func choose(request *Request, candidates []Candidate, healthyOnly bool) (best Assignment, result Result, limited bool) {
	best, result = Assignment{Candidate: -1}, Unsuitable
	for i := range candidates {
		c := &candidates[i]
		if result <= NoCapacity && !request.Resources.FitsIn(c.Free) {
			// Most runners are full. Once the result is at most NoCapacity, a full runner can't change it,
			// so that this check, the cheapest, comes first.
			continue
		}
		if healthyOnly && c.Suspect || !c.Feasible(request) {
			continue
		}
		if c.Reserved || !request.Resources.FitsIn(c.Free) || request.LocalOnly && !c.local(request) {
			result = min(result, NoCapacity)
			continue
		}
		limit := request.limit(c.Key) // after the cheaper checks
		if limit < 1 {
			limited = true
			continue
		}
		if !c.Idle && !c.Headroom.Covers(request.Cost) {
			result = min(result, NoBudget)
			continue
		}
		assignment := Assignment{Candidate: i, Count: c.fitting(request, limit)}
		if best.Candidate < 0 || better(request, c, assignment.Count, &candidates[best.Candidate], best.Count) {
			best = assignment
		}
	}
	if best.Candidate >= 0 {
		return best, Found, limited
	}
	return best, result, limited
}

// fitting returns how many of the tasks, up to limit, fit the runner's free capacity and budget. It
// returns at least 1, since the caller has checked that one task may start there, and exactly 1 for a
// suspect runner, and for tasks with a cost at a runner whose budget is not set.
func (c *Candidate) fitting(request *Request, limit int) int {
	if c.Suspect {
		return 1
	}
	n := limit
	if !request.Resources.Times(limit).FitsIn(c.Free) {
		n = min(n, request.Resources.CountFittingIn(c.Free))
	}
	switch {
	case request.Cost <= 0:
	case c.Headroom.BudgetNotSet:
		n = 1
	default:
		n = c.Headroom.Count(request.Cost, n)
	}
	return max(1, n)
}

// better reports whether a, which takes countA of the tasks, ranks before b, which takes countB. The
// criteria, the most important first, are: healthy, near the data, not slow, the speed that fits the
// urgency, the fewest free accelerators if the tasks need any, the most tasks taken, the most headroom
// and the most free CPU. Accelerators are packed because small tasks that are spread over the runners
// would leave no runner with enough of them for a large task.
func better(request *Request, a *Candidate, countA int, b *Candidate, countB int) bool {
	switch {
	case a.Suspect != b.Suspect:
		return b.Suspect
	case a.local(request) != b.local(request):
		return a.local(request)
	case a.slow() != b.slow():
		return b.slow()
	case request.Urgency != UrgencyNormal && a.speedClass() != b.speedClass():
		return (a.speedClass() < b.speedClass()) == (request.Urgency == UrgencyHigh)
	case request.Resources.GPU > 0 && a.Free.GPU != b.Free.GPU:
		return a.Free.GPU < b.Free.GPU
	case countA != countB:
		return countA > countB
	case a.Headroom != b.Headroom:
		return a.Headroom.Exceeds(b.Headroom)
	}
	return a.Free.CPU > b.Free.CPU
}

// slowThreshold is the slowdown above which a runner ranks behind all others that are equally healthy
// and equally near the data.
const slowThreshold = 1.6

func (c *Candidate) slow() bool { return c.Slowdown > slowThreshold }

// normalSpread is the largest deviation from 1 at which a run-time factor still counts as normal. It is
// the spread of the factors that are learned from a few steps.
const normalSpread = 0.07

// speedClass returns -1 for a fast runner, 0 for a normal one and 1 for a slow one.
func (c *Candidate) speedClass() int {
	switch {
	case c.RunTimeFactor < 1-normalSpread:
		return -1
	case c.RunTimeFactor > 1+normalSpread:
		return 1
	}
	return 0
}

// Assign records that one task of the request goes to the candidate. A suspect candidate becomes
// reserved, so that it takes no other task.
func (c *Candidate) Assign(request *Request) {
	c.Free = c.Free.Subtract(request.Resources)
	c.Headroom = c.Headroom.Plus(-request.Cost)
	c.Idle = false
	c.Reserved = c.Reserved || c.Suspect
}
