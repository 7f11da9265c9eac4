package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/cluster/placement"
)

// addRunner adds a runner of four cores that accepts tasks.
func addRunner(s *Scheduler, id string) *runnerSession {
	runner := contactedRunner()
	runner.id, runner.service, runner.capacity = id, "s", job.Resources{CPU: 4000}
	s.runners.add(runner)
	return runner
}

// submit adds a job of one step whose estimated run time is a second, and returns its group.
func submit(s *Scheduler, id string, step job.Step) *taskGroup {
	step.EstimateMs = 1000
	s.store.Apply(job.Command{Kind: job.AcceptJob, Submission: &job.Submission{ID: id, Queue: "q", Service: "s", Spec: job.Spec{Steps: []job.Step{step}}}})
	s.openOccurrence(s.store.Jobs[id], 0)
	return s.groups.byKey[groupKey{job: id}]
}

// startsAt returns the runners of the proposed commands, in the order of the proposals.
func startsAt(s *Scheduler) []string {
	var runners []string
	for _, command := range s.outbox.commands {
		runners = append(runners, command.Runner)
	}
	return runners
}

func TestRunnersThatTakeNoWork(t *testing.T) {
	for name, change := range map[string]func(*runnerSession){
		"not listed":                  func(r *runnerSession) { r.listed = false },
		"incarnation has ended":       func(r *runnerSession) { r.ended = true },
		"draining":                    func(r *runnerSession) { r.drain.draining = true },
		"has not replied yet":         func(r *runnerSession) { r.contact.tokenAccepted = false },
		"out of contact":              func(r *runnerSession) { r.contact.lastContact = testNow - contactTimeout },
		"misses its polls":            func(r *runnerSession) { r.contact.missedPolls = 1 },
		"reply to a start is overdue": func(r *runnerSession) { r.contact.startReplyOverdue = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler()
			runner := addRunner(s, "a")
			s.collectCandidates()
			require.Len(t, s.cycle.candidates, 1)
			change(runner)
			s.collectCandidates()
			require.Empty(t, s.cycle.candidates)
		})
	}
}

func TestSuspectRunnerTakesOneProbeAtATime(t *testing.T) {
	s := newTestScheduler()
	runner := addRunner(s, "a")
	runner.suspicion.slowObserved(testNow, "other")
	submit(s, "j", job.Step{Count: 3, Resources: job.Resources{CPU: 1000}})
	s.runCycle()
	require.Equal(t, []string{"a"}, startsAt(s))
	s.now += maxProbation - 1
	runner.contact.lastContact = s.now
	s.runCycle()
	require.Len(t, startsAt(s), 1, "the first probe is still active")
}

func TestRunnerAtWhichATaskFailedIsAvoidedWhereThereIsAnother(t *testing.T) {
	s := newTestScheduler()
	addRunner(s, "a")
	group := submit(s, "j", job.Step{Count: 1, Resources: job.Resources{CPU: 1000}})
	group.avoid["a"] = true
	s.collectCandidates()
	_, result := s.chooseRunner(group, s.requestFor(group))
	require.Equal(t, placement.Found, result, "there is no other runner")
	addRunner(s, "b")
	s.runCycle()
	require.Equal(t, []string{"b"}, startsAt(s))
}

func TestAntiAffinityLimitsTheTasksOfAStepAtOneRunner(t *testing.T) {
	s := newTestScheduler()
	addRunner(s, "a")
	group := submit(s, "j", job.Step{Count: 3, AntiAffinity: 2, Resources: job.Resources{CPU: 1000}})
	s.runCycle()
	require.Equal(t, []string{"a", "a"}, startsAt(s))
	require.Len(t, group.pending, 1)
}

// TestHeadOfQueueWithoutBudgetBlocksLaterGroups checks that budgets grow for the head of the queue
// and are not used up by shorter work behind it.
func TestHeadOfQueueWithoutBudgetBlocksLaterGroups(t *testing.T) {
	s := newTestScheduler()
	runner := addRunner(s, "a")
	s.learner.meanCost("s").Add(0.01)
	busy := &run{runKey: runKey{task: job.TaskRef{Job: "other"}}, cost: 0.01}
	runner.load.add(busy) // an idle runner would accept it regardless of its budget
	head := submit(s, "head", job.Step{Count: 1, Resources: job.Resources{CPU: 1000}})
	small := submit(s, "small", job.Step{Count: 1, Resources: job.Resources{CPU: 10}})
	small.job.Priority = 1
	s.runCycle()
	require.Empty(t, startsAt(s))
	require.Len(t, head.pending, 1)
	before := runner.load.budget.Headroom(runner.load.cost, s.learner.meanCost("s")).Amount
	runner.load.budget.Grow(1, runner.maxBudget())
	require.Greater(t, runner.load.budget.Headroom(runner.load.cost, s.learner.meanCost("s")).Amount, before, "the blocked budget was recorded, so it grows")
}
