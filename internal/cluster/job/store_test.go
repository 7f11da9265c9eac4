package job_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
)

func accept(spec job.Spec) job.Command {
	return job.Command{Kind: job.AcceptJob, ProposedAtMs: 1, Submission: &job.New{ID: "a", Queue: "host/q/", Service: "desk", Retries: 2, Spec: spec}}
}

func ref(step, index int) job.TaskRef { return job.TaskRef{Job: "a", Step: step, Index: index} }

func start(step, index, attempt int) job.Command {
	return job.Command{Kind: job.StartRun, Task: ref(step, index), Attempt: attempt, Runner: "r", Address: "x:1"}
}

func end(step, index, attempt int, how job.EndReason) job.Command {
	return job.Command{Kind: job.EndRun, Task: ref(step, index), Attempt: attempt, EndReason: how, Runner: "r"}
}

// commands applies each and requires its outcome.
type wanted struct {
	command job.Command
	outcome job.Outcome
}

func apply(t *testing.T, s *job.Store, all ...wanted) {
	t.Helper()
	for at, one := range all {
		require.Equal(t, one.outcome, s.Apply(one.command), "command %d: %+v", at, one.command)
	}
}

func TestStepsWaitForThoseTheyDependOn(t *testing.T) {
	s := job.NewStore()
	apply(t, s,
		wanted{accept(job.Spec{Steps: []job.Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}}), job.Applied},
		wanted{start(1, 0, 1), job.Rejected},
		wanted{start(0, 0, 1), job.Applied}, wanted{start(0, 1, 1), job.Applied},
		wanted{end(0, 0, 1, job.EndDone), job.Applied},
		wanted{start(1, 0, 1), job.Rejected},
		wanted{end(0, 1, 1, job.EndDone), job.Applied},
		wanted{start(1, 0, 1), job.Applied},
	)
	require.Equal(t, job.StateRunning, s.Jobs["a"].State)
	apply(t, s, wanted{end(1, 0, 1, job.EndDone), job.Applied})
	require.Equal(t, job.StateCompleted, s.Jobs["a"].State)
	require.Empty(t, s.Jobs["a"].Times, "what is over is trimmed")
}

func TestOneRunAtATimeUnderRisingNumbers(t *testing.T) {
	s := job.NewStore()
	apply(t, s,
		wanted{accept(job.Spec{Steps: []job.Step{{Count: 1}}}), job.Applied},
		wanted{start(0, 0, 1), job.Applied}, wanted{start(0, 0, 2), job.Rejected},
		wanted{end(0, 0, 1, job.EndLost), job.Applied}, wanted{end(0, 0, 1, job.EndLost), job.AlreadyApplied},
		wanted{start(0, 0, 1), job.Rejected}, wanted{start(0, 0, 2), job.Applied},
	)
}

func TestFailuresAreCountedOnceAndEndTheJob(t *testing.T) {
	s := job.NewStore()
	apply(t, s,
		wanted{accept(job.Spec{Steps: []job.Step{{Count: 1}}}), job.Applied},
		wanted{start(0, 0, 1), job.Applied},
		wanted{end(0, 0, 1, job.EndFailed), job.Applied}, wanted{end(0, 0, 1, job.EndFailed), job.AlreadyApplied},
		wanted{start(0, 0, 2), job.Applied},
	)
	require.Equal(t, job.StateRunning, s.Jobs["a"].State)
	apply(t, s, wanted{end(0, 0, 2, job.EndFailed), job.Applied}, wanted{start(0, 0, 3), job.Rejected})
	require.Equal(t, job.StateFailed, s.Jobs["a"].State)
}

func TestEndListedAfterTheRunWasGivenUpStillCounts(t *testing.T) {
	s := job.NewStore()
	apply(t, s,
		wanted{accept(job.Spec{Steps: []job.Step{{Count: 1}}}), job.Applied},
		wanted{start(0, 0, 1), job.Applied}, wanted{end(0, 0, 1, job.EndLost), job.Applied},
		wanted{end(0, 0, 1, job.EndDone), job.Applied}, wanted{start(0, 0, 2), job.Rejected},
	)
	require.Equal(t, job.StateCompleted, s.Jobs["a"].State)
}

