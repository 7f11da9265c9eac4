package job

// Store holds the jobs of a shard. Only Apply and Restore change it; callers only read its fields and the
// values that these refer to. It is not safe for concurrent use.
type Store struct {
	Jobs    map[string]*Job // by ID, including those that were cancelled before their acceptance
	Pending map[string]int  // jobs in StatePending, by queue; queues without any are absent
	// Sealed holds, for each queue that was moved to another shard, the version of the configuration that
	// moved it. Requests under an older version can neither submit a job of the queue nor cancel one before
	// its acceptance.
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

// Apply applies a command of the replicated log. It returns Rejected for an unknown kind. The commands for
// runs and occurrences are in runs.go.
func (s *Store) Apply(command Command) Outcome {
	switch command.Kind {
	case AcceptJob:
		return s.accept(command)
	case CancelJob:
		return s.cancel(command)
	case SealQueue:
		return s.seal(command)
	}
	j := s.Jobs[command.Task.Job]
	if j == nil {
		return Rejected
	}
	switch command.Kind {
	case OpenOccurrence:
		return j.openNextOccurrence(command)
	case StartRun:
		return s.startRun(j, command)
	case EndRun:
		return s.endRun(j, command)
	case SaveCheckpoint:
		return j.saveCheckpoint(command)
	case ForgetJob:
		return s.forget(j)
	}
	return Rejected
}

// accept adds a job, and opens its only occurrence unless it is a repeated one.
func (s *Store) accept(command Command) Outcome {
	if existing := s.Jobs[command.Submission.ID]; existing != nil {
		return existing.Resubmitted(command.Submission.Queue, command.Submission.BodyHash)
	}
	if command.Submission.ConfigVersion < s.Sealed[command.Submission.Queue] {
		return QueueMoved
	}
	j := &Job{Submission: *command.Submission, AcceptedMs: command.ProposedAtMs}
	j.OpenOccurrences = j.Spec.OccurrenceCount()
	s.Jobs[j.ID] = j
	s.Pending[j.Queue]++
	if j.Spec.Repeats == 0 {
		j.openOccurrence(0)
	}
	return Applied
}

// cancel cancels a job. If there is no job with that ID, a submission may still be in flight: the ID is
// recorded so that this submission is rejected.
func (s *Store) cancel(command Command) Outcome {
	j := s.Jobs[command.Task.Job]
	switch {
	case j == nil:
		return s.cancelBeforeAcceptance(command)
	case command.Queue != "" && j.Queue != command.Queue, j.CancelledBeforeAcceptance:
		return UnknownJob
	case j.State.Terminal():
		return AlreadyApplied
	}
	s.setState(j, StateCanceled, command.ProposedAtMs)
	j.releaseFinished()
	return Applied
}

// cancelBeforeAcceptance records the ID of an unknown job, unless its queue was moved.
func (s *Store) cancelBeforeAcceptance(command Command) Outcome {
	if command.ConfigVersion < s.Sealed[command.Queue] {
		return QueueMoved
	}
	s.Jobs[command.Task.Job] = &Job{
		Submission:                Submission{ID: command.Task.Job, Queue: command.Queue},
		State:                     StateCanceled,
		EndedMs:                   command.ProposedAtMs,
		CancelledBeforeAcceptance: true,
	}
	return UnknownJob
}

// seal records the version of the configuration that moved a queue to another shard. Requests under older
// configurations are rejected from now on.
func (s *Store) seal(command Command) Outcome {
	if s.Sealed[command.Queue] >= command.ConfigVersion {
		return AlreadyApplied
	}
	s.Sealed[command.Queue] = command.ConfigVersion
	return Applied
}

// forget removes a job that is over and has no active runs.
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
