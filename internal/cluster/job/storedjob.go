package job

import (
	"bytes"
	"encoding/gob"

	"github.com/cockroachdb/errors"
)

// The stored types are the form of a snapshot, encoded by gob, which stores the names of fields.
// Snapshots on disk and from processes of other builds have these names: never rename a field here.
// Spec, Step, Resources, Task and Run are stored as they are: a job may have 100,000 tasks, and a
// conversion of each would make a snapshot half as slow again.
type (
	storedStore struct {
		Jobs    map[string]*storedJob
		Pending map[string]int
		Sealed  map[string]int64
	}

	storedJob struct {
		New        storedSubmission
		State      State
		Times      []*storedOccurrence
		OpenTimes  int
		Live       int
		AcceptedMs int64
		EndedMs    int64
		Withdrawn  bool
	}

	storedSubmission struct {
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

	storedOccurrence struct {
		Steps []storedStep
		Open  int
	}

	storedStep struct {
		Tasks []Task
		Done  int
		Saved string
		Fails uint64
	}
)

// Snapshot returns the whole state, encoded.
func (s *Store) Snapshot() ([]byte, error) {
	stored := storedStore{Jobs: make(map[string]*storedJob, len(s.Jobs)), Pending: s.Pending, Sealed: s.Sealed}
	for id, j := range s.Jobs {
		stored.Jobs[id] = toStoredJob(j)
	}
	var body bytes.Buffer
	err := gob.NewEncoder(&body).Encode(&stored)
	return body.Bytes(), errors.Wrap(err, "encode the jobs")
}

// Restore replaces the whole state by that of a snapshot. After an error it is as it was.
func (s *Store) Restore(content []byte) error {
	stored := storedStore{Jobs: map[string]*storedJob{}, Pending: map[string]int{}, Sealed: map[string]int64{}}
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

func toStoredJob(j *Job) *storedJob {
	return &storedJob{
		New:        toStoredSubmission(&j.Submission),
		State:      j.State,
		Times:      convertAll(j.Occurrences, toStoredOccurrence),
		OpenTimes:  j.OpenOccurrences,
		Live:       j.ActiveRuns,
		AcceptedMs: j.AcceptedMs,
		EndedMs:    j.EndedMs,
		Withdrawn:  j.CancelledBeforeAcceptance,
	}
}

func fromStoredJob(j *storedJob) *Job {
	return &Job{
		Submission:                fromStoredSubmission(&j.New),
		State:                     j.State,
		Occurrences:               convertAll(j.Times, fromStoredOccurrence),
		OpenOccurrences:           j.OpenTimes,
		ActiveRuns:                j.Live,
		AcceptedMs:                j.AcceptedMs,
		EndedMs:                   j.EndedMs,
		CancelledBeforeAcceptance: j.Withdrawn,
	}
}

func toStoredSubmission(s *Submission) storedSubmission {
	return storedSubmission{
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

func fromStoredSubmission(s *storedSubmission) Submission {
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

func toStoredOccurrence(o *Occurrence) *storedOccurrence {
	return &storedOccurrence{Steps: convertAll(o.Steps, toStoredStep), Open: o.OpenSteps}
}

func fromStoredOccurrence(o *storedOccurrence) *Occurrence {
	return &Occurrence{Steps: convertAll(o.Steps, fromStoredStep), OpenSteps: o.Open}
}

func toStoredStep(s StepState) storedStep {
	return storedStep{Tasks: s.Tasks, Done: s.DoneTasks, Saved: s.Checkpoint, Fails: s.FailedAttempts}
}

func fromStoredStep(s storedStep) StepState {
	return StepState{Tasks: s.Tasks, DoneTasks: s.Done, Checkpoint: s.Saved, FailedAttempts: s.Fails}
}

// convertAll converts each element. The result of nil is nil, as gob stores no empty slices.
func convertAll[From, To any](list []From, convert func(From) To) []To {
	if list == nil {
		return nil
	}
	converted := make([]To, len(list))
	for at, element := range list {
		converted[at] = convert(element)
	}
	return converted
}
