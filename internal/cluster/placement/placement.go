// Package placement finds the runner for tasks: it filters by labels, capacity and budget
// and takes the roomiest that is left, near the tasks' data where it can. Of the tasks of one
// step as many as fit go to one runner: a job needs all of them, so each further runner is one
// more whose failure makes the job late. It does no I/O.
package placement

import (
	"slices"

	"basaltloft/internal/cluster/job"
)

// Candidate is a runner that takes work now, as the scheduler sees it at this moment.
type Candidate struct {
	Key           int // the caller's name for it
	Service       string
	Labels        []string
	Capacity      job.Resources
	Free          job.Resources
	Headroom      float64 // of its budget, in cost
	Idle          bool
	Reserved      bool    // kept for work that has waited long
	Slowdown      float64 // its run times beside what was expected of them; 1 is usual
	RunTimeFactor float64 // run times there beside those of the same steps elsewhere; 1 is usual
	Suspect       bool    // it fails more than the others do, or what it runs crawls
}

// Urgency says how much of a task's time is spare.
type Urgency uint8

// Hastes.
const (
	UrgencyNormal Urgency = iota
	UrgencyTight          // it takes quick runners first
	UrgencyLoose          // it leaves quick runners to others
)

// Request is what a task wants.
type Request struct {
	Service     string
	Resources   job.Resources
	Cost        float64
	Constraints []string
	DataRack    string  // label of the rack where its data lies; empty: no matter
	LocalOnly   bool    // it rather waits than run far from its data
	Urgency     Urgency // how much its time matters
	HealthyOnly bool    // it rather waits than try a doubtful runner, if any sound one suits it
	Count       int     // tasks that are alike and wait; 0: one
	// Limit returns how many more of them a runner may take; nil: any number.
	Limit func(key int) int
}

// limit returns how many of the tasks a runner may take by the caller's word.
func (a *Request) limit(key int) int {
	count := max(1, a.Count)
	if a.Limit == nil {
		return count
	}
	return min(count, a.Limit(key))
}

// Result says why no runner was found.
type Result uint8

// Results.
const (
	Found      Result = iota
	NoBudget          // some runner has the capacity free, and no budget for it
	NoCapacity        // no suitable runner has the capacity free
	Unsuitable        // no runner suits at all, whatever is free
)

// suits tells whether a runner could ever take the task.
func suits(ask *Request, c *Candidate) bool {
	if ask.Service != c.Service || !ask.Resources.FitsIn(c.Capacity) {
		return false
	}
	for _, label := range ask.Constraints {
		if !slices.Contains(c.Labels, label) {
			return false
		}
	}
	return true
}

func near(ask *Request, c *Candidate) bool {
	return ask.DataRack == "" || slices.Contains(c.Labels, ask.DataRack)
}

// Assignment is a candidate that was chosen.
type Assignment struct {
	Candidate int // its place among the candidates
	Count     int // so many of the tasks that were asked for fit there
}

// Choose returns the best candidate and how many of the tasks fit there.
func Choose(ask *Request, candidates []Candidate) (best Assignment, result Result) {
	if ask.HealthyOnly {
		if best, result = choose(ask, candidates, true); result != Unsuitable {
			return best, result
		}
	}
	return choose(ask, candidates, false)
}

func choose(ask *Request, candidates []Candidate, soundOnly bool) (best Assignment, result Result) {
	best, result = Assignment{Candidate: -1}, Unsuitable
	for at := range candidates {
		c := &candidates[at]
		if soundOnly && c.Suspect || !suits(ask, c) {
			continue
		}
		if c.Reserved || !ask.Resources.FitsIn(c.Free) || ask.LocalOnly && !near(ask, c) {
			result = better(result, NoCapacity)
			continue
		}
		limit := ask.limit(c.Key) // after what is cheaper to look at
		if limit < 1 {
			continue
		}
		result = better(result, NoCapacity)
		if !c.Idle && c.Headroom < ask.Cost {
			result = better(result, NoBudget)
			continue
		}
		place := Assignment{Candidate: at, Count: min(limit, c.takes(ask))}
		if best.Candidate < 0 || prefers(ask, c, place, &candidates[best.Candidate], best) {
			best = place
		}
	}
	if best.Candidate >= 0 {
		return best, Found
	}
	return best, result
}

// takes returns how many of the tasks fit a runner's free capacity and budget; one at least,
// since a task that was let in by Choose fits, and no more at one that is on trial.
func (c *Candidate) takes(ask *Request) int {
	if c.Suspect {
		return 1
	}
	n := ask.Resources.CountFittingIn(c.Free)
	if ask.Cost > 0 {
		n = min(n, int(max(0, c.Headroom)/ask.Cost))
	}
	return max(1, n)
}

// better keeps the reason that says most.
func better(a, b Result) Result { return min(a, b) }

// prefers tells whether a is to be taken rather than b: a sound one, near the data, usual in
// its pace, of a speed that fits its haste, one that takes more of the tasks, and then the roomiest. Tasks that ask for
// accelerators take the runner that has the fewest left: spread out, small tasks would leave
// no runner whole for large ones.
func prefers(ask *Request, a *Candidate, atA Assignment, b *Candidate, atB Assignment) bool {
	switch {
	case a.Suspect != b.Suspect:
		return b.Suspect
	case near(ask, a) != near(ask, b):
		return near(ask, a)
	case slow(a) != slow(b):
		return slow(b)
	case ask.Urgency != UrgencyNormal && a.speedClass() != b.speedClass():
		return (a.speedClass() < b.speedClass()) == (ask.Urgency == UrgencyTight)
	case ask.Resources.GPU > 0 && a.Free.GPU != b.Free.GPU:
		return a.Free.GPU < b.Free.GPU
	case atA.Count != atB.Count:
		return atA.Count > atB.Count
	}
	return roomier(a, b)
}

// slowBeyond is the pace from which on a runner is taken last.
const slowBeyond = 1.6

// usualSpeeds is how far a speed lies from 1 that still counts as usual: the scatter of what
// is known of a runner after a few steps.
const usualSpeeds = 0.07

// speedClass is negative for quick runners, positive for slow ones.
func (c *Candidate) speedClass() int {
	switch {
	case c.RunTimeFactor < 1-usualSpeeds:
		return -1
	case c.RunTimeFactor > 1+usualSpeeds:
		return 1
	}
	return 0
}

func slow(c *Candidate) bool { return c.Slowdown > slowBeyond }

// roomier compares what is left of the budgets, and of the capacities where these are alike.
func roomier(a, b *Candidate) bool {
	if a.Headroom != b.Headroom {
		return a.Headroom > b.Headroom
	}
	return a.Free.CPU > b.Free.CPU
}

// Assign notes at a candidate that a task goes there; one that is on trial takes no other.
func (c *Candidate) Assign(ask *Request) {
	c.Free = c.Free.Subtract(ask.Resources)
	c.Headroom -= ask.Cost
	c.Idle = false
	c.Reserved = c.Reserved || c.Suspect
}
