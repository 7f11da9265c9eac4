package scheduler

import (
	"slices"

	"basaltloft/internal/cluster/placement"
)

// The tasks of a gang run together: either all of them start, with the same attempt number, or none
// does.

// assignGang starts all tasks of a gang or none. A gang that should run on one rack waits for some
// time for a rack with sufficient capacity before its tasks are spread across racks.
func (s *Scheduler) assignGang(group *taskGroup, request *placement.Request) placement.Result {
	if result, rejected := s.cycle.round.Rejects(request); rejected {
		return result
	}
	if group.step.SameRack {
		if chosen := s.gangOnOneRack(group, request); chosen != nil {
			s.startGang(group, chosen, request)
			return placement.Found
		}
		if s.gangShouldWait(group, request) {
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

// startGang starts all tasks of a gang at the chosen candidates.
func (s *Scheduler) startGang(group *taskGroup, chosen []int, request *placement.Request) {
	attempt := group.nextAttempt(0)
	for i, candidate := range chosen {
		s.start(group, group.pending[i], attempt, candidate, request)
	}
	group.pending = group.pending[:0]
}
