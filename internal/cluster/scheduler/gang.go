package scheduler

import (
	"slices"

	"basaltloft/internal/cluster/placement"
)

// A gang's tasks run together: all of them start, under one attempt number, or none does.

// assignGang starts all tasks of a gang or none. One that is asked for on one rack waits a while
// for a rack that has capacity for all before it is spread out.
func (s *Scheduler) assignGang(group *taskGroup, request *placement.Request) placement.Result {
	if result, rejected := s.cycle.round.Rejects(request); rejected {
		return result
	}
	if group.step.SameRack {
		if chosen := s.gangOnOneRack(group, request); chosen != nil {
			s.startGang(group, chosen, request)
			return placement.Found
		}
		if s.gangWaits(group, request) {
			return placement.NoCapacity
		}
	}
	chosen, result := s.gangCandidates(group, request, slices.Clone(s.cycle.candidates))
	if result != placement.Found {
		return result
	}
	s.startGang(group, chosen, request)
	return placement.Found
}

// gangCandidates finds a candidate for each task. It notes what it assigns at the candidates it is
// given: pass copies.
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

// gangOnOneRack finds candidates for all tasks on one rack: of those that can take them the one
// whose budgets have the most headroom. Nil: there is none.
func (s *Scheduler) gangOnOneRack(group *taskGroup, request *placement.Request) []int {
	racks := map[string][]int{}
	for i := range s.cycle.candidates {
		rack := s.cycle.runners[s.cycle.candidates[i].Key].rack()
		racks[rack] = append(racks[rack], i)
	}
	var best []int
	bestHeadroom := 0.0
	for _, rack := range sortedKeys(racks) {
		headroom := 0.0
		candidates := make([]placement.Candidate, 0, len(racks[rack]))
		for _, i := range racks[rack] {
			candidates = append(candidates, s.cycle.candidates[i])
			headroom += s.cycle.candidates[i].Headroom
		}
		chosen, result := s.gangCandidates(group, request, candidates)
		if result != placement.Found || best != nil && headroom <= bestHeadroom {
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

func (s *Scheduler) startGang(group *taskGroup, chosen []int, request *placement.Request) {
	attempt := group.nextAttempt(0)
	for i, candidate := range chosen {
		s.start(group, group.pending[i], attempt, candidate, request)
	}
	group.pending = group.pending[:0]
}
