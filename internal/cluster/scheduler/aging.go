package scheduler

import (
	"cmp"
	"slices"
	"time"

	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/admission"
	"basaltloft/internal/shared/saturating"
)

// The aged order sorts task groups by priority. Within a priority, aged groups come first, by age,
// followed by the others in ascending order of their expected run time. A group that has aged is
// not overtaken by shorter ones, which prevents starvation.

// agingMultiple is the multiple of its expected run time for which a group has to wait until it has
// aged. The wait is proportional to the run time; the design specifies the factor two.
const agingMultiple = 2.0

// rankAt returns a group's rank in the aged order at a given time.
func (g *taskGroup) rankAt(now time.Duration) admission.Rank {
	agedAt := g.readyAt + saturating.Duration(agingMultiple*g.expected*float64(time.Second))
	return admission.Rank{Aged: now >= agedAt, AgedAt: agedAt, Cost: g.expected, Seq: g.sequence}
}

// compareAged compares groups by priority and rank.
func compareAged(a, b *taskGroup) int {
	if order := cmp.Compare(a.job.Priority, b.job.Priority); order != 0 {
		return order
	}
	return admission.Compare(a.rank, b.rank)
}

// readyInAgedOrder returns the groups that have tasks to start, in the aged order. The order is
// computed for each cycle because ages and expected run times change constantly. The slice is valid
// until the next call.
func (s *Scheduler) readyInAgedOrder() []*taskGroup {
	ready := s.groups.takeReady()
	for _, group := range ready {
		group.expected = s.learner.expected(group.job, group.key.step)
		group.rank = group.rankAt(s.now)
	}
	slices.SortFunc(ready, compareAged)
	return ready
}

// candidatesPerReservation limits the reservations for aged work: at most one of this number of
// runners is reserved per cycle, so that large tasks don't drain the whole fleet.
const candidatesPerReservation = 8

// maxReservations returns the maximum number of runners to reserve in this cycle.
func (c *cycle) maxReservations() int { return len(c.candidates) / candidatesPerReservation }

// agedReservations reserves runners for aged work in one scheduling cycle. The zero value has no
// reservations.
type agedReservations struct {
	count  int
	byFree []int // indexes of candidates in descending order of free capacity; nil if it has to be recomputed
}

// assigned records that a candidate's free capacity has changed.
func (a *agedReservations) assigned() { a.byFree = nil }

// reserve reserves a runner for aged work for the rest of the cycle: of the suitable runners whose
// free capacity is still too small, the one with the most free CPU.
func (a *agedReservations) reserve(request *placement.Request, candidates []placement.Candidate) {
	a.count++
	if a.byFree == nil {
		a.byFree = byDescendingFreeCPU(candidates)
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

// byDescendingFreeCPU returns the indexes of the candidates that are not reserved, in descending
// order of free CPU. The sort is stable.
func byDescendingFreeCPU(candidates []placement.Candidate) []int {
	indexes := make([]int, 0, len(candidates))
	for index := range candidates {
		if !candidates[index].Reserved {
			indexes = append(indexes, index)
		}
	}
	slices.SortStableFunc(indexes, func(a, b int) int { return cmp.Compare(candidates[b].Free.CPU, candidates[a].Free.CPU) })
	return indexes
}
