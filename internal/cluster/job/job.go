// Package job implements the replicated state of a shard's jobs: the accepted jobs, the runs that were ordered
// for their tasks, and how these runs ended. It does no I/O and reads no clock: the same commands in the same
// order change each replica's Store in the same way. Package scheduler decides which tasks to start and where.
//
// Types are not safe for concurrent use. Other builds read the snapshots and the log: see storedjob.go and
// codec.go before you change a field or a number.
package job

// State is a job's state as clients see it. Its numbers are stored and sent between processes.
type State uint8

// States of jobs.
const (
	StatePending   State = iota // accepted, no run was started yet
	StateRunning                // at least one run was started
	StateCompleted              // all tasks are done
	StateFailed                 // a task or a gang has failed as often as Submission.Retries allows
	StateCanceled               // cancelled by the client
)

// String returns the state's name in the clients' protocol.
func (s State) String() string {
	return [...]string{"pending", "running", "completed", "failed", "canceled"}[s]
}

// Terminal reports whether the job is over: it starts no more runs and keeps this state.
func (s State) Terminal() bool { return s >= StateCompleted }

// Run is one run of a task that was ordered and is not known to be over. Snapshots store its fields under
// their Go names.
type Run struct {
	Attempt int
	Runner  string // ID of the runner's incarnation
	Address string // of the runner
}

// Task is the state of one task. Snapshots store its fields under their Go names.
type Task struct {
	Attempt int    // the highest attempt number that was used
	Failed  int    // runs that ended as EndFailed
	Listed  uint64 // bit N: the end of attempt N was reported and counted
	Done    bool
	Saved   string // the newest checkpoint, if the task does not belong to a gang
	Runs    []Run  // more than one only in a speculative step
}

// trackedAttempts is the number of attempts, counted from 0, that the bit sets Listed and FailedAttempts
// distinguish.
const trackedAttempts = 64

// removeRun removes the run with that attempt number. It reports whether there was one.
func (t *Task) removeRun(attempt int) bool {
	for i, run := range t.Runs {
		if run.Attempt == attempt {
			t.Runs = append(t.Runs[:i:i], t.Runs[i+1:]...)
			return true
		}
	}
	return false
}

// isEndCounted reports whether the end of an attempt was reported and counted before. It returns false for
// attempts above those that are tracked.
func (t *Task) isEndCounted(attempt int) bool {
	return attempt < trackedAttempts && t.Listed>>attempt&1 == 1
}

// countEnd records that the end of an attempt was reported and counted.
func (t *Task) countEnd(attempt int) {
	if attempt < trackedAttempts {
		t.Listed |= 1 << attempt
	}
}

// StepState is the state of one step in one occurrence.
type StepState struct {
	Tasks          []Task
	DoneTasks      int
	Checkpoint     string // of a gang: the newest that any member saved
	FailedAttempts uint64 // of a gang, bit N: attempt N ended as EndFailed; the last bit counts for all later ones
}

// Complete reports whether all its tasks are done.
func (s *StepState) Complete() bool { return s.DoneTasks == len(s.Tasks) }

func (s *StepState) markDone(task *Task) {
	if !task.Done {
		task.Done = true
		s.DoneTasks++
	}
}

func (s *StepState) markAllDone() {
	for i := range s.Tasks {
		s.markDone(&s.Tasks[i])
	}
}

// saveCheckpoint stores a checkpoint, if it is not empty. The checkpoint of a gang's member is stored for the
// whole gang.
func (s *StepState) saveCheckpoint(spec *Step, task *Task, checkpoint string) {
	switch {
	case checkpoint == "":
	case spec.Gang:
		s.Checkpoint = checkpoint
	default:
		task.Saved = checkpoint
	}
}

// Occurrence is the state of one execution of all steps of a job. A job that is not repeated has one.
type Occurrence struct {
	Steps     []StepState // nil once the occurrence or its job is over and no run is active
	OpenSteps int         // steps that are not complete
}

