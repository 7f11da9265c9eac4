// Package placement chooses the runner for tasks: of the feasible runners, by labels, capacity and
// budget, it takes the best ranked, which is one near the tasks' data with the most headroom. Of
// the tasks of one step as many as fit go to one runner: a job needs all of them, so each further
// runner is one more whose failure makes the job late. It does no I/O.
//
// Choose is the choice for one request. A Round (round.go) is the choices of one scheduling cycle, which
// are the same, and remembers what was rejected.
//
// The source is the design's placement, with the deviations that docs/scheduler-design.md names
// ("The design on the ordinary path").
package placement

import (
	"slices"

	"basaltloft/internal/cluster/job"
)

// Candidate is a runner that takes work now, as the scheduler sees it at this moment.
type Candidate struct {
	Key      int // the caller's name for it
	Service  string
	Labels   []string
	Capacity job.Resources
	Free     job.Resources
	Headroom float64 // of its budget, in core-seconds
	Idle     bool    // nothing runs there: whatever fits may start, whatever the budget says
	Reserved bool    // for aged work, or until a probe of it has ended: it takes nothing
	// Slowdown is its recent run times over those that were expected of them; 1 is normal.
	Slowdown float64
	// RunTimeFactor is its run times over those of the same steps' tasks elsewhere; 1 is normal.
	RunTimeFactor float64
	Suspect       bool // it fails more than others do, or what it runs is slow: it takes one task at a time
}

// Urgency says how much time a task's job has to spare.
type Urgency uint8

// Urgencies.
const (
	UrgencyNormal Urgency = iota
	UrgencyHigh           // it takes fast runners first
	UrgencyLow            // it leaves fast runners to others
)

// Request is what a task asks of a runner.
type Request struct {
	Service     string
	Resources   job.Resources
	Cost        float64  // what a task takes of the budget, in core-seconds
	Constraints []string // labels that the runner must have
	DataRack    string   // label of the rack where its data lies; empty: no matter
	LocalOnly   bool     // it rather waits than run away from its data
	Urgency     Urgency
	HealthyOnly bool // it rather waits than probe a suspect runner, if any healthy one is feasible
	Count       int  // tasks that are alike and wait; 0: one
	// Limit returns how many more of them a runner, by its key, may take; nil: any number.
	Limit func(key int) int
}

// limit returns how many of the tasks a runner may take by the caller's limit.
func (r *Request) limit(key int) int {
	count := max(1, r.Count)
	if r.Limit == nil {
		return count
	}
	return min(count, r.Limit(key))
}

// Result says whether a runner was found, or why none was. Of several reasons the one that comes
// first counts.
type Result uint8

// Results.
const (
	Found      Result = iota
	NoBudget          // some runner has the capacity free, but its budget has no headroom
	NoCapacity        // no feasible runner has the capacity free
	Unsuitable        // no runner is feasible at all, whatever is free
)

// Feasible tells whether a runner could ever take the task.
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

// local tells whether a runner is near the task's data.
func (c *Candidate) local(request *Request) bool {
	return request.DataRack == "" || slices.Contains(c.Labels, request.DataRack)
}

// Assignment is a candidate that was chosen, and how many of the tasks it takes.
type Assignment struct {
	Candidate int // its index among the candidates; -1: none was found
	Count     int // 1 or more, and no more than the request's Count
}

// Choose returns the best candidate and how many of the tasks fit there. It changes nothing: the
// caller notes what it assigns by Candidate.Assign.
func Choose(request *Request, candidates []Candidate) (best Assignment, result Result) {
	if request.HealthyOnly {
		if best, result, _ = choose(request, candidates, true); result != Unsuitable {
			return best, result
		}
	}
	best, result, _ = choose(request, candidates, false)
	return best, result
}

// choose also tells whether a runner that has the capacity was passed by for the request's Limit.
func choose(request *Request, candidates []Candidate, healthyOnly bool) (best Assignment, result Result, limited bool) {
	best, result = Assignment{Candidate: -1}, Unsuitable
	for i := range candidates {
		c := &candidates[i]
		if result <= NoCapacity && !request.Resources.FitsIn(c.Free) {
			continue // most runners are full: the cheapest check first, once it changes no result
		}
		if healthyOnly && c.Suspect || !c.Feasible(request) {
			continue
		}
		if c.Reserved || !request.Resources.FitsIn(c.Free) || request.LocalOnly && !c.local(request) {
			result = min(result, NoCapacity)
			continue
		}
		limit := request.limit(c.Key) // after what costs less to find out
		if limit < 1 {
			limited = true
			continue
		}
		if !c.Idle && c.Headroom < request.Cost {
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

// fitting returns how many of the tasks, up to limit, fit a runner's free capacity and budget: one at
// least, since a task that Choose let in fits, and no more at one that is suspect.
func (c *Candidate) fitting(request *Request, limit int) int {
	if c.Suspect {
		return 1
	}
	n := limit
	if !request.Resources.Times(limit).FitsIn(c.Free) {
		n = min(n, request.Resources.CountFittingIn(c.Free))
	}
	if request.Cost > 0 {
		n = min(n, int(max(0, c.Headroom)/request.Cost))
	}
	return max(1, n)
}

// better tells whether a, which takes countA of the tasks, ranks before b, which takes countB: a
// healthy runner, near the data, of normal slowdown, whose speed fits the urgency, that takes more
// of the tasks, and then the one with the most headroom. Tasks that ask for accelerators take the
// runner that has the fewest left: spread out, small tasks would leave no runner whole for large
// ones.
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
		return a.Headroom > b.Headroom
	}
	return a.Free.CPU > b.Free.CPU
}

// slowFrom is the slowdown beyond which a runner is taken last.
const slowFrom = 1.6

func (c *Candidate) slow() bool { return c.Slowdown > slowFrom }

// normalSpread is how far a run-time factor may lie from 1 and still count as normal: the scatter
// of what is known of a runner after a few steps.
const normalSpread = 0.07

// speedClass is negative for fast runners, positive for slow ones.
func (c *Candidate) speedClass() int {
	switch {
	case c.RunTimeFactor < 1-normalSpread:
		return -1
	case c.RunTimeFactor > 1+normalSpread:
		return 1
	}
	return 0
}

// Assign notes at a candidate that one task goes there; a suspect one takes no other.
func (c *Candidate) Assign(request *Request) {
	c.Free = c.Free.Subtract(request.Resources)
	c.Headroom -= request.Cost
	c.Idle = false
	c.Reserved = c.Reserved || c.Suspect
}
