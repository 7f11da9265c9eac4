package job_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"basaltloft/internal/cluster/job"
	"basaltloft/internal/shared/goldentest"
)

// Files under testdata. Commit 352ebf2 wrote them; disks may hold logs and snapshots of that build.
const (
	commandsFile = "commands.bin" // one batch, encoded as in an entry of the log
	snapshotFile = "store.gob"    // the state after these commands
	stateFile    = "store.json"   // the same state as JSON, to read and to compare
)

// goldenDigest is the digest of the state after the golden commands. Operators compare the digests of core
// processes, including those of different builds.
const goldenDigest = uint64(0x9ad330e130b2e2a4)

func golden(t *testing.T, name string) []byte {
	t.Helper()
	return goldentest.Read(t, filepath.Join("testdata", name))
}

// acceptCommand returns a command that submits a job with all fields of Submission set.
func acceptCommand(id, queue string, spec job.Spec) job.Command {
	spec.Text = "text of " + id
	return job.Command{Kind: job.AcceptJob, ProposedAtMs: 1000, Submission: &job.Submission{
		ID: id, Queue: queue, Service: "service", BodyHash: 77, Spec: spec, Priority: 3, Retries: 2, TargetMs: 1500, Extension: 1.25, ConfigVersion: 5,
	}}
}

// plain returns a job of one step with the given number of tasks.
func plain(tasks int) job.Spec {
	return job.Spec{Steps: []job.Step{{Count: tasks, Resources: job.Resources{CPU: 500, MemMB: 64}, EstimateMs: 200}}}
}

// full returns a job with all fields of its steps set.
func full() job.Spec {
	return job.Spec{
		Steps: []job.Step{
			{Count: 1, Resources: job.Resources{CPU: 100, MemMB: 32, GPU: 1}, EstimateMs: 50},
			{
				Count: 2, Resources: job.Resources{CPU: 250, MemMB: 128, GPU: 2}, EstimateMs: 300, DependsOn: []int{0}, Checkpoints: true,
				Gang: true, SameRack: true, Constraints: job.Labels{"ssd", "zone=a"}, Affinity: "data-7", AntiAffinity: 4,
				Speculative: true, LongRunning: true,
			},
		},
		LongRunning: true, Speculative: true,
	}
}

func repeated() job.Spec {
	spec := plain(1)
	spec.Repeats, spec.StartAtMs, spec.IntervalMs = 3, 5000, 250
	return spec
}

func gang() job.Spec {
	spec := plain(2)
	spec.Steps[0].Gang, spec.Steps[0].Checkpoints = true, true
	return spec
}

func speculative() job.Spec {
	spec := plain(1)
	spec.Steps[0].Speculative, spec.Steps[0].Checkpoints = true, true
	return spec
}

func longRunning() job.Spec {
	spec := plain(1)
	spec.Steps[0].LongRunning = true
	return spec
}

func task(id string, occurrence, step, index int) job.TaskRef {
	return job.TaskRef{Job: id, Occurrence: occurrence, Step: step, Index: index}
}

func startCommand(ref job.TaskRef, attempt int, runner string) job.Command {
	return job.Command{Kind: job.StartRun, Task: ref, Attempt: attempt, Runner: runner, Address: "10.3.0.1:9000", ProposedAtMs: 2000}
}

func endCommand(ref job.TaskRef, attempt int, reason job.EndReason, checkpoint string) job.Command {
	return job.Command{Kind: job.EndRun, Task: ref, Attempt: attempt, Runner: "runner-1", EndReason: reason, Checkpoint: checkpoint, ProposedAtMs: 3000}
}

func saveCommand(ref job.TaskRef, attempt int, checkpoint string) job.Command {
	return job.Command{Kind: job.SaveCheckpoint, Task: ref, Attempt: attempt, Checkpoint: checkpoint, ProposedAtMs: 2500}
}

func cancelCommand(id string) job.Command {
	return job.Command{Kind: job.CancelJob, Task: job.TaskRef{Job: id}, Queue: queue, ConfigVersion: 6, ProposedAtMs: 4000}
}

func dueCommand(id string, occurrence int) job.Command {
	return job.Command{Kind: job.OpenOccurrence, Task: job.TaskRef{Job: id, Occurrence: occurrence}, ProposedAtMs: 5000}
}

const (
	queue      = "host/queue/"
	otherQueue = "host/other/"
	movedQueue = "host/moved/"
)

