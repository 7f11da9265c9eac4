package job

import (
	"bytes"
	"encoding/gob"

	"github.com/cockroachdb/errors"
)

// These types define the first format of snapshots. It is encoded by gob, which stores the names of fields.
// Snapshots on disk and from processes of other builds have these names: never rename a field here. Spec,
// Step, Resources, Task and Run are stored directly: a job may have 100,000 tasks, and converting each of them
// made a snapshot about 40 % slower.
//
// gob also stores the names of the types, though nothing reads them. Their total length is the same as in the
// first build, so that a snapshot has the same size and is sent in the same number of chunks. Otherwise the
// replayed simulations of package simworld would no longer match their recordings.
type (
	form1 struct { // of a Store
		Jobs    map[string]*job1
		Pending map[string]int
		Sealed  map[string]int64
	}

	job1 struct { // of a Job
		New        sub1
		State      State
		Times      []*time1
		OpenTimes  int
		Live       int
		AcceptedMs int64
		EndedMs    int64
		Withdrawn  bool
		LaterFails []int // four numbers each: occurrence, step, index, attempt
	}

	sub1 struct { // of a Submission
		ID       string
		Queue    string
		Service  string
		Hash     uint64
		Spec     Spec
		Priority int
		Retries  int
		TargetMs int64
		Stretch  float64
		Version  int64
	}

	time1 struct { // of an Occurrence
		Steps []step1
		Open  int
	}

	step1 struct { // of a StepState
		Tasks []Task
		Done  int
		Saved string
		Fails uint64
	}
)

// Snapshot returns the encoded state of the store.
func (s *Store) Snapshot() ([]byte, error) {
	stored := form1{Jobs: make(map[string]*job1, len(s.Jobs)), Pending: s.Pending, Sealed: s.Sealed}
	for id, j := range s.Jobs {
		stored.Jobs[id] = toStoredJob(j)
	}
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(&stored)
	return body.Bytes(), errors.Wrap(err, "encode the jobs")
}

// Restore replaces the state of the store by that of a snapshot. After an error the state is unchanged.
func (s *Store) Restore(content []byte) error {
	stored := form1{Jobs: map[string]*job1{}, Pending: map[string]int{}, Sealed: map[string]int64{}}
	if err := gob.NewDecoder(bytes.NewReader(content)).Decode(&stored); err != nil {
		return errors.Wrap(err, "decode the jobs")
	}
	jobs := make(map[string]*Job, len(stored.Jobs))
	for id, j := range stored.Jobs {
		jobs[id] = fromStoredJob(j)
	}
	*s = Store{Jobs: jobs, Pending: stored.Pending, Sealed: stored.Sealed}
	return nil
}

func toStoredJob(j *Job) *job1 {
	return &job1{
		New:        toStoredSubmission(&j.Submission),
		State:      j.State,
		Times:      convertAll(j.Occurrences, toStoredOccurrence),
		OpenTimes:  j.OpenOccurrences,
		Live:       j.ActiveRuns,
		AcceptedMs: j.AcceptedMs,
		EndedMs:    j.EndedMs,
		Withdrawn:  j.CancelledBeforeAcceptance,
		LaterFails: toStoredFailures(j.LaterFailures),
	}
}

func fromStoredJob(j *job1) *Job {
	return &Job{
		Submission:                fromStoredSubmission(&j.New),
		State:                     j.State,
		Occurrences:               convertAll(j.Times, fromStoredOccurrence),
		OpenOccurrences:           j.OpenTimes,
		ActiveRuns:                j.Live,
		AcceptedMs:                j.AcceptedMs,
		EndedMs:                   j.EndedMs,
		CancelledBeforeAcceptance: j.Withdrawn,
		LaterFailures:             fromStoredFailures(j.New.ID, j.LaterFails),
	}
}

// storedFailureLength is the number of numbers that store a failed run.
const storedFailureLength = 4

func toStoredFailures(failures []FailedRun) (numbers []int) {
	for _, failed := range failures {
		numbers = append(numbers, failed.Task.Occurrence, failed.Task.Step, failed.Task.Index, failed.Attempt)
	}
	return numbers
}

func fromStoredFailures(id string, numbers []int) (failures []FailedRun) {
	for ; len(numbers) >= storedFailureLength; numbers = numbers[storedFailureLength:] {
		ref := TaskRef{Job: id, Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}
		failures = append(failures, FailedRun{Task: ref, Attempt: numbers[3]})
	}
	return failures
}

func toStoredSubmission(s *Submission) sub1 {
	return sub1{
		ID:       s.ID,
		Queue:    s.Queue,
		Service:  s.Service,
		Hash:     s.BodyHash,
		Spec:     s.Spec,
		Priority: s.Priority,
		Retries:  s.Retries,
		TargetMs: s.TargetMs,
		Stretch:  s.Extension,
		Version:  s.ConfigVersion,
	}
}

func fromStoredSubmission(s *sub1) Submission {
	return Submission{
		ID:            s.ID,
		Queue:         s.Queue,
		Service:       s.Service,
		BodyHash:      s.Hash,
		Spec:          s.Spec,
		Priority:      s.Priority,
		Retries:       s.Retries,
		TargetMs:      s.TargetMs,
		Extension:     s.Stretch,
		ConfigVersion: s.Version,
	}
}

func toStoredOccurrence(o *Occurrence) *time1 {
	return &time1{Steps: convertAll(o.Steps, toStoredStep), Open: o.OpenSteps}
}

func fromStoredOccurrence(o *time1) *Occurrence {
	return &Occurrence{Steps: convertAll(o.Steps, fromStoredStep), OpenSteps: o.Open}
}

func toStoredStep(s StepState) step1 {
	return step1{Tasks: s.Tasks, Done: s.DoneTasks, Saved: s.Checkpoint, Fails: s.FailedAttempts}
}

func fromStoredStep(s step1) StepState {
	return StepState{Tasks: s.Tasks, DoneTasks: s.Done, Checkpoint: s.Saved, FailedAttempts: s.Fails}
}

// convertAll returns the converted elements of a list, or nil for a nil list, as gob stores no empty slices.
func convertAll[From, To any](list []From, convert func(From) To) []To {
	if list == nil {
		return nil
	}
	converted := make([]To, len(list))
	for i, element := range list {
		converted[i] = convert(element)
	}
	return converted
}
