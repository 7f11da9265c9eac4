package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/placement"
	"basaltloft/internal/shared/admission"
)

func candidate(key int, headroom float64) placement.Candidate {
	capacity := job.Resources{CPU: 8000, MemMB: 8000, GPU: 4}
	return placement.Candidate{Key: key, Service: "s", Labels: []string{"a", "r1"}, Capacity: capacity, Free: capacity, Headroom: admission.Headroom{Amount: headroom}, Slowdown: 1, RunTimeFactor: 1}
}

func newRequest() *placement.Request {
	return &placement.Request{Service: "s", Resources: job.Resources{CPU: 1000, MemMB: 1000}, Cost: 5}
}

func TestMostHeadroomIsChosen(t *testing.T) {
	chosen, result := placement.Choose(newRequest(), []placement.Candidate{candidate(0, 10), candidate(1, 30), candidate(2, 20)})
	require.Equal(t, placement.Found, result)
	require.Equal(t, 1, chosen.Candidate)
}

func TestResultWhenNoneIsFound(t *testing.T) {
	exhausted, full, other, reserved := candidate(0, 1), candidate(1, 50), candidate(2, 50), candidate(3, 50)
	full.Free = job.Resources{}
	other.Service = "t"
	reserved.Reserved = true
	for name, test := range map[string]struct {
		candidates []placement.Candidate
		want       placement.Result
	}{
		"no budget":     {[]placement.Candidate{exhausted, full}, placement.NoBudget},
		"no capacity":   {[]placement.Candidate{full, reserved}, placement.NoCapacity},
		"other service": {[]placement.Candidate{other}, placement.Unsuitable},
		"none at all":   {nil, placement.Unsuitable},
	} {
		t.Run(name, func(t *testing.T) {
			_, result := placement.Choose(newRequest(), test.candidates)
			require.Equal(t, test.want, result)
		})
	}
}

func TestIdleRunnerNeedsNoBudget(t *testing.T) {
	idle := candidate(0, 1)
	idle.Idle = true
	_, result := placement.Choose(newRequest(), []placement.Candidate{idle})
	require.Equal(t, placement.Found, result)
}

func TestPreferences(t *testing.T) {
	remote, local := candidate(0, 90), candidate(1, 10)
	local.Labels = []string{"a", "r2"}
	request := newRequest()
	request.DataRack = "r2"
	chosen, _ := placement.Choose(request, []placement.Candidate{remote, local})
	require.Equal(t, 1, chosen.Candidate, "the runner near the data")
	request.LocalOnly = true
	_, result := placement.Choose(request, []placement.Candidate{remote})
	require.Equal(t, placement.NoCapacity, result, "it waits rather than run elsewhere")

	slow, suspect, healthy := candidate(0, 90), candidate(1, 80), candidate(2, 10)
	slow.Slowdown, suspect.Suspect = 3, true
	chosen, _ = placement.Choose(newRequest(), []placement.Candidate{slow, suspect, healthy})
	require.Equal(t, 2, chosen.Candidate, "the healthy runner")

	untouched, partlyUsed := candidate(0, 90), candidate(1, 10)
	partlyUsed.Free.GPU = 1
	small := newRequest()
	small.Resources.GPU = 1
	chosen, _ = placement.Choose(small, []placement.Candidate{untouched, partlyUsed})
	require.Equal(t, 1, chosen.Candidate, "accelerators are packed")
}

func TestConstraintsAndExclusions(t *testing.T) {
	request := newRequest()
	request.Constraints = []string{"b"}
	_, result := placement.Choose(request, []placement.Candidate{candidate(0, 90)})
	require.Equal(t, placement.Unsuitable, result)
	request = newRequest()
	request.Limit = func(key int) int { return 1 - key }
	chosen, _ := placement.Choose(request, []placement.Candidate{candidate(0, 10), candidate(1, 90)})
	require.Equal(t, 0, chosen.Candidate)
}

func TestAssignedResourcesAreNotFree(t *testing.T) {
	c := candidate(0, 10)
	c.Idle = true
	c.Assign(newRequest())
	require.Equal(t, int64(7000), c.Free.CPU)
	require.Equal(t, 5.0, c.Headroom.Amount)
	require.False(t, c.Idle)
}