func TestGangFailsByAttemptsNotByMembers(t *testing.T) {
	s := job.NewStore()
	apply(t, s,
		wanted{accept(job.Spec{Steps: []job.Step{{Count: 2, Gang: true}}}), job.Applied},
		wanted{start(0, 0, 1), job.Applied}, wanted{start(0, 1, 1), job.Applied},
		wanted{end(0, 0, 1, job.EndFailed), job.Applied}, wanted{end(0, 1, 1, job.EndFailed), job.Applied},
	)
	require.Equal(t, job.StateRunning, s.Jobs["a"].State, "one attempt of the gang has failed, by two members")
	apply(t, s, wanted{start(0, 0, 2), job.Applied}, wanted{start(0, 1, 2), job.Applied}, wanted{end(0, 0, 2, job.EndDone), job.Applied})
	require.Equal(t, job.StateCompleted, s.Jobs["a"].State, "one end done stands for all")
}

func TestSavedProgressOfAGangIsAnyMembers(t *testing.T) {
	s := job.NewStore()
	stopped := end(0, 1, 1, job.EndStopped)
	stopped.Checkpoint = "progress"
	apply(t, s,
		wanted{accept(job.Spec{Steps: []job.Step{{Count: 2, Gang: true, Checkpoints: true}}}), job.Applied},
		wanted{start(0, 0, 1), job.Applied}, wanted{start(0, 1, 1), job.Applied}, wanted{stopped, job.Applied},
	)
	_, step := s.Jobs["a"].Task(ref(0, 0))
	require.Equal(t, "progress", step.Saved)
}

func TestRepeatsFallDueInOrder(t *testing.T) {
	s := job.NewStore()
	due := func(time int) job.Command {
		return job.Command{Kind: job.OpenOccurrence, Task: job.TaskRef{Job: "a", Occurrence: time}}
	}
	apply(t, s,
		wanted{accept(job.Spec{Steps: []job.Step{{Count: 1}}, Repeats: 2, IntervalMs: 100}), job.Applied},
		wanted{start(0, 0, 1), job.Rejected}, wanted{due(1), job.Rejected},
		wanted{due(0), job.Applied}, wanted{due(0), job.Rejected}, wanted{start(0, 0, 1), job.Applied},
		wanted{end(0, 0, 1, job.EndDone), job.Applied},
	)
	require.Equal(t, job.StateRunning, s.Jobs["a"].State)
}

func TestCancelledJobStartsNothingAndIsForgottenLater(t *testing.T) {
	s := job.NewStore()
	cancel := job.Command{Kind: job.CancelJob, Task: job.TaskRef{Job: "a"}}
	forget := job.Command{Kind: job.ForgetJob, Task: job.TaskRef{Job: "a"}}
	apply(t, s,
		wanted{accept(job.Spec{Steps: []job.Step{{Count: 2}}}), job.Applied}, wanted{forget, job.Rejected},
		wanted{start(0, 0, 1), job.Applied}, wanted{cancel, job.Applied}, wanted{cancel, job.AlreadyApplied},
		wanted{start(0, 1, 1), job.Rejected}, wanted{forget, job.Rejected},
		wanted{end(0, 0, 1, job.EndStopped), job.Applied}, wanted{forget, job.Applied},
	)
	require.Empty(t, s.Jobs)
	require.Empty(t, s.Pending)
}

func TestSecondJobUnderAnIDIsNotTaken(t *testing.T) {
	s := job.NewStore()
	other := accept(job.Spec{Steps: []job.Step{{Count: 1}}})
	other.Submission.Queue = "host/other/"
	apply(t, s, wanted{accept(job.Spec{Steps: []job.Step{{Count: 1}}}), job.Applied},
		wanted{accept(job.Spec{Steps: []job.Step{{Count: 1}}}), job.AlreadyApplied}, wanted{other, job.Rejected})
	_, ok := s.Lookup("host/other/", "a")
	require.False(t, ok)
}

