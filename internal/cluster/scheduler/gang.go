package scheduler

import (
	"slices"

	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/admission"
)

// The tasks of a gang run together: either all of them start, with the same attempt number, or none
// does.

// assignGang starts all tasks of a gang or none. A gang that should run on one rack waits for some
// time for a rack with sufficient capacity before its tasks are spread across racks.
func (s *Scheduler) assignGang(group *taskGroup, request *placement.Request) placement.Result {
	if result, rejected := s.cycle.round.Rejects(request); rejected {
		return result
	}
	chosen, result := s.placeGang(group, request)
	if result == placement.Found {
		s.startGang(group, chosen, request)
	}
	return result
}

// placeGang chooses a candidate for each task of a gang, on one rack if the gang should run on one
// and one has the capacity or will have it soon. It takes idle runners beyond their budgets if the
// gang can't be placed within budgets.
func (s *Scheduler) placeGang(group *taskGroup, request *placement.Request) ([]int, placement.Result) {
	if group.step.SameRack {
		if chosen := s.gangOnOneRack(group, request, s.cycle.candidates); chosen != nil {
			return chosen, placement.Found
		}
		if chosen := s.gangOnOneRack(group, request, s.withIdleBudgets(group, request)); chosen != nil {
			return chosen, placement.Found
		}
		if s.gangShouldWait(group, request) {
			return nil, placement.NoCapacity
		}
	}
	chosen, result := s.gangCandidates(group, request, slices.Clone(s.cycle.candidates))
	if result == placement.NoBudget {
		chosen, result = s.gangCandidates(group, request, s.withIdleBudgets(group, request))
	}
	return chosen, result
}

// withIdleBudgets returns copies of the cycle's candidates in which the idle ones have the headroom
// for all tasks of a gang. An idle runner takes what fits it, whatever its budget: for a gang that
// costs more than budgets can hold, no other time will be better.
func (s *Scheduler) withIdleBudgets(group *taskGroup, request *placement.Request) []placement.Candidate {
	copies := slices.Clone(s.cycle.candidates)
	headroom := request.Cost * float64(len(group.pending)+1) // one more, because of rounding errors
	for i := range copies {
		if copies[i].Idle {
			copies[i].Headroom = copies[i].Headroom.AtLeast(headroom)
		}
	}
	return copies
}

// gangCandidates chooses a candidate for each task of a gang and returns their indexes. It records
// its assignments in the given candidates, so the caller must pass copies.
func (s *Scheduler) gangCandidates(group *taskGroup, request *placement.Request, candidates []placement.Candidate) ([]int, placement.Result) {
	chosen := make([]int, 0, len(group.pending))
	assigned := map[int]int{} // by Candidate.Key
	spread := s.spreadLimit(group)
	request.Limit = func(key int) int { return spread(key) - assigned[key] }
	for len(chosen) < len(group.pending) {
		request.Count = len(group.pending) - len(chosen)
		next, result := placement.Choose(request, candidates)
		if result != placement.Found {
			s.cycle.examinedForGangs += (1 + len(chosen)) * len(candidates)
			return nil, result
		}
		for range next.Count {
			candidates[next.Candidate].Assign(request)
			assigned[candidates[next.Candidate].Key]++
			chosen = append(chosen, next.Candidate)
		}
	}
	return chosen, placement.Found
}

// gangOnOneRack chooses candidates for all tasks of a gang on one rack. Of several possible racks
// it chooses the one with the most total headroom. It returns nil if there is none.
func (s *Scheduler) gangOnOneRack(group *taskGroup, request *placement.Request, all []placement.Candidate) []int {
	racks := map[string][]int{}
	for i := range all {
		rack := s.cycle.runners[all[i].Key].rack()
		racks[rack] = append(racks[rack], i)
	}
	var best []int
	var bestHeadroom totalHeadroom
	for _, rack := range sortedKeys(racks) {
		var headroom totalHeadroom
		candidates := make([]placement.Candidate, 0, len(racks[rack]))
		for _, i := range racks[rack] {
			candidates = append(candidates, all[i])
			headroom.add(all[i].Headroom)
		}
		chosen, result := s.gangCandidates(group, request, candidates)
		if result != placement.Found || best != nil && !headroom.exceeds(bestHeadroom) {
			continue
		}
		bestHeadroom = headroom
		best = best[:0]
		for _, i := range chosen {
			best = append(best, racks[rack][i])
		}
	}
	return best
}

// totalHeadroom is the headroom of several runners together. Of the runners without a set budget it
// counts two: a rack ranks first with one of them, and before that with two or more.
type totalHeadroom struct {
	amount       float64
	budgetNotSet int
}

const maxCountedBudgetsNotSet = 2

func (t *totalHeadroom) add(h admission.Headroom) {
	if h.BudgetNotSet {
		t.budgetNotSet = min(t.budgetNotSet+1, maxCountedBudgetsNotSet)
	}
	t.amount += h.Amount
}

func (t *totalHeadroom) exceeds(other totalHeadroom) bool {
	if t.budgetNotSet > 0 || other.budgetNotSet > 0 {
		return t.budgetNotSet > other.budgetNotSet
	}
	return t.amount > other.amount
}

// startGang starts all tasks of a gang at the chosen candidates.
func (s *Scheduler) startGang(group *taskGroup, chosen []int, request *placement.Request) {
	attempt := group.nextAttempt(0)
	for i, candidate := range chosen {
		s.start(group, group.pending[i], attempt, candidate, request)
	}
	group.pending = group.pending[:0]
}