// TestRunnerWithoutSetBudgetTakesOneTask guards against the count of tasks that came from a conversion
// out of range, and so from the processor: x86-64 gave one task, arm64 as many as fit.
func TestRunnerWithoutSetBudgetTakesOneTask(t *testing.T) {
	request := newRequest()
	request.Count, request.Cost = 3, 0.01
	c := candidate(0, 0)
	c.Headroom = new(admission.Budget).Headroom(0, new(admission.MeanCost))
	chosen, result := placement.Choose(request, []placement.Candidate{c})
	require.Equal(t, placement.Found, result)
	require.Equal(t, placement.Assignment{Candidate: 0, Count: 1}, chosen)
	request.Cost = 0
	chosen, _ = placement.Choose(request, []placement.Candidate{c})
	require.Equal(t, 3, chosen.Count, "tasks without a cost take no budget")
}

// TestTasksOfAStepGoToOneRunner checks that tasks of a step go to the runner that takes most of them,
// and of several such runners to the one with the most headroom.
func TestTasksOfAStepGoToOneRunner(t *testing.T) {
	request := newRequest()
	request.Count = 3
	narrow, wide, roomy := candidate(0, 100), candidate(1, 15), candidate(2, 30)
	narrow.Free.CPU = 2500
	chosen, result := placement.Choose(request, []placement.Candidate{narrow, wide, roomy})
	require.Equal(t, placement.Found, result)
	require.Equal(t, placement.Assignment{Candidate: 2, Count: 3}, chosen, "two runners can take all: the one with more headroom")
	chosen, _ = placement.Choose(request, []placement.Candidate{narrow, wide})
	require.Equal(t, placement.Assignment{Candidate: 1, Count: 3}, chosen, "limited by capacity")
	request.Cost = 7
	chosen, _ = placement.Choose(request, []placement.Candidate{wide})
	require.Equal(t, 2, chosen.Count, "limited by budget")
	request.Limit = func(int) int { return 1 }
	chosen, _ = placement.Choose(request, []placement.Candidate{wide})
	require.Equal(t, 1, chosen.Count, "limited by the request's Limit")
	idle := candidate(0, 0)
	idle.Idle = true
	request.Limit = nil
	chosen, _ = placement.Choose(request, []placement.Candidate{idle})
	require.Equal(t, 1, chosen.Count, "an idle runner takes one regardless of its budget")

	suspect := candidate(0, 100)
	suspect.Suspect = true
	chosen, _ = placement.Choose(request, []placement.Candidate{suspect})
	require.Equal(t, 1, chosen.Count, "a suspect runner takes one task at a time")
	suspect.Assign(request)
	_, result = placement.Choose(request, []placement.Candidate{suspect})
	require.Equal(t, placement.NoCapacity, result, "a suspect runner with a task takes no other")
}

// TestUrgencyDeterminesPreferredSpeed checks that urgent tasks go to fast runners, and tasks of low
// urgency to slow ones.
func TestUrgencyDeterminesPreferredSpeed(t *testing.T) {
	fast, normal, slow := candidate(0, 10), candidate(1, 30), candidate(2, 20)
	fast.RunTimeFactor, slow.RunTimeFactor = 0.8, 1.2
	all := []placement.Candidate{fast, normal, slow}
	for urgency, want := range map[placement.Urgency]int{placement.UrgencyHigh: 0, placement.UrgencyNormal: 1, placement.UrgencyLow: 2} {
		request := newRequest()
		request.Urgency = urgency
		chosen, _ := placement.Choose(request, all)
		require.Equal(t, want, chosen.Candidate)
	}
}

// TestHealthyRunnersOnly checks that tasks of a HealthyOnly request wait rather than run at a suspect
// runner, unless no healthy runner is feasible.
func TestHealthyRunnersOnly(t *testing.T) {
	suspect, full := candidate(0, 100), candidate(1, 100)
	suspect.Suspect, full.Free = true, job.Resources{}
	request := newRequest()
	chosen, _ := placement.Choose(request, []placement.Candidate{suspect, full})
	require.Equal(t, 0, chosen.Candidate)
	request.HealthyOnly = true
	_, result := placement.Choose(request, []placement.Candidate{suspect, full})
	require.Equal(t, placement.NoCapacity, result)
	chosen, _ = placement.Choose(request, []placement.Candidate{suspect})
	require.Equal(t, 0, chosen.Candidate)
	chosen, _ = placement.Choose(request, []placement.Candidate{suspect, candidate(1, 10)})
	require.Equal(t, 1, chosen.Candidate, "a healthy runner that fits is preferred")
}
