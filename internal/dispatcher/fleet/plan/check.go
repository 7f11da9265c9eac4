package plan

import (
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// Words of plan files.
var (
	// allEnds are all ends of attempts, and endWords the same as strings.
	allEnds  = []End{Done, Refused, Full, Unsent, Late, Failed, Reset, MayRun, Lost}
	endWords = []string{"done", "refused", "full", "unsent", "late", "failed", "reset", "may_have_run", "lost_input"}
	// reservedNames are the names that are predefined in expressions.
	reservedNames = []string{"input", "item", "end", "result"}
)

// checks are run in this order, on plans whose stages could be sorted. A test removes one at a
// time, to show that the fault which it prevents then occurs in simulated runs.
var checks = []func(*checker){(*checker).checkReferences, (*checker).checkRules, (*checker).checkAtMostOnce, (*checker).checkKeys, (*checker).checkWorstCase}

// stageSet is a set of stages of one plan, by their index in Stages.
type stageSet uint64

func (s stageSet) has(i int) bool { return s&(1<<i) != 0 }

// checker checks one plan.
type checker struct {
	*fileParser
	plan       *Plan
	upstream   []stageSet // by stage: all that it depends on, directly or not
	downstream []stageSet // by stage: all that depend on it
	rerunnable stageSet   // stages that may be run again, so that their results may change

	unresolved map[*Stage]bool // stages whose dependencies can't be determined
}

// check adds all problems of a plan, and sets the fields of the plan that are computed.
func check(f *fileParser, p *Plan) {
	c := &checker{fileParser: f, plan: p}
	if !c.sortStages() {
		return
	}
	for _, one := range checks {
		one(c)
	}
}

// sortStages sorts the stages topologically, computes their dependencies and how often each
// may run, and reports whether that was possible.
func (c *checker) sortStages() bool {
	c.checkAfter()
	sorted, ok := c.topologicalOrder()
	if !ok {
		return false
	}
	c.plan.Stages = sorted
	c.computeReach()
	before := len(c.problems)
	c.checkRerunTargets()
	if len(c.problems) > before {
		return false
	}
	c.countRuns()
	return true
}

// checkAfter checks the dependencies of each stage, and drops the invalid ones.
func (c *checker) checkAfter() {
	p := c.plan
	c.unresolved = map[*Stage]bool{}
	for _, s := range p.Stages {
		var names []string
		var at []hcl.Range
		for i, name := range s.After {
			before := len(c.problems)
			switch {
			case p.ByName[name] == nil:
				c.addProblem(s.afterRanges[i], "unknown stage %q%s", name, suggestion(name, c.otherStageNames(s)))
			case name == s.Name:
				c.addProblem(s.afterRanges[i], "stage %q comes after itself: leave that out", name)
			case slices.Index(s.After, name) < i:
				c.addProblem(s.afterRanges[i], "%q is listed twice: leave one out", name)
			default:
				names, at = append(names, name), append(at, s.afterRanges[i])
			}
			c.unresolved[s] = c.unresolved[s] || len(c.problems) > before
		}
		s.After, s.afterRanges = names, at
	}
}

// topologicalOrder returns the stages, each after those that it depends on, or reports a
// cycle.
func (c *checker) topologicalOrder() (sorted []*Stage, ok bool) {
	p := c.plan
	var path []*Stage // being visited; each depends on the next
	var visit func(*Stage) bool
	visit = func(s *Stage) bool {
		if slices.Contains(sorted, s) {
			return true
		}
		path = append(path, s)
		for i, name := range s.After {
			next := p.ByName[name]
			if at := slices.Index(path, next); at >= 0 {
				var names []string
				for _, u := range path[at:] {
					names = append(names, u.Name)
				}
				c.addProblem(s.afterRanges[i], "a cycle: %s: one of them must not come after the next", strings.Join(append(names, next.Name), " after "))
				return false
			}
			if !visit(next) {
				return false
			}
		}
		path = path[:len(path)-1]
		sorted = append(sorted, s)
		return true
	}
	for _, s := range p.Stages {
		if !visit(s) {
			return nil, false
		}
	}
	return sorted, true
}

// computeReach computes what is upstream and downstream of each stage. The stages must be
// sorted.
func (c *checker) computeReach() {
	sorted := c.plan.Stages
	c.upstream, c.downstream = make([]stageSet, len(sorted)), make([]stageSet, len(sorted))
	for i, s := range sorted {
		for _, name := range s.After {
			j := c.stageIndex(name)
			c.upstream[i] |= c.upstream[j] | 1<<j
		}
		for j := range i {
			if c.upstream[i].has(j) {
				c.downstream[j] |= 1 << i
				c.unresolved[s] = c.unresolved[s] || c.unresolved[sorted[j]]
			}
		}
	}
}

// checkRerunTargets checks that each rerun names one stage upstream.
func (c *checker) checkRerunTargets() {
	p := c.plan
	for i, s := range p.Stages {
		for k := range s.Reruns {
			r := &s.Reruns[k]
			switch {
			case c.unresolved[s]:
			case p.ByName[r.Of] == nil:
				c.addProblem(r.ofRange, "unknown stage %q%s", r.Of, suggestion(r.Of, c.stageNames(c.upstream[i])))
			case !c.upstream[i].has(c.stageIndex(r.Of)):
				c.addProblem(r.ofRange, "stage %q does not come after %q, so it can't have that run again%s", s.Name, r.Of, suggestion(r.Of, c.stageNames(c.upstream[i])))
			case slices.ContainsFunc(s.Reruns[:k], func(o Rerun) bool { return o.Of == r.Of }):
				c.addProblem(r.ofRange, "%q is run again by two rules of %q: make one of them, with a || b", r.Of, s.Name)
			}
		}
	}
}

// countRuns computes how often each stage may run.
func (c *checker) countRuns() {
	sorted := c.plan.Stages
	for i, s := range sorted {
		s.Runs = 1
		for _, x := range sorted {
			s.Runs += c.maxRerunsFor(i, x)
		}
		if s.Runs > 1 || s.Shared != nil { // a shared one is run again for other plans too
			c.rerunnable |= 1 << i
		}
	}
}

// maxRerunsFor returns how often a stage may be run again because the output of another stage,
// or its own, is lost: the largest MaxReruns of the rules for that loss, since MaxReruns
// limits the generations of the lost output, whichever rule applies. Rules of stages upstream
// are left out: such a stage has not succeeded when its rule applies, so that this one has not
// begun.
func (c *checker) maxRerunsFor(i int, of *Stage) (most int) {
	for j, s := range c.plan.Stages {
		for k := range s.Reruns {
			if r := &s.Reruns[k]; r.Of == of.Name && c.rerunSet(r).has(i) && !c.downstream[j].has(i) {
				most = max(most, r.MaxReruns)
			}
		}
	}
	return most
}

// rerunSet returns the stages that a rerun runs again: the one that it names, and all stages
// downstream of that.
func (c *checker) rerunSet(r *Rerun) stageSet {
	if i := c.stageIndex(r.Of); i >= 0 {
		return c.downstream[i] | 1<<i
	}
	return 0 // the named stage is unknown
}

func (c *checker) stageIndex(name string) int {
	return slices.Index(c.plan.Stages, c.plan.ByName[name])
}

func (c *checker) stageNames(s stageSet) (names []string) {
	for i, one := range c.plan.Stages {
		if s.has(i) {
			names = append(names, one.Name)
		}
	}
	return names
}

func (c *checker) otherStageNames(but *Stage) (names []string) {
	for _, s := range c.plan.Stages {
		if s != but {
			names = append(names, s.Name)
		}
	}
	return names
}
