package plan

import (
	"fmt"

	"basaltloft/internal/dispatcher/policy"
)

// checkAtMostOnce finds rules that run an at-most-once stage again once it may have run.
func (c *checker) checkAtMostOnce() {
	for i, s := range c.plan.Stages {
		if s.Effect == policy.AtMostOnce {
			c.checkAtMostOnceStage(s)
		}
		if u := s.Undo; u != nil && u.Effect == policy.AtMostOnce && u.MaxTries > 1 {
			c.addProblem(u.Range, "the undo of %q is of class %q, which must never run twice: most must be 1, not %d", s.Name, u.Class, u.MaxTries)
		}
		if c.unresolved[s] {
			continue
		}
		for k := range s.Reruns {
			c.checkRerunAtMostOnce(i, &s.Reruns[k])
		}
	}
}

// checkAtMostOnceStage finds rules of an at-most-once stage that may run it again.
func (c *checker) checkAtMostOnceStage(s *Stage) {
	if s.Shared != nil {
		c.addProblem(s.Shared.Range(), "%q must never run twice, so plans can't share it: each plan would use the run of another; leave shared out", s.Name)
	}
	for _, r := range s.Retries {
		for k, e := range r.On {
			if e.MayHaveRun() {
				c.addProblem(r.onRanges[k], "%q must never run twice, and after %q it may have run: it may be tried again on %s only", s.Name, e, joinEnds([]End{Refused, Full, Unsent}))
			}
		}
	}
}

// checkRerunAtMostOnce finds at-most-once stages that a rerun of stage i may run again.
func (c *checker) checkRerunAtMostOnce(i int, r *Rerun) {
	for j, d := range c.plan.Stages {
		if d.Effect != policy.AtMostOnce || !c.rerunSet(r).has(j) {
			continue
		}
		if why := c.secondRunReason(i, r, j); why != "" {
			c.addProblem(r.ofRange, "a rerun of %q would run %q again, which must never run twice: %s", r.Of, d.Name, why)
		}
	}
}

// secondRunReason describes how at-most-once stage j may already have run when rule r of stage
// i begins a rerun; empty: it can't have run.
func (c *checker) secondRunReason(i int, r *Rerun, j int) string {
	s := c.plan.Stages[i]
	switch {
	case j == i && s.Each != nil:
		return "others of its items may have run; take it out of the list, or leave the rerun out"
	case j == i:
		for _, e := range allEnds {
			if may, _ := r.mayHold(e); may && e != Lost && e.MayHaveRun() {
				return fmt.Sprintf("when may hold after %q, and then it may have run; ask for %s", e, joinEnds([]End{Refused, Full, Unsent}))
			}
		}
		return ""
	case c.upstream[i].has(j):
		return fmt.Sprintf("it has run before %q; put it after", s.Name)
	case !c.downstream[i].has(j):
		return fmt.Sprintf("it may run beside %q; put it after", s.Name)
	}
	return ""
}