// random draws a command that may or may not fit the state.
func random(r *rand.Rand) job.Command {
	hows := []job.EndReason{job.EndDone, job.EndDone, job.EndFailed, job.EndStopped, job.EndLeaseExpired, job.EndGangBroken, job.EndLost, job.EndRejected}
	id := string(rune('a' + r.IntN(3)))
	task := job.TaskRef{Job: id, Occurrence: r.IntN(2), Step: r.IntN(2), Index: r.IntN(2)}
	c := job.Command{Kind: job.CommandKind(1 + r.IntN(8)), Task: task, Attempt: 1 + r.IntN(4), Runner: "r", Address: "x:1", EndReason: hows[r.IntN(len(hows))], ProposedAtMs: int64(r.IntN(1000)) - 5}
	if r.IntN(3) == 0 {
		c.Checkpoint = "text"
	}
	if c.Kind == job.CancelJob || c.Kind == job.SealQueue {
		c.Queue, c.ConfigVersion = "q/", int64(r.IntN(4))
	}
	if c.Kind == job.AcceptJob {
		c.Submission = &job.New{ID: id, Queue: "q/", Retries: 2, Stretch: 1.5, Version: int64(r.IntN(4)), Spec: job.Spec{Text: "t", Repeats: r.IntN(3), Steps: []job.Step{
			{Count: 2, Gang: r.IntN(2) == 0, Resources: job.Resources{CPU: 5}, Constraints: job.Labels{"a"}}, {Count: 1, DependsOn: []int{0}}}}}
	}
	return c
}

// TestReplicasAgree applies the same batches to two stores, one of which is restored from
// snapshots all the while; each batch passes through its encoding.
func TestReplicasAgree(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		one, two := job.NewStore(), job.NewStore()
		for range 150 {
			batch := job.Batch{Commands: []job.Command{random(r), random(r)}}
			decoded, err := job.DecodeBatch(batch.Encode())
			require.NoError(t, err)
			require.Equal(t, batch, decoded)
			for at := range batch.Commands {
				require.Equal(t, one.Apply(batch.Commands[at]), two.Apply(decoded.Commands[at]), "seed %d", seed)
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
			require.GreaterOrEqual(t, j.Live, 0)
		}
	}
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add(job.Batch{Commands: []job.Command{start(0, 0, 1), end(0, 0, 1, job.EndDone)}}.Encode())
	f.Add([]byte{1, 255, 255, 255, 255, 15})
	f.Fuzz(func(t *testing.T, content []byte) {
		batch, err := job.DecodeBatch(content)
		if err != nil {
			require.ErrorIs(t, err, job.ErrFormat)
			return
		}
		again, err := job.DecodeBatch(batch.Encode())
		require.NoError(t, err)
		require.Equal(t, len(batch.Commands), len(again.Commands))
	})
}

func TestParseSpec(t *testing.T) {
	spec, err := job.ParseSpec([]byte(`{"spec":"x","stages":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"constraints":"a"},{"count":2,"depends_on":[0],"gang":true,"constraints":["a","b"],"unknown":1}]}`))
	require.NoError(t, err)
	require.Equal(t, job.Labels{"a"}, spec.Steps[0].Constraints)
	require.Equal(t, int64(500), spec.Steps[0].CPU)
	for name, body := range map[string]string{
		"cut short":        `{"spec":"x","stages":[{"count":`,
		"no stages":        `{"spec":"x"}`,
		"no tasks":         `{"stages":[{"count":0}]}`,
		"a later stage":    `{"stages":[{"count":1,"depends_on":[0]}]}`,
		"negative amounts": `{"stages":[{"count":1,"cpu":-1}]}`,
		"too many tasks":   `{"stages":[{"count":1000000}]}`,
		"a label's kind":   `{"stages":[{"count":1,"constraints":7}]}`,
	} {
		_, err := job.ParseSpec([]byte(body))
		require.Error(t, err, name)
	}
}