// goldenCommands returns commands that lead to jobs of all states. They include each kind of command and each
// reason for the end of a run.
func goldenCommands() []job.Command { //nolint:funlen // one list, in the order of the log
	return []job.Command{
		acceptCommand("pending", queue, full()),
		acceptCommand("pending-too", queue, plain(2)),
		acceptCommand("pending-other", otherQueue, plain(1)),

		acceptCommand("running", queue, full()),
		startCommand(task("running", 0, 0, 0), 1, "runner-1"),
		endCommand(task("running", 0, 0, 0), 1, job.EndDone, ""),
		startCommand(task("running", 0, 1, 0), 1, "runner-2"),
		startCommand(task("running", 0, 1, 1), 1, "runner-3"),

		acceptCommand("ends", queue, plain(8)), // each reason for the end of a run except EndDone
		startCommand(task("ends", 0, 0, 1), 1, "runner-1"),
		endCommand(task("ends", 0, 0, 1), 1, job.EndFailed, ""),
		startCommand(task("ends", 0, 0, 2), 1, "runner-1"),
		endCommand(task("ends", 0, 0, 2), 1, job.EndStopped, ""),
		startCommand(task("ends", 0, 0, 3), 1, "runner-1"),
		endCommand(task("ends", 0, 0, 3), 1, job.EndLeaseExpired, ""),
		startCommand(task("ends", 0, 0, 4), 1, "runner-1"),
		endCommand(task("ends", 0, 0, 4), 1, job.EndGangBroken, ""),
		startCommand(task("ends", 0, 0, 5), 1, "runner-1"),
		endCommand(task("ends", 0, 0, 5), 1, job.EndGangIncomplete, ""),
		startCommand(task("ends", 0, 0, 6), 1, "runner-1"),
		endCommand(task("ends", 0, 0, 6), 1, job.EndRejected, ""),
		startCommand(task("ends", 0, 0, 7), 1, "runner-1"),
		endCommand(task("ends", 0, 0, 7), 1, job.EndLost, ""),
		startCommand(task("ends", 0, 0, 7), 2, "runner-4"),

		acceptCommand("speculative", queue, speculative()),
		startCommand(task("speculative", 0, 0, 0), 1, "runner-1"),
		saveCommand(task("speculative", 0, 0, 0), 1, "progress-1"),
		startCommand(task("speculative", 0, 0, 0), 2, "runner-2"),

		acceptCommand("gang", queue, gang()),
		startCommand(task("gang", 0, 0, 0), 1, "runner-1"),
		startCommand(task("gang", 0, 0, 1), 1, "runner-2"),
		saveCommand(task("gang", 0, 0, 1), 1, "gang-progress"),
		endCommand(task("gang", 0, 0, 0), 1, job.EndFailed, ""),
		endCommand(task("gang", 0, 0, 1), 1, job.EndGangIncomplete, "gang-progress-2"),
		startCommand(task("gang", 0, 0, 0), 2, "runner-1"),
		startCommand(task("gang", 0, 0, 1), 2, "runner-2"),

		acceptCommand("timed", queue, repeated()),
		dueCommand("timed", 0),
		startCommand(task("timed", 0, 0, 0), 1, "runner-1"),
		endCommand(task("timed", 0, 0, 0), 1, job.EndDone, ""),
		dueCommand("timed", 1),
		startCommand(task("timed", 1, 0, 0), 1, "runner-1"),
		endCommand(task("timed", 1, 0, 0), 1, job.EndFailed, "half"),

		acceptCommand("lasting", queue, longRunning()),
		startCommand(task("lasting", 0, 0, 0), 1, "runner-5"),

		acceptCommand("completed", queue, plain(1)),
		startCommand(task("completed", 0, 0, 0), 1, "runner-1"),
		endCommand(task("completed", 0, 0, 0), 1, job.EndDone, ""),

		acceptCommand("failed", queue, plain(1)),
		startCommand(task("failed", 0, 0, 0), 1, "runner-1"),
		endCommand(task("failed", 0, 0, 0), 1, job.EndFailed, ""),
		startCommand(task("failed", 0, 0, 0), 2, "runner-2"),
		endCommand(task("failed", 0, 0, 0), 2, job.EndFailed, ""),

		acceptCommand("canceled", queue, plain(1)),
		cancelCommand("canceled"),
		acceptCommand("canceled-live", queue, plain(1)),
		startCommand(task("canceled-live", 0, 0, 0), 1, "runner-1"),
		cancelCommand("canceled-live"),
		cancelCommand("withdrawn"),

		acceptCommand("forgotten", queue, plain(1)),
		cancelCommand("forgotten"),
		{Kind: job.ForgetJob, Task: job.TaskRef{Job: "forgotten"}, ProposedAtMs: 6000},

		{Kind: job.SealQueue, Queue: movedQueue, ConfigVersion: 9, ProposedAtMs: 7000},
		{ // all fields are set, which is the case for no real command
			Kind: job.SaveCheckpoint, Task: task("nobody", 1, 2, 3), Attempt: 4, Runner: "runner", Address: "10.3.0.2:9000", EndReason: job.EndGangBroken,
			Checkpoint: "saved", ProposedAtMs: 8000, Queue: otherQueue, ConfigVersion: 10,
		},
	}
}

