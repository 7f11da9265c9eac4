package scheduler

import (
	"slices"

	"basaltloft/internal/cluster/placement"
)

// budgetHolds are the runners that are held in a cycle for groups that only budgets keep from
// starting. The zero value holds none.
type budgetHolds struct {
	services []string // all runners of these are held
}

// reset releases all runners.
func (h *budgetHolds) reset() { h.services = h.services[:0] }

// hasAll reports whether all runners of a service are held.
func (h *budgetHolds) hasAll(service string) bool { return slices.Contains(h.services, service) }

// hold holds the runners that could take a request: later groups, which it precedes, get none of
// their budgets. Runners that it could not use take other work.
func (h *budgetHolds) hold(request *placement.Request, candidates []placement.Candidate) {
	if len(request.Constraints) == 0 {
		h.services = append(h.services, request.Service)
	}
	for i := range candidates {
		if c := &candidates[i]; c.Feasible(request) {
			c.Reserved = true
		}
	}
}

// recordBlockedBudgets records which budgets keep a group from starting, so that these budgets grow
// until they have the headroom: for one task, or for as many members of a gang as fit the runner.
func (s *Scheduler) recordBlockedBudgets(group *taskGroup, request *placement.Request) {
	for i := range s.cycle.candidates {
		c := &s.cycle.candidates[i]
		if c.Service != request.Service || !request.Resources.FitsIn(c.Free) || !hasAllLabels(c.Labels, request.Constraints) {
			continue
		}
		cost := request.Cost
		if group.step.Gang {
			cost *= float64(min(len(group.pending), request.Resources.CountFittingIn(c.Free)))
		}
		runner := s.cycle.runners[c.Key]
		runner.load.budget.RecordBlocked(s.now, cost, max(runner.maxBudget(), runner.load.cost+cost))
	}
}

// hasAllLabels reports whether labels contains all required labels.
func hasAllLabels(labels, required []string) bool {
	for _, label := range required {
		if !slices.Contains(labels, label) {
			return false
		}
	}
	return true
}
