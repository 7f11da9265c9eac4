package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// gangScenario returns a scheduler with a runner of four cores for each of the given racks, and the
// group of a gang whose tasks need three cores each.
func gangScenario(t *testing.T, tasks int, racks ...string) (*Scheduler, *taskGroup) {
	t.Helper()
	s := newTestScheduler()
	for at, rack := range racks {
		runner := contactedRunner()
		runner.id = string(rune('a' + at))
		runner.service, runner.labels, runner.capacity = "s", []string{rack}, job.Resources{CPU: 4000}
		s.runners.add(runner)
	}
	step := job.Step{Count: tasks, Gang: true, SameRack: true, Resources: job.Resources{CPU: 3000}}
	s.store.Apply(job.Command{Kind: job.AcceptJob, Submission: &job.Submission{ID: "g", Service: "s", Spec: job.Spec{Steps: []job.Step{step}}}})
	s.openOccurrence(s.store.Jobs["g"], 0)
	group := s.groups.byKey[groupKey{job: "g"}]
	group.expected = 10
	s.learner.meanCost("s").Add(100) // budgets are limited and have headroom for all tasks
	s.collectCandidates()
	return s, group
}

func TestGangStartsOnTheRackThatTakesAll(t *testing.T) {
	s, group := gangScenario(t, 2, "r1", "r2", "r2", "r1", "r2")
	require.Equal(t, []int{1, 2}, s.gangOnOneRack(group, s.requestFor(group), s.cycle.candidates), "of two possible racks, the one with the most headroom")
	s.assign(group, s.requestFor(group))
	require.Empty(t, group.pending)
	require.Len(t, s.outbox.commands, 2)
	for _, start := range s.outbox.commands {
		require.Equal(t, job.StartRun, start.Kind)
		require.Equal(t, 1, start.Attempt, "all tasks have the same attempt number")
	}
}

// TestGangWaitsForOneRack checks that a gang waits as long as a rack is expected to have capacity
// for all its tasks soon, and is spread across racks once the wait costs as much as running
// remotely.
func TestGangWaitsForOneRack(t *testing.T) {
	s, group := gangScenario(t, 2, "r1", "r1", "r2")
	busy := s.runners.inOrder[0]
	busy.load.add(&run{runKey: runKey{task: job.TaskRef{Job: "other"}}, resources: job.Resources{CPU: 4000}, cost: 1, expected: 2, orderedAt: s.now})
	s.collectCandidates()
	s.assign(group, s.requestFor(group))
	require.Len(t, group.pending, 2, "r1 is free in two seconds; running remotely costs five")
	group.readyAt = s.now - 3001*time.Millisecond
	s.assign(group, s.requestFor(group))
	require.Empty(t, group.pending)
}

func TestGangDoesNotWaitForARackThatNeverTakesIt(t *testing.T) {
	s, group := gangScenario(t, 2, "r1", "r2")
	s.assign(group, s.requestFor(group))
	require.Empty(t, group.pending)
}

func TestGangStartsNothingWhereOneTaskDoesNotFit(t *testing.T) {
	s, group := gangScenario(t, 3, "r1", "r2")
	s.now += time.Minute
	s.assign(group, s.requestFor(group))
	require.Len(t, group.pending, 3)
	require.Empty(t, s.outbox.commands)
	require.Equal(t, int64(4000), s.cycle.candidates[0].Free.CPU, "no assignment remains")
}