func goldenStore() *job.Store {
	store := job.NewStore()
	for _, command := range goldenCommands() {
		store.Apply(command)
	}
	return store
}

// These types define the format of a snapshot at commit 352ebf2. The names of their fields are stored and must
// never change.
type (
	storedStore struct {
		Jobs    map[string]*storedJob
		Pending map[string]int
		Sealed  map[string]int64
	}
	storedJob struct {
		New        storedNew
		State      uint8
		Times      []*storedTime
		OpenTimes  int
		Live       int
		AcceptedMs int64
		EndedMs    int64
		Withdrawn  bool
	}
	storedNew struct {
		ID       string
		Queue    string
		Service  string
		Hash     uint64
		Spec     storedSpec
		Priority int
		Retries  int
		TargetMs int64
		Stretch  float64
		Version  int64
	}
	storedSpec struct {
		Text        string
		Steps       []storedStep
		Repeats     int
		StartAtMs   int64
		IntervalMs  int64
		LongRunning bool
		Speculative bool
	}
	storedStep struct {
		Count        int
		Resources    storedResources
		EstimateMs   int64
		DependsOn    []int
		Checkpoints  bool
		Gang         bool
		SameRack     bool
		Constraints  []string
		Affinity     string
		AntiAffinity int
		Speculative  bool
		LongRunning  bool
	}
	storedResources struct{ CPU, MemMB, GPU int64 }
	storedTime      struct {
		Steps []storedStepRun
		Open  int
	}
	storedStepRun struct {
		Tasks []storedTask
		Done  int
		Saved string
		Fails uint64
	}
	storedTask struct {
		Attempt int
		Failed  int
		Listed  uint64
		Done    bool
		Saved   string
		Runs    []storedRun
	}
	storedRun struct {
		Attempt int
		Runner  string
		Address string
	}
)

// stateOf decodes a snapshot as a process of 352ebf2 does and returns it as JSON.
func stateOf(t *testing.T, snapshot []byte) string {
	t.Helper()
	var stored storedStore
	require.NoError(t, gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&stored))
	content, err := json.MarshalIndent(stored, "", " ")
	require.NoError(t, err)
	return string(content) + "\n"
}

func snapshotOf(t *testing.T, store *job.Store) []byte {
	t.Helper()
	snapshot, err := store.Snapshot()
	require.NoError(t, err)
	return snapshot
}

func restored(t *testing.T, snapshot []byte) *job.Store {
	t.Helper()
	store := job.NewStore()
	require.NoError(t, store.Restore(snapshot))
	return store
}

// writeMissingFiles writes the golden files that do not exist yet, if goldentest.WriteVariable is set.
func writeMissingFiles(t *testing.T) {
	t.Helper()
	for name, content := range map[string][]byte{
		commandsFile: job.Batch{Commands: goldenCommands()}.Encode(),
		snapshotFile: snapshotOf(t, goldenStore()),
		stateFile:    []byte(stateOf(t, snapshotOf(t, goldenStore()))),
	} {
		goldentest.KeepFile(t, filepath.Join("testdata", name), content)
	}
}

// TestGoldenCommandsAreRead checks that a batch of 352ebf2 is decoded to the same commands, and that these are
// encoded to the same bytes.
func TestGoldenCommandsAreRead(t *testing.T) {
	writeMissingFiles(t)
	batch, err := job.DecodeBatch(golden(t, commandsFile))
	require.NoError(t, err)
	wanted := goldenCommands()
	require.Len(t, batch.Commands, len(wanted))
	for i, command := range wanted {
		require.Equal(t, command, batch.Commands[i], "command %d", i)
	}
	require.Equal(t, golden(t, commandsFile), job.Batch{Commands: wanted}.Encode())
}

// TestGoldenCommandsHaveTheSameOutcome checks that a log of 352ebf2 leads to the same state, since replicas of
// both builds apply the same log.
func TestGoldenCommandsHaveTheSameOutcome(t *testing.T) {
	batch, err := job.DecodeBatch(golden(t, commandsFile))
	require.NoError(t, err)
	store := job.NewStore()
	for _, command := range batch.Commands {
		store.Apply(command)
	}
	require.Equal(t, string(golden(t, stateFile)), stateOf(t, snapshotOf(t, store)))
	require.Equal(t, goldenDigest, store.Digest())
}

