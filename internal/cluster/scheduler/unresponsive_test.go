package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

// runningTask adds a job whose only task has been ordered to start at a runner at testNow, without
// a reply yet.
func runningTask(t *testing.T, s *Scheduler, runner *runnerSession, speculative bool) (*taskGroup, *run) {
	t.Helper()
	step := job.Step{Count: 1, Speculative: speculative}
	s.store.Apply(job.Command{Kind: job.AcceptJob, Submission: &job.Submission{ID: "a", Service: "s", Spec: job.Spec{Steps: []job.Step{step}}}})
	s.openOccurrence(s.store.Jobs["a"], 0)
	group := s.groups.byKey[groupKey{job: "a"}]
	group.pending = nil
	group.task(0).Runs = []job.Run{{Attempt: 1, Runner: runner.id}}
	r := &run{runKey: runKey{task: group.taskRef(0), attempt: 1}, phase: phaseOrdered, orderedAt: testNow}
	runner.load.add(r)
	return group, r
}

func TestRunnerWithOverdueStartReplyIsUnresponsive(t *testing.T) {
	s, runner := newTestScheduler(), contactedRunner()
	runner.contact.lastContact = testNow - time.Millisecond
	s.runners.add(runner)
	_, r := runningTask(t, s, runner, false)
	s.now = testNow + startReplyTimeout
	s.checkResponsive(runner)
	require.False(t, runner.contact.unresponsive(), "the reply is not overdue yet")

	s.now++
	s.checkResponsive(runner)
	require.True(t, runner.contact.unresponsive())
	require.False(t, runner.takesWork(s.now))
	require.True(t, r.uncertain)
	s.checkResponsive(runner)
	require.Len(t, s.massTimeout.timeouts, 1, "it is recorded once")

	runner.contact.replied(s.now, 0)
	s.checkResponsive(runner)
	require.False(t, runner.contact.unresponsive(), "a reply has arrived since the order was sent")
}

func TestUncertainRunGetsASpeculativeAttempt(t *testing.T) {
	for _, test := range []struct {
		name        string
		speculative bool
		want        []int // tasks to start
	}{
		{"its step allows it", true, []int{0}},
		{"its step doesn't allow it", false, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, runner := newTestScheduler(), contactedRunner()
			s.runners.add(runner)
			group, r := runningTask(t, s, runner, test.speculative)
			runner.contact.missedPolls = 1
			s.checkResponsive(runner)
			require.Equal(t, test.want, group.pending)
			require.Equal(t, test.speculative, group.avoid[runner.id], "the attempt has to start elsewhere")

			s.confirmRun(r)
			require.Empty(t, group.pending, "the run is active, and the attempt is not yet proposed")
		})
	}
}
