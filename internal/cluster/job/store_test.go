package job_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

func accept(spec job.Spec) job.Command {
	return job.Command{Kind: job.AcceptJob, ProposedAtMs: 1, Submission: &job.Submission{ID: "a", Queue: "host/q/", Service: "desk", Retries: 2, Spec: spec}}
}

func ref(step, index int) job.TaskRef { return job.TaskRef{Job: "a", Step: step, Index: index} }

func start(step, index, attempt int) job.Command {
	return job.Command{Kind: job.StartRun, Task: ref(step, index), Attempt: attempt, Runner: "r", Address: "x:1"}
}

func end(step, index, attempt int, reason job.EndReason) job.Command {
	return job.Command{Kind: job.EndRun, Task: ref(step, index), Attempt: attempt, EndReason: reason, Runner: "r"}
}

// expectation is a command and its expected outcome.
type expectation struct {
	command job.Command
	outcome job.Outcome
}

// apply applies commands in order and checks their outcomes.
func apply(t *testing.T, s *job.Store, expectations ...expectation) {
	t.Helper()
	for i, expected := range expectations {
		require.Equal(t, expected.outcome, s.Apply(expected.command), "command %d: %+v", i, expected.command)
	}
}

func TestStepStartsAfterItsDependencies(t *testing.T) {
	s := job.NewStore()
	apply(t, s,
		expectation{accept(job.Spec{Steps: []job.Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}}), job.Applied},
		expectation{start(1, 0, 1), job.Rejected},
		expectation{start(0, 0, 1), job.Applied}, expectation{start(0, 1, 1), job.Applied},
		expectation{end(0, 0, 1, job.EndDone), job.Applied},
		expectation{start(1, 0, 1), job.Rejected},
		expectation{end(0, 1, 1, job.EndDone), job.Applied},
		expectation{start(1, 0, 1), job.Applied},
	)
	require.Equal(t, job.StateRunning, s.Jobs["a"].State)
	apply(t, s, expectation{end(1, 0, 1, job.EndDone), job.Applied})
	require.Equal(t, job.StateCompleted, s.Jobs["a"].State)
	require.Empty(t, s.Jobs["a"].Occurrences, "the state of finished tasks is released")
}

func TestAttemptsRiseAndRunOneAtATime(t *testing.T) {
	s := job.NewStore()
	apply(t, s,
		expectation{accept(job.Spec{Steps: []job.Step{{Count: 1}}}), job.Applied},
		expectation{start(0, 0, 1), job.Applied}, expectation{start(0, 0, 2), job.Rejected},
		expectation{end(0, 0, 1, job.EndLost), job.Applied}, expectation{end(0, 0, 1, job.EndLost), job.AlreadyApplied},
		expectation{start(0, 0, 1), job.Rejected}, expectation{start(0, 0, 2), job.Applied},
	)
}

func TestFailuresCountOnceAndFailTheJob(t *testing.T) {
	s := job.NewStore()
	apply(t, s,
		expectation{accept(job.Spec{Steps: []job.Step{{Count: 1}}}), job.Applied},
		expectation{start(0, 0, 1), job.Applied},
		expectation{end(0, 0, 1, job.EndFailed), job.Applied}, expectation{end(0, 0, 1, job.EndFailed), job.AlreadyApplied},
		expectation{start(0, 0, 2), job.Applied},
	)
	require.Equal(t, job.StateRunning, s.Jobs["a"].State)
	apply(t, s, expectation{end(0, 0, 2, job.EndFailed), job.Applied}, expectation{start(0, 0, 3), job.Rejected})
	require.Equal(t, job.StateFailed, s.Jobs["a"].State)
}

func TestReportedEndOfALostRunCounts(t *testing.T) {
	s := job.NewStore()
	apply(t, s,
		expectation{accept(job.Spec{Steps: []job.Step{{Count: 1}}}), job.Applied},
		expectation{start(0, 0, 1), job.Applied}, expectation{end(0, 0, 1, job.EndLost), job.Applied},
		expectation{end(0, 0, 1, job.EndDone), job.Applied}, expectation{start(0, 0, 2), job.Rejected},
	)
	require.Equal(t, job.StateCompleted, s.Jobs["a"].State)
}