// TestGoldenSnapshotIsRead checks that all fields of a snapshot of 352ebf2 are restored, and that a process of
// 352ebf2 can restore all fields of a snapshot of this build.
func TestGoldenSnapshotIsRead(t *testing.T) {
	snapshot := golden(t, snapshotFile)
	require.Equal(t, string(golden(t, stateFile)), stateOf(t, snapshot), "the golden files match each other")
	store := restored(t, snapshot)
	require.Equal(t, restored(t, snapshotOf(t, goldenStore())), store)
	require.Equal(t, goldenDigest, store.Digest())
	require.Equal(t, string(golden(t, stateFile)), stateOf(t, snapshotOf(t, store)))
}

// TestGoldenSnapshotFieldByField checks the restored fields under their present Go names, on one whole job and
// on single fields of others.
func TestGoldenSnapshotFieldByField(t *testing.T) {
	store := restored(t, golden(t, snapshotFile))
	require.Equal(t, map[string]int{queue: 2, otherQueue: 1}, store.Pending)
	require.Equal(t, map[string]int64{movedQueue: 9}, store.Sealed)
	states := map[string]job.State{}
	for id, j := range store.Jobs {
		states[id] = j.State
	}
	require.Equal(t, map[string]job.State{
		"pending": job.StatePending, "pending-too": job.StatePending, "pending-other": job.StatePending,
		"running": job.StateRunning, "ends": job.StateRunning, "speculative": job.StateRunning, "gang": job.StateRunning, "timed": job.StateRunning, "lasting": job.StateRunning,
		"completed": job.StateCompleted, "failed": job.StateFailed,
		"canceled": job.StateCanceled, "canceled-live": job.StateCanceled, "withdrawn": job.StateCanceled,
	}, states)

	running := full()
	running.Text = "text of running"
	require.Equal(t, &job.Job{
		Submission: job.Submission{ID: "running", Queue: queue, Service: "service", BodyHash: 77, Spec: running, Priority: 3, Retries: 2, TargetMs: 1500, Extension: 1.25, ConfigVersion: 5},
		Occurrences: []*job.Occurrence{{OpenSteps: 1, Steps: []job.StepState{
			{DoneTasks: 1, Tasks: []job.Task{{Attempt: 1, Listed: 2, Done: true}}},
			{Tasks: []job.Task{
				{Attempt: 1, Runs: []job.Run{{Attempt: 1, Runner: "runner-2", Address: "10.3.0.1:9000"}}},
				{Attempt: 1, Runs: []job.Run{{Attempt: 1, Runner: "runner-3", Address: "10.3.0.1:9000"}}},
			}},
		}}},
		State: job.StateRunning, OpenOccurrences: 1, ActiveRuns: 2, AcceptedMs: 1000,
	}, store.Jobs["running"])

	gang := store.Jobs["gang"].Occurrences[0].Steps[0]
	require.Equal(t, "gang-progress-2", gang.Checkpoint)
	require.Equal(t, uint64(2), gang.FailedAttempts)
	require.Equal(t, 1, gang.Tasks[0].Failed)

	speculative := store.Jobs["speculative"].Occurrences[0].Steps[0].Tasks[0]
	require.Equal(t, "progress-1", speculative.Saved)
	require.Len(t, speculative.Runs, 2)

	timed := store.Jobs["timed"]
	require.Equal(t, 2, timed.OpenOccurrences)
	require.Equal(t, &job.Occurrence{}, timed.Occurrences[0], "the first occurrence is complete")
	require.Equal(t, job.Task{Attempt: 1, Failed: 1, Listed: 2, Saved: "half"}, timed.Occurrences[1].Steps[0].Tasks[0])
	require.Equal(t, []int64{3, 5000, 250}, []int64{int64(timed.Spec.Repeats), timed.Spec.StartAtMs, timed.Spec.IntervalMs})

	require.Equal(t, &job.Job{Submission: job.Submission{ID: "withdrawn", Queue: queue}, State: job.StateCanceled, EndedMs: 4000, CancelledBeforeAcceptance: true}, store.Jobs["withdrawn"])
}

