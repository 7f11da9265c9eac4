package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/placement"
)

func TestAgedOrder(t *testing.T) {
	urgentClass, long, short := groupExpecting(9), groupExpecting(3), groupExpecting(1)
	urgentClass.job.Priority, long.job.Priority, short.job.Priority = 0, 1, 1
	order := func(now time.Duration) []*taskGroup {
		groups := []*taskGroup{short, long, urgentClass}
		for _, group := range groups {
			group.rank = group.rankAt(now)
		}
		slices.SortFunc(groups, compareAged)
		return groups
	}
	require.Equal(t, []*taskGroup{urgentClass, short, long}, order(testNow), "by priority, then by expected run time")
	short.readyAt = testNow + 6*time.Second
	require.Equal(t, []*taskGroup{urgentClass, short, long}, order(testNow+6*time.Second-1))
	require.Equal(t, []*taskGroup{urgentClass, long, short}, order(testNow+6*time.Second), "the long group has waited twice its expected run time")
}

func TestRunnerIsReservedForAgedWork(t *testing.T) {
	whole := job.Resources{CPU: 8000}
	candidates := make([]placement.Candidate, 4)
	for at := range candidates {
		candidates[at] = placement.Candidate{Key: at, Service: "s", Capacity: whole, Free: job.Resources{CPU: int64(1000 * at)}}
	}
	candidates[3].Capacity = job.Resources{CPU: 3000} // too small for the request
	request := &placement.Request{Service: "s", Resources: job.Resources{CPU: 6000}}
	var reservations agedReservations
	reservations.reserve(request, candidates)
	require.True(t, candidates[2].Reserved, "the runner with the most free capacity")
	candidates[0].Free = job.Resources{CPU: 1500}
	reservations.assigned()
	reservations.reserve(request, candidates)
	require.True(t, candidates[0].Reserved, "the free capacities are updated after an assignment")
	reservations.reserve(request, candidates)
	require.True(t, candidates[1].Reserved)
	require.False(t, candidates[3].Reserved)
	require.Equal(t, 3, reservations.count)
	require.Equal(t, 2, (&cycle{candidates: make([]placement.Candidate, 2*candidatesPerReservation+1)}).maxReservations())
}