func TestGangFailsByAttemptsNotByMembers(t *testing.T) {
	s := job.NewStore()
	apply(t, s,
		expectation{accept(job.Spec{Steps: []job.Step{{Count: 2, Gang: true}}}), job.Applied},
		expectation{start(0, 0, 1), job.Applied}, expectation{start(0, 1, 1), job.Applied},
		expectation{end(0, 0, 1, job.EndFailed), job.Applied}, expectation{end(0, 1, 1, job.EndFailed), job.Applied},
	)
	require.Equal(t, job.StateRunning, s.Jobs["a"].State, "one attempt of the gang has failed, reported by two members")
	apply(t, s, expectation{start(0, 0, 2), job.Applied}, expectation{start(0, 1, 2), job.Applied}, expectation{end(0, 0, 2, job.EndDone), job.Applied})
	require.Equal(t, job.StateCompleted, s.Jobs["a"].State, "one EndDone counts for all members")
}

func TestCheckpointOfAnyMemberCountsForItsGang(t *testing.T) {
	s := job.NewStore()
	stopped := end(0, 1, 1, job.EndStopped)
	stopped.Checkpoint = "progress"
	apply(t, s,
		expectation{accept(job.Spec{Steps: []job.Step{{Count: 2, Gang: true, Checkpoints: true}}}), job.Applied},
		expectation{start(0, 0, 1), job.Applied}, expectation{start(0, 1, 1), job.Applied}, expectation{stopped, job.Applied},
	)
	_, step := s.Jobs["a"].Task(ref(0, 0))
	require.Equal(t, "progress", step.Checkpoint)
}

func TestOccurrencesOpenInOrder(t *testing.T) {
	s := job.NewStore()
	due := func(occurrence int) job.Command {
		return job.Command{Kind: job.OpenOccurrence, Task: job.TaskRef{Job: "a", Occurrence: occurrence}}
	}
	apply(t, s,
		expectation{accept(job.Spec{Steps: []job.Step{{Count: 1}}, Repeats: 2, IntervalMs: 100}), job.Applied},
		expectation{start(0, 0, 1), job.Rejected}, expectation{due(1), job.Rejected},
		expectation{due(0), job.Applied}, expectation{due(0), job.Rejected}, expectation{start(0, 0, 1), job.Applied},
		expectation{end(0, 0, 1, job.EndDone), job.Applied},
	)
	require.Equal(t, job.StateRunning, s.Jobs["a"].State)
}

func TestCancelledJobStartsNothingAndIsForgottenLater(t *testing.T) {
	s := job.NewStore()
	cancel := job.Command{Kind: job.CancelJob, Task: job.TaskRef{Job: "a"}}
	forget := job.Command{Kind: job.ForgetJob, Task: job.TaskRef{Job: "a"}}
	apply(t, s,
		expectation{accept(job.Spec{Steps: []job.Step{{Count: 2}}}), job.Applied}, expectation{forget, job.Rejected},
		expectation{start(0, 0, 1), job.Applied}, expectation{cancel, job.Applied}, expectation{cancel, job.AlreadyApplied},
		expectation{start(0, 1, 1), job.Rejected}, expectation{forget, job.Rejected},
		expectation{end(0, 0, 1, job.EndStopped), job.Applied}, expectation{forget, job.Applied},
	)
	require.Empty(t, s.Jobs)
	require.Empty(t, s.Pending)
}

func TestSecondJobUnderAnIDIsRejected(t *testing.T) {
	s := job.NewStore()
	other := accept(job.Spec{Steps: []job.Step{{Count: 1}}})
	other.Submission.Queue = "host/other/"
	apply(t, s, expectation{accept(job.Spec{Steps: []job.Step{{Count: 1}}}), job.Applied},
		expectation{accept(job.Spec{Steps: []job.Step{{Count: 1}}}), job.AlreadyApplied}, expectation{other, job.Rejected})
	_, ok := s.Lookup("host/other/", "a")
	require.False(t, ok)
}

// randomCommand returns a random command, which the state may or may not allow.
func randomCommand(r *rand.Rand) job.Command {
	reasons := []job.EndReason{job.EndDone, job.EndDone, job.EndFailed, job.EndStopped, job.EndLeaseExpired, job.EndGangBroken, job.EndLost, job.EndRejected}
	id := string(rune('a' + r.IntN(3)))
	task := job.TaskRef{Job: id, Occurrence: r.IntN(2), Step: r.IntN(2), Index: r.IntN(2)}
	c := job.Command{Kind: job.CommandKind(1 + r.IntN(8)), Task: task, Attempt: 1 + r.IntN(4), Runner: "r", Address: "x:1", EndReason: reasons[r.IntN(len(reasons))], ProposedAtMs: int64(r.IntN(1000)) - 5}
	if r.IntN(3) == 0 {
		c.Checkpoint = "text"
	}
	if c.Kind == job.CancelJob || c.Kind == job.SealQueue {
		c.Queue, c.ConfigVersion = "q/", int64(r.IntN(4))
	}
	if c.Kind == job.AcceptJob {
		c.Submission = &job.Submission{ID: id, Queue: "q/", Retries: 2, Extension: 1.5, ConfigVersion: int64(r.IntN(4)), Spec: job.Spec{Text: "t", Repeats: r.IntN(3), Steps: []job.Step{
			{Count: 2, Gang: r.IntN(2) == 0, Resources: job.Resources{CPU: 5}, Constraints: job.Labels{"a"}}, {Count: 1, DependsOn: []int{0}}}}}
	}
	return c
}

