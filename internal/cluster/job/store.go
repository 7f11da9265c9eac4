package job

import "math/bits"

// Store holds the jobs of a shard.
type Store struct {
	Jobs    map[string]*Job
	Pending map[string]int // jobs in StatePending, by queue; queues without any are absent
	// Sealed has, by queue that was moved to another shard, the version of the configuration that
	// moved it: under an older one nothing is accepted or cancelled before acceptance here.
	Sealed map[string]int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{Jobs: map[string]*Job{}, Pending: map[string]int{}, Sealed: map[string]int64{}}
}

// Lookup returns a job of a queue, unless it was cancelled before its acceptance.
func (s *Store) Lookup(queue, id string) (*Job, bool) {
	j, ok := s.Jobs[id]
	if !ok || j.Queue != queue || j.CancelledBeforeAcceptance {
		return nil, false
	}
	return j, true
}

// Outcome says what a command did.
type Outcome uint8

// Outcomes. All but Applied, and UnknownJob of CancelJob, leave the state as it was.
const (
	Applied                   Outcome = iota + 1
	AlreadyApplied                    // the same was done before
	Rejected                          // the state does not allow it
	UnknownJob                        // there is no such job, and a late submission under its ID is rejected
	QueueMoved                        // a newer configuration has sent the queue to another shard
	CancelledBeforeAcceptance         // the job was cancelled before it was submitted
)

// Apply carries out a command of the replicated log.
func (s *Store) Apply(c Command) Outcome {
	switch c.Kind {
	case AcceptJob:
		return s.accept(c)
	case CancelJob:
		return s.cancel(c)
	case SealQueue:
		return s.seal(c)
	}
	j := s.Jobs[c.Task.Job]
	if j == nil {
		return Rejected
	}
	switch c.Kind {
	case OpenOccurrence:
		return j.openNext(c)
	case StartRun:
		return s.startRun(j, c)
	case EndRun:
		return s.endRun(j, c)
	case SaveCheckpoint:
		return j.saveCheckpoint(c)
	case ForgetJob:
		return s.forget(j)
	}
	return Rejected
}

func (s *Store) accept(c Command) Outcome {
	if existing := s.Jobs[c.Submission.ID]; existing != nil {
		return existing.Resubmitted(c.Submission.Queue, c.Submission.BodyHash)
	}
	if c.Submission.ConfigVersion < s.Sealed[c.Submission.Queue] {
		return QueueMoved
	}
	j := &Job{Submission: *c.Submission, AcceptedMs: c.ProposedAtMs}
	j.OpenOccurrences = j.Spec.Occurrences()
	s.Jobs[j.ID] = j
	s.Pending[j.Queue]++
	if j.Spec.Repeats == 0 {
		j.openOccurrence(0)
	}
	return Applied
}

// cancel cancels a job. Where there is none of that ID, a submission may still be on its way: the
// ID is kept, so that it is rejected.
func (s *Store) cancel(c Command) Outcome {
	j := s.Jobs[c.Task.Job]
	switch {
	case j == nil:
		return s.cancelBeforeAcceptance(c)
	case c.Queue != "" && j.Queue != c.Queue, j.CancelledBeforeAcceptance:
		return UnknownJob
	case j.State.Terminal():
		return AlreadyApplied
	}
	s.setState(j, StateCanceled, c.ProposedAtMs)
	j.releaseFinished()
	return Applied
}

func (s *Store) cancelBeforeAcceptance(c Command) Outcome {
	if c.ConfigVersion < s.Sealed[c.Queue] {
		return QueueMoved
	}
	s.Jobs[c.Task.Job] = &Job{
		Submission: Submission{ID: c.Task.Job, Queue: c.Queue},
		State:      StateCanceled, EndedMs: c.ProposedAtMs, CancelledBeforeAcceptance: true,
	}
	return UnknownJob
}

// seal rejects from now on what comes under configurations older than the one that moved the queue
// to another shard.
func (s *Store) seal(c Command) Outcome {
	if s.Sealed[c.Queue] >= c.ConfigVersion {
		return AlreadyApplied
	}
	s.Sealed[c.Queue] = c.ConfigVersion
	return Applied
}