// Job is one job.
type Job struct {
	Submission
	State           State
	Occurrences     []*Occurrence // those that have fallen due, by number; nil once the job is over and no run is active
	OpenOccurrences int           // occurrences that are not complete, including future ones
	ActiveRuns      int           // runs of all tasks that are not known to be over
	AcceptedMs      int64         // Unix time in milliseconds
	EndedMs         int64         // Unix time in milliseconds
	// LaterFailures are the failed runs whose attempts the bit sets of their tasks and steps don't
	// distinguish. Builds before this field lack it, so no outcome of a command may depend on it.
	LaterFailures []FailedRun
	// CancelledBeforeAcceptance is set if the job was cancelled before it was submitted. Only its ID and its
	// queue are known, and a late attempt to submit it is always rejected.
	CancelledBeforeAcceptance bool
}

// DependenciesComplete reports whether all steps that a step depends on are complete, so that its tasks may
// start.
func (j *Job) DependenciesComplete(occurrence *Occurrence, step int) bool {
	for _, dependency := range j.Spec.Steps[step].DependsOn {
		if !occurrence.Steps[dependency].Complete() {
			return false
		}
	}
	return true
}

// Resubmitted returns the outcome of another attempt to submit a job under the ID of this one.
func (j *Job) Resubmitted(queue string, bodyHash uint64) Outcome {
	switch {
	case j.CancelledBeforeAcceptance && j.Queue == queue:
		return CancelledBeforeAcceptance
	case j.Queue != queue || j.BodyHash != bodyHash:
		return Rejected
	}
	return AlreadyApplied
}

// Task returns a task's state and that of its step, or nil if they don't exist or were already released.
func (j *Job) Task(ref TaskRef) (*Task, *StepState) {
	if ref.Occurrence >= len(j.Occurrences) || j.Occurrences[ref.Occurrence] == nil {
		return nil, nil
	}
	occurrence := j.Occurrences[ref.Occurrence]
	if ref.Step >= len(occurrence.Steps) {
		return nil, nil
	}
	step := &occurrence.Steps[ref.Step]
	if ref.Index >= len(step.Tasks) {
		return nil, nil
	}
	return &step.Tasks[ref.Index], step
}

// openOccurrence creates the tasks of the occurrence with that number.
func (j *Job) openOccurrence(number int) {
	steps := make([]StepState, len(j.Spec.Steps))
	for i, step := range j.Spec.Steps {
		steps[i].Tasks = make([]Task, step.Count)
	}
	for len(j.Occurrences) <= number {
		j.Occurrences = append(j.Occurrences, nil)
	}
	j.Occurrences[number] = &Occurrence{Steps: steps, OpenSteps: len(steps)}
}

// mayStart reports whether the state allows a run of a task with that attempt number.
func (j *Job) mayStart(task *Task, ref TaskRef, attempt int) bool {
	step := &j.Spec.Steps[ref.Step]
	switch {
	case j.State.Terminal(), task.Done, attempt <= task.Attempt:
		return false
	case len(task.Runs) > 0 && !step.Speculative:
		return false
	case task.Failed >= j.Retries && !step.LongRunning:
		return false
	}
	return j.DependenciesComplete(j.Occurrences[ref.Occurrence], ref.Step)
}

// releaseFinished releases the state of tasks that is no longer needed: that of complete occurrences, and that
// of the whole job once it is over. It does nothing while runs may be active.
func (j *Job) releaseFinished() {
	if j.ActiveRuns > 0 {
		return
	}
	for i, occurrence := range j.Occurrences {
		if occurrence != nil && (occurrence.OpenSteps == 0 || j.State.Terminal()) {
			j.Occurrences[i] = &Occurrence{}
			j.forgetLaterFailures(i)
		}
	}
	if j.State.Terminal() {
		j.Occurrences, j.LaterFailures = nil, nil
		j.Spec = Spec{Repeats: j.Spec.Repeats}
	}
}
