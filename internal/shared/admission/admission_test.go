package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/shared/admission"
)

func TestNewTypeStartsAtItsEstimateElseAtTheMeanOfAll(t *testing.T) {
	estimates := admission.NewRunTimeEstimates()
	known, other := admission.TaskType{Queue: "q", Step: 1}, admission.TaskType{Queue: "q", Step: 2}
	require.Equal(t, 3.0, estimates.Expect(known, 3))
	estimates.Learn(known, 0, 2)
	estimates.Learn(known, 0, 4)
	require.InDelta(t, 2.5, estimates.Expect(known, 0), 1.2)
	require.Equal(t, estimates.Expect(known, 0), estimates.Expect(other, 0), "the mean of all types")
}

func TestEstimatesAreCorrectedByRunTimes(t *testing.T) {
	estimates := admission.NewRunTimeEstimates()
	taskType := admission.TaskType{Queue: "q"}
	for range 60 {
		estimates.Learn(taskType, 1, 2)
	}
	require.InDelta(t, 6, estimates.Expect(taskType, 3), 0.2, "tasks of this type run twice as long as estimated")
	estimates.Learn(taskType, 1, 1000)
	require.Less(t, estimates.Expect(taskType, 3), 7.0, "an outlier counts as at most three times the expected run time")
}

func TestCompare(t *testing.T) {
	short, long := admission.Rank{Cost: 1, Seq: 2}, admission.Rank{Cost: 5, Seq: 1}
	require.Negative(t, admission.Compare(short, long))
	long.Aged, long.AgedAt = true, 7
	require.Positive(t, admission.Compare(short, long), "shorter work doesn't start before aged work")
	older := admission.Rank{Cost: 9, Aged: true, AgedAt: 3}
	require.Negative(t, admission.Compare(older, long))
	require.Negative(t, admission.Compare(admission.Rank{Seq: 1}, admission.Rank{Seq: 2}))
	require.Zero(t, admission.Compare(short, short))
}

func TestBudget(t *testing.T) {
	budget, mean := admission.Budget{}, &admission.MeanCost{}
	require.Equal(t, admission.Headroom{BudgetNotSet: true}, budget.Headroom(0, mean), "not set before a cost is known")
	mean.Add(10)
	first := budget.Headroom(0, mean).Amount
	require.Equal(t, 60.0, first, "a few mean costs")
	budget.Grow(10, 1000)
	require.Equal(t, first, budget.Headroom(0, mean).Amount, "it doesn't grow unless it has blocked work")
	budget.RecordBlocked(0, 10, 1000)
	budget.Grow(10, 1000)
	grown := budget.Headroom(0, mean).Amount
	require.Greater(t, grown, first)
	budget.Shrink(time.Second, 2*time.Second, mean)
	shrunk := budget.Headroom(0, mean).Amount
	require.Less(t, shrunk, grown)
	budget.Shrink(time.Second, 2*time.Second, mean)
	require.Equal(t, shrunk, budget.Headroom(0, mean).Amount, "it shrinks once for all work sent in one round trip")
	for at := range 50 {
		budget.Shrink(time.Duration(at+3)*time.Second, time.Duration(at+3)*time.Second, mean)
	}
	require.Equal(t, 15.0, budget.Headroom(0, mean).Amount, "it doesn't shrink below the minimum")
}

// TestInitialBudgetIsAboveTheCostInFlight checks that a dispatcher that takes over can start work at
// runners that are already working.
func TestInitialBudgetIsAboveTheCostInFlight(t *testing.T) {
	budget, mean := admission.Budget{}, &admission.MeanCost{}
	mean.Add(10)
	require.Equal(t, 60.0, budget.Headroom(500, mean).Amount)
	require.Equal(t, 160.0, budget.Headroom(400, mean).Amount, "work that has ended leaves headroom")
}

func TestBudgetThatBlocksWorkForLongGrowsByItself(t *testing.T) {
	budget, mean := admission.Budget{}, &admission.MeanCost{}
	mean.Add(10)
	first := budget.Headroom(0, mean).Amount
	budget.RecordBlocked(time.Second, 10, 1000)
	budget.RecordBlocked(time.Second+300*time.Millisecond, 10, 1000)
	require.Equal(t, first, budget.Headroom(0, mean).Amount)
	budget.RecordBlocked(2*time.Second, 10, 1000)
	require.Greater(t, budget.Headroom(0, mean).Amount, first)
}