func (s *Store) forget(j *Job) Outcome {
	if !j.State.Terminal() || j.ActiveRuns > 0 {
		return Rejected
	}
	delete(s.Jobs, j.ID)
	return Applied
}

// setState changes a job's state, unless it is over.
func (s *Store) setState(j *Job, state State, atMs int64) {
	if j.State == state || j.State.Terminal() {
		return
	}
	if j.State == StatePending {
		s.Pending[j.Queue]--
		if s.Pending[j.Queue] == 0 {
			delete(s.Pending, j.Queue)
		}
	}
	j.State = state
	if state.Terminal() {
		j.EndedMs = atMs
	}
}

// openNext opens the next occurrence of a repeated job.
func (j *Job) openNext(c Command) Outcome {
	number := c.Task.Occurrence
	if j.State.Terminal() || number != len(j.Occurrences) || number >= j.Spec.Occurrences() {
		return Rejected
	}
	j.openOccurrence(number)
	return Applied
}

func (s *Store) startRun(j *Job, c Command) Outcome {
	task, _ := j.Task(c.Task)
	if task == nil || !j.mayStart(task, c.Task, c.Attempt) {
		return Rejected
	}
	task.Attempt = c.Attempt
	task.Runs = append(task.Runs, Run{Attempt: c.Attempt, Runner: c.Runner, Address: c.Address})
	j.ActiveRuns++
	s.setState(j, StateRunning, c.ProposedAtMs)
	return Applied
}

// endRun takes in the end of a run. A reported end counts once, also after the run was taken for
// lost.
func (s *Store) endRun(j *Job, c Command) Outcome {
	task, step := j.Task(c.Task)
	if task == nil {
		return Rejected
	}
	active := task.removeRun(c.Attempt)
	if active {
		j.ActiveRuns--
	}
	reported := c.EndReason.reported()
	if !active && (!reported || task.endCounted(c.Attempt)) {
		j.releaseFinished()
		return AlreadyApplied
	}
	if reported {
		task.countEnd(c.Attempt)
	}
	step.saveCheckpoint(&j.Spec.Steps[c.Task.Step], task, c.Checkpoint)
	switch c.EndReason {
	case EndDone:
		s.completeTask(j, task, step, c)
	case EndFailed:
		task.Failed++
		step.FailedAttempts |= 1 << min(c.Attempt, trackedAttempts-1)
		s.failIfRetriesExhausted(j, task, step, c)
	}
	j.releaseFinished()
	return Applied
}

// completeTask marks a task done, and with it its step, its occurrence and its job where it was
// the last one.
func (s *Store) completeTask(j *Job, task *Task, step *StepState, c Command) {
	spec := &j.Spec.Steps[c.Task.Step]
	if task.Done || spec.LongRunning {
		return
	}
	if spec.Gang {
		step.markAllDone() // a gang's members end together: one report stands for all
	} else {
		step.markDone(task)
	}
	if !step.Complete() {
		return
	}
	occurrence := j.Occurrences[c.Task.Occurrence]
	occurrence.OpenSteps--
	if occurrence.OpenSteps > 0 {
		return
	}
	j.OpenOccurrences--
	if j.OpenOccurrences == 0 {
		s.setState(j, StateCompleted, c.ProposedAtMs)
	}
}

// failIfRetriesExhausted fails the job once a task, or a gang, has failed as often as it may.
func (s *Store) failIfRetriesExhausted(j *Job, task *Task, step *StepState, c Command) {
	spec := &j.Spec.Steps[c.Task.Step]
	if spec.LongRunning || task.Done {
		return
	}
	failures := task.Failed
	if spec.Gang {
		failures = bits.OnesCount64(step.FailedAttempts)
	}
	if failures >= j.Retries {
		s.setState(j, StateFailed, c.ProposedAtMs)
	}
}

// saveCheckpoint keeps a checkpoint of an active run.
func (j *Job) saveCheckpoint(c Command) Outcome {
	task, step := j.Task(c.Task)
	if task == nil || task.Done {
		return Rejected
	}
	for _, run := range task.Runs {
		if run.Attempt == c.Attempt {
			step.saveCheckpoint(&j.Spec.Steps[c.Task.Step], task, c.Checkpoint)
			return Applied
		}
	}
	return Rejected
}