func TestTaskNames(t *testing.T) {
	task := job.TaskRef{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	parsed, err := job.ParseTaskRef(task.String())
	require.NoError(t, err)
	require.Equal(t, task, parsed)
	for _, name := range []string{"", "a.1.2", "a.b.1.2", "a.1.2.-3", "a.1.2.3.4"} {
		_, err := job.ParseTaskRef(name)
		require.Error(t, err, name)
	}
}

// TestCancelledBeforeItIsHandedIn: a try to hand a job in that was under way when its
// cancelling was answered is turned down for good.
func TestCancelledBeforeItIsHandedIn(t *testing.T) {
	s := job.NewStore()
	taken := accept(job.Spec{Steps: []job.Step{{Count: 1}}})
	cancel := job.Command{Kind: job.CancelJob, Task: job.TaskRef{Job: "a"}, Queue: taken.Submission.Queue}
	forget := job.Command{Kind: job.ForgetJob, Task: job.TaskRef{Job: "a"}}
	apply(t, s, wanted{cancel, job.UnknownJob}, wanted{cancel, job.UnknownJob}, wanted{taken, job.CancelledBeforeAcceptance})
	_, shown := s.Lookup(taken.Submission.Queue, "a")
	require.False(t, shown, "nobody handed it in")
	require.Empty(t, s.Pending)
	apply(t, s, wanted{start(0, 0, 1), job.Rejected}, wanted{forget, job.Applied}, wanted{taken, job.Applied}, wanted{cancel, job.Applied})
	elsewhere := cancel
	elsewhere.Queue = "h.example/other/"
	apply(t, s, wanted{elsewhere, job.UnknownJob})
	require.Equal(t, job.StateCanceled, s.Jobs["a"].State)
}

// TestAQueueThatHasMovedOn: once another shard has asked, nothing comes under the older
// configuration any more, neither a job nor a cancelling that a later try would have to meet.
func TestAQueueThatHasMovedOn(t *testing.T) {
	s := job.NewStore()
	before, after, other := accept(job.Spec{Steps: []job.Step{{Count: 1}}}), accept(job.Spec{Steps: []job.Step{{Count: 1}}}), accept(job.Spec{Steps: []job.Step{{Count: 2}}})
	before.Submission.Version, after.Submission.Version = 3, 7
	other.Submission.Hash = 99
	queue := before.Submission.Queue
	seal := job.Command{Kind: job.SealQueue, Queue: queue, ConfigVersion: 5}
	apply(t, s, wanted{seal, job.Applied}, wanted{seal, job.AlreadyApplied}, wanted{before, job.QueueMoved},
		wanted{job.Command{Kind: job.CancelJob, Task: job.TaskRef{Job: "a"}, Queue: queue, ConfigVersion: 3}, job.QueueMoved},
		wanted{after, job.Applied}, wanted{before, job.AlreadyApplied}, wanted{other, job.Rejected})
	content, err := s.Snapshot()
	require.NoError(t, err)
	next := job.NewStore()
	require.NoError(t, next.Restore(content))
	next.Jobs = map[string]*job.Job{}
	require.Equal(t, job.QueueMoved, next.Apply(before), "also after a snapshot")
}

// TestBatchesOfTheFormatBefore are still read: a log on disk may hold them.
func TestBatchesOfTheFormatBefore(t *testing.T) {
	content := []byte{1, 1, byte(job.StartRun), 0, 1, 'a', 0, 0, 3, 2, 1, 'r', 3, 'x', ':', '1', 0, 10}
	batch, err := job.DecodeBatch(content)
	require.NoError(t, err)
	require.Equal(t, job.Command{Kind: job.StartRun, Task: job.TaskRef{Job: "a", Index: 3}, Attempt: 2, Runner: "r", Address: "x:1", ProposedAtMs: 5}, batch.Commands[0])
}