// TestRestoredGoldenSnapshotAppliesCommands checks that commands have the same outcomes on a restored state.
func TestRestoredGoldenSnapshotAppliesCommands(t *testing.T) {
	store := restored(t, golden(t, snapshotFile))
	require.Equal(t, job.AlreadyApplied, store.Apply(acceptCommand("pending", queue, full())), "submitted again")
	require.Equal(t, job.QueueMoved, store.Apply(acceptCommand("late", movedQueue, plain(1))), "the queue was sealed at version 9")
	require.Equal(t, job.CancelledBeforeAcceptance, store.Apply(acceptCommand("withdrawn", queue, plain(1))))
	require.Equal(t, job.Applied, store.Apply(startCommand(task("pending-other", 0, 0, 0), 1, "runner-9")))
	require.NotContains(t, store.Pending, otherQueue)
	require.Equal(t, job.Applied, store.Apply(endCommand(task("speculative", 0, 0, 0), 2, job.EndDone, "")))
	require.Equal(t, job.StateCompleted, store.Jobs["speculative"].State)
	require.Equal(t, job.Applied, store.Apply(dueCommand("timed", 2)))
	require.Equal(t, job.Applied, store.Apply(endCommand(task("gang", 0, 0, 0), 2, job.EndFailed, "")))
	require.Equal(t, job.StateFailed, store.Jobs["gang"].State, "the gang's second failure, with that before the snapshot")
	require.Equal(t, job.Rejected, store.Apply(startCommand(task("ends", 0, 0, 7), 2, "runner-9")), "attempt 2 was used")
}

// TestStoredNumbers checks that stored constants keep their numbers and names their texts.
func TestStoredNumbers(t *testing.T) {
	require.Equal(t, []job.CommandKind{1, 2, 3, 4, 5, 6, 7, 8}, []job.CommandKind{job.AcceptJob, job.OpenOccurrence, job.StartRun, job.EndRun, job.SaveCheckpoint, job.CancelJob, job.ForgetJob, job.SealQueue})
	require.Equal(t, []job.EndReason{1, 2, 3, 4, 5, 6, 7, 8}, []job.EndReason{
		job.EndDone, job.EndFailed, job.EndStopped, job.EndLeaseExpired, job.EndGangBroken, job.EndGangIncomplete, job.EndRejected, job.EndLost,
	})
	require.Equal(t, []job.State{0, 1, 2, 3, 4}, []job.State{job.StatePending, job.StateRunning, job.StateCompleted, job.StateFailed, job.StateCanceled})
	require.Equal(t, "a.1.2.3", task("a", 1, 2, 3).String())
	var names []string
	for state := job.StatePending; state <= job.StateCanceled; state++ {
		names = append(names, state.String())
	}
	require.Equal(t, []string{"pending", "running", "completed", "failed", "canceled"}, names)
	for name, reason := range map[string]job.EndReason{
		"done": job.EndDone, "failed": job.EndFailed, "stopped": job.EndStopped, "lapsed": job.EndLeaseExpired, "broken": job.EndGangBroken, "alone": job.EndGangIncomplete, "refused": job.EndLeaseExpired,
	} {
		require.Equal(t, reason, job.ParseEndReason(name), name)
	}
}

// TestClientsJobIsRead checks that a job is parsed as clients send it, with all fields of the protocol.
func TestClientsJobIsRead(t *testing.T) {
	spec, err := job.ParseSpec([]byte(`{"spec":"text","repeats":2,"start_at_ms":3,"interval_ms":4,"stages":[
		{"count":1},
		{"count":5,"cpu":6,"mem_mb":7,"gpu":8,"estimate_ms":9,"depends_on":[0],"checkpoints":true,"gang":true,"same_rack":true,
		 "constraints":["ssd"],"affinity":"data","anti_affinity":10,"speculative":true,"long_running":true}]}`))
	require.NoError(t, err)
	require.Equal(t, job.Spec{Text: "text", Repeats: 2, StartAtMs: 3, IntervalMs: 4, Steps: []job.Step{{Count: 1}, {
		Count: 5, Resources: job.Resources{CPU: 6, MemMB: 7, GPU: 8}, EstimateMs: 9, DependsOn: []int{0}, Checkpoints: true, Gang: true,
		SameRack: true, Constraints: job.Labels{"ssd"}, Affinity: "data", AntiAffinity: 10, Speculative: true, LongRunning: true,
	}}}, spec)
	spec, err = job.ParseSpec([]byte(`{"stages":[{"count":1,"constraints":"one"}],"long_running":true,"speculative":true}`))
	require.NoError(t, err)
	require.Equal(t, job.Spec{LongRunning: true, Speculative: true, Steps: []job.Step{
		{Count: 1, Constraints: job.Labels{"one"}, Speculative: true, LongRunning: true},
	}}, spec)
}
