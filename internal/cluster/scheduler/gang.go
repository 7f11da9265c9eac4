package scheduler

import (
	"slices"

	"basaltloft/internal/cluster/placement"
)

// placeGang starts all tasks of a step or none.
func (o *Scheduler) placeGang(b *bundle, candidates []placement.Candidate, sessions []*session) placement.Result {
	if b.step.SameRack {
		if places := o.gangOnOneRack(b, candidates, sessions); places != nil {
			o.startGang(b, places, candidates, sessions)
			return placement.Found
		}
		if o.waitsNear(b) {
			return placement.NoCapacity
		}
	}
	places, result := o.gangPlaces(b, slices.Clone(candidates), sessions)
	if result != placement.Found {
		return result
	}
	o.startGang(b, places, candidates, sessions)
	return placement.Found
}

// gangPlaces finds a runner for each task, on a copy of the candidates.
func (o *Scheduler) gangPlaces(b *bundle, copies []placement.Candidate, sessions []*session) ([]int, placement.Result) {
	places := make([]int, 0, len(b.pending))
	taken := map[int]int{}
	room := o.roomApart(b, sessions)
	ask := o.ask(b)
	ask.Limit = func(key int) int { return room(key) - taken[key] }
	for len(places) < len(b.pending) {
		ask.Count = len(b.pending) - len(places)
		chosen, result := placement.Choose(ask, copies)
		if result != placement.Found {
			return nil, result
		}
		for range chosen.Count {
			copies[chosen.Candidate].Assign(ask)
			taken[copies[chosen.Candidate].Key]++
			places = append(places, chosen.Candidate)
		}
	}
	return places, placement.Found
}

// gangOnOneRack finds the rack with the most room that takes all tasks.
func (o *Scheduler) gangOnOneRack(b *bundle, candidates []placement.Candidate, sessions []*session) []int {
	racks := map[string][]int{}
	for at := range candidates {
		rack := sessions[candidates[at].Key].rack()
		racks[rack] = append(racks[rack], at)
	}
	var best []int
	bestRoom := 0.0
	for _, rack := range sortedKeys(racks) {
		room := 0.0
		copies := make([]placement.Candidate, 0, len(racks[rack]))
		for _, at := range racks[rack] {
			copies = append(copies, candidates[at])
			room += candidates[at].Headroom
		}
		places, result := o.gangPlaces(b, copies, sessions)
		if result != placement.Found || best != nil && room <= bestRoom {
			continue
		}
		bestRoom = room
		best = best[:0]
		for _, place := range places {
			best = append(best, racks[rack][place])
		}
	}
	return best
}

func (o *Scheduler) startGang(b *bundle, places []int, candidates []placement.Candidate, sessions []*session) {
	attempt := o.nextAttempt(b, 0)
	for i, at := range places {
		ask := o.ask(b)
		candidates[at].Assign(ask)
		o.start(b, b.pending[i], attempt, sessions[candidates[at].Key], ask)
	}
	b.pending = b.pending[:0]
}
