package scheduler

import (
	"cmp"
	"slices"
	"time"

	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/admission"
)

// The aged order: by priority, then aged work by its age, then the work that is expected to take
// the shortest. Work that waited for long is passed by nothing shorter, so that it can't starve.

// agingMultiple: work has aged once it has waited so many times its expected run time. The design
// gives two: long work waits in proportion to what it takes.
const agingMultiple = 2.0

// rankAt returns a group's place in the aged order.
func (g *taskGroup) rankAt(now time.Duration) admission.Rank {
	agedAt := g.readyAt + time.Duration(agingMultiple*g.expected*float64(time.Second))
	return admission.Rank{Aged: now >= agedAt, AgedAt: agedAt, Cost: g.expected, Seq: g.sequence}
}

// compareAged orders groups by priority and rank.
func compareAged(a, b *taskGroup) int {
	if order := cmp.Compare(a.job.Priority, b.job.Priority); order != 0 {
		return order
	}
	return admission.Compare(a.rank, b.rank)
}

// readyInAgedOrder returns the groups that have tasks to start. Ages and expectations change all
// the time, so that the order is found anew for each cycle. It is valid until the next call.
func (s *Scheduler) readyInAgedOrder() []*taskGroup {
	ready := s.groups.takeReady()
	for _, group := range ready {
		group.expected = s.learner.expected(group.job, group.key.step)
		group.rank = group.rankAt(s.now)
	}
	slices.SortFunc(ready, compareAged)
	return ready
}

// candidatesPerReservation: in one cycle at most one runner in so many is reserved for aged work, so that
// work that needs much does not empty the fleet.
const candidatesPerReservation = 8

// maxReservations returns how many runners may be reserved in this cycle.
func (c *cycle) maxReservations() int { return len(c.candidates) / candidatesPerReservation }

// agedReservations reserves runners for aged work in one scheduling cycle. The zero value is that of a
// cycle that has reserved none.
type agedReservations struct {
	count  int
	byFree []int // indexes of candidates by falling free capacity; nil: to be found anew
}

// assigned notes that a candidate's free capacity has changed.
func (a *agedReservations) assigned() { a.byFree = nil }

// reserve reserves, for the rest of the cycle, the suitable runner with the most free capacity, which
// is too little as yet, for work that has aged.
func (a *agedReservations) reserve(request *placement.Request, candidates []placement.Candidate) {
	a.count++
	if a.byFree == nil {
		a.byFree = inFallingFreeCPU(candidates)
	}
	for _, index := range a.byFree {
		c := &candidates[index]
		if c.Reserved || c.Service != request.Service || request.Resources.FitsIn(c.Free) ||
			!request.Resources.FitsIn(c.Capacity) || !hasAllLabels(c.Labels, request.Constraints) {
			continue
		}
		c.Reserved = true
		return
	}
}

// inFallingFreeCPU returns the indexes of the candidates that are not reserved. Of equals the first
// stays first.
func inFallingFreeCPU(candidates []placement.Candidate) []int {
	indexes := make([]int, 0, len(candidates))
	for index := range candidates {
		if !candidates[index].Reserved {
			indexes = append(indexes, index)
		}
	}
	slices.SortStableFunc(indexes, func(a, b int) int { return cmp.Compare(candidates[b].Free.CPU, candidates[a].Free.CPU) })
	return indexes
}
