package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// TestBudgetHoldsOnlyRunnersThatTheGroupCouldUse guards against a group that waits for budgets and
// holds up work for which its wait gains nothing: at runners that it can't use, and of other services.
func TestBudgetHoldsOnlyRunnersThatTheGroupCouldUse(t *testing.T) {
	s := newTestScheduler()
	for _, id := range []string{"a", "b", "c"} {
		runner := addRunner(s, id)
		runner.load.add(&run{runKey: runKey{task: job.TaskRef{Job: "busy-" + id}}, cost: 1, expected: 1, orderedAt: s.now})
	}
	s.runners.byID["a"].labels = []string{"big"}
	s.runners.byID["c"].service = "other"
	s.learner.meanCost("s").Add(1)
	s.learner.meanCost("other").Add(1)
	blocked := submit(s, "1", job.Step{Count: 1, Resources: job.Resources{CPU: 4000}, Constraints: job.Labels{"big"}})
	blocked.job.Spec.Steps[0].EstimateMs = 100_000
	submit(s, "2", job.Step{Count: 1, Resources: job.Resources{CPU: 1000}}).job.Priority = 1
	submit(s, "3", job.Step{Count: 1, Resources: job.Resources{CPU: 1000}}).job.Priority = 1
	s.store.Jobs["3"].Service = "other"
	s.runCycle()
	require.Equal(t, []string{"b", "c"}, startsAt(s), "nothing starts at a, for which the first job waits")
	require.Len(t, blocked.pending, 1)
}