// TestReplicasAgree applies the same batches to two stores and compares the outcomes and the final states. The
// second store gets each batch encoded and decoded, and is restored from a snapshot after each batch.
func TestReplicasAgree(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		one, two := job.NewStore(), job.NewStore()
		for range 150 {
			batch := job.Batch{Commands: []job.Command{randomCommand(r), randomCommand(r)}}
			decoded, err := job.DecodeBatch(batch.Encode())
			require.NoError(t, err)
			require.Equal(t, batch, decoded)
			for i := range batch.Commands {
				require.Equal(t, one.Apply(batch.Commands[i]), two.Apply(decoded.Commands[i]), "seed %d", seed)
			}
			snapshot, err := two.Snapshot()
			require.NoError(t, err)
			two = job.NewStore()
			require.NoError(t, two.Restore(snapshot))
		}
		require.Equal(t, one.Digest(), two.Digest(), "seed %d", seed)
		require.Equal(t, len(one.Jobs), len(two.Jobs))
		for id, j := range one.Jobs {
			require.Equal(t, j.State, two.Jobs[id].State)
			require.GreaterOrEqual(t, j.ActiveRuns, 0)
		}
	}
}

// TestCancelBeforeAcceptanceRejectsALateSubmission checks that a submission that was in flight when the job's
// cancellation was answered is rejected until the ID is forgotten.
func TestCancelBeforeAcceptanceRejectsALateSubmission(t *testing.T) {
	s := job.NewStore()
	submission := accept(job.Spec{Steps: []job.Step{{Count: 1}}})
	cancel := job.Command{Kind: job.CancelJob, Task: job.TaskRef{Job: "a"}, Queue: submission.Submission.Queue}
	forget := job.Command{Kind: job.ForgetJob, Task: job.TaskRef{Job: "a"}}
	apply(t, s, expectation{cancel, job.UnknownJob}, expectation{cancel, job.UnknownJob}, expectation{submission, job.CancelledBeforeAcceptance})
	_, found := s.Lookup(submission.Submission.Queue, "a")
	require.False(t, found, "the job was not submitted")
	require.Empty(t, s.Pending)
	apply(t, s, expectation{start(0, 0, 1), job.Rejected}, expectation{forget, job.Applied}, expectation{submission, job.Applied}, expectation{cancel, job.Applied})
	elsewhere := cancel
	elsewhere.Queue = "h.example/other/"
	apply(t, s, expectation{elsewhere, job.UnknownJob})
	require.Equal(t, job.StateCanceled, s.Jobs["a"].State)
}

// TestSealedQueueRejectsOlderConfigurations checks that under a configuration older than that of the seal no job
// is accepted, and none is cancelled before its acceptance.
func TestSealedQueueRejectsOlderConfigurations(t *testing.T) {
	s := job.NewStore()
	before, after, other := accept(job.Spec{Steps: []job.Step{{Count: 1}}}), accept(job.Spec{Steps: []job.Step{{Count: 1}}}), accept(job.Spec{Steps: []job.Step{{Count: 2}}})
	before.Submission.ConfigVersion, after.Submission.ConfigVersion = 3, 7
	other.Submission.BodyHash = 99
	queue := before.Submission.Queue
	seal := job.Command{Kind: job.SealQueue, Queue: queue, ConfigVersion: 5}
	apply(t, s, expectation{seal, job.Applied}, expectation{seal, job.AlreadyApplied}, expectation{before, job.QueueMoved},
		expectation{job.Command{Kind: job.CancelJob, Task: job.TaskRef{Job: "a"}, Queue: queue, ConfigVersion: 3}, job.QueueMoved},
		expectation{after, job.Applied}, expectation{before, job.AlreadyApplied}, expectation{other, job.Rejected})
	content, err := s.Snapshot()
	require.NoError(t, err)
	next := job.NewStore()
	require.NoError(t, next.Restore(content))
	next.Jobs = map[string]*job.Job{}
	require.Equal(t, job.QueueMoved, next.Apply(before), "also after a snapshot")
}
