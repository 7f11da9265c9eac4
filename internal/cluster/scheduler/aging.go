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
	return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), admission.Compare(a.rank, b.rank))
}

// readyInAgedOrder returns the groups that have tasks to start. Ages and expectations change all
// the time, so that the order is found anew for each cycle.
func (s *Scheduler) readyInAgedOrder() []*taskGroup {
	var ready []*taskGroup
	for _, group := range s.groups.byKey {
		if len(group.pending) == 0 {
			continue
		}
		group.expected = s.learner.expected(group.job, group.key.step)
		group.rank = group.rankAt(s.now)
		ready = append(ready, group)
	}
	slices.SortFunc(ready, compareAged)
	return ready
}

// candidatesPerReservation: in one cycle at most one runner in so many is reserved for aged work, so that
// work that needs much does not empty the fleet.
const candidatesPerReservation = 8

// maxReservations returns how many runners may be reserved in this cycle.
func (c *cycle) maxReservations() int { return len(c.candidates) / candidatesPerReservation }

// reserveForAged reserves, for the rest of the cycle, the suitable runner with the most free
// capacity, which is too little as yet, for work that has aged.
func reserveForAged(request *placement.Request, candidates []placement.Candidate) {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.Reserved || c.Service != request.Service || request.Resources.FitsIn(c.Free) ||
			!request.Resources.FitsIn(c.Capacity) || !hasAllLabels(c.Labels, request.Constraints) {
			continue
		}
		if best < 0 || c.Free.CPU > candidates[best].Free.CPU {
			best = i
		}
	}
	if best >= 0 {
		candidates[best].Reserved = true
	}
}
